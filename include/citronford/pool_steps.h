#pragma once

#include "citronford/availability_budget.h"
#include "citronford/rebalancer.h"
#include "citronford/spare_lending.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace citronford {

/// Transfers and shortages of all pools, from the rows known to one node.
struct fleet_demand {
    std::vector<pool_transfer> transfers; ///< Moves that bring every pool to its wanted size.
    std::vector<pool_shortage> shortages; ///< Pools with VMs in a removed zone.
};

/// Counts of VMs by pool from which the fleet demand is computed. They are updated incrementally,
/// so the cost of a changed row does not depend on the size of the fleet.
class demand_counts {
  public:
    void add(const vm_record& row, const fleet_configuration& fleet) { count(row, fleet, 1); }
    void remove(const vm_record& row, const fleet_configuration& fleet) { count(row, fleet, -1); }
    void clear() { counts_.clear(); }

    /// The demand of all configured pools, from the counted rows and the listed VMs without a row.
    [[nodiscard]] fleet_demand demand(const vm_table& vms, const fleet_configuration& fleet) const;

  private:
    struct pool_count {
        std::int64_t members = 0;
        std::int64_t remaining = 0;
        std::int64_t in_removed_zones = 0;
    };

    void count(const vm_record& row, const fleet_configuration& fleet, std::int64_t sign);

    std::map<pool_id, pool_count> counts_;
};

/// The state of one pool from which its next steps are planned.
struct pool_snapshot {
    pool_id pool;
    std::span<const vm_entry* const> members;
    const fleet_configuration& fleet;
    const fleet_demand& demand;
    const pool_definition* definition = nullptr; ///< Null if the pool is not configured.
    std::int64_t budget = 0;                     ///< Availability budget of the pool.
    table_version roll_out_number = 0;           ///< Number of the last roll-out of the pool.
    bool steps_suspended = false;                ///< A zone is removed or the VM list is too old.
    bool giving_back = false;                    ///< Borrowed VMs are being returned.
};

/// The decision to drain `vm` for `step`.
struct pool_step {
    vm_id vm;
    vm_step step = vm_step::none;
    pool_id target; ///< Empty for maintenance and if the row already holds the target.
};

/// Plans the steps to begin now. Loans to pools with VMs in a removed zone are part of the zone
/// removal that the operator ordered and are not limited by the availability budget; all other
/// steps together never exceed the remaining budget.
std::vector<pool_step> planned_steps(const pool_snapshot& snapshot);

} // namespace citronford
