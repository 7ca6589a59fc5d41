#pragma once

#include "citronford/availability_budget.h"
#include "citronford/rebalancer.h"
#include "citronford/spare_lending.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace citronford {

/// What all pools want and lack, by the rows that one node knows.
struct fleet_demand {
    std::vector<pool_transfer> transfers; ///< That bring every pool to what it wants.
    std::vector<pool_shortage> shortages; ///< Pools with VMs in a removed zone.
};

/// VMs of each pool for the demand of the fleet. Rows are added and removed one by one, so that a
/// changed row costs the same in a fleet of any size.
class demand_counts {
  public:
    void add(const vm_record& row, const fleet_configuration& fleet) { count(row, fleet, 1); }
    void remove(const vm_record& row, const fleet_configuration& fleet) { count(row, fleet, -1); }
    void clear() { counts_.clear(); }

    /// The demand of every configured pool by the rows counted and the VMs without a row.
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

/// One pool at the moment its next steps are planned.
struct pool_situation {
    pool_id pool;
    std::span<const vm_entry* const> members;
    const fleet_configuration& fleet;
    const fleet_demand& demand;
    const pool_definition* definition = nullptr; ///< Null for a pool that is not configured.
    std::int64_t budget = 0;                     ///< Availability budget of the pool.
    table_version roll_out = 0;                  ///< Number of the last roll-out of the pool.
    bool steps_held = false; ///< A zone removal is in progress or the list is too old.
    bool giving_back = false;
};

/// The VM `vm` is to be drained for `step`.
struct pool_step {
    vm_id vm;
    vm_step step = vm_step::none;
    pool_id target; ///< Empty for maintenance, and for a move that the row already orders.
};

/// The steps to begin now. Lending to pools that lost a zone is part of the operator's order and
/// not bound by the budget; all others together never exceed what the budget leaves.
std::vector<pool_step> planned_steps(const pool_situation& situation);

} // namespace citronford
