// Cost of one round of the pool controller (500 ms) with a roll-out in progress, by the number of
// VMs, in pools of 19 VMs.
#include "capacity/slope.h"
#include "measure/pool_round.h"

#include <memory>

namespace citronford {
namespace {

cost_sample round_cost(std::size_t vms) {
    constexpr std::size_t passes = 50;
    constexpr std::size_t vms_in_pool = 19;
    return sampled(
        vms, passes,
        [&] {
            return std::make_unique<pool_round>(static_cast<int>(vms),
                                                static_cast<int>(vms / vms_in_pool));
        },
        [](pool_round& round) { round.advance(); });
}

const capacity_registration
    round_probe({"pool_round", "vms", "round", {190, 760, 3420}, round_cost});

} // namespace
} // namespace citronford
