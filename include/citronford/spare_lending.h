#pragma once

#include "citronford/rebalancer.h"

#include <cstdint>
#include <span>
#include <vector>

namespace citronford {

/// A pool that has VMs in a removed zone and may borrow replacements.
struct pool_shortage {
    pool_id pool;
    std::int64_t wanted = 0;
    std::int64_t remaining = 0; ///< Members outside removed zones, including VMs moving to it.
};

/// Distributes `lendable` VMs of the pool `spare` over the pools with a shortage. Each VM goes to
/// the pool with the lowest ratio of remaining to wanted VMs at that point; no pool gets more than
/// it wants.
std::vector<pool_transfer> planned_loans(const pool_id& spare, std::int64_t lendable,
                                         std::span<const pool_shortage> shortages);

} // namespace citronford
