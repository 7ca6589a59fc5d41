#pragma once

#include "citronford/availability_budget.h"
#include "citronford/pool_controller.h"

#include <cstdint>
#include <vector>

namespace citronford {

/// Effect of an order on the VMs of a pool in one zone.
struct zone_preview {
    pool_id pool;
    zone_id zone;
    std::int64_t vms = 0;
    std::int64_t available = 0;
    std::int64_t drained = 0;    ///< VMs that the order takes out of service in total.
    std::int64_t left = 0;       ///< Planned steps that may begin in this zone now.
    std::int64_t left_after = 0; ///< `left` after the first steps of the order have begun.
};

struct pool_preview {
    pool_id pool;
    std::int64_t budget = 0;
    std::int64_t unavailable = 0;
    std::int64_t left = 0;
    std::int64_t left_after = 0;
    bool held = false; ///< Planned steps are suspended: the pool has VMs in a removed zone.
};

/// Predicted effect of an operator's order, from the VM rows and the VM list known to one node.
struct order_preview {
    std::vector<vm_id> drained; ///< All VMs that the order takes out of service over time.
    std::vector<vm_id> first;   ///< The VMs whose drain the budget permits to begin now.
    std::vector<pool_preview> pools;
    std::vector<zone_preview> zones;
};

/// Previews the move ordered by the row `order`.
order_preview preview_of_move(const vm_table& vms, const fleet_configuration& fleet,
                              const vm_write& order);

/// Previews a maintenance roll-out over `pool`.
order_preview preview_of_maintenance(const vm_table& vms, const fleet_configuration& fleet,
                                     const pool_id& pool);

} // namespace citronford
