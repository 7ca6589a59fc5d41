#pragma once

#include "citronford/availability_budget.h"
#include "citronford/buffer_control.h"
#include "citronford/chart.h"
#include "citronford/fleet_configuration.h"
#include "citronford/instant.h"
#include "citronford/vm_control.h"
#include "citronford/vm_table.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace citronford {

// Inputs of the controller.

/// Changed rows of VMs, pools and leases, from a read that began at `begun_at`.
struct pool_rows_read {
    struct vm_row {
        vm_record row; ///< Only `id` is set if the row was deleted.
        table_version version = 0;
        bool deleted = false;
    };
    struct pool_row {
        pool_record row;
        table_version version = 0;
    };
    struct lease_row {
        lease_record row;
        table_version version = 0;
    };
    std::vector<vm_row> vms;
    std::vector<pool_row> pools;
    std::vector<lease_row> leases;
    table_version version = 0; ///< Table version that the rows reflect.
    instant begun_at;
};
/// The platform's VM list, requested at `begun_at`.
struct vms_listed {
    std::vector<vm_listing> vms;
    instant begun_at;
};
/// The live nodes of the fleet.
struct pool_live_nodes {
    std::vector<node_id> nodes;
};
/// Result of the transaction `number` of a pool.
struct pool_commit_report {
    enum class outcome { committed, conflicted, not_written, in_doubt };

    pool_id pool;
    std::uint64_t number = 0;
    outcome result = outcome::in_doubt;
    table_version version = 0; ///< Table version of the transaction if it was committed.
};
struct vm_status_report {
    vm_id vm;
    std::optional<vm_status> status; ///< Empty if the platform did not respond.
};
/// Number of VMs that the pools need, including their buffers. Replaces the previous input of this
/// type. A requirement raises the wanted number of the configuration and never lowers it.
struct buffers_planned {
    std::vector<pool_requirement> pools;
};
/// Periodic tick. New steps are planned on ticks only.
struct pools_tick {};

using pool_input = std::variant<pool_rows_read, vms_listed, pool_live_nodes, pool_commit_report,
                                vm_status_report, buffers_planned, pools_tick>;

// Effects of the controller.

/// Conditional write of one VM row; a row in the state `removed` is deleted.
struct vm_write {
    vm_record row;
    table_version expected = absent_row;
};
/// Conditional write of one pool row.
struct pool_write {
    pool_record row;
    table_version expected = absent_row;
};
/// One transaction that writes the lease row of a pool and VM rows. It commits only if every row
/// still has the expected version.
struct commit_pool_rows {
    std::uint64_t number = 0;
    lease_record lease;
    table_version lease_expected = absent_row;
    std::vector<vm_write> writes;
};
struct order_drain {
    vm_id vm;
    vm_order_number order = 0;
};
struct order_reboot {
    vm_id vm;
    vm_order_number order = 0;
};
struct query_vm_status {
    vm_id vm;
};
/// Reads the changed rows now instead of at the next poll.
struct read_pool_rows {};

using pool_effect =
    std::variant<commit_pool_rows, order_drain, order_reboot, query_vm_status, read_pool_rows>;

struct pool_controller_options {
    node_id node;
    duration lease_duration{10000000};
    /// No planned step begins while the VM list is older.
    duration max_list_age{15000000};
    /// Between two status queries for one VM.
    duration status_query_interval{500000};
    /// Until an order that was not carried out is sent again.
    duration order_retry_interval{2000000};
    /// A VM whose reboot takes longer counts as failed.
    duration reboot_timeout{600000000};
    /// A failed VM that is missing in the VM list for longer is removed from its pool.
    duration missing_vm_timeout{600000000};
};

/// Progress of a maintenance roll-out as reported to operators.
struct roll_out_view {
    table_version number = 0; ///< Zero before the first roll-out.
    std::string_view reason;
    std::int64_t remaining = 0; ///< VMs of the pool that have not completed their reboot.
};

/// Plans and carries out moves and maintenance of the VMs in the pools whose lease this node holds.
class pool_controller {
  public:
    /// `vm_chart` and `zone_chart` are the charts `vm` and `zone`. Fails with `chart_invalid`.
    static absl::StatusOr<std::unique_ptr<pool_controller>>
    create(const chart& vm_chart, const chart& zone_chart, pool_controller_options options);

    pool_controller(const pool_controller&) = delete;
    pool_controller& operator=(const pool_controller&) = delete;
    pool_controller(pool_controller&&) = delete;
    pool_controller& operator=(pool_controller&&) = delete;
    ~pool_controller();

    void configure(const fleet_configuration& fleet);

    /// Processes one input. The caller performs the returned effects in order.
    std::vector<pool_effect> handle(const pool_input& input, instant now);

    /// Returns the row write that orders a move; the controller of the current pool of the VM
    /// carries the move out. Fails with `not_found`, with `invalid_argument`, or with `conflict` if
    /// the VM is already being moved.
    [[nodiscard]] absl::StatusOr<vm_write> move_order(const vm_id& vm, const pool_id& target,
                                                      std::string_view reason) const;

    /// Returns the row write that starts a maintenance roll-out over a pool. Fails with `not_found`
    /// or `invalid_argument`.
    [[nodiscard]] absl::StatusOr<pool_write> maintenance_order(const pool_id& pool,
                                                               std::string_view reason) const;

    [[nodiscard]] const vm_table& vms() const;
    /// All pools that occur in the configuration, in a row or in the VM list.
    [[nodiscard]] std::vector<pool_id> pools() const;
    [[nodiscard]] pool_availability availability(const pool_id& pool) const;
    [[nodiscard]] roll_out_view roll_out(const pool_id& pool) const;
    /// The holder of the lease of `pool` according to the last row read; empty if there is none.
    [[nodiscard]] node_id lease_owner(const pool_id& pool) const;

    /// When the last complete read of the rows began; `instant::min()` before the first one.
    [[nodiscard]] instant rows_read_at() const;

    /// Number of rows, list entries and pools visited so far, as a measure of cost that does not
    /// depend on the machine.
    [[nodiscard]] std::uint64_t operations() const;

  private:
    class implementation;
    explicit pool_controller(std::unique_ptr<implementation> body);

    std::unique_ptr<implementation> body_;
};

} // namespace citronford
