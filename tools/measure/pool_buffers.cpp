// Buffer VM-hours over a day against the fewest that, known in advance, survive the largest single
// loss in each hour. Queues burst in turn to about five times their mean and drop to a twentieth in
// between. Each hour is planned from the same hour of five earlier days. Baseline: each pool holds
// its own burst and a fixed 30% more.
#include "citronford/buffer_planner.h"
#include "measure/measure.h"
#include "measure/pool_firms.h"

#include <cmath>
#include <numbers>
#include <numeric>
#include <random>

namespace citronford {
namespace {

constexpr int queues = 5;
constexpr int samples_an_hour = 3600;
constexpr int earlier_days = 5;
constexpr int burst_seconds = 20;

/// One hour of all queues, in VMs at each second.
using hour_trace = std::vector<std::vector<double>>;

hour_trace trace_of(const pool_firm& firm, int hour, std::mt19937_64& random) {
    std::uniform_real_distribution<double> variation(0.9, 1.1);
    const double of_day = 0.7 + 0.3 * std::sin(hour * std::numbers::pi / 12);
    hour_trace trace(queues, std::vector<double>(samples_an_hour));
    for (int begin = 0; begin < samples_an_hour; begin += burst_seconds) {
        const int bursting = begin / burst_seconds % queues;
        for (int queue = 0; queue < queues; ++queue) {
            const double mean = firm.services[queue].second / 5.0 * of_day;
            const double level = mean * variation(random) * (queue == bursting ? 5 : 0.05);
            std::fill_n(trace[queue].begin() + begin, burst_seconds, level);
        }
    }
    return trace;
}

double largest_sum(const hour_trace& trace) {
    double largest = 0;
    for (int second = 0; second < samples_an_hour; ++second) {
        double sum = 0;
        for (const auto& queue : trace) {
            sum += queue[second];
        }
        largest = std::max(largest, sum);
    }
    return largest;
}

double mean_sum(const hour_trace& trace) {
    double sum = 0;
    for (const auto& queue : trace) {
        sum += std::accumulate(queue.begin(), queue.end(), 0.0);
    }
    return sum / samples_an_hour;
}

/// VMs of the baseline: each pool for itself.
double fixed_share(const hour_trace& history) {
    double vms = 0;
    for (const auto& queue : history) {
        vms += std::ceil(*std::ranges::max_element(queue) * 1.3);
    }
    return vms;
}

std::vector<measurement> run() {
    std::vector<measurement> figures;
    constexpr double bound = 1.15;
    const vm_placement placement;
    for (const pool_firm& firm : pool_firms()) {
        std::mt19937_64 random(1);
        double planned = 0;
        double fewest = 0;
        double baseline = 0;
        double short_hours = 0;
        for (int hour = 0; hour < 24; ++hour) {
            hour_trace history(queues);
            for (int day = 0; day < earlier_days; ++day) {
                const hour_trace earlier = trace_of(firm, hour, random);
                for (int queue = 0; queue < queues; ++queue) {
                    history[queue].insert(history[queue].end(), earlier[queue].begin(),
                                          earlier[queue].end());
                }
            }
            std::vector<queue_demand> demand;
            for (const auto& queue : history) {
                demand.push_back({queue});
            }
            const buffer_plan plan = planned_buffer(demand, placement, {});
            const hour_trace today = trace_of(firm, hour, random);
            const auto needed = static_cast<std::int64_t>(std::ceil(largest_sum(today)));
            const double mean = mean_sum(today);
            planned += static_cast<double>(plan.total) - mean;
            fewest += static_cast<double>(vms_surviving_loss(needed, placement)) - mean;
            baseline += fixed_share(history) - mean;
            short_hours += plan.total - plan.largest_loss < needed ? 1 : 0;
        }
        figures.push_back(
            {firm.name + "_buffer_vm_hours_ratio", planned / fewest, baseline / fewest, bound});
        figures.push_back({firm.name + "_buffer_short_hours", short_hours, 0, 0});
    }
    return figures;
}

const measure_registration buffers("pool_buffers", run);

} // namespace
} // namespace citronford
