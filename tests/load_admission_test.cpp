#include "test_support.h"

#include "citronford/load_admission.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <string>
#include <vector>

using namespace citronford;

namespace {

const pool_id pool("pool");
const queue_id urgent_queue("urgent");
const queue_id other_queue("other");
const team_id small_team("small");
const team_id large_team("large");

/// A queue with the objective of deployment A.
queue_definition queue_named(const queue_id& name, int priority) {
    queue_definition queue;
    queue.name = name;
    queue.pool = pool;
    queue.priority = priority;
    queue.stretch = 1.6;
    queue.objective_slack = milliseconds(600);
    return queue;
}

/// A workflow of 8 tasks of a core and a second: objective 2.2 s, useful time 6.6 s.
accepted_workflow workflow_of(const queue_id& queue, const team_id& team, const std::string& id) {
    accepted_workflow row;
    row.id = job_id(id);
    row.queue = queue;
    row.pool = pool;
    row.team = team;
    row.spec.steps = {{.tasks = 8, .size = {1000, 10, 0}, .estimate = milliseconds(1000)}};
    return row;
}
constexpr double workflow_core_s = 8;
constexpr duration objective = milliseconds(2200);
constexpr duration useful_time = 3 * objective;

load_admission make_admission() {
    auto created = load_admission::create(installed_chart("load_admission"), {});
    cr_assert(created.ok(), "%s", created.status().ToString().c_str());
    return *std::move(created);
}

const submission_refused_by_load* refusal_in(const load_decision& decision) {
    return std::get_if<submission_refused_by_load>(&decision);
}

/// A report of one pool with 100 cores and the given waiting work.
load_report report_of(std::vector<waiting_work> waiting, std::uint64_t sequence = 1) {
    load_report report;
    report.sequence = sequence;
    report.pools = {{pool, 100, 100, 0, {}, std::move(waiting)}};
    return report;
}

/// One entry VM that has received a report.
struct entry_vm {
    queue_definition urgent = queue_named(urgent_queue, 0);
    queue_definition other = queue_named(other_queue, 1);
    load_admission admission = make_admission();
    instant now{seconds(100)};
    int submitted = 0;

    bool receive(load_report report, duration age = {}) {
        return admission.handle(load_report_received{7, std::move(report), now - age}, now);
    }
    load_decision submit(const queue_definition& queue, const team_id& team = small_team) {
        const accepted_workflow row =
            workflow_of(queue.name, team, "job-" + std::to_string(++submitted));
        return admission.decide({row, &queue}, now);
    }
    bool refuses(const queue_definition& queue, const team_id& team = small_team) {
        return refusal_in(submit(queue, team)) != nullptr;
    }
};

/// A pool in virtual time that does waiting work by priority, on time before late, and several
/// entry VMs that admit to it. The owner reports the load each 500 ms.
class fleet_model {
  public:
    struct item {
        int priority = 0;
        bool beyond_share = false;
        instant accepted_at{};
        double core_s = workflow_core_s;
    };
    struct counts {
        int submitted = 0;
        int refused = 0;
        int expired = 0; ///< Admitted, and not done within the useful time.
        int in_time = 0; ///< Ended within the objective.
        int useful = 0;  ///< Ended after it, within the useful time.
    };

    explicit fleet_model(int entry_vms) {
        for (int vm = 0; vm < entry_vms; ++vm) {
            vms_.push_back(make_admission());
        }
    }

    double cores = 100;
    bool reports = true;                     ///< The owner reports the load.
    std::vector<arriving_cores> arriving;    ///< As reported.
    std::vector<team_id> teams_beyond_share; ///< As reported.
    instant now{seconds(100)};
    instant last_refusal = instant::min();
    counts urgent;
    counts other;
    counts beyond;

    void submit(const queue_definition& queue, const team_id& team) {
        counts& sums = sums_of(queue.priority, is_beyond(team));
        const accepted_workflow row =
            workflow_of(queue.name, team, "job-" + std::to_string(++submitted_));
        load_admission& vm = vms_[static_cast<std::size_t>(submitted_) % vms_.size()];
        ++sums.submitted;
        if (refusal_in(vm.decide({row, &queue}, now)) != nullptr) {
            ++sums.refused;
            last_refusal = now;
            return;
        }
        waiting_.push_back({queue.priority, is_beyond(team), now});
    }

    /// Runs for `span`; `arrivals` is called in each step.
    void run(duration span, const std::function<void()>& arrivals) {
        const instant end = now + span;
        for (; now < end; now += step) {
            arrivals();
            work();
            if (reports && now >= report_at_) {
                report_at_ = now + milliseconds(500);
                publish();
            }
        }
    }

    static constexpr duration step = milliseconds(20);

  private:
    [[nodiscard]] bool is_beyond(const team_id& team) const {
        return std::ranges::find(teams_beyond_share, team) != teams_beyond_share.end();
    }
    counts& sums_of(int priority, bool beyond_share) {
        return beyond_share ? beyond : priority == 0 ? urgent : other;
    }
    [[nodiscard]] bool is_late(const item& work) const {
        return now + seconds(1) > work.accepted_at + objective;
    }
    [[nodiscard]] auto order_of(const item& work) const {
        const int rank = is_late(work) ? 2 : work.beyond_share ? 1 : 0;
        return std::tuple(rank, work.priority, work.accepted_at);
    }
    void work() {
        std::ranges::stable_sort(waiting_, {}, [this](const item& work) { return order_of(work); });
        double left = cores * std::chrono::duration<double>(step).count();
        for (item& work : waiting_) {
            const double done = std::min(left, work.core_s);
            work.core_s -= done;
            left -= done;
        }
        std::erase_if(waiting_, [this](const item& work) { return remove(work); });
    }
    /// Whether the work is done or past its useful time.
    bool remove(const item& work) {
        counts& sums = sums_of(work.priority, work.beyond_share);
        if (work.core_s <= 0) {
            ++(is_late(work) ? sums.useful : sums.in_time);
            return true;
        }
        const bool over = now + seconds(1) > work.accepted_at + useful_time;
        sums.expired += over ? 1 : 0;
        return over;
    }
    void publish() {
        load_report report;
        report.sequence = ++sequence_;
        report.teams_beyond_share = teams_beyond_share;
        reported_pool load{pool, cores, cores, 0, arriving, {{0}, {1}}};
        for (const item& work : waiting_) {
            waiting_work& sums = load.waiting[static_cast<std::size_t>(work.priority)];
            (is_late(work)       ? sums.late_core_s
             : work.beyond_share ? sums.beyond_share_core_s
                                 : sums.on_time_core_s) += work.core_s;
        }
        if (pressure_of(load) >= reported_pressure) {
            report.pools.push_back(load);
        }
        for (load_admission& vm : vms_) {
            vm.handle(load_report_received{1, report, now}, now);
        }
    }

    std::vector<load_admission> vms_;
    std::vector<item> waiting_;
    int submitted_ = 0;
    std::uint64_t sequence_ = 0;
    instant report_at_{};
};

std::string text_of(const fleet_model::counts& sums) {
    return std::to_string(sums.submitted) + " submitted, " + std::to_string(sums.refused) +
           " refused, " + std::to_string(sums.in_time) + " in time, " +
           std::to_string(sums.useful) + " useful, " + std::to_string(sums.expired) + " expired";
}

/// Calls `submit` at `rate` per second, in steps of the model.
std::function<void()> arrivals(double rate, std::function<void()> submit) {
    return [rate, submit = std::move(submit), due = 0.0]() mutable {
        due += rate * std::chrono::duration<double>(fleet_model::step).count();
        for (; due >= 1; due -= 1) {
            submit();
        }
    };
}

const queue_definition urgent = queue_named(urgent_queue, 0);
const queue_definition other = queue_named(other_queue, 1);

/// Workflows per second that the 100 cores of the model can do.
constexpr double pace = 100 / workflow_core_s;

} // namespace

// Guards against a whole queue that becomes worthless in a burst (deployment A: of 1,827 workflows
// of one queue, 327 were in time and 652 were accepted and not done): four times the pace of the
// pool for 8 s, over six entry VMs, with admission and without. Refusals end with the burst. Work
// that was admitted first and became late still expires behind later work that is on time.
Test(load_admission, refuses_what_cannot_end_in_a_burst) {
    fleet_model model(6);
    fleet_model without(6);
    without.reports = false;
    for (fleet_model* each : {&model, &without}) {
        each->run(seconds(8), arrivals(4 * pace, [&] { each->submit(urgent, small_team); }));
    }
    const instant burst_end = model.now;
    for (fleet_model* each : {&model, &without}) {
        each->run(seconds(10), arrivals(pace / 20, [&] { each->submit(urgent, small_team); }));
    }
    const std::string figures =
        "with: " + text_of(model.urgent) + " without: " + text_of(without.urgent);
    cr_log_info("%s", figures.c_str());
    cr_assert(without.urgent.refused == 0);
    cr_assert(model.urgent.refused > model.urgent.submitted / 4, "%s", figures.c_str());
    cr_assert(model.last_refusal < burst_end + seconds(2), "refused %lld ms after the burst",
              static_cast<long long>(to_ms(model.last_refusal - burst_end)));
    cr_assert(model.urgent.expired * 2 <= without.urgent.expired, "%s", figures.c_str());
    cr_assert(model.urgent.in_time >= without.urgent.in_time, "%s", figures.c_str());
}

// Guards against refusals for a burst that the fleet can serve once its VMs have moved: the cores
// of four pools arrive 2 s after the begin of the burst.
Test(load_admission, admits_a_burst_that_arriving_cores_can_serve) {
    fleet_model model(6);
    model.arriving = {{300, milliseconds(2000)}};
    const auto burst = arrivals(4 * pace, [&] { model.submit(urgent, small_team); });
    model.run(seconds(2), burst);
    model.cores = 400;
    model.arriving.clear();
    model.run(milliseconds(2500), burst);
    model.run(seconds(5), [] {});
    cr_assert(model.urgent.refused == 0, "%d refused", model.urgent.refused);
    cr_assert(model.urgent.expired == 0, "%d expired", model.urgent.expired);
}

// Guards against urgent work that is refused because of a burst of less important work.
Test(load_admission, refuses_less_urgent_work_first) {
    fleet_model model(6);
    const auto urgent_work = arrivals(pace / 2, [&] { model.submit(urgent, small_team); });
    const auto other_work = arrivals(4 * pace, [&] { model.submit(other, small_team); });
    model.run(seconds(8), [&] {
        urgent_work();
        other_work();
    });
    cr_assert(model.urgent.refused == 0, "%d urgent workflows refused", model.urgent.refused);
    cr_assert(model.urgent.expired == 0, "%d urgent workflows expired", model.urgent.expired);
    cr_assert(model.other.refused > 0);
}

// Guards against a team that causes refusals for others by sending many times its share.
Test(load_admission, refuses_work_beyond_a_share_first) {
    fleet_model model(6);
    model.teams_beyond_share = {large_team};
    const auto in_share = arrivals(pace / 2, [&] { model.submit(urgent, small_team); });
    const auto beyond = arrivals(4 * pace, [&] { model.submit(urgent, large_team); });
    model.run(seconds(8), [&] {
        in_share();
        beyond();
    });
    cr_assert(model.urgent.refused == 0, "%d refused in their share", model.urgent.refused);
    cr_assert(model.beyond.refused > model.beyond.submitted / 2, "%d of %d refused",
              model.beyond.refused, model.beyond.submitted);
}

// Guards against refusals on old figures, such as after the owner was killed.
Test(load_admission, admits_everything_on_old_or_absent_figures) {
    entry_vm vm;
    cr_assert(!vm.refuses(vm.urgent), "refused without a report");
    cr_assert(vm.receive(report_of({{0, 2000, 0, 0}})));
    cr_assert(vm.refuses(vm.urgent));
    cr_assert(vm.admission.pressed_pools() == 1);
    vm.now += milliseconds(2900);
    cr_assert(vm.refuses(vm.urgent));
    vm.now += milliseconds(100);
    cr_assert(!vm.refuses(vm.urgent), "refused on a report of 3 s ago");
    cr_assert(vm.admission.pressed_pools() == 0 && !vm.admission.report_age(vm.now));
    // A report that was stored long before it arrived, after the link of this VM was cut.
    cr_assert(vm.receive(report_of({{0, 2000, 0, 0}}, 2), seconds(4)) == false);
    cr_assert(!vm.refuses(vm.urgent), "refused on a report that was old when it arrived");
}

// Guards against a report that keeps its effect because it is delivered again, and against one of
// an earlier owner that is stored late.
Test(load_admission, ignores_repeated_and_earlier_reports) {
    entry_vm vm;
    vm.receive(report_of({{0, 2000, 0, 0}}, 5));
    vm.now += seconds(2);
    cr_assert(!vm.receive(report_of({{0, 2000, 0, 0}}, 5)));
    cr_assert(!vm.receive(report_of({{0, 2000, 0, 0}}, 4)));
    vm.now += seconds(1);
    cr_assert(!vm.refuses(vm.urgent));
    cr_assert(vm.admission.handle(load_report_received{8, report_of({{0, 2000, 0, 0}}, 1), vm.now},
                                  vm.now),
              "the first report of the next owner is not used");
    cr_assert(vm.refuses(vm.urgent));
    cr_assert(!vm.receive(report_of({}, 6)), "a report of the earlier owner is used");
}

// Guards against refusals that start and end with each report while the pressure varies a little,
// and against those that stay when the owner reports the pool no longer.
Test(load_admission, keeps_a_state_between_two_thresholds) {
    entry_vm vm;
    vm.receive(report_of({{0, 40, 0, 0}}, 1));
    cr_assert(vm.admission.pressed_pools() == 0, "pressed at 400 ms");
    vm.receive(report_of({{0, 60, 0, 0}}, 2));
    cr_assert(vm.admission.pressed_pools() == 1, "not pressed at 600 ms");
    vm.receive(report_of({{0, 40, 0, 0}}, 3));
    cr_assert(vm.admission.pressed_pools() == 1, "ended at 400 ms");
    vm.receive(report_of({{0, 20, 0, 0}}, 4));
    cr_assert(vm.admission.pressed_pools() == 0, "still pressed at 200 ms");
    vm.receive(report_of({{0, 2000, 0, 0}}, 5));
    cr_assert(vm.refuses(vm.urgent));
    load_report ended;
    ended.sequence = 6;
    vm.receive(ended);
    cr_assert(!vm.refuses(vm.urgent));
}

// Guards against an untrue delay: it must be the time until the same submission would be in time,
// and callers must not return together.
Test(load_admission, spreads_true_retry_delays) {
    entry_vm vm;
    vm.receive(report_of({{0, 800, 0, 0}}));
    // 8 s of work are ahead, and the workflow needs 1 s of an objective of 2.2 s.
    const duration in_time_after = seconds(8) + seconds(1) - objective;
    std::vector<duration> delays;
    for (int submission = 0; submission < 100; ++submission) {
        const load_decision decision = vm.submit(vm.urgent);
        const auto* refusal = refusal_in(decision);
        cr_assert(refusal != nullptr && refusal->reason == load_refusal::useless);
        cr_assert(refusal->predicted_wait == seconds(8));
        cr_assert(refusal->retry_after >= in_time_after &&
                      refusal->retry_after <= in_time_after * 3 / 2,
                  "%lld ms", static_cast<long long>(to_ms(refusal->retry_after)));
        delays.push_back(refusal->retry_after);
    }
    std::ranges::sort(delays);
    cr_assert(delays.back() - delays.front() > in_time_after / 3, "the delays are not spread");
    const accepted_workflow same = workflow_of(urgent_queue, small_team, "same");
    const load_decision first = vm.admission.decide({same, &vm.urgent}, vm.now);
    const load_decision second = vm.admission.decide({same, &vm.urgent}, vm.now);
    cr_assert(refusal_in(first)->retry_after == refusal_in(second)->retry_after);
    // The pool has worked since the report.
    vm.now += milliseconds(2500);
    const load_decision later = vm.admission.decide({same, &vm.urgent}, vm.now);
    cr_assert(refusal_in(later) == nullptr, "5.5 s of work are left, which end in the useful time");
}

// Guards against delays below a second, with which callers would return at once.
Test(load_admission, delays_for_a_second_at_least) {
    entry_vm vm;
    load_report report = report_of({{0, 130, 0, 0}});
    report.teams_beyond_share = {large_team};
    vm.receive(report);
    const load_decision decision = vm.submit(vm.urgent, large_team);
    const auto* refusal = refusal_in(decision);
    cr_assert(refusal != nullptr && refusal->reason == load_refusal::beyond_share);
    cr_assert(refusal->retry_after >= seconds(1) && refusal->retry_after < milliseconds(1500));
    cr_assert(!vm.refuses(vm.urgent, small_team));
}

// Guards against a burst that one VM admits as a whole between two reports.
Test(load_admission, counts_what_it_admitted_since_the_report) {
    entry_vm vm;
    vm.receive(report_of({{0, 500, 0, 0}}));
    int admitted = 0;
    while (!vm.refuses(vm.urgent)) {
        cr_assert(++admitted < 100, "its own work is not counted");
    }
    // 560 core-seconds end within the useful time.
    cr_assert(admitted == 8, "%d admitted", admitted);
}

// Guards against a pool that is slower than its cores promise, such as with slow servers: the
// measured pace counts once the pool has had its cores for a while, and not at its begin.
Test(load_admission, goes_by_the_measured_pace_of_a_steady_pool) {
    entry_vm vm;
    const auto slow = [](std::uint64_t sequence) {
        load_report report = report_of({{0, 400, 0, 0}}, sequence);
        report.pools[0].pace_cores = 60;
        return report;
    };
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
        vm.receive(slow(sequence));
        cr_assert(!vm.refuses(vm.urgent), "the pace was measured before the burst");
        vm.now += milliseconds(500);
    }
    vm.receive(slow(5));
    cr_assert(vm.refuses(vm.urgent), "400 core-seconds at a pace of 60 cores take 6.7 s");
}

// Guards against refusals of work that has no objective or must not be refused.
Test(load_admission, never_refuses_work_without_an_objective) {
    entry_vm vm;
    vm.receive(report_of({{0, 100000, 0, 0}}));
    queue_definition plain = vm.urgent;
    plain.stretch = 1;
    plain.objective_slack = {};
    cr_assert(!vm.refuses(plain));
    accepted_workflow row = workflow_of(urgent_queue, small_team, "long");
    row.spec.steps[0].long_running = true;
    cr_assert(refusal_in(vm.admission.decide({row, &vm.urgent}, vm.now)) == nullptr);
    row = workflow_of(urgent_queue, small_team, "scheduled");
    row.spec.occurrences = 3;
    cr_assert(refusal_in(vm.admission.decide({row, &vm.urgent}, vm.now)) == nullptr);
    cr_assert(refusal_in(vm.admission.decide({row, nullptr}, vm.now)) == nullptr);
    row = workflow_of(urgent_queue, small_team, "elsewhere");
    row.pool = pool_id("another");
    cr_assert(refusal_in(vm.admission.decide({row, &vm.urgent}, vm.now)) == nullptr);
}

// Guards against a division by zero, an overflow or a refusal because of odd values in the
// configuration, a submission or a report.
Test(load_admission, survives_odd_values) {
    entry_vm vm;
    vm.receive(report_of({{0, 100000, 0, 0}}));
    const double infinity = std::numeric_limits<double>::infinity();
    for (const double stretch : {0.0, -1.0, std::nan(""), infinity}) {
        queue_definition odd = vm.urgent;
        odd.stretch = stretch;
        cr_assert(!vm.refuses(odd), "refused with a stretch of %f", stretch);
    }
    queue_definition odd = vm.urgent;
    odd.stretch = 1e300;
    cr_assert(!vm.refuses(odd), "refused though it has time");
    odd = vm.urgent;
    odd.objective_slack = milliseconds(-5);
    cr_assert(!vm.refuses(odd));
    accepted_workflow row = workflow_of(urgent_queue, small_team, "odd");
    row.spec.steps[0].estimate = milliseconds(-1000);
    row.spec.steps[0].size = {-1000, 0, 0};
    vm.admission.decide({row, &vm.urgent}, vm.now);
    row.spec.steps[0].estimate = milliseconds(1'000'000'000'000);
    cr_assert(refusal_in(vm.admission.decide({row, &vm.urgent}, vm.now)) == nullptr,
              "its useful time is longer than any wait");
    load_report empty = report_of({{0, 100, 0, 0}}, 2);
    empty.pools[0].cores = 0;
    empty.pools[0].pace_cores = 0;
    vm.receive(empty);
    cr_assert(!vm.refuses(vm.urgent), "nothing is known of the servers of the pool");
    empty.sequence = 3;
    empty.pools[0].arriving = {{10, milliseconds(1500)}};
    vm.receive(empty);
    cr_assert(vm.refuses(vm.urgent), "100 core-seconds on 10 cores");
    vm.receive(report_of({}, 4));
    cr_assert(!vm.refuses(vm.urgent));
}
