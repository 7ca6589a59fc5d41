#include "citronford/vm_record.h"

#include <array>

namespace citronford {
namespace {

constexpr std::array<std::string_view, 6> step_names = {"none",      "maintain", "move",
                                                        "rebalance", "lend",     "give_back"};

} // namespace

std::string_view name_of(vm_step step) {
    return step_names[static_cast<std::size_t>(step)];
}

vm_step vm_step_of(std::string_view name) {
    for (std::size_t index = 0; index < step_names.size(); ++index) {
        if (step_names[index] == name) {
            return static_cast<vm_step>(index);
        }
    }
    return vm_step::none;
}

} // namespace citronford
