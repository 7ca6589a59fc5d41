#include "test_support.h"

#include "citronford/share_ledger.h"
#include "citronford/task_scheduler.h"

#include <algorithm>
#include <deque>

using namespace citronford;

namespace {

const team_id sales("sales");
const worker_id first_worker("w1");

/// One node that owns one worker with 8 processors.
struct scheduler_fixture {
    team_limits limits;
    std::unique_ptr<task_scheduler> scheduler;
    instant now{};
    instant confirmed_at{};
    bool confirming = true;
    std::vector<scheduler_effect> effects; ///< Effects of the last input.
    std::optional<sync_request> unanswered;
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
        answer_sync({});
    }

    void handle(const scheduler_input& input) { effects = scheduler->handle(input, now); }

    void tick(duration span = milliseconds(20)) {
        now += span;
        confirmed_at = confirming ? now : confirmed_at;
        handle(scheduler_tick{confirmed_at});
        if (const auto* sync = effect<sync_worker>()) {
            unanswered = sync->message;
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

    /// Returns the unanswered message to the worker; ticks until there is one.
    sync_request pending_message() {
        for (int count = 0; count < 200 && !unanswered; ++count) {
            tick();
        }
        cr_assert(unanswered, "no message was sent");
        return *unanswered;
    }

    void report(const sync_request& to, const sync_result& result) {
        unanswered.reset();
        handle(sync_report{first_worker, to.sequence, result});
    }

    /// Answers the next message with `tasks`; returns the message.
    sync_request answer_sync(const std::vector<task_report>& tasks, std::uint64_t incarnation = 1) {
        const sync_request sent = pending_message();
        report(sent, sync_accepted{incarnation, false, {8000, 8000, 0}, tasks});
        return sent;
    }

    /// Submits a job and confirms the write of its row.
    void submit(const std::string& id, std::int64_t processors, bool restartable) {
        job_definition job;
        job.id = job_id(id);
        job.team = sales;
        job.size = {processors * 1000, 100, 0};
        job.restartable = restartable;
        handle(job_submission{{}, job});
        confirm_write();
    }

    /// Confirms the row write among the effects of the last input.
    void confirm_write() {
        const auto* write = effect<write_job>();
        cr_assert(write != nullptr, "no row was written");
        handle(job_write_result{write->row.job.id, write->write, job_write_result::outcome::written,
                                ++version});
    }

    /// Starts the job `j`, which is not restartable; returns the message that carries the start.
    sync_request start_non_restartable() {
        submit("j", 2, false);
        tick();
        confirm_write();
        while (pending_message().start.empty()) {
            answer_sync({});
        }
        return pending_message();
    }

    /// Adds the node `n2` in zone b, submits nine jobs and fills the worker with the first of them.
    void add_peer_and_fill_worker() {
        handle(
            member_listing{{{node_id("n1"), zone_id("a"), 7}, {node_id("n2"), zone_id("b"), 8}}});
        for (int count = 0; count < 9; ++count) {
            submit("j" + std::to_string(count), 8, true);
        }
        while (pending_message().start.empty()) {
            answer_sync({});
        }
    }

    /// Jobs handed over to `n2` within `span`, while the first job keeps running.
    std::vector<job_id> jobs_handed_to_peer(duration span) {
        std::vector<job_id> jobs;
        for (const instant end = now + span; now < end;) {
            tick();
            for (const scheduler_effect& item : effects) {
                const auto* write = std::get_if<write_job>(&item);
                if (write != nullptr && write->row.owner == node_id("n2")) {
                    jobs.push_back(write->row.job.id);
                }
            }
            if (unanswered) {
                answer_sync({{task_id("j0~1"), task_state::running, {8000, 100, 0}}});
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

// Guards against a second start by a node that takes the job over and knows only its row.
Test(task_scheduler, records_a_start_that_must_not_repeat_before_it_is_sent) {
    scheduler_fixture fixture;
    fixture.submit("j", 2, false);
    fixture.tick();
    const auto* write = fixture.effect<write_job>();
    cr_assert(write != nullptr && write->row.state == job_state::started);
    cr_assert(fixture.pending_message().start.empty(), "sent before the row was written");
}

// Guards against two starts of a job when the answer to the first is lost and the worker restarts.
Test(task_scheduler, marks_a_job_unknown_when_its_start_is_unanswered_and_the_worker_restarts) {
    scheduler_fixture fixture;
    const sync_request sent = fixture.start_non_restartable();
    expect_equal(sent.start.at(0).id.str(), "j~1");
    fixture.report(sent, sync_unanswered{});
    cr_assert(fixture.answer_sync({}, 2).start.empty(), "the start was sent again");
    cr_assert(fixture.state("j") == job_state::unknown);
}

// Guards against a job that is marked unknown although its task certainly did not start.
Test(task_scheduler, queues_a_job_again_when_its_start_did_not_reach_the_worker) {
    scheduler_fixture fixture;
    const sync_request sent = fixture.start_non_restartable();
    fixture.report(sent, sync_unanswered{});
    fixture.answer_sync({}, 1);
    cr_assert(fixture.state("j") == job_state::queued);
    cr_assert_eq(fixture.limits.running(sales), 0);
}

// Guards against a unit that is reused while a worker that does not answer may still run its task.
Test(task_scheduler, holds_the_unit_until_the_lease_of_a_silent_worker_is_over) {
    scheduler_fixture fixture;
    const sync_request sent = fixture.start_non_restartable();
    fixture.report(
        sent,
        sync_accepted{1, false, {8000, 8000, 0}, {{task_id("j~1"), task_state::running, {}}}});
    const instant last_answer = fixture.now;
    while (fixture.now - last_answer < seconds(5)) {
        fixture.report(fixture.pending_message(), sync_unanswered{});
        cr_assert_eq(fixture.limits.running(sales), 1);
    }
    while (fixture.limits.running(sales) == 1 && fixture.now - last_answer < seconds(20)) {
        fixture.report(fixture.pending_message(), sync_unanswered{});
    }
    cr_assert(fixture.state("j") == job_state::unknown);
}

// Guards against starts in a zone whose removal this node may not have received.
Test(task_scheduler, starts_nothing_without_a_recent_confirmation) {
    scheduler_fixture fixture;
    fixture.confirming = false;
    fixture.now += seconds(3);
    fixture.submit("j", 2, true);
    for (int count = 0; count < 10; ++count) {
        cr_assert(fixture.answer_sync({}).start.empty());
    }
}

// Guards against a job that can never run and blocks the queue.
Test(task_scheduler, reports_a_job_that_fits_no_worker_and_starts_others) {
    scheduler_fixture fixture;
    fixture.submit("big", 9, true);
    fixture.submit("small", 1, true);
    while (fixture.pending_message().start.empty()) {
        fixture.answer_sync({});
    }
    expect_equal(fixture.pending_message().start.at(0).job.str(), "small");
    fixture.answer_sync({{task_id("small~1"), task_state::running, {}}});
    fixture.tick(milliseconds(600));
    cr_assert(fixture.state("big") == job_state::cannot_run);
    expect_equal(fixture.scheduler->find(job_id("big"))->reason,
                 "no worker has 9 processors, 100 MB of memory and 0 accelerators");
}

// Guards against a paused owner that acts on its old copy of a row that was handed over and back in
// the meantime (found by the proof task-once, seed 129).
Test(task_scheduler, reloads_a_job_whose_row_has_a_newer_generation) {
    scheduler_fixture fixture;
    fixture.submit("j", 200, false);
    job_row row = *fixture.scheduler->find(job_id("j"));
    row.generation += 2;
    row.state = job_state::started;
    row.worker = first_worker;
    row.attempt = 1;
    fixture.handle(versioned_job_row{row, ++fixture.version});
    cr_assert(fixture.state("j") == job_state::started);
    fixture.answer_sync({{task_id("j~1"), task_state::done, {}}});
    cr_assert(fixture.state("j") == job_state::done);
}

// Guards against badly served jobs that spend no error budget, or spend it twice.
Test(task_scheduler, emits_one_sli_event_for_each_job) {
    struct example {
        const char* description;
        duration wait;  ///< Time in the queue before a start is possible.
        task_state end; ///< Final state reported by the worker.
        bool lost;      ///< The worker restarts and loses the task.
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
        std::vector<job_sli_event> events;
        const auto collect = [&] {
            for (const scheduler_effect& effect : fixture.effects) {
                if (const auto* found = std::get_if<job_sli_event>(&effect)) {
                    events.push_back(*found);
                }
            }
        };
        const auto run = [&](task_state end) {
            const sync_request sent = fixture.start_non_restartable();
            fixture.report(sent,
                           item.lost
                               ? sync_result(sync_unanswered{})
                               : sync_result(sync_accepted{
                                     1, false, {8000, 8000, 0}, {{sent.start.at(0).id, end, {}}}}));
            collect();
        };
        if (item.wait > duration()) {
            fixture.confirming = false;
            fixture.now += seconds(3);
            fixture.submit("j", 2, false);
            for (duration waited{}; waited <= item.wait; waited += seconds(1)) {
                fixture.tick(seconds(1));
                collect();
            }
            cr_assert_eq(events.size(), 1,
                         "%s: a job that waits too long is reported before it starts",
                         item.description);
        } else {
            run(item.end);
            if (item.lost) {
                fixture.answer_sync({}, 2);
                collect();
            }
        }
        cr_assert_eq(events.size(), 1, "%s: %zu events", item.description, events.size());
        cr_assert(events[0].bad == item.bad && events[0].team == sales, "%s", item.description);
    }
}

// Guards against a worker on which every task fails without spending the error budget of the team.
Test(task_scheduler, emits_a_bad_event_for_a_failure_on_a_quarantined_worker) {
    scheduler_fixture fixture;
    const worker_id other("w2");
    std::vector<job_sli_event> sli_events;
    // Writes succeed; tasks end at once: they fail on the first worker and succeed on the other.
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
                const auto* event = std::get_if<job_sli_event>(&effect);
                if (event != nullptr) {
                    sli_events.push_back(*event);
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
    std::size_t bad_events = 0;
    for (int round = 0; round < 40 && !quarantined; ++round) {
        // Two jobs, each larger than half a worker, occupy both workers.
        for (const char* name : {"j", "k"}) {
            job_definition job;
            job.id = job_id(name + std::to_string(round));
            job.team = sales;
            job.size = {5000, 100, 0};
            fixture.handle(job_submission{{}, job});
            perform();
        }
        sli_events.clear();
        for (int count = 0; count < 50; ++count) {
            fixture.tick();
            perform();
        }
        quarantined = fixture.scheduler->quarantined(first_worker);
        bad_events =
            static_cast<std::size_t>(std::ranges::count(sli_events, true, &job_sli_event::bad));
        cr_assert(quarantined == (bad_events == 1), "round %d: %zu bad events", round, bad_events);
    }
    cr_assert(quarantined, "the worker on which every task fails is not quarantined");
}

// Guards against a worker that attracts all work because it fails every task at once.
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
    cr_assert(!health->usable(0, probe), "a second task was allowed during the probe");
    health->handle(0, attempt_failed{}, probe);
    cr_assert(!health->usable(0, probe + seconds(19)), "the backoff delay did not double");
    health->handle(0, attempt_started{}, probe + seconds(20));
    health->handle(0, attempt_succeeded{}, probe + seconds(20));
    cr_assert(!health->quarantined(0));
}

// Guards against tasks that fail by themselves on every worker and so close the fleet for others.
Test(worker_health, uses_all_workers_while_most_are_quarantined) {
    auto health = worker_health::create(installed_chart("worker_health"), {});
    cr_assert(health.ok());
    constexpr std::size_t workers = 4;
    const instant start{};
    for (std::size_t worker = 0; worker < workers; ++worker) {
        health->add(worker);
        for (int count = 0; count < 20; ++count) {
            health->handle(worker, attempt_succeeded{}, start);
        }
    }
    const instant later = start + seconds(300);
    const auto fail_often = [&](std::size_t worker) {
        for (int count = 0; count < 20; ++count) {
            health->handle(worker, attempt_failed{}, later);
        }
    };
    fail_often(0);
    fail_often(1);
    cr_assert(!health->usable(0, later) && !health->usable(1, later));
    fail_often(2);
    for (std::size_t worker = 0; worker < workers; ++worker) {
        cr_assert(health->usable(worker, later), "worker %zu is closed", worker);
    }
    health->handle(3, worker_removed{}, later);
    health->handle(0, attempt_started{}, later);
    health->handle(0, attempt_succeeded{}, later);
    cr_assert(!health->quarantined(0));
    cr_assert(health->usable(1, later), "two of three are quarantined");
    health->handle(1, attempt_started{}, later);
    health->handle(1, attempt_succeeded{}, later);
    cr_assert(!health->usable(2, later), "one of three is quarantined");
}

// Guards against tasks that keep running on units already given to other nodes, when this node is
// cut off from the table and its peers for longer than its registration lasts.
Test(task_scheduler, stops_renewing_leases_before_its_units_return_to_the_fleet) {
    constexpr duration units_return = seconds(30);
    const task_report running{task_id("j~1"), task_state::running, {}};
    scheduler_fixture fixture;
    fixture.start_non_restartable();
    fixture.answer_sync({running});
    cr_assert(fixture.state("j") == job_state::started);
    const instant lost_at = fixture.now;
    fixture.limits.set_held_until(lost_at);
    instant last_renewal = lost_at;
    while (fixture.now < lost_at + units_return) {
        fixture.limits.set_now(fixture.now);
        fixture.tick();
        if (!fixture.unanswered) {
            continue;
        }
        if (fixture.unanswered->lease > duration::zero()) {
            last_renewal = fixture.now;
        }
        fixture.report(*fixture.unanswered, sync_accepted{1, false, {8000, 8000, 0}, {running}});
    }
    cr_assert(last_renewal > lost_at,
              "the lease was not renewed after a short loss of the registration");
    cr_assert(last_renewal + scheduler_options().lease + scheduler_options().sync_timeout <
              lost_at + units_return);
}

// Guards against a team that stays below its share at a node because all its jobs are queued at
// other nodes.
Test(task_scheduler, hands_half_of_its_queued_jobs_to_a_node_without_any) {
    scheduler_fixture fixture;
    fixture.add_peer_and_fill_worker();
    const std::vector<job_id> handed_over = fixture.jobs_handed_to_peer(seconds(3));
    const std::vector<job_id> newest{job_id("j8"), job_id("j7"), job_id("j6"), job_id("j5")};
    cr_assert(handed_over == newest);
}

// Guards against jobs that move back and forth between nodes with queues of similar length.
Test(task_scheduler, keeps_its_queued_jobs_while_the_peer_has_enough) {
    scheduler_fixture fixture;
    fixture.add_peer_and_fill_worker();
    for (int count = 0; count < 4; ++count) {
        job_row row;
        row.job.id = job_id("k" + std::to_string(count));
        row.job.team = sales;
        row.owner = node_id("n2");
        row.epoch = 8;
        fixture.handle(versioned_job_row{row, ++fixture.version});
    }
    cr_assert(fixture.jobs_handed_to_peer(seconds(5)).empty());
}

// Guards against jobs that are handed over to a node in a zone where nothing may start.
Test(task_scheduler, hands_no_queued_job_to_a_removed_zone) {
    scheduler_fixture fixture;
    fleet_configuration fleet;
    fleet.version = 1;
    fleet.removals.push_back({zone_id("b"), "maintenance"});
    fixture.scheduler->configure(fleet);
    fixture.add_peer_and_fill_worker();
    cr_assert(fixture.jobs_handed_to_peer(seconds(5)).empty());
}

// Guards against a placement pass at every tick or answer that changes nothing. The review, twice a
// second, covers changes that depend only on time.
Test(task_scheduler, places_queued_jobs_only_after_a_change) {
    scheduler_fixture fixture;
    fixture.add_peer_and_fill_worker();
    fixture.jobs_handed_to_peer(seconds(5));
    const std::uint64_t before = fixture.scheduler->counts().placement_passes;
    fixture.jobs_handed_to_peer(seconds(10));
    cr_assert_leq(fixture.scheduler->counts().placement_passes - before, 20);
    fixture.submit("late", 8, true);
    const std::uint64_t waiting = fixture.scheduler->counts().placement_passes;
    fixture.tick();
    cr_assert_eq(fixture.scheduler->counts().placement_passes, waiting + 1);
}

// Guards against a team that starts ever more tasks because throttling keeps its usage at its
// share.
Test(share_ledger, counts_what_throttled_tasks_would_use_without_the_throttle) {
    share_ledger ledger(seconds(30));
    ledger.set_capacity({10000, 10000, 0});
    ledger.add(sales, {3000, 0, 0}, 60);
    cr_assert_float_eq(ledger.priority(sales), 0.3, 1e-9);
    cr_assert_float_eq(ledger.unthrottled_priority(sales), 0.5, 1e-9);
}

// Guards against units that stay idle on other nodes because the scheduler never requests them.
Test(task_scheduler, requests_more_units_when_jobs_wait_for_them) {
    scheduler_fixture fixture;
    fixture.limits.set_units(sales, 1);
    fixture.start_non_restartable();
    fixture.limits.take_refused(sales);
    fixture.submit("k", 2, false);
    fixture.tick();
    cr_assert(fixture.limits.take_refused(sales));
}

// Guards against a queued job of a stopping node that is reported as too large for every worker
// because it arrives before the workers of that node.
Test(task_scheduler, rejects_no_job_as_too_large_while_a_node_hands_over) {
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

// Guards against a worker that is released before the rows of its jobs name the next owner.
Test(task_scheduler, hands_over_the_rows_before_the_worker) {
    scheduler_fixture fixture;
    const live_member self{node_id("n1"), zone_id("a"), 7};
    const live_member next{node_id("n2"), zone_id("b"), 8};
    const member_id next_id{next.id, next.incarnation};
    fixture.handle(member_listing{{self, next}});
    fixture.start_non_restartable();
    fixture.answer_sync({{task_id("j~1"), task_state::running, {}}});
    fixture.handle(scheduler_stop{});
    const auto* notice = fixture.effect<send_peer>();
    cr_assert(notice != nullptr && notice->to == next.id);
    cr_assert(std::get<job_handover>(notice->message).workers.empty());
    fixture.handle(handover_received{next_id, {{}, {}, true}});
    fixture.tick();
    const auto* row = fixture.effect<write_job>();
    cr_assert(row != nullptr && row->row.owner == next.id && row->row.generation == 1);
    cr_assert(fixture.scheduler->holds_lease(first_worker),
              "the worker was released before the row was written");
    fixture.confirm_write();
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

// Guards against a next owner that acquires a worker whose lease the stopping node still renews.
Test(task_scheduler, acquires_a_worker_of_a_stopping_node_after_its_release) {
    scheduler_fixture fixture;
    const live_member self{node_id("n1"), zone_id("a"), 7};
    const live_member other{node_id("n2"), zone_id("b"), 8};
    const member_id other_id{other.id, other.incarnation};
    const worker_id worker("w2");
    fixture.handle(member_listing{{self, other}});
    fixture.handle(worker_listing{{{worker, zone_id("b"), {"127.0.0.1", 2}, false}}});
    fixture.handle(handover_received{other_id, {}});
    cr_assert(fixture.effect<acquire_worker_lease>() == nullptr,
              "acquired while the stopping node still renews the lease");
    fixture.handle(handover_received{other_id, {{}, {worker}, false}});
    cr_assert(fixture.effect<acquire_worker_lease>() != nullptr);
    fixture.handle(worker_lease_granted{worker, 20});
    fixture.handle(handover_received{other_id, {{}, {worker}, false}});
    const auto* reply = fixture.effect<send_peer>();
    cr_assert(reply != nullptr && std::get<job_handover>(reply->message).confirms);
    cr_assert(std::get<job_handover>(reply->message).workers.size() == 1);
}
