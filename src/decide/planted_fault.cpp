#include "citronford/planted_fault.h"

#ifdef CITRONFORD_PLANTED_FAULTS

#include <string>

namespace citronford {
namespace {

std::string& current_fault() {
    static std::string name;
    return name;
}

} // namespace

void plant_fault(std::string_view name) {
    current_fault() = name;
}

bool fault_planted(std::string_view name) {
    return current_fault() == name;
}

} // namespace citronford

#endif
