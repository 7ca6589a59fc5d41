#pragma once

#include "citronford/dispatcher.h"
#include "citronford/fleet_index.h"
#include "citronford/instant.h"
#include "citronford/pool_demand.h"
#include "citronford/pool_plan.h"
#include "citronford/queue_catalog.h"
#include "citronford/vm_division.h"
#include "citronford/vm_fleet.h"
#include "citronford/vm_order_cycle.h"

#include <absl/status/statusor.h>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace citronford {

/// Move a VM to the pool `target`; report the result to `capacity_planner::handle_result`.
struct move_vm {
    vm_id vm;
    pool_id target;
};

struct capacity_options {
    duration move_time = milliseconds(1500); ///< From an order to service in the new pool.
    bool burst_capacity = false;             ///< As in `load_switches`.
};

/// The state of the fleet as the planner sees it.
struct capacity_view {
    const fleet_index& fleet; ///< Most recent list of VMs, and the loads of their servers.
    instant listed_at{};      ///< When that list was requested.
    std::span<const pool_workload> demands;
    const queue_catalog& catalog;
    const std::set<zone_id>& removed_zones;
    std::span<const vm_id> excluded; ///< VMs in maintenance, or blocked for orders.
    bool may_order = false;          ///< Orders to VMs are allowed now.
};

/// Moves idle VMs to the pools where work arrives. Demand comes in bursts that exceed one pool
/// while the other pools are nearly idle, and moves from queue to queue. VMs that no pool needs go
/// to the standby pool, where they cost nothing.
///
/// With `capacity_options::burst_capacity`, `pool_demand_tracker` gives the needs of each pool in
/// tiers and `divide_vms` the number of VMs that each pool should have; a pool above its number
/// gives up VMs also when work runs on them, which ends first.
class capacity_planner {
  public:
    /// `life_cycle` is the chart `vm_order`.
    static absl::StatusOr<capacity_planner> create(const chart& life_cycle,
                                                   capacity_options options);

    std::vector<move_vm> plan(const capacity_view& view, instant now);
    void handle_result(const vm_id& vm, vm_order_result result, instant now);

    /// Backend servers to drain, as of the last plan.
    [[nodiscard]] const std::vector<backend_id>& servers_to_drain() const {
        return servers_to_drain_;
    }

    /// The needs and the division of the last plan; empty without `burst_capacity`.
    [[nodiscard]] std::span<const pool_plan> pool_plans() const { return pool_plans_; }

    /// Whether any VM is being moved.
    [[nodiscard]] bool active() const { return !moves_.empty(); }

  private:
    struct arrival_sample {
        instant at{};
        double arrived_core_s = 0;
    };
    struct need_sample {
        instant at{};
        std::int64_t servers = 0;
    };
    struct pool_history {
        std::deque<arrival_sample> samples;
        std::deque<need_sample> needs;
        instant surplus_since = instant::max(); ///< `instant::max()` while there is no surplus.
    };
    struct vm_move {
        vm_order_entry entry;
        pool_id target;
    };
    /// Numbers of servers of one pool, with their capacity and load.
    struct pool_count {
        std::int64_t present = 0;            ///< Servers that can take work.
        std::int64_t measured = 0;           ///< Servers counted in `capacity_millicores`.
        std::int64_t incoming = 0;           ///< Servers that will be able to take work soon.
        std::int64_t needed = 0;             ///< Servers that the pool needs.
        std::int64_t long_running_hosts = 0; ///< Servers that run long-running tasks.
        std::int64_t long_running_millicores = 0;
        std::int64_t capacity_millicores = 0;
        std::int64_t used_millicores = 0; ///< By tasks that are not long-running.
        bool standby = false;
        std::array<std::int64_t, need_tier_count> by_tier{}; ///< Of `needed`, with a division.
        /// First tier in which the pool needs more than its part; `need_tier_count` for none.
        std::size_t short_tier = need_tier_count;

        [[nodiscard]] std::int64_t surplus() const { return present + incoming - needed; }
    };
    using pool_counts = std::map<pool_id, pool_count>;
    struct donor {
        const fleet_vm* vm = nullptr;
        std::size_t runs = 0; ///< Runs that must end before the VM can be moved.
        std::int64_t used_millicores = 0;
        bool resting = false; ///< See `rests_`.
    };
    /// A VM that is not to be moved again for a while.
    struct rest {
        instant until{};
        bool after_drain = false; ///< Its tasks did not end in time; otherwise it has arrived.
    };
    /// With a division, those that rest last, then by the work that runs; else by the number of
    /// runs.
    using donor_pools = std::map<pool_id, std::deque<donor>>;

    capacity_planner(vm_order_cycle cycle, capacity_options options)
        : cycle_(std::move(cycle)), options_(options) {}

    void advance_moves(const capacity_view& view, instant now, std::vector<move_vm>& orders);
    [[nodiscard]] pool_counts count_servers(const capacity_view& view) const;
    void estimate_needs(const capacity_view& view, pool_counts& counts, instant now);
    [[nodiscard]] double expected_cores(const pool_history& history, instant now) const;
    /// The VMs of each pool that may be moved.
    [[nodiscard]] donor_pools find_donors(const capacity_view& view) const;
    void fill_deficits(pool_counts& counts, donor_pools& donors, instant now);
    void move_surplus_to_standby(pool_counts& counts, donor_pools& donors, instant now);
    /// The pool whose first donor is the best one for `target`; null when no other pool can give
    /// a VM.
    [[nodiscard]] static const pool_id*
    choose_donor_pool(const pool_counts& counts, const donor_pools& donors, const pool_id& target);
    /// Runs that must end before the VM can be moved; empty when it must not be moved.
    [[nodiscard]] std::optional<std::size_t> runs_to_wait_for(const fleet_vm& vm,
                                                              const capacity_view& view) const;
    void begin_move(const fleet_vm& vm, const pool_id& target, pool_counts& counts, instant now);

    // With `burst_capacity`; in capacity_planner_division.cpp.
    /// Sets the needs of all pools to the division of the fleet.
    void divide_fleet(const capacity_view& view, pool_counts& counts, instant now);
    void record_pool_plans(const capacity_view& view, const pool_counts& counts);
    void cancel_needless_moves(const capacity_view& view, pool_counts& counts, instant now);
    void fill_division(pool_counts& counts, donor_pools& donors, instant now);
    /// The pool that gives the next VM to `target`; null when none does.
    [[nodiscard]] static const pool_id* choose_division_donor(const pool_counts& counts,
                                                              const donor_pools& donors,
                                                              const pool_id& target);
    /// Puts the VMs that are to be moved first to the front.
    void sort_donors(std::deque<donor>& vms, const capacity_view& view) const;
    /// How long a surplus must last before its VMs are released: `usual`, or less after a burst.
    [[nodiscard]] duration release_time(const pool_id& pool, instant surplus_since,
                                        duration usual) const;

    vm_order_cycle cycle_;
    capacity_options options_;
    std::map<pool_id, pool_history> histories_;
    std::map<pool_id, pool_demand_tracker> demands_;
    std::vector<pool_plan> pool_plans_;
    std::map<vm_id, rest> rests_;
    std::uint64_t workflows_read_ = 0; ///< By all pools, as of `read_at_`.
    instant read_at_{};                ///< When the last plan with newly read workflows was made.
    std::map<vm_id, vm_move> moves_;
    std::vector<backend_id> servers_to_drain_;
};

} // namespace citronford
