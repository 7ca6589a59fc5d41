// Cost of one order of the waiting work of a pool by the number of waiting workflows.
#include "citronford/overload_order.h"

#include <benchmark/benchmark.h>

#include <random>
#include <string>

namespace {

using namespace citronford;

void order_work(benchmark::State& state) {
    const auto count = static_cast<std::size_t>(state.range(0));
    std::mt19937 random(20261206); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same work each time.
    std::uniform_int_distribution<int> waited_ms(0, 8000);
    std::uniform_real_distribution<double> core_s(8, 40);
    std::vector<std::string> names;
    for (std::size_t index = 0; index < count; ++index) {
        names.push_back("job-" + std::to_string(random()));
    }
    // A third each of on-time, late and expired work.
    std::vector<waiting_work> work;
    for (const std::string& name : names) {
        waiting_work item;
        item.job = name;
        item.core_s = core_s(random);
        item.cores = 24;
        item.critical_path = milliseconds(640);
        item.waited = milliseconds(waited_ms(random));
        item.slack = milliseconds(2700) - item.waited;
        item.useful_slack = item.slack + milliseconds(2700);
        item.priority = static_cast<int>(random() % 2);
        item.value = core_s(random) / 24;
        work.push_back(item);
    }
    const pool_room room{4800, 0, 1600, 100};
    for (const auto step : state) {
        benchmark::DoNotOptimize(order_waiting_work(work, room));
    }
    state.counters["time_per_workflow"] = benchmark::Counter(
        static_cast<double>(count),
        benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}

BENCHMARK(order_work)->Arg(1000)->Arg(20000)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
