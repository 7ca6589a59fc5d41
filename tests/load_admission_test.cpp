#include "load_fixture.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <utility>
#include <vector>

using namespace citronford;

namespace {

/// A report of one pool with 100 cores and the given waiting work.
load_report report_of(std::vector<priority_backlog> waiting, std::uint64_t sequence = 1) {
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

} // namespace

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
