// Promise graceful-stop: a planned stop cuts off no request. Each request that a lagging load
// balancer still sends must be accepted and answered before the process leaves, as long as the work
// ends within the drain timeout.
#include "proofs/proof.h"

#include "measure/stop_scenario.h"

namespace citronford {
namespace {

proof_result run(std::uint64_t seed) {
    const auto life_cycle = chart::load(std::string(CITRONFORD_CHARTS) + "/drain.scxml");
    stop_scenario scenario(seed, *life_cycle, {milliseconds(5000), milliseconds(30000)});
    const stop_outcome outcome = scenario.run();
    proof_result result{outcome.steps, outcome.cut_off + outcome.refused, {}};
    if (!outcome.left) {
        ++result.violations;
        result.detail = "the node did not leave";
    } else if (result.violations > 0) {
        result.detail = std::to_string(outcome.cut_off) + " requests cut off, " +
                        std::to_string(outcome.refused) + " refused while the balancer sent them";
    }
    return result;
}

const proof_registration graceful_stop("graceful-stop", run);

} // namespace
} // namespace citronford
