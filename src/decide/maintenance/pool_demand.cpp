#include "citronford/pool_demand.h"

#include <algorithm>
#include <cmath>

namespace citronford {
namespace {

/// Window that shows the beginning and the end of a burst.
constexpr duration short_window = milliseconds(300);

/// Window for the rate of few arrivals, and time after which the rate of a burst is measured.
constexpr duration long_window = milliseconds(900);

/// Usual time from the acceptance of a workflow until the owner has read it, with two calls to the
/// store. Without it, the rate over a short window is a sixth too low.
constexpr duration read_delay = milliseconds(50);

/// Window for the mean before a burst.
constexpr duration base_window = milliseconds(2000);

/// The rate is measured over the shortest window with this many workflows: the rate of fewer
/// varies by more than a quarter by chance.
constexpr double enough_workflows = 16;

/// Workflows in the short window without which no burst begins.
constexpr double min_burst_workflows = 3;

/// A burst begins at this multiple of the mean before it, and at this part of the remembered rate.
constexpr double burst_growth = 4;
constexpr double burst_begin_part = 1.0 / 3;

/// A burst has ended when the rate is below this part of its highest rate.
constexpr double burst_end_part = 0.25;

/// Time in which the remembered rate halves.
constexpr double memory_half_life_s = 60;

/// Highest factor for a trend over two long windows.
constexpr double max_trend = 1.3;

/// Factor on the expected work: large tasks do not fill servers exactly, and memory can run out
/// before the cores do.
constexpr double headroom = 1.3;

/// Shares of the waiting tasks that new servers should be able to start at once; the rest start
/// when running tasks end. Work that is worth little to its caller takes fewer VMs for longer.
constexpr std::array<double, work_tier_count> waiting_shares = {0.6, 0.6, 0.6, 0.3};

/// Time for which the needs of work on time are kept after they have fallen.
constexpr duration hold_time = milliseconds(300);

/// Servers that a pool keeps without any work.
constexpr std::int64_t min_servers = 2;

/// Bound for odd figures, so that sums stay finite.
constexpr double max_server_cores = 1e6;

struct window_sum {
    double core_s = 0;
    double workflows = 0;
};

/// Arrivals of a class from `begin` until `end`; of an interval that is partly inside, a part.
window_sum sum_between(std::span<const accepted_work> accepted, std::size_t index, instant begin,
                       instant end) {
    window_sum sum;
    for (const accepted_work& item : accepted) {
        const instant from = std::max(begin, item.begin);
        const instant until = std::min(end, item.begin + accepted_work::interval);
        if (from < until) {
            const double part = std::chrono::duration<double>(until - from) /
                                std::chrono::duration<double>(accepted_work::interval);
            sum.core_s += part * item.classes[index].core_s;
            sum.workflows += part * item.classes[index].workflows;
        }
    }
    return sum;
}

double rate_between(std::span<const accepted_work> accepted, std::size_t index, instant begin,
                    instant end) {
    return sum_between(accepted, index, begin, end).core_s /
           std::chrono::duration<double>(end - begin).count();
}

/// The rate over the shortest window, from `short_window` to `long_window`, with enough workflows.
double present_rate(std::span<const accepted_work> accepted, std::size_t index, instant now) {
    const instant end = now - read_delay;
    duration window = short_window;
    constexpr duration step = milliseconds(100);
    window_sum sum = sum_between(accepted, index, end - window, end);
    while (sum.workflows < enough_workflows && window < long_window) {
        window += step;
        sum = sum_between(accepted, index, end - window, end);
    }
    return sum.core_s / std::chrono::duration<double>(window).count();
}

/// Factor for work that has grown over two long windows and still grows; one for falling rates and
/// for jumps, during and after them.
double trend(std::span<const accepted_work> accepted, std::size_t index, instant now) {
    const instant middle = now - long_window / 2;
    const window_sum earlier =
        sum_between(accepted, index, now - 2 * long_window, now - long_window);
    const window_sum first = sum_between(accepted, index, now - long_window, middle);
    const window_sum second = sum_between(accepted, index, middle, now);
    const double later = first.core_s + second.core_s;
    if (earlier.workflows < enough_workflows ||
        first.workflows + second.workflows < enough_workflows || earlier.core_s <= 0 ||
        first.core_s <= 0 || later > 2 * earlier.core_s) {
        return 1;
    }
    const double growth = std::min(later / earlier.core_s, second.core_s / first.core_s);
    return std::clamp(growth, 1.0, max_trend);
}

/// Zero for what is negative or not a number, and at most `highest`.
double within(double value, double highest) {
    return value > 0 ? std::min(value, highest) : 0.0;
}

std::size_t index_of(work_tier tier) {
    return static_cast<std::size_t>(tier);
}

} // namespace

double arrival_forecast::remembered(instant now) const {
    const double age_s = std::chrono::duration<double>(now - memory_at_).count();
    return memory_ * std::exp2(-age_s / memory_half_life_s);
}

void arrival_forecast::begin_or_end_burst(std::span<const accepted_work> accepted,
                                          std::size_t index, instant now) {
    const window_sum sum = sum_between(accepted, index, now - short_window, now);
    const double rate = sum.core_s / std::chrono::duration<double>(short_window).count();
    if (!in_burst_) {
        const double before =
            rate_between(accepted, index, now - short_window - base_window, now - short_window);
        if (sum.workflows >= min_burst_workflows && rate >= burst_growth * before &&
            rate >= burst_begin_part * remembered(now)) {
            in_burst_ = true;
            burst_since_ = now;
            burst_rate_ = 0;
        }
        return;
    }
    burst_rate_ = std::max(burst_rate_, rate_between(accepted, index, now - long_window, now));
    if (now >= burst_since_ + long_window && rate < burst_end_part * burst_rate_) {
        in_burst_ = false;
        // A weaker burst lowers the memory by half of the difference.
        const double memory = remembered(now);
        memory_ = std::max(burst_rate_, (memory + burst_rate_) / 2);
        memory_at_ = now;
    }
}

double arrival_forecast::update(std::span<const accepted_work> accepted, std::size_t index,
                                double room_cores, instant now) {
    begin_or_end_burst(accepted, index, now);
    double expected = present_rate(accepted, index, now) * trend(accepted, index, now - read_delay);
    // Once a long window has passed, the measured rate shows what this burst needs.
    if (in_burst_ && now < burst_since_ + long_window) {
        expected = std::max(expected, remembered(now));
    }
    return within(expected, room_cores);
}

std::array<double, work_tier_count>
pool_demand_tracker::cores_by_tier(const pool_workload& work, double room_cores, instant now) {
    std::array<double, work_tier_count> cores{};
    for (std::size_t tier = 0; tier < work_tier_count; ++tier) {
        double busy = within(work.tiers[tier].running, room_cores);
        if (tier < arrival_class_count) {
            const double expected = forecasts_[tier].update(work.accepted, tier, room_cores, now);
            busy = std::max(busy, expected * headroom);
        }
        cores[tier] = busy + within(work.tiers[tier].waiting * waiting_shares[tier], room_cores);
    }
    return cores;
}

const vm_needs& pool_demand_tracker::update(const pool_workload& work, const pool_servers& servers,
                                            instant now) {
    const std::int64_t fleet_vms = std::max<std::int64_t>(servers.fleet_vms, 0);
    const auto fleet = static_cast<double>(fleet_vms);
    const bool size_known = servers.server_cores > 0 && std::isfinite(servers.server_cores);
    const double server_cores = size_known ? std::min(servers.server_cores, max_server_cores) : 1;
    const double room_cores = fleet * server_cores;
    const std::array<double, work_tier_count> cores = cores_by_tier(work, room_cores, now);
    const auto hosts_within = [&](std::int64_t hosts) {
        return std::clamp<std::int64_t>(hosts, 0, fleet_vms);
    };
    const std::int64_t hosts =
        hosts_within(servers.long_running_hosts) + hosts_within(work.waiting_long_running);
    double reached = std::min(fleet, static_cast<double>(std::max(min_servers, hosts)));
    vm_needs present{};
    present[0] = reached;
    // The hosts of long-running tasks have room for other work, too.
    double total = within(servers.long_running_cores, room_cores);
    for (std::size_t tier = 0; tier < work_tier_count; ++tier) {
        total += cores[tier];
        const double vms = std::clamp(std::ceil(total / server_cores), reached, fleet);
        present[tier + 1] = vms - reached;
        reached = vms;
    }
    apply_hold(present, now);
    const double waiting = work.tiers[index_of(work_tier::urgent)].waiting +
                           work.tiers[index_of(work_tier::on_time)].waiting +
                           work.tiers[index_of(work_tier::late)].waiting;
    // Between two placement passes, some tasks always wait.
    calm_ = waiting < server_cores && std::ranges::none_of(forecasts_, &arrival_forecast::in_burst);
    return needs_;
}

void pool_demand_tracker::apply_hold(const vm_needs& present, instant now) {
    recent_.push_back({now, present});
    while (recent_.front().at < now - hold_time) {
        recent_.pop_front();
    }
    needs_ = present;
    for (const sample& item : recent_) {
        for (const need_tier tier : {need_tier::urgent, need_tier::on_time}) {
            const auto index = static_cast<std::size_t>(tier);
            needs_[index] = std::max(needs_[index], item.needs[index]);
        }
    }
}

} // namespace citronford
