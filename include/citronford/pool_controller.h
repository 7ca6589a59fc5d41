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

/// Rows of VMs, pools and leases that changed, all read after `begun_at`.
struct pool_rows_read {
    struct vm_row {
        vm_record row; ///< Only the id is set when the row was deleted.
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
    table_version version = 0; ///< Version of the table that the rows reflect.
    instant begun_at;
};
/// The platform's list, requested at `begun_at`.
struct vms_listed {
    std::vector<vm_listing> vms;
    instant begun_at;
};
/// The live nodes of the fleet.
struct pool_live_nodes {
    std::vector<node_id> nodes;
};
/// How the transaction `number` of a pool ended.
struct pool_commit_report {
    enum class outcome { committed, conflicted, not_written, in_doubt };

    pool_id pool;
    std::uint64_t number = 0;
    outcome result = outcome::in_doubt;
    table_version version = 0; ///< Version written, when committed.
};
struct vm_status_report {
    vm_id vm;
    std::optional<vm_status> status; ///< Empty when the platform did not answer.
};
/// VMs that pools need with their buffers; replaces the plan before. Each raises the number that
/// the configuration wants, and never lowers it.
struct buffers_planned {
    std::vector<pool_want> pools;
};
/// Time passed.
struct pools_tick {};

using pool_input = std::variant<pool_rows_read, vms_listed, pool_live_nodes, pool_commit_report,
                                vm_status_report, buffers_planned, pools_tick>;

// Effects of the controller.

/// A conditional write of one VM row; a row in the state `removed` is deleted.
struct vm_write {
    vm_record row;
    table_version expected = absent_row;
};
/// A conditional write of one pool row.
struct pool_write {
    pool_record row;
    table_version expected = absent_row;
};
/// One transaction: the lease row of the pool and VM rows, each checked for its version.
struct commit_pool {
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
/// Read the changed rows now rather than at the next poll.
struct read_pool_rows {};

using pool_effect =
    std::variant<commit_pool, order_drain, order_reboot, query_vm_status, read_pool_rows>;

struct pool_controller_options {
    node_id node;
    duration lease_duration{10000000};      ///< Length of the lease of a pool.
    duration max_list_age{15000000};        ///< Without a list this long, no planned step begins.
    duration status_query_interval{500000}; ///< Pause between two questions about one VM.
    duration order_retry_interval{
        2000000};                       ///< Pause before an order not yet carried out is repeated.
    duration reboot_timeout{600000000}; ///< A VM that takes longer counts as failed.
    duration missing_vm_timeout{
        600000000}; ///< A VM missing this long no longer belongs to its pool.
};

/// A roll-out as operators see it.
struct roll_out_view {
    table_version number = 0; ///< Zero before the first roll-out.
    std::string_view reason;
    std::int64_t remaining = 0; ///< VMs not yet back from their reboot.
};

/// Moves and maintains the VMs of the pools that this node controls.
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

    /// Decides on one input. The effects are to be performed in order.
    std::vector<pool_effect> handle(const pool_input& input, instant now);

    /// The row that orders a move; the controller of the present pool carries it out. Fails with
    /// `not_found`, `invalid_argument` or `conflict` when a move is under way.
    [[nodiscard]] absl::StatusOr<vm_write> move_order(const vm_id& vm, const pool_id& target,
                                                      std::string_view reason) const;

    /// The row that starts a roll-out over a pool. Fails with `not_found` or `invalid_argument`.
    [[nodiscard]] absl::StatusOr<pool_write> maintenance_order(const pool_id& pool,
                                                               std::string_view reason) const;

    [[nodiscard]] const vm_table& vms() const;
    /// All pools that the configuration, a row or the list names.
    [[nodiscard]] std::vector<pool_id> pools() const;
    [[nodiscard]] pool_availability availability(const pool_id& pool) const;
    [[nodiscard]] roll_out_view roll_out(const pool_id& pool) const;
    /// The node that holds the lease of `pool` by the last row read; empty for none.
    [[nodiscard]] node_id lease_owner(const pool_id& pool) const;

    /// When the rows were last read; `instant::min()` before the first read.
    [[nodiscard]] instant rows_read_at() const;

    /// VM rows visited so far: a measure of cost that does not depend on the machine.
    [[nodiscard]] std::uint64_t operations() const;

  private:
    class implementation;
    explicit pool_controller(std::unique_ptr<implementation> body);

    std::unique_ptr<implementation> body_;
};

} // namespace citronford
