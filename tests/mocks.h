#pragma once

#include "test_support.h"

#include "citronford/backend_link.h"
#include "citronford/fleet_rows.h"
#include "citronford/manual_timer_service.h"
#include "citronford/vm_fleet.h"
#include "node/node_links.h"

namespace citronford {

// Mocks of the interfaces of nodes; a call without an expectation fails the test.

struct mock_table_service final : table_service {
    MAKE_MOCK3(commit,
               void(std::span<const table_check>, std::span<const table_write>, commit_callback),
               override);
    MAKE_MOCK3(scan, void(std::string_view, table_version, scan_callback), override);
};

struct mock_peer_link final : peer_link {
    MAKE_MOCK2(send, void(const member_id&, const send_peer&), override);
    MAKE_MOCK2(on_receive, void(receiver, refusal), override);
};

struct mock_executor_link final : executor_link {
    MAKE_MOCK3(send, void(const endpoint&, const attempt&, attempt_callback), override);
    MAKE_MOCK3(query_outcome, void(const endpoint&, const request_id&, outcome_callback), override);
    MAKE_MOCK2(probe, void(const endpoint&, probe_callback), override);
};

struct mock_caller_link final : caller_link {
    MAKE_MOCK2(answer, void(caller_id, const caller_answer&), override);
};

struct mock_vm_list final : vm_list {
    MAKE_MOCK1(list, void(list_callback), override);
};

struct mock_object_store final : object_store {
    MAKE_MOCK3(put, void(std::string_view, std::string_view, put_callback), override);
    MAKE_MOCK2(get, void(std::string_view, get_callback), override);
};

struct mock_worker_link final : worker_link {
    MAKE_MOCK4(sync, void(const endpoint&, const sync_request&, duration, sync_callback), override);
};

struct mock_backend_link final : backend_link {
    MAKE_MOCK4(start,
               void(const backend_address&, const start_command&, duration, command_callback),
               override);
    MAKE_MOCK4(stop, void(const backend_address&, const stop_command&, duration, command_callback),
               override);
    MAKE_MOCK4(throttle,
               void(const backend_address&, const throttle_command&, duration, command_callback),
               override);
    MAKE_MOCK4(poll, void(const backend_address&, const poll_request&, duration, poll_callback),
               override);
};

struct mock_vm_fleet final : vm_fleet {
    MAKE_MOCK1(list, void(list_callback), override);
    MAKE_MOCK4(move, void(const vm_id&, const pool_id&, const vm_order_origin&, order_callback),
               override);
    MAKE_MOCK4(maintain, void(const vm_id&, wave_number, const vm_order_origin&, order_callback),
               override);
};

struct mock_fleet_rows final : fleet_rows {
    MAKE_CONST_MOCK0(orders_prefix, std::string_view(), override);
    MAKE_CONST_MOCK0(backends_prefix, std::string_view(), override);
    MAKE_CONST_MOCK1(decode_order, absl::StatusOr<operator_order>(const table_row&), override);
    MAKE_CONST_MOCK1(decode_backend_id, backend_id(std::string_view), override);
    MAKE_CONST_MOCK1(decode_registration, absl::StatusOr<backend_registration>(const table_row&),
                     override);
    MAKE_CONST_MOCK2(wave_status_write, table_write(wave_number, bool), override);
};

struct mock_vm_control final : vm_control {
    MAKE_MOCK3(drain, void(const vm_id&, vm_order_number, order_callback), override);
    MAKE_MOCK3(reboot, void(const vm_id&, vm_order_number, order_callback), override);
    MAKE_MOCK2(query_status, void(const vm_id&, status_callback), override);
};

/// A mock of every interface of a node, and virtual time. Fixtures derive from it.
struct mock_interfaces {
    manual_timer_service timers;
    mock_table_service table;
    mock_object_store objects;
    mock_vm_list vms;
    mock_executor_link executors;
    mock_caller_link callers;
    mock_worker_link workers;
    mock_vm_control vm_controls;
    mock_peer_link peers;

    [[nodiscard]] node_links links() {
        return {timers, table, objects, vms, executors, callers, workers, vm_controls, peers};
    }
};

} // namespace citronford
