#pragma once

#include "citronford/identifier.h"
#include "citronford/maintenance_planner.h"

#include <cstdint>
#include <span>
#include <vector>

namespace citronford {

/// What a pool wants and has; VMs that are lent count where they came from, VMs that are moving
/// where they go.
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

/// The fewest moves that bring every pool to what it wants, or as near as the surplus allows. The
/// plan depends only on the demands, and carrying out a part of it leaves the rest unchanged, so
/// that controllers of different pools agree without talking to each other.
std::vector<pool_transfer> planned_transfers(std::span<const pool_demand> demands);

/// At most `count` of the `candidates` of one pool to move to another: first from the zone in
/// which the pool has most VMs, so that what remains is spread evenly.
std::vector<vm_id> transferred_vms(std::span<const placed_vm> members,
                                   std::span<const placed_vm> candidates, std::size_t count);

} // namespace citronford
