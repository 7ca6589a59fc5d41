#include "citronford/maintenance_planner.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace citronford {
namespace {

/// VMs under way and due in one failure domain; the domain with the larger weight goes first.
struct domain_weight {
    std::size_t under_way = 0;
    std::size_t due = 0;

    friend auto operator<=>(const domain_weight&,
                            const domain_weight&) = default; // NOLINT(modernize-use-nullptr)
};

template <class Domain>
std::map<Domain, domain_weight> weights_of(std::span<const placed_vm> due,
                                           std::span<const placed_vm> under_way,
                                           Domain placed_vm::*domain) {
    std::map<Domain, domain_weight> weights;
    for (const placed_vm& vm : due) {
        ++weights[vm.*domain].due;
    }
    for (const placed_vm& vm : under_way) {
        ++weights[vm.*domain].under_way;
    }
    return weights;
}

} // namespace

std::vector<vm_id> next_wave(std::span<const placed_vm> due, std::span<const placed_vm> under_way,
                             std::size_t count) {
    const auto zones = weights_of(due, under_way, &placed_vm::zone);
    const auto racks = weights_of(due, under_way, &placed_vm::rack);
    std::vector<const placed_vm*> order;
    for (const placed_vm& vm : due) {
        order.push_back(&vm);
    }
    std::ranges::sort(order, [&](const placed_vm* left, const placed_vm* right) {
        const auto rank = [&](const placed_vm* vm) {
            return std::tuple(zones.at(vm->zone), racks.at(vm->rack));
        };
        const auto left_rank = rank(left);
        const auto right_rank = rank(right);
        if (left_rank != right_rank) {
            return left_rank > right_rank;
        }
        return std::tie(left->zone, left->rack, left->id) <
               std::tie(right->zone, right->rack, right->id);
    });
    std::vector<vm_id> wave;
    for (const placed_vm* vm : order) {
        if (wave.size() == count) {
            break;
        }
        wave.push_back(vm->id);
    }
    return wave;
}

} // namespace citronford
