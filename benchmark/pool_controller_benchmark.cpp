// Cost of one round of decisions over all pools of a fleet, with a roll-out in progress.
#include "measure/pool_round.h"

#include <benchmark/benchmark.h>

namespace {

using namespace citronford;

/// The two sizes of docs/design.md, section 1.5: a tenth of the planned fleet, and the whole.
void decide_round(benchmark::State& state) {
    pool_round fleet(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
    for (auto step : state) {
        fleet.advance();
    }
    state.counters["rows_per_round"] = benchmark::Counter(static_cast<double>(fleet.operations()),
                                                          benchmark::Counter::kAvgIterations);
}

/// A round in which nothing changes: what every node pays at each poll.
void idle_round(benchmark::State& state) {
    pool_round fleet(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)), true);
    const std::uint64_t before = fleet.operations();
    for (auto step : state) {
        fleet.advance();
    }
    state.counters["rows_per_round"] = benchmark::Counter(
        static_cast<double>(fleet.operations() - before), benchmark::Counter::kAvgIterations);
}

BENCHMARK(idle_round)->Args({340, 18})->Args({3400, 179})->Unit(benchmark::kMicrosecond);
BENCHMARK(decide_round)->Args({340, 18})->Args({3400, 179})->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
