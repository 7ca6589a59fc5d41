#pragma once

#include "citronford/dispatcher.h"
#include "citronford/instant.h"
#include "citronford/queue_catalog.h"
#include "citronford/vm_fleet.h"
#include "citronford/vm_order_cycle.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace citronford {

/// Move a VM; answer with `capacity_planner::answer`.
struct move_vm {
    vm_id vm;
    pool_id target;
};

struct capacity_options {
    duration move_time = milliseconds(1500); ///< Until a moved VM serves its new pool.
};

/// What the planner knows of the fleet at one moment.
struct capacity_view {
    std::span<const fleet_vm> vms; ///< As listed last.
    instant listed_at{};           ///< When that list was asked for.
    std::span<const backend_load> loads;
    std::span<const pool_workload> demands;
    const queue_catalog& catalog;
    const std::set<zone_id>& removed_zones;
    std::span<const vm_id> taken; ///< VMs that are being maintained, or take no orders yet.
    bool may_order = false;       ///< Orders to VMs are allowed now.
};

/// Moves idle VMs to the pools where work arrives: demand goes round the queues in bursts that are
/// larger than a pool, while the other pools are nearly idle. VMs that no pool needs go to the
/// standby pool, where they cost nothing.
class capacity_planner {
  public:
    /// `life_cycle` is the chart `vm_order`.
    static absl::StatusOr<capacity_planner> create(const chart& life_cycle,
                                                   capacity_options options);

    std::vector<move_vm> plan(const capacity_view& view, instant now);
    void answer(const vm_id& vm, vm_order_result result, instant now);

    /// Servers to close, by the last plan.
    [[nodiscard]] const std::vector<backend_id>& closing() const { return closing_; }

    /// Whether a VM is being moved.
    [[nodiscard]] bool active() const { return !moves_.empty(); }

  private:
    struct sample {
        instant at{};
        double arrived_core_s = 0;
    };
    struct need_sample {
        instant at{};
        std::int64_t servers = 0;
    };
    struct pool_outlook {
        std::deque<sample> samples;
        std::deque<need_sample> needs;
        instant surplus_since = instant::max(); ///< Since when it has had more than it needs.
    };
    struct vm_move {
        vm_under_order item;
        pool_id target;
    };
    /// Servers of a pool, in numbers.
    struct pool_count {
        std::int64_t present = 0;  ///< Can take work.
        std::int64_t measured = 0; ///< Whose capacity is in `capacity_millicores`.
        std::int64_t incoming = 0; ///< Will be able to before long.
        std::int64_t needed = 0;
        std::int64_t hosts = 0; ///< Of long-running tasks.
        std::int64_t long_running_millicores = 0;
        std::int64_t capacity_millicores = 0;
        std::int64_t used_millicores = 0; ///< By other tasks than long-running ones.
        bool standby = false;

        [[nodiscard]] std::int64_t surplus() const { return present + incoming - needed; }
    };
    using pool_counts = std::map<pool_id, pool_count>;

    capacity_planner(vm_order_cycle cycle, capacity_options options)
        : cycle_(std::move(cycle)), options_(options) {}

    void follow_moves(const capacity_view& view, instant now, std::vector<move_vm>& orders);
    [[nodiscard]] pool_counts count(const capacity_view& view) const;
    void estimate_needs(const capacity_view& view, pool_counts& counts, instant now);
    [[nodiscard]] double expected_cores(const pool_outlook& outlook, instant now) const;
    void fill_deficits(const capacity_view& view, pool_counts& counts, instant now);
    void store_surplus(const capacity_view& view, pool_counts& counts, instant now);
    [[nodiscard]] const fleet_vm* donor(const capacity_view& view, const pool_counts& counts,
                                        const pool_id& target) const;
    [[nodiscard]] std::optional<std::size_t> runs_to_wait_for(const fleet_vm& vm,
                                                              const capacity_view& view) const;
    void begin_move(const fleet_vm& vm, const pool_id& target, pool_counts& counts, instant now);

    vm_order_cycle cycle_;
    capacity_options options_;
    std::map<pool_id, pool_outlook> outlooks_;
    std::map<vm_id, vm_move> moves_;
    std::vector<backend_id> closing_;
};

} // namespace citronford
