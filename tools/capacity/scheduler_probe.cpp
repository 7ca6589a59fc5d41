// Cost of one tick of the task scheduler (20 ms) with all workers full, by the number of workers.
#include "capacity/slope.h"
#include "standins/scheduler_load.h"

#include <memory>

namespace citronford {
namespace {

cost_sample tick_cost(std::size_t workers) {
    constexpr std::size_t passes = 100;
    return sampled(
        workers, passes,
        [&] { return std::make_unique<scheduler_load>(charts_in(CITRONFORD_CHARTS), workers); },
        [](scheduler_load& load) { load.advance(); });
}

const capacity_registration
    tick({"scheduler_tick", "workers", "tick", {50, 100, 200, 400}, tick_cost});

} // namespace
} // namespace citronford
