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

/// At most `count` of the `due` VMs to maintain next. VMs of one zone and rack go together, and
/// the zone and rack of the VMs `under_way` go first, so that a loss of that failure domain takes
/// little more than the wave has taken.
std::vector<vm_id> next_wave(std::span<const placed_vm> due, std::span<const placed_vm> under_way,
                             std::size_t count);

} // namespace citronford
