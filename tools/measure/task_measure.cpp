// Shares, urgent starts, failing workers and zone removals of the task scheduler, in virtual time.
#include "measure/measure.h"
#include "measure/task_scenario.h"
#include "standins/scheduler_load.h"

#include <functional>
#include <numeric>

namespace citronford {
namespace {

constexpr std::uint64_t scenario_seed = 20261204;

scheduler_options first_come_first_served() {
    scheduler_options options;
    options.fair_share = false;
    return options;
}

/// The largest relative distance of any team from its share in any of five minutes.
double worst_share_error(const scheduler_options& options) {
    constexpr int warm_up = 180;
    constexpr int minute = 60;
    task_scenario scenario(scenario_seed, options);
    scenario.run(warm_up);
    const double all_shares =
        std::accumulate(task_scenario::shares.begin(), task_scenario::shares.end(), 0.0);
    double worst = 0;
    for (int window = 0; window < 5; ++window) {
        const auto before = scenario.consumed();
        scenario.run(minute);
        auto used = scenario.consumed();
        std::ranges::transform(used, before, used.begin(), std::minus());
        const double total = std::accumulate(used.begin(), used.end(), 0.0);
        for (std::size_t team = 0; team < used.size(); ++team) {
            const double entitled = total * task_scenario::shares[team] / all_shares;
            worst = std::max(worst, std::abs(used[team] - entitled) / entitled);
        }
    }
    return worst;
}

std::vector<measurement> measure_shares() {
    return {{"task_share_error", worst_share_error({}),
             worst_share_error(first_come_first_served()), 0.05}};
}

/// The 99.9th percentile of the wait of urgent jobs under full load, in milliseconds.
double urgent_wait_ms(const scheduler_options& options) {
    constexpr int warm_up = 60;
    constexpr int measured = 600;
    constexpr unsigned urgent_a_second = 4;
    constexpr double percentile = 0.999;
    task_scenario scenario(scenario_seed, options);
    scenario.run(warm_up);
    scenario.run(measured, urgent_a_second);
    const std::vector<duration> waits = scenario.all_urgent_waits();
    const auto rank =
        static_cast<std::size_t>(std::ceil(percentile * static_cast<double>(waits.size())));
    return static_cast<double>(waits[std::max<std::size_t>(rank, 1) - 1].count()) / 1000;
}

std::vector<measurement> measure_urgent_starts() {
    scheduler_options without;
    without.allow_eviction = false;
    without.restricted_worker_interval = 0;
    return {{"task_urgent_start_ms", urgent_wait_ms({}), urgent_wait_ms(without), 1000}};
}

/// The fraction of starts that went to one worker that fails everything.
double wasted_starts(const scheduler_options& options) {
    constexpr int measured = 600;
    task_scenario scenario(scenario_seed, options);
    scenario.model.workers[7].fails_all = true;
    scenario.run(measured);
    return static_cast<double>(scenario.started_in_vain) / static_cast<double>(scenario.started);
}

std::vector<measurement> measure_failing_worker() {
    scheduler_options without;
    without.health.min_failures = 1e18;
    return {{"task_failing_worker_starts", wasted_starts({}), wasted_starts(without), 0.02}};
}

/// Work done while a zone leaves for two minutes and returns, over what the workers in service
/// could do. Work in the zone that is out does not count.
double zone_work(const scheduler_options& options) {
    constexpr int warm_up = 60;
    constexpr int phase = 120;
    constexpr double capacity_of_zone = 17 * 64;
    const zone_id zone("a");
    task_scenario scenario(scenario_seed, options);
    const auto everywhere = [](const zone_id&) { return true; };
    const auto elsewhere = [&](const zone_id& candidate) { return candidate != zone; };
    scenario.run(warm_up);
    double work = -scenario.consumed_where(everywhere);
    scenario.run(phase);
    work += scenario.consumed_where(everywhere) - scenario.consumed_where(elsewhere);
    const auto change = [&](bool out) {
        scenario.model.fleet.removals.clear();
        if (out) {
            scenario.model.fleet.removals.push_back({zone, "measurement"});
        }
        ++scenario.model.fleet.version;
    };
    change(true);
    scenario.run(phase);
    work += scenario.consumed_where(elsewhere) - scenario.consumed_where(everywhere);
    change(false);
    scenario.run(phase);
    work += scenario.consumed_where(everywhere);
    return work / (phase * capacity_of_zone * (3 + 2 + 3));
}

std::vector<measurement> measure_zone_work() {
    return {{"task_zone_work", zone_work({}), zone_work(first_come_first_served()), 0.95,
             measurement::direction::at_least}};
}

/// Workers and jobs examined for each start.
double operations_per_start(std::size_t workers) {
    constexpr int ticks = 250;
    scheduler_load load(charts_in(CITRONFORD_CHARTS), workers);
    for (int tick = 0; tick < ticks; ++tick) {
        load.advance();
    }
    return static_cast<double>(load.operations()) / static_cast<double>(load.starts());
}

std::vector<measurement> measure_slope() {
    constexpr std::size_t small = 340;
    constexpr std::size_t large = 3400;
    const double ratio = operations_per_start(large) / operations_per_start(small);
    // A scheduler that examines every worker for every start.
    constexpr double linear = 10;
    return {{"scheduler_slope", ratio, linear, 12}};
}

// NOLINTBEGIN(bugprone-throwing-static-initialization)
const measure_registration shares("task_shares", measure_shares);
const measure_registration urgent("task_urgent_start", measure_urgent_starts);
const measure_registration failing("task_failing_worker", measure_failing_worker);
const measure_registration slope("scheduler_slope", measure_slope);
const measure_registration zone("task_zone_work", measure_zone_work);
// NOLINTEND(bugprone-throwing-static-initialization)

} // namespace
} // namespace citronford
