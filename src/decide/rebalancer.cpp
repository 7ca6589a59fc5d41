#include "citronford/rebalancer.h"

#include <algorithm>
#include <map>

namespace citronford {

std::vector<pool_transfer> planned_transfers(std::span<const pool_demand> demands) {
    std::vector<pool_demand> sorted(demands.begin(), demands.end());
    std::ranges::sort(sorted, {}, &pool_demand::pool);
    std::vector<pool_transfer> transfers;
    auto giver = sorted.begin();
    for (pool_demand& taker : sorted) {
        while (taker.members < taker.wanted) {
            giver = std::find_if(giver, sorted.end(), [](const pool_demand& demand) {
                return demand.members > demand.wanted;
            });
            if (giver == sorted.end()) {
                return transfers;
            }
            const std::int64_t count =
                std::min(taker.wanted - taker.members, giver->members - giver->wanted);
            transfers.push_back({giver->pool, taker.pool, count});
            taker.members += count;
            giver->members -= count;
        }
    }
    return transfers;
}

std::vector<vm_id> transferred_vms(std::span<const placed_vm> members,
                                   std::span<const placed_vm> candidates, std::size_t count) {
    std::map<zone_id, std::size_t> in_zone;
    for (const placed_vm& vm : members) {
        ++in_zone[vm.zone];
    }
    std::vector<const placed_vm*> open;
    for (const placed_vm& vm : candidates) {
        open.push_back(&vm);
    }
    std::vector<vm_id> chosen;
    while (chosen.size() < count && !open.empty()) {
        const auto next =
            std::ranges::max_element(open, [&](const placed_vm* left, const placed_vm* right) {
                const std::size_t left_size = in_zone[left->zone];
                const std::size_t right_size = in_zone[right->zone];
                return left_size != right_size ? left_size < right_size : right->id < left->id;
            });
        --in_zone[(*next)->zone];
        chosen.push_back((*next)->id);
        open.erase(next);
    }
    return chosen;
}

} // namespace citronford
