#include "dispatch_fixture.h"
#include "test_support.h"

#include "citronford/pool_demand.h"
#include "citronford/pool_plan.h"
#include "decide/dispatch/arrival_log.h"

#include <algorithm>
#include <limits>
#include <numeric>

using namespace citronford;

namespace {

constexpr duration tick = milliseconds(10);
constexpr duration plan_period = milliseconds(100);
/// Time from the acceptance of a workflow until the owner reads it.
constexpr duration usual_read_delay = milliseconds(50);

std::size_t index_of(need_tier tier) {
    return static_cast<std::size_t>(tier);
}

/// One pool of a fleet of 349 VMs with 32 cores, whose urgent workflows arrive evenly, each of 25
/// core-seconds: 125 a second need 3,125 cores.
struct demand_fixture {
    instant now{seconds(100)};
    dispatch::arrival_log arrivals;
    pool_demand_tracker demand;
    pool_workload work{pool_id("pool")};
    pool_servers servers{32, 0, 0, 349};
    std::vector<instant> unread; ///< Times of acceptance.
    bool reads = true;
    double owed = 0;
    double highest = 0; ///< Total need of all plans since it was set.

    [[nodiscard]] double need() const {
        return std::accumulate(demand.needs().begin(), demand.needs().end(), 0.0);
    }

    /// Passes `time` while `rate` workflows a second are accepted.
    void pass(duration time, double rate) {
        for (const instant end = now + time; now < end;) {
            now += tick;
            owed += rate * std::chrono::duration<double>(tick).count();
            for (; owed >= 1; --owed) {
                unread.push_back(now);
            }
            read();
            if (now.time_since_epoch() % plan_period == duration::zero()) {
                work.accepted = arrivals.intervals();
                demand.update(work, servers, now);
                highest = std::max(highest, need());
            }
        }
    }

    void read() {
        constexpr double core_s = 25;
        const auto readable = [this](instant at) { return reads && at + usual_read_delay <= now; };
        for (const instant at : unread) {
            if (readable(at)) {
                arrivals.note(work_tier::urgent, core_s, at, now);
            }
        }
        std::erase_if(unread, readable);
    }
};

/// Factor of the module on expected work; the cases compare needs with this multiple of the work.
constexpr double headroom = 1.3;

constexpr double burst_rate = 125;
constexpr double low_rate = burst_rate / 80;
constexpr duration burst_time = milliseconds(4500);

} // namespace

// Guards against a burst that waits for 3 to 4 s until its pool has servers: the demand of a pool
// jumps eighty times for 4.5 s, in one pool after the other.
Test(pool_demand, a_second_burst_has_its_servers_ordered_at_once) {
    demand_fixture fixture;
    fixture.pass(seconds(4), low_rate);
    const double before = fixture.need();
    fixture.pass(milliseconds(200), burst_rate);
    const double first_at_200_ms = fixture.need();
    fixture.pass(burst_time, burst_rate);
    const double needed = fixture.need();
    cr_assert(needed > 100 && needed < 130, "%f", needed);
    fixture.pass(3 * burst_time, low_rate);
    cr_assert(fixture.need() <= before + 1, "%f after the burst", fixture.need());
    fixture.pass(milliseconds(200), burst_rate);
    cr_assert(fixture.need() >= 0.75 * needed, "%f of %f within 200 ms", fixture.need(), needed);
    cr_assert(fixture.need() > 1.3 * first_at_200_ms);
    fixture.pass(milliseconds(100), burst_rate);
    cr_assert(fixture.need() >= 0.75 * needed, "%f of %f within 300 ms", fixture.need(), needed);
}

// Guards against a need of 2,075 servers in a fleet of 349 after a read of the store that was
// delayed by a second.
Test(pool_demand, a_delayed_read_is_no_burst) {
    demand_fixture fixture;
    constexpr double rate = 40;
    fixture.pass(seconds(6), rate);
    fixture.highest = 0;
    fixture.pass(seconds(1), rate);
    const double usual = fixture.highest;
    fixture.reads = false;
    fixture.pass(seconds(1), rate);
    fixture.reads = true;
    fixture.highest = 0;
    fixture.pass(seconds(2), rate);
    cr_assert(fixture.highest <= 1.2 * usual, "%f instead of %f", fixture.highest, usual);
}

// Guards against noise that is extrapolated: the need of a pool went 79, 164, 350, 617 within 3 s
// while the true demand was about 200 servers.
Test(pool_demand, a_jump_is_not_extrapolated) {
    demand_fixture fixture;
    fixture.pass(seconds(3), 0.25 * burst_rate);
    fixture.highest = 0;
    fixture.pass(seconds(3), burst_rate);
    constexpr double true_need = 125 * 25 * headroom / 32;
    cr_assert(fixture.highest <= 1.15 * true_need, "%f", fixture.highest);
    cr_assert(fixture.highest >= true_need - 1, "%f", fixture.highest);
}

// Guards against a trend that is served only when it has arrived: the rate doubles within 2 s.
Test(pool_demand, a_trend_raises_the_need_ahead) {
    demand_fixture fixture;
    fixture.pass(seconds(4), 60);
    double ahead = 0;
    for (int tenth = 0; tenth < 20; ++tenth) {
        const double rate = 60 + 3 * tenth;
        fixture.pass(plan_period, rate);
        ahead = std::max(ahead, fixture.need() / (rate * 25 * headroom / 32));
    }
    cr_assert(ahead > 1.05 && ahead < 1.35, "%f", ahead);
}

// Guards against servers that are kept for 2.5 to 4 s after a burst.
Test(pool_demand, the_need_falls_within_a_second_after_a_burst) {
    demand_fixture fixture;
    fixture.pass(seconds(4), low_rate);
    fixture.pass(burst_time, burst_rate);
    const double needed = fixture.need();
    cr_assert(!fixture.demand.is_calm());
    fixture.pass(milliseconds(700), low_rate);
    cr_assert(fixture.need() < needed / 2, "%f of %f", fixture.need(), needed);
    cr_assert(fixture.demand.is_calm());
    fixture.work.tiers[0].waiting = 100;
    fixture.pass(milliseconds(100), low_rate);
    cr_assert(!fixture.demand.is_calm(), "while work waits");
}

// Guards against late and expired work that keeps 250 servers as if it were on time.
Test(pool_demand, late_work_counts_in_its_own_tier) {
    demand_fixture fixture;
    fixture.work.tiers[static_cast<std::size_t>(work_tier::late)] = {3200, 0};
    fixture.work.tiers[static_cast<std::size_t>(work_tier::leftover)] = {640, 3200};
    fixture.servers.long_running_hosts = 4;
    fixture.servers.long_running_cores = 32;
    fixture.pass(plan_period, 0);
    const vm_needs& needs = fixture.demand.needs();
    cr_assert(needs[index_of(need_tier::base)] == 4 && needs[index_of(need_tier::urgent)] == 0);
    cr_assert(needs[index_of(need_tier::late)] == 97, "%f", needs[index_of(need_tier::late)]);
    cr_assert(needs[index_of(need_tier::leftover)] == 50);
}

// Guards against figures that are negative, huge or not a number.
Test(pool_demand, odd_figures_give_a_need_within_the_fleet) {
    const double odd[] = {-1, 0, 1e300, std::numeric_limits<double>::infinity(),
                          std::numeric_limits<double>::quiet_NaN()};
    for (const double value : odd) {
        demand_fixture fixture;
        fixture.servers.server_cores = value;
        fixture.servers.long_running_cores = value;
        fixture.servers.long_running_hosts = std::numeric_limits<std::int64_t>::max();
        fixture.work.waiting_long_running = std::numeric_limits<std::int64_t>::max();
        fixture.work.tiers.fill({value, value});
        fixture.arrivals.note(work_tier::urgent, value, fixture.now, fixture.now);
        fixture.pass(seconds(1), 10);
        for (const double need : fixture.demand.needs()) {
            cr_assert(need >= 0 && need <= 349, "%f for %f", need, value);
        }
        fixture.servers.fleet_vms = -1;
        fixture.pass(plan_period, 0);
    }
}

// Guards against workflows that count as on time for ever, and against a wide urgent workflow whose
// parallel steps take VMs from other urgent work.
Test(pool_demand, the_dispatcher_sums_work_by_tier) {
    dispatch_fixture fixture;
    fixture.finish_loading();
    workflow_step step;
    step.tasks = 4;
    step.size = {1000, 10, 0};
    step.estimate = seconds(1);
    workflow_found found;
    found.row.id = job;
    found.row.queue = queue;
    found.row.pool = pool;
    found.row.spec.steps = {step, step};
    fixture.handle(found);
    const auto waiting = [&](work_tier tier) {
        const pool_workload work = fixture.decisions->pool_workloads().at(0);
        return work.tiers[static_cast<std::size_t>(tier)].waiting;
    };
    cr_assert(waiting(work_tier::urgent) == 4 && waiting(work_tier::on_time) == 4);
    const pool_workload work = fixture.decisions->pool_workloads().at(0);
    cr_assert(work.workflows_read == 1 && work.accepted.size() == 1);
    cr_assert(work.accepted[0].classes[0].core_s == 8, "%f", work.accepted[0].classes[0].core_s);
    // The objective is one second: the longest chain has one step.
    fixture.tick(milliseconds(1500));
    cr_assert(waiting(work_tier::late) == 8 && waiting(work_tier::urgent) == 0);
    fixture.tick(milliseconds(2000));
    cr_assert(waiting(work_tier::leftover) == 8 && waiting(work_tier::late) == 0);
}

// Guards against a log that grows with each plan.
Test(pool_demand, a_plan_is_reported_when_it_has_changed) {
    pool_plan_filter filter;
    instant now{seconds(100)};
    pool_plan plan{pool_id("pool")};
    plan.division = 100;
    cr_assert(filter.is_due(plan, now));
    plan.division = 200;
    cr_assert(!filter.is_due(plan, now + milliseconds(900)), "twice within a second");
    cr_assert(filter.is_due(plan, now + milliseconds(1000)));
    plan.division = 210;
    cr_assert(!filter.is_due(plan, now + milliseconds(3000)), "a change of a twentieth");
}
