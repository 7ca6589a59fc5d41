#include "test_support.h"

#include "citronford/share_ledger.h"
#include "citronford/task_scheduler.h"

#include <algorithm>
#include <deque>

using namespace citronford;

namespace {

const team_id sales("sales");
const worker_id first_worker("w1");

/// One node that owns one worker of 8 processors.
struct scheduler_fixture {
    team_limits limits;
    std::unique_ptr<task_scheduler> scheduler;
    instant now{};
    instant confirmed_at{};
    bool confirming = true;
    std::vector<scheduler_effect> effects; ///< Of the last input.
    std::optional<sync_request> open;
    table_version version = 10;

    scheduler_fixture() {
        scheduler_options options;
        options.self = {node_id("n1"), zone_id("a"), 7};
        auto created =
            task_scheduler::create({installed_chart("job"), installed_chart("worker_lease"),
                                    installed_chart("worker_health")},
                                   options, limits);
        cr_assert(created.ok(), "%s", created.status().ToString().c_str());
        scheduler = *std::move(created);
        limits.set_units(sales, 10);
        handle(member_listing{{options.self}});
        handle(worker_listing{{{first_worker, zone_id("a"), {"127.0.0.1", 1}, false}}});
        cr_assert(effect<acquire_worker_lease>() != nullptr);
        handle(worker_lease_granted{first_worker, 3});
        answer({});
    }

    void handle(const scheduler_input& input) { effects = scheduler->handle(input, now); }

    void tick(duration span = milliseconds(20)) {
        now += span;
        confirmed_at = confirming ? now : confirmed_at;
        handle(scheduler_tick{confirmed_at});
        if (const auto* sync = effect<sync_worker>()) {
            open = sync->message;
        }
    }

    template <class Effect> const Effect* effect() const {
        for (const scheduler_effect& item : effects) {
            if (const auto* found = std::get_if<Effect>(&item)) {
                return found;
            }
        }
        return nullptr;
    }

    /// The message to the worker that is not answered yet; ticks until there is one.
    sync_request message() {
        for (int count = 0; count < 200 && !open; ++count) {
            tick();
        }
        cr_assert(open, "no message was sent");
        return *open;
    }

    void report(const sync_request& to, const sync_result& result) {
        open.reset();
        handle(sync_report{first_worker, to.sequence, result});
    }

    /// Answers the next message with the tasks listed.
    sync_request answer(const std::vector<task_report>& tasks, std::uint64_t incarnation = 1) {
        const sync_request sent = message();
        report(sent, sync_accepted{incarnation, false, {8000, 8000, 0}, tasks});
        return sent;
    }

    /// Submits a job and reports its row as written.
    void submit(const std::string& id, std::int64_t processors, bool restartable) {
        job_definition job;
        job.id = job_id(id);
        job.team = sales;
        job.size = {processors * 1000, 100, 0};
        job.restartable = restartable;
        handle(job_submission{{}, job});
        written();
    }

    /// Reports the write of the last input as done.
    void written() {
        const auto* write = effect<write_job>();
        cr_assert(write != nullptr, "no row was written");
        handle(job_write_result{write->row.job.id, write->write, job_write_result::outcome::written,
                                ++version});
    }

    /// Starts the job `j` that may run once; returns the message that carries the start.
    sync_request start_once() {
        submit("j", 2, false);
        tick();
        written();
        while (message().start.empty()) {
            answer({});
        }
        return message();
    }

    /// Adds the node `n2` in zone b, and fills the worker with the first of nine jobs.
    void fill_beside_a_peer() {
        handle(
            member_listing{{{node_id("n1"), zone_id("a"), 7}, {node_id("n2"), zone_id("b"), 8}}});
        for (int count = 0; count < 9; ++count) {
            submit("j" + std::to_string(count), 8, true);
        }
        while (message().start.empty()) {
            answer({});
        }
    }

    /// Jobs given to `n2` within `span`, while the first job goes on.
    std::vector<job_id> given_away(duration span) {
        std::vector<job_id> jobs;
        for (const instant end = now + span; now < end;) {
            tick();
            for (const scheduler_effect& item : effects) {
                const auto* write = std::get_if<write_job>(&item);
                if (write != nullptr && write->row.owner == node_id("n2")) {
                    jobs.push_back(write->row.job.id);
                }
            }
            if (open) {
                answer({{task_id("j0~1"), task_state::running, {8000, 100, 0}}});
            }
        }
        return jobs;
    }

    [[nodiscard]] job_state state(const std::string& id) const {
        const job_row* row = scheduler->find(job_id(id));
        cr_assert(row != nullptr);
        return row->state;
    }
};

} // namespace

// Guards against a second start of a task by a node that reads only the row.
Test(task_scheduler, records_a_start_that_must_not_repeat_before_it_is_sent) {
    scheduler_fixture fixture;
    fixture.submit("j", 2, false);
    fixture.tick();
    const auto* write = fixture.effect<write_job>();
    cr_assert(write != nullptr && write->row.state == job_state::started);
    cr_assert(fixture.message().start.empty(), "sent before the row was written");
}

// Guards against two starts when the reply to the first is lost and the worker restarts.
Test(task_scheduler, calls_a_lost_start_unknown_when_the_worker_lost_its_memory) {
    scheduler_fixture fixture;
    const sync_request sent = fixture.start_once();
    expect_equal(sent.start.at(0).id.str(), "j~1");
    fixture.report(sent, sync_unanswered{});
    cr_assert(fixture.answer({}, 2).start.empty(), "the start was sent again");
    cr_assert(fixture.state("j") == job_state::unknown);
}

// Guards against calling a task unknown that certainly did not start.
Test(task_scheduler, queues_a_lost_start_again_when_the_worker_did_not_get_it) {
    scheduler_fixture fixture;
    const sync_request sent = fixture.start_once();
    fixture.report(sent, sync_unanswered{});
    fixture.answer({}, 1);
    cr_assert(fixture.state("j") == job_state::queued);
    cr_assert_eq(fixture.limits.running(sales), 0);
}

// Guards against a unit that is used again while a silent worker may still run its task.
Test(task_scheduler, holds_the_unit_until_the_lease_of_a_silent_worker_is_over) {
    scheduler_fixture fixture;
    const sync_request sent = fixture.start_once();
    fixture.report(
        sent,
        sync_accepted{1, false, {8000, 8000, 0}, {{task_id("j~1"), task_state::running, {}}}});
    const instant last_answer = fixture.now;
    while (fixture.now - last_answer < seconds(5)) {
        fixture.report(fixture.message(), sync_unanswered{});
        cr_assert_eq(fixture.limits.running(sales), 1);
    }
    while (fixture.limits.running(sales) == 1 && fixture.now - last_answer < seconds(20)) {
        fixture.report(fixture.message(), sync_unanswered{});
    }
    cr_assert(fixture.state("j") == job_state::unknown);
}

// Guards against starts in a zone whose removal this node may not have heard of.
Test(task_scheduler, starts_nothing_without_a_recent_confirmation) {
    scheduler_fixture fixture;
    fixture.confirming = false;
    fixture.now += seconds(3);
    fixture.submit("j", 2, true);
    for (int count = 0; count < 10; ++count) {
        cr_assert(fixture.answer({}).start.empty());
    }
}

// Guards against a job that can never run and keeps others waiting.
Test(task_scheduler, reports_a_job_that_fits_no_worker_and_goes_on) {
    scheduler_fixture fixture;
    fixture.submit("big", 9, true);
    fixture.submit("small", 1, true);
    while (fixture.message().start.empty()) {
        fixture.answer({});
    }
    expect_equal(fixture.message().start.at(0).job.str(), "small");
    fixture.answer({{task_id("small~1"), task_state::running, {}}});
    fixture.tick(milliseconds(600));
    cr_assert(fixture.state("big") == job_state::cannot_run);
    expect_equal(fixture.scheduler->find(job_id("big"))->reason,
                 "no worker has 9 processors, 100 MB of memory and 0 accelerators");
}

// Guards against a paused owner that acts on a row which was handed away and back meanwhile
// (task-once, seed 129).
Test(task_scheduler, drops_its_knowledge_of_a_job_with_a_newer_generation) {
    scheduler_fixture fixture;
    fixture.submit("j", 200, false);
    job_row row = *fixture.scheduler->find(job_id("j"));
    row.generation += 2;
    row.state = job_state::started;
    row.worker = first_worker;
    row.attempt = 1;
    fixture.handle(versioned_job_row{row, ++fixture.version});
    cr_assert(fixture.state("j") == job_state::started);
    fixture.answer({{task_id("j~1"), task_state::done, {}}});
    cr_assert(fixture.state("j") == job_state::done);
}

// Guards against jobs that the fleet served badly and that spend no error budget, or spend it
// twice.
Test(task_scheduler, measures_every_job_once) {
    struct example {
        const char* description;
        duration wait;  ///< Before the worker takes a job.
        task_state end; ///< As the worker reports.
        bool lost;      ///< The worker restarts and forgets the task.
        bool bad;
    };
    const example examples[] = {
        {"served in time", {}, task_state::done, false, false},
        {"started late", seconds(61), task_state::done, false, true},
        {"failed by itself", {}, task_state::failed, false, false},
        {"unknown", {}, task_state::running, true, true},
    };
    for (const example& item : examples) {
        scheduler_fixture fixture;
        std::vector<job_sli_event> measured;
        const auto note = [&] {
            for (const scheduler_effect& effect : fixture.effects) {
                if (const auto* found = std::get_if<job_sli_event>(&effect)) {
                    measured.push_back(*found);
                }
            }
        };
        const auto run = [&](task_state end) {
            const sync_request sent = fixture.start_once();
            fixture.report(sent,
                           item.lost
                               ? sync_result(sync_unanswered{})
                               : sync_result(sync_accepted{
                                     1, false, {8000, 8000, 0}, {{sent.start.at(0).id, end, {}}}}));
            note();
        };
        if (item.wait > duration()) {
            fixture.confirming = false;
            fixture.now += seconds(3);
            fixture.submit("j", 2, false);
            for (duration waited{}; waited <= item.wait; waited += seconds(1)) {
                fixture.tick(seconds(1));
                note();
            }
            cr_assert_eq(measured.size(), 1, "%s: a job that still waits counts", item.description);
        } else {
            run(item.end);
            if (item.lost) {
                fixture.answer({}, 2);
                note();
            }
        }
        cr_assert_eq(measured.size(), 1, "%s: %zu", item.description, measured.size());
        cr_assert(measured[0].bad == item.bad && measured[0].team == sales, "%s", item.description);
    }
}

// Guards against a team that is not told of the jobs it lost to a worker that fails everything.
Test(task_scheduler, counts_failures_on_a_quarantined_worker_as_those_of_the_fleet) {
    scheduler_fixture fixture;
    const worker_id other("w2");
    std::vector<job_sli_event> measured_jobs;
    // Writes succeed; tasks end at once, badly on the first worker and well on the other.
    const auto perform = [&] {
        std::deque<scheduler_effect> due(fixture.effects.begin(), fixture.effects.end());
        while (!due.empty()) {
            const scheduler_effect effect = due.front();
            due.pop_front();
            if (const auto* write = std::get_if<write_job>(&effect)) {
                fixture.handle(job_write_result{write->row.job.id, write->write,
                                                job_write_result::outcome::written,
                                                ++fixture.version});
            } else if (const auto* sync = std::get_if<sync_worker>(&effect)) {
                const bool fails = sync->worker == first_worker;
                sync_accepted answer{1, false, {8000, 8000, 0}, {}};
                for (const auto& start : sync->message.start) {
                    answer.tasks.push_back(
                        {start.id, fails ? task_state::failed : task_state::done, {}});
                }
                fixture.handle(sync_report{sync->worker, sync->message.sequence, answer});
            } else {
                const auto* measured = std::get_if<job_sli_event>(&effect);
                if (measured != nullptr) {
                    measured_jobs.push_back(*measured);
                }
                continue;
            }
            due.insert(due.end(), fixture.effects.begin(), fixture.effects.end());
        }
    };
    fixture.handle(worker_listing{{{first_worker, zone_id("a"), {"127.0.0.1", 1}, false},
                                   {other, zone_id("a"), {"127.0.0.1", 2}, false}}});
    fixture.handle(worker_lease_granted{other, 4});
    perform();
    bool quarantined = false;
    std::size_t blamed = 0;
    for (int round = 0; round < 40 && !quarantined; ++round) {
        // Two jobs, each larger than half a worker, need both workers.
        for (const char* name : {"j", "k"}) {
            job_definition job;
            job.id = job_id(name + std::to_string(round));
            job.team = sales;
            job.size = {5000, 100, 0};
            fixture.handle(job_submission{{}, job});
            perform();
        }
        measured_jobs.clear();
        for (int count = 0; count < 50; ++count) {
            fixture.tick();
            perform();
        }
        quarantined = fixture.scheduler->quarantined(first_worker);
        blamed =
            static_cast<std::size_t>(std::ranges::count(measured_jobs, true, &job_sli_event::bad));
        cr_assert(quarantined == (blamed == 1), "round %d: %zu failures of the fleet", round,
                  blamed);
    }
    cr_assert(quarantined, "the worker that fails everything is not quarantined");
}

// Guards against a worker that attracts all work by failing it at once.
Test(worker_health, quarantines_a_worker_that_fails_far_more_than_its_peers) {
    auto health = worker_health::create(installed_chart("worker_health"), {});
    cr_assert(health.ok());
    health->add(0);
    health->add(1);
    const instant start{};
    for (int count = 0; count < 20; ++count) {
        health->handle(1, attempt_succeeded{}, start);
    }
    for (int count = 0; count < 3; ++count) {
        cr_assert(health->usable(0, start));
        health->handle(0, attempt_failed{}, start);
    }
    cr_assert(!health->usable(0, start));
    const instant probe = start + seconds(10);
    cr_assert(health->usable(0, probe));
    health->handle(0, attempt_started{}, probe);
    cr_assert(!health->usable(0, probe), "one task tries the worker");
    health->handle(0, attempt_failed{}, probe);
    cr_assert(!health->usable(0, probe + seconds(19)), "the pause doubles");
    health->handle(0, attempt_started{}, probe + seconds(20));
    health->handle(0, attempt_succeeded{}, probe + seconds(20));
    cr_assert(!health->quarantined(0));
}

// Guards against tasks that go on under units which the fleet has given to other nodes, when this
// node is cut off from the table and its peers for longer than its registration lasts.
Test(task_scheduler, ends_the_leases_of_workers_before_its_units_return_to_the_fleet) {
    constexpr duration units_return = seconds(30);
    const task_report running{task_id("j~1"), task_state::running, {}};
    scheduler_fixture fixture;
    fixture.start_once();
    fixture.answer({running});
    cr_assert(fixture.state("j") == job_state::started);
    const instant lost_at = fixture.now;
    fixture.limits.set_held_until(lost_at);
    instant last_renewal = lost_at;
    while (fixture.now < lost_at + units_return) {
        fixture.limits.set_now(fixture.now);
        fixture.tick();
        if (!fixture.open) {
            continue;
        }
        if (fixture.open->lease > duration::zero()) {
            last_renewal = fixture.now;
        }
        fixture.report(*fixture.open, sync_accepted{1, false, {8000, 8000, 0}, {running}});
    }
    cr_assert(last_renewal > lost_at, "a short loss must not end a task");
    cr_assert(last_renewal + scheduler_options().lease + scheduler_options().sync_timeout <
              lost_at + units_return);
}

// Guards against a team below its share at a node because all its jobs wait at other nodes.
Test(task_scheduler, gives_half_of_its_waiting_jobs_to_a_node_without_any) {
    scheduler_fixture fixture;
    fixture.fill_beside_a_peer();
    const std::vector<job_id> given = fixture.given_away(seconds(3));
    const std::vector<job_id> newest{job_id("j8"), job_id("j7"), job_id("j6"), job_id("j5")};
    cr_assert(given == newest);
}

// Guards against jobs that move back and forth between nodes whose queues are about equally long.
Test(task_scheduler, keeps_its_waiting_jobs_while_enough_wait_elsewhere) {
    scheduler_fixture fixture;
    fixture.fill_beside_a_peer();
    for (int count = 0; count < 4; ++count) {
        job_row row;
        row.job.id = job_id("k" + std::to_string(count));
        row.job.team = sales;
        row.owner = node_id("n2");
        row.epoch = 8;
        fixture.handle(versioned_job_row{row, ++fixture.version});
    }
    cr_assert(fixture.given_away(seconds(5)).empty());
}

// Guards against jobs that are moved to a zone in which nothing may start.
Test(task_scheduler, gives_no_waiting_job_to_a_removed_zone) {
    scheduler_fixture fixture;
    fleet_configuration fleet;
    fleet.version = 1;
    fleet.removals.push_back({zone_id("b"), "maintenance"});
    fixture.scheduler->configure(fleet);
    fixture.fill_beside_a_peer();
    cr_assert(fixture.given_away(seconds(5)).empty());
}

// Guards against a placement of all waiting jobs at every tick or answer that brings nothing new;
// the review twice a second covers what depends on time.
Test(task_scheduler, places_waiting_jobs_only_after_a_change) {
    scheduler_fixture fixture;
    fixture.fill_beside_a_peer();
    fixture.given_away(seconds(5));
    const std::uint64_t before = fixture.scheduler->counts().placement_passes;
    fixture.given_away(seconds(10));
    cr_assert_leq(fixture.scheduler->counts().placement_passes - before, 20);
    fixture.submit("late", 8, true);
    const std::uint64_t waiting = fixture.scheduler->counts().placement_passes;
    fixture.tick();
    cr_assert_eq(fixture.scheduler->counts().placement_passes, waiting + 1);
}

// Guards against a team that starts more and more tasks while the throttle keeps its usage at its
// share.
Test(share_ledger, counts_what_throttled_tasks_would_use_without_the_throttle) {
    share_ledger ledger(seconds(30));
    ledger.set_capacity({10000, 10000, 0});
    ledger.add(sales, {3000, 0, 0}, 60);
    cr_assert_float_eq(ledger.priority(sales), 0.3, 1e-9);
    cr_assert_float_eq(ledger.unthrottled_priority(sales), 0.5, 1e-9);
}

// Guards against units that stay idle on other nodes, since the scheduler never says it wants them.
Test(task_scheduler, wants_more_units_when_jobs_wait_for_them) {
    scheduler_fixture fixture;
    fixture.limits.set_units(sales, 1);
    fixture.start_once();
    fixture.limits.take_refused(sales);
    fixture.submit("k", 2, false);
    fixture.tick();
    cr_assert(fixture.limits.take_refused(sales));
}

// Guards against a queued job of a stopping node that is reported as too large for every worker,
// since it arrives before the workers do.
Test(task_scheduler, does_not_judge_sizes_while_a_node_hands_over) {
    scheduler_fixture fixture;
    const live_member self{node_id("n1"), zone_id("a"), 7};
    const live_member other{node_id("n2"), zone_id("b"), 8};
    fixture.handle(member_listing{{self, other}});
    fixture.handle(handover_received{{other.id, other.incarnation}, {}});
    fixture.submit("j", 100, false);
    for (int count = 0; count < 100; ++count) {
        fixture.tick();
    }
    cr_assert(fixture.state("j") == job_state::queued);
}

// Guards against a worker that is given up before the rows of its tasks name the next owner, and
// against a next owner that takes a worker whose lease is still renewed.
Test(task_scheduler, hands_over_the_rows_before_the_worker) {
    scheduler_fixture fixture;
    const live_member self{node_id("n1"), zone_id("a"), 7};
    const live_member next{node_id("n2"), zone_id("b"), 8};
    const member_id next_id{next.id, next.incarnation};
    fixture.handle(member_listing{{self, next}});
    fixture.start_once();
    fixture.answer({{task_id("j~1"), task_state::running, {}}});
    fixture.handle(scheduler_stop{});
    const auto* notice = fixture.effect<send_peer>();
    cr_assert(notice != nullptr && notice->to == next.id);
    cr_assert(std::get<job_handover>(notice->message).workers.empty());
    fixture.handle(handover_received{next_id, {{}, {}, true}});
    fixture.tick();
    const auto* row = fixture.effect<write_job>();
    cr_assert(row != nullptr && row->row.owner == next.id && row->row.generation == 1);
    cr_assert(fixture.scheduler->holds_lease(first_worker), "the row is not written yet");
    fixture.written();
    fixture.tick();
    cr_assert(!fixture.scheduler->holds_lease(first_worker));
    const auto* offer = fixture.effect<send_peer>();
    cr_assert(offer != nullptr);
    const auto& offered = std::get<job_handover>(offer->message);
    expect_equal(offered.workers.at(0).str(), first_worker.str());
    expect_equal(offered.jobs.at(0).str(), std::string("j"));
    cr_assert(fixture.scheduler->open_handovers() == 2);
    fixture.handle(handover_received{next_id, {offered.jobs, offered.workers, true}});
    cr_assert(fixture.scheduler->open_handovers() == 0);
}

Test(task_scheduler, takes_a_worker_of_a_stopping_node_when_it_is_given_up) {
    scheduler_fixture fixture;
    const live_member self{node_id("n1"), zone_id("a"), 7};
    const live_member other{node_id("n2"), zone_id("b"), 8};
    const member_id other_id{other.id, other.incarnation};
    const worker_id worker("w2");
    fixture.handle(member_listing{{self, other}});
    fixture.handle(worker_listing{{{worker, zone_id("b"), {"127.0.0.1", 2}, false}}});
    fixture.handle(handover_received{other_id, {}});
    cr_assert(fixture.effect<acquire_worker_lease>() == nullptr, "the lease is still renewed");
    fixture.handle(handover_received{other_id, {{}, {worker}, false}});
    cr_assert(fixture.effect<acquire_worker_lease>() != nullptr);
    fixture.handle(worker_lease_granted{worker, 20});
    fixture.handle(handover_received{other_id, {{}, {worker}, false}});
    const auto* reply = fixture.effect<send_peer>();
    cr_assert(reply != nullptr && std::get<job_handover>(reply->message).confirms);
    cr_assert(std::get<job_handover>(reply->message).workers.size() == 1);
}
