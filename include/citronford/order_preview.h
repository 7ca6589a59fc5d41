#pragma once

#include "citronford/availability_budget.h"
#include "citronford/pool_controller.h"

#include <cstdint>
#include <vector>

namespace citronford {

/// VMs of a pool in one zone, and what an order takes of them.
struct zone_preview {
    pool_id pool;
    zone_id zone;
    std::int64_t vms = 0;
    std::int64_t available = 0;
    std::int64_t drained = 0;    ///< VMs that the order takes out of service in all.
    std::int64_t left = 0;       ///< Planned steps that may begin here now.
    std::int64_t left_after = 0; ///< The same once the first steps of the order have begun.
};

struct pool_preview {
    pool_id pool;
    std::int64_t budget = 0;
    std::int64_t unavailable = 0;
    std::int64_t left = 0;
    std::int64_t left_after = 0;
    bool held = false; ///< No planned step begins while the pool has VMs in a removed zone.
};

/// What an operator's order does, by the rows and the list that one node knows.
struct order_preview {
    std::vector<vm_id> drained; ///< All VMs that leave service, one after another.
    std::vector<vm_id> first;   ///< Those that the budget lets begin now.
    std::vector<pool_preview> pools;
    std::vector<zone_preview> zones;
};

/// The effect of the move that `order` writes.
order_preview preview_of_move(const vm_table& vms, const fleet_configuration& fleet,
                              const vm_write& order);

/// The effect of a roll-out over `pool`.
order_preview preview_of_maintenance(const vm_table& vms, const fleet_configuration& fleet,
                                     const pool_id& pool);

} // namespace citronford
