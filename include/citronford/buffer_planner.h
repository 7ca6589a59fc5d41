#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace citronford {

/// Demand of one queue in VMs, sampled at equal intervals. All queues of a plan have the same
/// number of samples.
struct queue_demand {
    std::span<const double> samples;
};

/// Placement of the VMs that share a buffer; they are assumed to be spread evenly over zones and
/// racks.
struct vm_placement {
    std::int64_t zones = 3;
    std::int64_t rack_size = 4;
};

struct buffer_options {
    double quantile = 0.9999; ///< Quantile of the total demand that the buffer covers.
    double margin = 0.03;     ///< Added share of that demand, for bursts above all samples.
};

struct buffer_plan {
    std::int64_t burst = 0;        ///< VMs needed for the covered demand.
    std::int64_t largest_loss = 0; ///< VMs lost with the largest single zone or rack.
    std::int64_t total = 0; ///< VMs that still cover the burst after the largest single loss.
};

/// Number of VMs lost with the largest single zone or rack if `total` VMs are placed evenly. For a
/// pool in a single zone, only the loss of a rack is considered.
std::int64_t largest_single_loss(std::int64_t total, const vm_placement& placement);

/// The smallest number of VMs of which `needed` remain after the largest single loss.
std::int64_t vms_surviving_loss(std::int64_t needed, const vm_placement& placement);

/// Plans one buffer shared by all queues. The burst is a quantile of the summed demand: queues that
/// peak at different times share the buffer, and queues that peak at the same time each add to it.
buffer_plan planned_buffer(std::span<const queue_demand> queues, const vm_placement& placement,
                           const buffer_options& options);

} // namespace citronford
