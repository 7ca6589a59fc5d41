#include "dispatch_fixture.h"

#include "citronford/load_admission.h"
#include "citronford/work_pace.h"
#include "decide/dispatch/start_window.h"
#include "io/load_codec.h"

#include <map>
#include <set>

using namespace citronford;
using dispatch::start_window;

namespace {

constexpr instant begin{seconds(100)};
constexpr duration prompt = milliseconds(5);
constexpr duration late = milliseconds(200);

/// Sends as many starts as the window allows; each is answered after `round_trip`.
std::size_t exchange_starts(start_window& window, duration round_trip, instant now) {
    std::size_t sent = 0;
    while (window.has_room() && sent < 5000) {
        window.note_sent();
        ++sent;
    }
    for (std::size_t index = 0; index < sent; ++index) {
        window.note_answered(round_trip, now);
    }
    return sent;
}

/// Two servers without limits that matter, and `workflows` workflows of 20 tasks.
struct busy_fixture : dispatch_fixture {
    explicit busy_fixture(int workflows) {
        for (const backend_id& id : {first, second}) {
            backend_registration registration;
            registration.id = id;
            registration.pool = pool;
            registration.capacity = {100'000'000, 100'000'000, 0};
            handle(backend_registered{registration});
        }
        finish_loading();
        tick();
        answer_polls();
        for (int index = 0; index < workflows; ++index) {
            add_workflow(job_id("job-" + std::to_string(index)), false, 20);
        }
    }

    /// The servers report all accepted starts as running.
    void answer_polls() {
        answer_poll(first, running[first], {});
        answer_poll(second, running[second], {});
    }

    void late_tick(duration passed, duration late_by) {
        now += passed;
        renew_ownership();
        handle(dispatch_tick{1, late_by});
    }

    /// Accepts all starts; returns how many there were.
    std::size_t accept_starts() {
        const std::vector<send_start> sent = std::exchange(starts, {});
        for (const send_start& start : sent) {
            started.insert(start.command.task);
            running[start.to.id].push_back({start.command.task, start.command.run, "", 100, 0});
            handle(start_answered{start.run, command_accepted{1000}});
        }
        return sent.size();
    }

    std::map<backend_id, std::vector<running_task>> running;
    std::set<task_key> started;
};

load_admission make_admission() {
    return *load_admission::create(installed_chart("load_admission"), {});
}

accepted_workflow submitted_workflow(const std::string& id, bool long_running) {
    accepted_workflow row;
    row.id = job_id(id);
    row.queue = queue;
    row.pool = pool;
    row.spec.steps = {{.tasks = 4,
                       .size = {1000, 10, 0},
                       .estimate = milliseconds(500),
                       .long_running = long_running}};
    return row;
}

load_report report_with_backlog(milliseconds backlog, std::uint64_t sequence = 1) {
    load_report report;
    report.sequence = sequence;
    report.owner_backlog = backlog;
    return report;
}

} // namespace

// Guards against an owner on a small VM that sends more starts than it gets answers for, until the
// renewals of leases come too late (review/6).
Test(start_window, falls_while_answers_are_late_and_rises_while_they_are_prompt) {
    start_window window;
    instant now = begin;
    const std::size_t initial = exchange_starts(window, prompt, now);
    cr_assert(initial >= 500, "a large VM is limited without need");
    for (int round = 0; round < 30; ++round) {
        now += seconds(1);
        exchange_starts(window, late, now);
    }
    const std::size_t low = window.limit();
    cr_assert(low < 20 && low > 0);
    for (int round = 0; round < 100; ++round) {
        now += seconds(1);
        exchange_starts(window, prompt, now);
    }
    cr_assert(window.limit() >= initial);
}

// Guards against refusals on a large VM in a burst that it serves promptly, and against a limit
// that falls to a few starts because few are waiting.
Test(start_window, limits_no_work_while_answers_are_prompt) {
    start_window window;
    while (window.has_room()) {
        window.note_sent();
    }
    window.note_held_back(begin);
    cr_assert(!window.limits_work(begin), "the initial limit counts as a sign of delays");
    start_window idle;
    const std::size_t initial = idle.limit();
    for (int index = 0; index < 8; ++index) {
        idle.note_sent();
        idle.note_answered(late, begin + seconds(index));
    }
    cr_assert(idle.limit() * 10 > initial, "%zu", idle.limit());
}

// Guards against limits of starts that one slow server causes, and against several reductions for
// one delay.
Test(start_window, ignores_single_late_answers_and_falls_once_per_round_trip) {
    start_window window;
    const std::size_t initial = window.limit();
    for (int index = 0; index < 200; ++index) {
        window.note_sent();
        window.note_answered(index % 4 == 0 ? late : prompt, begin + milliseconds(10 * index));
    }
    cr_assert(window.limit() == initial, "one slow server in four");
    for (std::size_t index = 0; index < initial; ++index) {
        window.note_sent();
    }
    for (std::size_t index = 0; index < initial; ++index) {
        window.note_answered(late, begin + seconds(10));
    }
    cr_assert(window.limit() * 4 <= initial * 3 && window.limit() * 10 > initial * 7, "%zu of %zu",
              window.limit(), initial);
}

// Guards against a gang that is larger than the limit and never starts.
Test(start_window, lets_a_large_group_go_first_when_nothing_waits) {
    start_window window;
    cr_assert(window.has_room(5000));
    window.note_sent();
    cr_assert(!window.has_room(5000));
    window.note_unanswered();
    cr_assert(window.has_room(5000), "a start without an answer takes room for ever");
}

// Guards against periodic work that takes all the time of a small VM, such as the placement of a
// long queue.
Test(work_pace, gives_other_work_twice_the_time) {
    work_pace pace;
    pace.begin_tick(begin, {});
    cr_assert(pace.due());
    pace.note_work();
    pace.begin_tick(begin + milliseconds(120), milliseconds(100));
    cr_assert(!pace.due());
    pace.begin_tick(begin + milliseconds(300), {});
    cr_assert(!pace.due());
    pace.begin_tick(begin + milliseconds(320), {});
    cr_assert(pace.due());
    // A delay that something else has caused does not put the work off.
    pace.begin_tick(begin + seconds(1), milliseconds(500));
    cr_assert(pace.due());
    pace.note_work();
    pace.begin_tick(begin + seconds(2), milliseconds(30));
    cr_assert(pace.due(), "put off for a usual delay");
}

// Guards against a queue that keeps a small owner busy with passes, while the leases on its servers
// lapse.
Test(dispatcher, holds_starts_back_while_servers_answer_late) {
    busy_fixture fixture(400);
    fixture.tick();
    const std::size_t first_starts = fixture.starts.size();
    cr_assert(first_starts >= 1000 && first_starts < 8000, "%zu starts", first_starts);
    fixture.now += late;
    fixture.accept_starts();
    fixture.answer_polls();
    fixture.tick();
    cr_assert(fixture.starts.size() < first_starts, "the limit does not fall");
    cr_assert(fixture.decisions->counts().starts_held_back);
    for (int index = 0; index < 100 && fixture.started.size() < 8000; ++index) {
        fixture.accept_starts();
        fixture.answer_polls();
        fixture.tick();
    }
    cr_assert(fixture.started.size() == 8000, "%zu tasks started", fixture.started.size());
}

// Guards against a pool whose queue takes all the starts that a small owner can send.
Test(dispatcher, gives_each_pool_its_turn_while_starts_are_limited) {
    busy_fixture fixture(400);
    const backend_id other("i-other");
    backend_registration registration;
    registration.id = other;
    registration.pool = pool_id("zzz");
    registration.capacity = {100'000'000, 100'000'000, 0};
    fixture.handle(backend_registered{registration});
    fixture.answer_poll(other, {}, {});
    accepted_workflow row = submitted_workflow("other", false);
    row.pool = registration.pool;
    fixture.handle(workflow_found{row, {}, false});
    std::set<backend_id> used;
    for (int index = 0; index < 4 && !used.contains(other); ++index) {
        fixture.tick();
        for (const send_start& start : fixture.starts) {
            used.insert(start.to.id);
        }
        fixture.now += late;
        fixture.accept_starts();
        fixture.answer_polls();
        fixture.answer_poll(other, {}, {});
    }
    cr_assert(used.contains(other), "the other pool waits for the queue of the first one");
}

// Guards against passes at each tick when a pass takes longer than a tick.
Test(dispatcher, spaces_out_passes_that_delay_the_loop) {
    busy_fixture fixture(400);
    fixture.tick();
    fixture.now += prompt;
    fixture.accept_starts();
    fixture.answer_polls();
    fixture.late_tick(milliseconds(100), milliseconds(80));
    cr_assert(fixture.starts.empty(), "the next pass follows at once");
    fixture.late_tick(milliseconds(140), {});
    cr_assert(fixture.starts.empty());
    fixture.answer_polls();
    fixture.late_tick(milliseconds(20), {});
    cr_assert(!fixture.starts.empty());
}

// Guards against jobs that are accepted and never done, since the owner starts fewer tasks than
// arrive: it has to say so.
Test(dispatcher, reports_its_backlog_while_it_limits_the_starts) {
    busy_fixture fixture(400);
    cr_assert(fixture.decisions->report_load(fixture.now).owner_backlog == milliseconds::zero());
    fixture.tick();
    const auto starts = static_cast<double>(fixture.starts.size());
    fixture.now += late;
    fixture.accept_starts();
    fixture.answer_polls();
    fixture.tick();
    const auto more_starts = static_cast<double>(fixture.starts.size());
    fixture.now += milliseconds(500);
    const load_report report = fixture.decisions->report_load(fixture.now);
    // 8,000 tasks and the last step of each of the 400 workflows, at the pace of these 740 ms.
    const double expected_ms = (8400 - starts - more_starts) * 740 / (starts + more_starts);
    cr_assert(std::abs(static_cast<double>(report.owner_backlog.count()) - expected_ms) < 500,
              "%lld ms, expected %.0f", static_cast<long long>(report.owner_backlog.count()),
              expected_ms);
    fixture.now += seconds(2);
    cr_assert(fixture.decisions->report_load(fixture.now).owner_backlog == milliseconds::zero(),
              "a limit of long ago");
}

// Guards against work that is accepted all the while a new owner on a slow link reads the rows, or
// reaches too few of its servers to start any of it (small twin of kettunen-lavat-grown,
// trouble-3).
Test(dispatcher, reports_that_it_cannot_work_yet) {
    dispatch_fixture fixture;
    const auto backlog_after = [&](duration passed) {
        fixture.now += passed;
        fixture.renew_ownership();
        return fixture.decisions->report_load(fixture.now).owner_backlog;
    };
    cr_assert(backlog_after(seconds(2)) == milliseconds::zero(), "a usual takeover");
    cr_assert(backlog_after(seconds(1)) == seconds(3), "the rows are not read");
    fixture.finish_loading();
    for (int index = 0; index < 4; ++index) {
        backend_registration registration;
        registration.id = backend_id("i-" + std::to_string(index));
        registration.pool = pool;
        registration.capacity = {8000, 8000, 0};
        fixture.handle(backend_registered{registration});
    }
    cr_assert(backlog_after(seconds(1)) == seconds(4), "no server is in contact");
    fixture.answer_poll(backend_id("i-0"), {}, {});
    cr_assert(backlog_after(seconds(1)) == seconds(5), "one server of four is in contact");
    fixture.answer_poll(backend_id("i-1"), {}, {});
    cr_assert(backlog_after(milliseconds(100)) == milliseconds::zero());
}

// Guards against work that is accepted although the owner cannot start it in time.
Test(load_admission, refuses_work_while_the_owner_is_behind) {
    load_admission admission = make_admission();
    const queue_definition definition{.name = queue, .pool = pool};
    const auto refusal = [&](bool long_running, instant now) -> std::optional<duration> {
        const accepted_workflow row = submitted_workflow("a", long_running);
        const load_decision decision = admission.decide({row, &definition}, now);
        const auto* refused = std::get_if<submission_refused_by_load>(&decision);
        return refused == nullptr ? std::nullopt : std::optional(refused->retry_after);
    };
    admission.handle(load_report_received{7, report_with_backlog({}), begin}, begin);
    cr_assert(!refusal(false, begin), "the servers and not the owner limit the work");
    admission.handle(load_report_received{7, report_with_backlog(seconds(8), 2), begin}, begin);
    const auto retry_after = refusal(false, begin);
    cr_assert(retry_after && *retry_after >= seconds(5) && *retry_after < milliseconds(7500));
    cr_assert(!refusal(true, begin), "long-running work is never refused");
    cr_assert(!refusal(false, begin + seconds(4)), "refused on an old report");
    cr_assert(name_of(load_refusal::owner_behind) == "owner_behind");
}

// Guards against callers that return together when the backlog is just below the limit, and are all
// admitted until the next report.
Test(load_admission, admits_a_share_that_falls_with_the_backlog_of_the_owner) {
    const queue_definition definition{.name = queue, .pool = pool};
    const auto admitted = [&](milliseconds backlog) {
        load_admission admission = make_admission();
        admission.handle(load_report_received{7, report_with_backlog(backlog), begin}, begin);
        int count = 0;
        for (int index = 0; index < 1000; ++index) {
            const accepted_workflow row = submitted_workflow("job" + std::to_string(index), false);
            const load_decision decision = admission.decide({row, &definition}, begin);
            count += std::holds_alternative<submission_admitted>(decision) ? 1 : 0;
        }
        return count;
    };
    cr_assert(admitted(milliseconds(0)) == 1000);
    const int half = admitted(milliseconds(1500));
    cr_assert(half > 200 && half < 300, "%d", half);
    cr_assert(admitted(milliseconds(2700)) < 30);
    cr_assert(admitted(milliseconds(3000)) == 0);
}

// Guards against a backlog that does not reach the entry VMs, and against reports of an earlier
// version that lack it.
Test(load_codec, keeps_the_backlog_of_the_owner) {
    const load_report report = report_with_backlog(milliseconds(4200));
    const auto decoded = decode_load_report(encode_load_report(report));
    cr_assert(decoded.ok() && *decoded == report);
    const auto without = decode_load_report(encode_load_report(report_with_backlog({})));
    cr_assert(without.ok() && without->owner_backlog == milliseconds::zero());
    cr_assert(!decode_load_report(R"({"sequence":1,"pools":[],"beyond_share":[],)"
                                  R"("owner_backlog":"long"})")
                   .ok());
}
