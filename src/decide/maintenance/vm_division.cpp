#include "citronford/vm_division.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace citronford {
namespace {

/// The need as a number of VMs from 0 to `available`.
std::int64_t whole_vms(double need, std::int64_t available) {
    // The comparison is also false for what is not a number.
    if (!(need > 0)) {
        return 0;
    }
    return need >= static_cast<double>(available) ? available
                                                  : static_cast<std::int64_t>(std::ceil(need));
}

std::size_t index_of(need_tier tier) {
    return static_cast<std::size_t>(tier);
}

/// The needs of all pools in one tier.
std::vector<std::int64_t> tier_needs(std::span<const vm_claim> claims, std::size_t tier,
                                     std::int64_t fleet) {
    std::vector<std::int64_t> needs;
    for (const vm_claim& claim : claims) {
        needs.push_back(whole_vms(claim.needs[tier], fleet));
    }
    return needs;
}

std::int64_t sum_of(std::span<const std::int64_t> needs) {
    return std::accumulate(needs.begin(), needs.end(), std::int64_t{0});
}

/// VMs that urgent work leaves to work of lower priorities that is on time: as many as that needs,
/// but at most a third of `left`. Without it, a long urgent burst would starve the lower
/// priorities.
std::int64_t guaranteed_vms(std::span<const vm_claim> claims, std::int64_t fleet,
                            std::int64_t left) {
    constexpr std::int64_t guaranteed_part = 3;
    const std::int64_t needed = sum_of(tier_needs(claims, index_of(need_tier::on_time), fleet));
    return std::min(needed, left / guaranteed_part);
}

/// A pool in a tier that cannot be served in full.
struct scarce_part {
    std::size_t index = 0; ///< Of the claim.
    std::int64_t vms = 0;  ///< Part, rounded down.
    double remainder = 0;  ///< What the rounding took.
};

/// Divides `left` VMs in proportion to `needs`, which sum up to `total`, more than `left`.
void divide_scarce(std::span<const vm_claim> claims, std::span<const std::int64_t> needs,
                   std::int64_t total, std::int64_t left, std::size_t tier,
                   std::vector<vm_part>& parts) {
    std::vector<scarce_part> scarce;
    std::int64_t rest = left;
    for (std::size_t index = 0; index < claims.size(); ++index) {
        const double exact = static_cast<double>(left) * static_cast<double>(needs[index]) /
                             static_cast<double>(total);
        const auto vms = static_cast<std::int64_t>(std::floor(exact));
        scarce.push_back({index, vms, exact - static_cast<double>(vms)});
        rest -= vms;
    }
    std::ranges::sort(scarce, {}, [&](const scarce_part& item) {
        const vm_claim& claim = claims[item.index];
        return std::tuple(-item.remainder, -claim.present, claim.pool);
    });
    for (const scarce_part& item : scarce) {
        const bool more = rest > 0 && item.vms < needs[item.index];
        rest -= more ? 1 : 0;
        vm_part& part = parts[item.index];
        part.by_tier[tier] = item.vms + (more ? 1 : 0);
        part.vms += part.by_tier[tier];
    }
}

} // namespace

std::vector<vm_part> divide_vms(std::span<const vm_claim> claims, std::int64_t available) {
    std::vector<vm_part> parts;
    for (const vm_claim& claim : claims) {
        parts.push_back({claim.pool, 0, {}});
    }
    const std::int64_t fleet = std::max<std::int64_t>(available, 0);
    std::int64_t left = fleet;
    for (std::size_t tier = 0; tier < need_tier_count && left > 0; ++tier) {
        const std::vector<std::int64_t> needs = tier_needs(claims, tier, fleet);
        const std::int64_t total = sum_of(needs);
        std::int64_t budget = left;
        if (tier == index_of(need_tier::urgent)) {
            budget -= guaranteed_vms(claims, fleet, left);
        }
        if (total > budget) {
            divide_scarce(claims, needs, total, budget, tier, parts);
            left -= budget;
            continue;
        }
        for (std::size_t index = 0; index < claims.size(); ++index) {
            parts[index].by_tier[tier] = needs[index];
            parts[index].vms += needs[index];
        }
        left -= total;
    }
    return parts;
}

} // namespace citronford
