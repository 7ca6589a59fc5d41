#pragma once

#include "citronford/rebalancer.h"

#include <cstdint>
#include <span>
#include <vector>

namespace citronford {

/// A pool that lost VMs to a removed zone and may borrow.
struct pool_shortage {
    pool_id pool;
    std::int64_t wanted = 0;
    std::int64_t remaining = 0; ///< Members outside of removed zones, with those on their way.
};

/// How many of `lendable` VMs of the pool `spare` go to each pool. One VM at a time goes to the
/// pool with the lowest ratio of remaining to wanted, and none beyond what is wanted.
std::vector<pool_transfer> planned_loans(const pool_id& spare, std::int64_t lendable,
                                         std::span<const pool_shortage> shortages);

} // namespace citronford
