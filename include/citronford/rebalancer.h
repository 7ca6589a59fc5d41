#pragma once

#include "citronford/identifier.h"
#include "citronford/maintenance_planner.h"

#include <cstdint>
#include <span>
#include <vector>

namespace citronford {

/// Wanted and actual size of a pool. A lent VM counts for the pool that lent it, a moving VM for
/// its target pool.
struct pool_demand {
    pool_id pool;
    std::int64_t wanted = 0;
    std::int64_t members = 0;
};

struct pool_transfer {
    pool_id from;
    pool_id to;
    std::int64_t count = 0;
};

/// The smallest number of moves that brings every pool to its wanted size, or as close as the
/// surplus of the other pools allows. The plan depends only on the demands, and carrying out a part
/// of it leaves the rest unchanged, so that controllers of different pools reach the same plan
/// without communication.
std::vector<pool_transfer> planned_transfers(std::span<const pool_demand> demands);

/// Selects at most `count` of the `candidates` of one pool for a transfer. Each VM is taken from
/// the zone in which the pool then has most members, so that the remaining VMs are spread evenly.
std::vector<vm_id> vms_to_transfer(std::span<const placed_vm> members,
                                   std::span<const placed_vm> candidates, std::size_t count);

} // namespace citronford
