#include "citronford/maintenance_planner.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string_view>
#include <tuple>

namespace citronford {
namespace {

/// Number of VMs in progress and due in one failure domain; the domain with the larger weight comes
/// first.
struct domain_weight {
    std::size_t in_progress = 0;
    std::size_t due = 0;

    friend auto operator<=>(const domain_weight&,
                            const domain_weight&) = default; // NOLINT(modernize-use-nullptr)
};

/// A due VM with the weights of its failure domains.
struct ranked_vm {
    const placed_vm* vm = nullptr;
    domain_weight zone;
    domain_weight rack;
};

template <class Domain>
std::map<std::string_view, domain_weight> weights_of(std::span<const placed_vm> due,
                                                     std::span<const placed_vm> in_progress,
                                                     Domain placed_vm::*domain) {
    std::map<std::string_view, domain_weight> weights;
    for (const placed_vm& vm : due) {
        ++weights[(vm.*domain).view()].due;
    }
    for (const placed_vm& vm : in_progress) {
        ++weights[(vm.*domain).view()].in_progress;
    }
    return weights;
}

bool precedes(const ranked_vm& left, const ranked_vm& right) {
    if (left.zone != right.zone) {
        return left.zone > right.zone;
    }
    if (left.rack != right.rack) {
        return left.rack > right.rack;
    }
    return std::tie(left.vm->zone, left.vm->rack, left.vm->id) <
           std::tie(right.vm->zone, right.vm->rack, right.vm->id);
}

} // namespace

std::vector<vm_id> next_wave(std::span<const placed_vm> due, std::span<const placed_vm> in_progress,
                             std::size_t count) {
    if (due.empty() || count == 0) {
        return {};
    }
    const auto zones = weights_of(due, in_progress, &placed_vm::zone);
    const auto racks = weights_of(due, in_progress, &placed_vm::rack);
    std::vector<ranked_vm> order;
    order.reserve(due.size());
    for (const placed_vm& vm : due) {
        order.push_back({&vm, zones.at(vm.zone.view()), racks.at(vm.rack.view())});
    }
    // A wave contains few of the due VMs, so sorting all of them would be wasted work.
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(count, order.size()));
    std::partial_sort(order.begin(), end, order.end(), precedes);
    std::vector<vm_id> wave;
    for (const ranked_vm& item : std::span(order.begin(), end)) {
        wave.push_back(item.vm->id);
    }
    return wave;
}

} // namespace citronford
