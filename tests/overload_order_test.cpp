#include "dispatch_fixture.h"
#include "overload_model.h"

#include "citronford/overload_order.h"

#include <rapidcheck.h>

#include <cmath>
#include <limits>
#include <set>

using namespace citronford;

namespace {

/// A workflow that needs eight cores for half a second and has two seconds to its latest start.
waiting_work work_named(std::string_view job) {
    waiting_work work;
    work.job = job;
    work.core_s = 4;
    work.cores = 8;
    work.critical_path = milliseconds(500);
    work.slack = seconds(2);
    work.useful_slack = seconds(6);
    return work;
}

/// Room for one of `work_named` at a time, which is in use.
constexpr pool_room full_room{.cores = 8, .free_cores = 0, .committed_core_s = 2};

} // namespace

// Guards against the load of docs/load_control.md: for 5 s, a queue gets four times what its pool
// can do. With the least slack first, the whole queue becomes late together.
Test(overload_order, serves_more_of_a_burst_than_the_least_slack_first) {
    constexpr double cores = 480;
    int served[2] = {};
    for (const bool by_cost : {false, true}) {
        pool_model model(cores, by_cost);
        model.offer(4 * full_rate(cores), seconds(5));
        model.run(seconds(9));
        served[by_cost ? 1 : 0] = model.in_time();
        model.run(seconds(40));
        cr_assert(model.all_ended(), "accepted work must be finished");
    }
    cr_log_info("in time: least slack first %d, by cost %d", served[0], served[1]);
    cr_assert(served[1] >= 2 * served[0], "least slack first %d, by cost %d", served[0], served[1]);
}

// Guards against an order that costs something while there is room for all work.
Test(overload_order, serves_everything_when_there_is_room) {
    constexpr double cores = 480;
    pool_model model(cores, true);
    model.offer(0.6 * full_rate(cores), seconds(5));
    model.run(seconds(9));
    cr_assert(model.in_time() == static_cast<int>(0.6 * full_rate(cores) * 5), "%d",
              model.in_time());
}

// Guards against urgent work that becomes late because of work of a lower priority.
Test(overload_order, serves_the_higher_priority_first) {
    constexpr double cores = 480;
    pool_model alone(cores, true);
    alone.offer(0.6 * full_rate(cores), seconds(5), 0);
    alone.run(seconds(9));
    pool_model model(cores, true);
    model.offer(0.6 * full_rate(cores), seconds(5), 0);
    model.offer(3 * full_rate(cores), seconds(5), 1);
    model.run(seconds(9));
    cr_log_info("priority 0: %d of %d, priority 1: %d", model.in_time(0), alone.in_time(0),
                model.in_time(1));
    cr_assert(model.in_time(0) * 10 >= alone.in_time(0) * 9);
    cr_assert(model.in_time(1) > 0, "the room that is left is used");
}

// Guards against a team that exceeds its rate and makes the work of others late.
Test(overload_order, serves_teams_within_their_share_first) {
    constexpr double cores = 480;
    pool_model model(cores, true);
    const auto offered = static_cast<int>(0.6 * full_rate(cores) * 5);
    model.offer(0.6 * full_rate(cores), seconds(5), 0, false);
    model.offer(3 * full_rate(cores), seconds(5), 0, true);
    model.run(seconds(9));
    cr_log_info("within share: %d of %d, beyond: %d", model.in_time(0, false), offered,
                model.in_time(0, true));
    cr_assert(model.in_time(0, false) * 10 >= offered * 9);
}

// Guards against old work that waits for as long as new work keeps arriving.
Test(overload_order, starts_old_work_within_the_bound) {
    constexpr double cores = 480;
    pool_model model(cores, true);
    model.offer(full_rate(cores), seconds(2), 1);
    model.offer(2 * full_rate(cores), seconds(60), 0);
    model.run(seconds(2));
    const instant last_arrival = model.now();
    model.run(least_aging_wait);
    // The debt is that of one workflow at most. A tenth of the cores may be unused, since run times
    // differ from the estimates.
    const double older_core_s = model.waiting_core_s(last_arrival) + 2 * 8 * 3 * 0.64;
    const std::chrono::duration<double> bound(older_core_s / (aging_share * 0.9 * cores));
    const instant latest = model.now() + std::chrono::duration_cast<duration>(bound);
    model.run(seconds(53));
    cr_log_info("last start %lld ms before the bound of %.1f s",
                static_cast<long long>(to_ms(latest - model.last_start(1))), bound.count());
    cr_assert(bound < seconds(45), "the work arrives for longer than the bound");
    cr_assert(model.last_start(1) <= latest);
}

// Guards against an account that pays for aged work without limit, or never again after a task
// with a wrong estimate.
Test(overload_order, limits_the_credit_and_the_debt_of_aging) {
    aging_account account;
    account.note_start(1000000, false, 100);
    cr_assert(std::abs(account.credit_core_s() - 10) < 1e-9);
    account.note_start(1000000, true, 100);
    cr_assert(std::abs(account.credit_core_s() + 300) < 1e-9);
    account.note_start(std::numeric_limits<double>::quiet_NaN(), false, 100);
    cr_assert(std::abs(account.credit_core_s() + 299.9) < 1e-9);
}

// Guards against room that goes to the work with the least slack although other work is worth more
// for each core-second, and against the loss of what tasks that ran have already cost.
Test(overload_order, leaves_out_what_costs_least) {
    std::vector work = {work_named("a"), work_named("b"), work_named("c")};
    for (waiting_work& item : work) {
        item.slack = milliseconds(700);
    }
    work[0].value = 0.5;
    work[2].core_s = 1; // Most of its tasks have run.
    auto ordered = order_waiting_work(work, full_room);
    cr_assert(ordered[0].rank == work_rank::deferred && ordered[2].rank == work_rank::in_time);
    cr_assert(ordered[2].place == 0 && ordered[0].place == 2);
    work[0].priority = -1;
    ordered = order_waiting_work(work, full_room);
    cr_assert(ordered[0].rank == work_rank::in_time, "a higher priority goes before value");
    work[0].beyond_share = true;
    ordered = order_waiting_work(work, full_room);
    cr_assert(ordered[0].rank == work_rank::deferred && ordered[0].place == 2);
}

// Guards against late work that takes the room of other late work and still ends too late, and
// against expired work that is started at random.
Test(overload_order, starts_late_work_by_value_and_expired_work_by_age) {
    std::vector work = {work_named("big"), work_named("small"), work_named("old"),
                        work_named("older"), work_named("on-time")};
    work[0].core_s = 400;
    work[0].useful_slack = milliseconds(1);
    for (const std::size_t late : {0, 1}) {
        work[late].slack = -seconds(1);
    }
    for (const std::size_t expired : {2, 3}) {
        work[expired].slack = -seconds(9);
        work[expired].useful_slack = -seconds(1);
        work[expired].waited = seconds(10 + expired);
    }
    const auto ordered = order_waiting_work(work, full_room);
    cr_assert(ordered[0].rank == work_rank::late && ordered[3].rank == work_rank::expired);
    cr_assert(ordered[4].place == 0 && ordered[1].place == 1 && ordered[0].place == 2);
    cr_assert(ordered[3].place == 3 && ordered[2].place == 4);
}

// Guards against aged work that keeps its turn while the limit of its team keeps it from starting.
Test(overload_order, ages_the_work_that_waited_longest_and_may_start) {
    std::vector work = {work_named("new"), work_named("limited"), work_named("old")};
    work[1].waited = seconds(20);
    work[1].may_start = false;
    work[2].waited = seconds(10);
    work[2].useful_slack = -seconds(1);
    pool_room room = full_room;
    cr_assert(!order_waiting_work(work, room)[2].aged);
    room.aging_credit_core_s = 0.1;
    const auto ordered = order_waiting_work(work, room);
    cr_assert(ordered[2].aged && ordered[2].place == 0 && !ordered[1].aged && !ordered[0].aged);
}

namespace {

double odd_number() {
    return *rc::gen::element(0.0, -1.0, 1.0, 4.0, 1e300, -1e300, 1e-300,
                             std::numeric_limits<double>::quiet_NaN(),
                             std::numeric_limits<double>::infinity());
}

duration odd_time() {
    return *rc::gen::element(duration::min(), duration::max(), duration::zero(),
                             duration(seconds(1)), duration(-seconds(1)),
                             duration(milliseconds(300)));
}

std::vector<waiting_work> odd_work(const std::vector<std::string>& names) {
    std::vector<waiting_work> work;
    for (const std::string& name : names) {
        work.push_back({name, 0, odd_number(), odd_number(), odd_time(), odd_time(), odd_time(),
                        odd_time(), *rc::gen::element(0, 1, -1, std::numeric_limits<int>::max()),
                        odd_number(), *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>()});
    }
    return work;
}

} // namespace

// Guards against work that gets no place and never starts, a crash by a value that a caller or an
// operator sent, and a next owner that decides otherwise because it read the rows in another order.
Test(overload_order, gives_each_item_one_place_whatever_the_order) {
    const bool held = rc::check([] {
        const auto count = *rc::gen::inRange<std::size_t>(0, 40);
        std::vector<std::string> names;
        for (std::size_t index = 0; index < count; ++index) {
            names.push_back("j-" + std::to_string(index));
        }
        const std::vector<waiting_work> work = odd_work(names);
        const pool_room room{odd_number(), odd_number(), odd_number(), odd_number()};
        const auto ordered = order_waiting_work(work, room);
        std::set<std::uint32_t> places;
        for (const ordered_work& item : ordered) {
            places.insert(item.place);
        }
        RC_ASSERT(ordered.size() == count && places.size() == count);
        for (std::uint32_t place = 0; place < count; ++place) {
            RC_ASSERT(places.contains(place));
        }

        const std::vector<waiting_work> reversed(work.rbegin(), work.rend());
        const auto other = order_waiting_work(reversed, room);
        for (std::size_t index = 0; index < count; ++index) {
            const ordered_work& twin = other[count - 1 - index];
            RC_ASSERT(twin.place == ordered[index].place && twin.rank == ordered[index].rank &&
                      twin.aged == ordered[index].aged);
        }
    });
    cr_assert(held);
}

namespace {

/// A dispatcher with a queue whose objective leaves its workflows 0.6 s.
struct waiting_fixture : dispatch_fixture {
    explicit waiting_fixture(bool overload_order)
        : dispatch_fixture({.overload_order = overload_order}) {
        queue_definition definition;
        definition.name = queue;
        definition.pool = pool;
        definition.objective_slack = milliseconds(600);
        handle(catalog_applied{std::make_shared<queue_catalog>(
            2, std::vector{definition}, std::vector{catalog_pool{pool, true, false}},
            std::vector<catalog_team>{})});
        finish_loading();
        tick();
    }

    /// One workflow of eight tasks, then eight of one task: more than a server can do in time.
    void add_work() {
        add_workflow(job_id("big"), false, 8);
        for (int index = 0; index < 8; ++index) {
            now += milliseconds(1);
            add_workflow(job_id("small-" + std::to_string(index)), false);
        }
        tick();
    }

    void add_server(const backend_id& id) {
        register_backend(id);
        tick();
        answer_poll(id, {}, {});
        tick();
    }

    [[nodiscard]] std::size_t starts_of(const job_id& id) const {
        return static_cast<std::size_t>(std::ranges::count_if(
            starts, [&](const send_start& start) { return start.command.task.job == id; }));
    }
};

} // namespace

// Guards against a hook that ignores the order, or that changes it with the switch off.
Test(overload_order, places_by_cost_in_the_dispatcher_when_switched_on) {
    waiting_fixture by_slack(false);
    by_slack.add_server(first);
    by_slack.add_work();
    cr_assert(by_slack.starts_of(job_id("big")) == 4 && by_slack.starts.size() == 4);
    cr_assert(by_slack.decisions->counts().waiting.empty());
    cr_assert(std::ranges::count(by_slack.log, "work_deferred", &log_decision::event) == 0);

    waiting_fixture by_cost(true);
    by_cost.add_server(first);
    by_cost.add_work();
    cr_assert(by_cost.starts.size() == 4 && by_cost.starts_of(job_id("big")) == 0);
    const dispatch_counts counts = by_cost.decisions->counts();
    cr_assert(counts.waiting.size() == 1);
    const rank_figures deferred =
        counts.waiting[0].ranks[static_cast<std::size_t>(work_rank::deferred)];
    cr_assert(deferred.workflows == 5 && deferred.cores == 12, "%zu workflows, %f cores",
              deferred.workflows, deferred.cores);
    const auto line = std::ranges::find(by_cost.log, "work_deferred", &log_decision::event);
    cr_assert(line != by_cost.log.end());
    cr_assert(line->detail.starts_with("pool=pool queue=queue team= before_queue=queue"), "%s",
              line->detail.c_str());
    for (int index = 0; index < 20; ++index) {
        by_cost.tick();
    }
    cr_assert(std::ranges::count(by_cost.log, "work_deferred", &log_decision::event) == 1,
              "one line a second");
}

// Guards against accepted work that does not run although its pool has room, because it is expired.
Test(overload_order, starts_expired_work_when_there_is_room) {
    waiting_fixture fixture(true);
    fixture.add_work();
    const auto line = std::ranges::find(fixture.log, "work_deferred", &log_decision::event);
    cr_assert(line != fixture.log.end() &&
                  line->detail.find("before_queue=- ") != std::string::npos,
              "nothing goes first in a pool without servers");
    fixture.tick(seconds(30));
    for (int index = 0; index < 4; ++index) {
        fixture.add_server(backend_id("i-" + std::to_string(index)));
    }
    cr_assert(fixture.starts.size() == 16, "%zu", fixture.starts.size());
    cr_assert(fixture.starts[0].command.task.job == job_id("big"), "the longest wait goes first");
}
