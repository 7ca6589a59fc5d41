// Cost of one decision of the task scheduler by the number of workers.
#include "standins/scheduler_load.h"

#include <benchmark/benchmark.h>

namespace {

using namespace citronford;

void place_tasks(benchmark::State& state) {
    scheduler_load load(charts_in(CITRONFORD_CHARTS), static_cast<std::size_t>(state.range(0)));
    for (const auto step : state) {
        load.advance();
    }
    const double starts = static_cast<double>(load.starts());
    state.counters["operations_per_start"] = static_cast<double>(load.operations()) / starts;
    state.counters["start_time"] =
        benchmark::Counter(starts, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

BENCHMARK(place_tasks)->Arg(340)->Arg(3400)->Iterations(500)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
