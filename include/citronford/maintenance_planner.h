#pragma once

#include "citronford/identifier.h"

#include <cstddef>
#include <span>
#include <vector>

namespace citronford {

/// A VM of a pool with its failure domains.
struct placed_vm {
    vm_id id;
    zone_id zone;
    rack_id rack;
};

/// Selects at most `count` of the `due` VMs to maintain next. VMs in the zones and racks of the VMs
/// already `in_progress` come first, then those of the zones and racks with most due VMs. If such a
/// failure domain is lost during the wave, few VMs beyond those of the wave become unavailable.
std::vector<vm_id> next_wave(std::span<const placed_vm> due, std::span<const placed_vm> in_progress,
                             std::size_t count);

} // namespace citronford
