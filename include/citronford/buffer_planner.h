#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace citronford {

/// Demand of one queue in VMs, sampled at equal steps; all queues of a plan have the same length.
struct queue_demand {
    std::span<const double> samples;
};

/// How the VMs that share a buffer are placed: evenly over zones and racks.
struct vm_placement {
    std::int64_t zones = 3;
    std::int64_t rack_size = 4;
};

struct buffer_options {
    double quantile = 0.9999; ///< Of the burst that the buffer covers.
    double margin = 0.03;     ///< Of that burst, for bursts larger than any in the samples.
};

struct buffer_plan {
    std::int64_t burst = 0;        ///< VMs that the burst needs.
    std::int64_t largest_loss = 0; ///< VMs of the largest single zone or rack.
    std::int64_t total = 0;        ///< VMs that cover the burst after the largest single loss.
};

/// VMs lost with the largest single zone or rack when `total` VMs are placed evenly. In one zone
/// only racks count.
std::int64_t largest_single_loss(std::int64_t total, const vm_placement& placement);

/// The fewest VMs of which `needed` remain after the largest single loss.
std::int64_t vms_surviving_loss(std::int64_t needed, const vm_placement& placement);

/// The VMs that the queues need together. The buffer is pooled: the burst is the quantile of the
/// sum at each instant, so that queues that do not peak together share it, and queues that do
/// peak together each add to it.
buffer_plan planned_buffer(std::span<const queue_demand> queues, const vm_placement& placement,
                           const buffer_options& options);

} // namespace citronford
