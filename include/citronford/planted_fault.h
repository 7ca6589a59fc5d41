#pragma once

#include <string_view>

namespace citronford {

#ifdef CITRONFORD_PLANTED_FAULTS
/// Selects the fault that the proof binary plants; empty plants none.
void plant_fault(std::string_view name);

/// Whether the fault `name` is planted. Always false outside the proof binary.
bool fault_planted(std::string_view name);
#else
constexpr bool fault_planted(std::string_view /*name*/) {
    return false;
}
#endif

} // namespace citronford
