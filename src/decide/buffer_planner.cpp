#include "citronford/buffer_planner.h"

#include <algorithm>
#include <cmath>

namespace citronford {
namespace {

std::vector<double> sum_of_queues(std::span<const queue_demand> queues) {
    std::vector<double> sum;
    for (const queue_demand& queue : queues) {
        sum.resize(std::max(sum.size(), queue.samples.size()), 0);
        for (std::size_t index = 0; index < queue.samples.size(); ++index) {
            sum[index] += queue.samples[index];
        }
    }
    return sum;
}

/// The smallest sample that is not exceeded by a share of at least `quantile` of all samples; 0 if
/// there are no samples.
double quantile_of(std::vector<double> samples, double quantile) {
    if (samples.empty()) {
        return 0;
    }
    const double position = quantile * static_cast<double>(samples.size());
    const auto rank = std::clamp<std::int64_t>(static_cast<std::int64_t>(std::ceil(position)) - 1,
                                               0, std::ssize(samples) - 1);
    const auto at = samples.begin() + rank;
    std::ranges::nth_element(samples, at);
    return *at;
}

} // namespace

std::int64_t largest_single_loss(std::int64_t total, const vm_placement& placement) {
    // No buffer survives the loss of the only zone, so that loss is not planned for.
    const std::int64_t zone =
        placement.zones < 2 ? 0 : (total + placement.zones - 1) / placement.zones;
    return std::min(total, std::max(zone, std::min(placement.rack_size, total)));
}

std::int64_t vms_surviving_loss(std::int64_t needed, const vm_placement& placement) {
    std::int64_t total = needed;
    while (total - largest_single_loss(total, placement) < needed) {
        ++total;
    }
    return total;
}

buffer_plan planned_buffer(std::span<const queue_demand> queues, const vm_placement& placement,
                           const buffer_options& options) {
    buffer_plan plan;
    const double burst =
        quantile_of(sum_of_queues(queues), options.quantile) * (1 + options.margin);
    plan.burst = static_cast<std::int64_t>(std::ceil(burst));
    plan.total = vms_surviving_loss(plan.burst, placement);
    plan.largest_loss = largest_single_loss(plan.total, placement);
    return plan;
}

} // namespace citronford
