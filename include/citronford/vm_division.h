#pragma once

#include "citronford/identifier.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace citronford {

/// Tiers in which the VMs of the fleet are divided; the first is served first.
enum class need_tier : std::uint8_t {
    base,     ///< Hosts of long-running tasks, and the least number of servers of a pool.
    urgent,   ///< `work_tier::urgent`, with the work that is expected.
    on_time,  ///< `work_tier::on_time`, with the work that is expected.
    late,     ///< `work_tier::late`.
    leftover, ///< `work_tier::leftover`.
};
inline constexpr std::size_t need_tier_count = 5;

/// VMs that a pool needs in each tier, in addition to those of the tiers before it.
using vm_needs = std::array<double, need_tier_count>;

/// What one pool asks of the fleet.
struct vm_claim {
    pool_id pool;
    vm_needs needs{};         ///< Rounded up; negative and not a number count as zero.
    std::int64_t present = 0; ///< VMs that it has, with those on their way to it.
};

/// VMs that one pool should have.
struct vm_part {
    pool_id pool;
    std::int64_t vms = 0;
    std::array<std::int64_t, need_tier_count> by_tier{};
};

/// Divides `available` VMs between pools, tier by tier. Of what the base tier leaves, urgent work
/// leaves a third to lower priorities that are on time, as far as they need it. When a tier needs
/// more than what is left, each pool gets a part in proportion to its need in the tier; of equal
/// remainders, that of the pool that has more VMs goes first, then the one whose name comes first.
/// The result is in the order of `claims` and does not depend on it; names are unique. VMs that no
/// tier needs are in no part. A negative `available` counts as zero, and a need is at most
/// `available`.
std::vector<vm_part> divide_vms(std::span<const vm_claim> claims, std::int64_t available);

} // namespace citronford
