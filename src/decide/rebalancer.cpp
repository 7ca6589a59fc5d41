#include "citronford/rebalancer.h"

#include <algorithm>
#include <map>

namespace citronford {

std::vector<pool_transfer> planned_transfers(std::span<const pool_demand> demands) {
    std::vector<pool_demand> sorted(demands.begin(), demands.end());
    std::ranges::sort(sorted, {}, &pool_demand::pool);
    std::vector<pool_transfer> transfers;
    auto donor = sorted.begin();
    for (pool_demand& recipient : sorted) {
        while (recipient.members < recipient.wanted) {
            donor = std::find_if(donor, sorted.end(), [](const pool_demand& demand) {
                return demand.members > demand.wanted;
            });
            if (donor == sorted.end()) {
                return transfers;
            }
            const std::int64_t count =
                std::min(recipient.wanted - recipient.members, donor->members - donor->wanted);
            transfers.push_back({donor->pool, recipient.pool, count});
            recipient.members += count;
            donor->members -= count;
        }
    }
    return transfers;
}

std::vector<vm_id> vms_to_transfer(std::span<const placed_vm> members,
                                   std::span<const placed_vm> candidates, std::size_t count) {
    std::map<zone_id, std::size_t> in_zone;
    for (const placed_vm& vm : members) {
        ++in_zone[vm.zone];
    }
    std::vector<const placed_vm*> unselected;
    for (const placed_vm& vm : candidates) {
        unselected.push_back(&vm);
    }
    std::vector<vm_id> chosen;
    while (chosen.size() < count && !unselected.empty()) {
        const auto next = std::ranges::max_element(
            unselected, [&](const placed_vm* left, const placed_vm* right) {
                const std::size_t left_size = in_zone[left->zone];
                const std::size_t right_size = in_zone[right->zone];
                return left_size != right_size ? left_size < right_size : right->id < left->id;
            });
        --in_zone[(*next)->zone];
        chosen.push_back((*next)->id);
        unselected.erase(next);
    }
    return chosen;
}

} // namespace citronford
