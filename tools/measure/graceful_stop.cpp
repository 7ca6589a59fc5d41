// Requests lost in 200 planned stops behind a load balancer that lags by up to 5 s, against a stop
// that closes the listening socket at once.
#include "measure/measure.h"
#include "measure/stop_scenario.h"

namespace citronford {
namespace {

constexpr std::uint64_t runs = 200;

double lost_requests(const chart& life_cycle, duration delay) {
    std::uint64_t lost = 0;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        const stop_outcome outcome =
            stop_scenario(seed, life_cycle, {delay, milliseconds(30000)}).run();
        lost += outcome.cut_off + outcome.refused;
    }
    return static_cast<double>(lost);
}

std::vector<measurement> run() {
    const auto life_cycle = chart::load(std::string(CITRONFORD_CHARTS) + "/drain.scxml");
    return {{"planned_stop_lost_requests", lost_requests(*life_cycle, milliseconds(5000)),
             lost_requests(*life_cycle, duration::zero()), 0}};
}

const measure_registration graceful_stop("graceful_stop", run);

} // namespace
} // namespace citronford
