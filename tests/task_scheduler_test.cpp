#include "test_support.h"

#include "citronford/task_scheduler.h"

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
        cr_assert(effect<take_worker_lease>() != nullptr);
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
        report(sent, sync_done{incarnation, false, {8000, 8000, 0}, tasks});
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
    fixture.report(sent, sync_lost{});
    cr_assert(fixture.answer({}, 2).start.empty(), "the start was sent again");
    cr_assert(fixture.state("j") == job_state::unknown);
}

// Guards against calling a task unknown that certainly did not start.
Test(task_scheduler, queues_a_lost_start_again_when_the_worker_did_not_get_it) {
    scheduler_fixture fixture;
    const sync_request sent = fixture.start_once();
    fixture.report(sent, sync_lost{});
    fixture.answer({}, 1);
    cr_assert(fixture.state("j") == job_state::queued);
    cr_assert_eq(fixture.limits.running(sales), 0);
}

// Guards against a unit that is used again while a silent worker may still run its task.
Test(task_scheduler, holds_the_unit_until_the_lease_of_a_silent_worker_is_over) {
    scheduler_fixture fixture;
    const sync_request sent = fixture.start_once();
    fixture.report(
        sent, sync_done{1, false, {8000, 8000, 0}, {{task_id("j~1"), task_state::running, {}}}});
    const instant last_answer = fixture.now;
    while (fixture.now - last_answer < seconds(5)) {
        fixture.report(fixture.message(), sync_lost{});
        cr_assert_eq(fixture.limits.running(sales), 1);
    }
    while (fixture.limits.running(sales) == 1 && fixture.now - last_answer < seconds(20)) {
        fixture.report(fixture.message(), sync_lost{});
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
    fixture.handle(job_row_seen{row, ++fixture.version});
    cr_assert(fixture.state("j") == job_state::started);
    fixture.answer({{task_id("j~1"), task_state::done, {}}});
    cr_assert(fixture.state("j") == job_state::done);
}

// Guards against a worker that attracts all work by failing it at once.
Test(worker_health, quarantines_a_worker_that_fails_far_more_than_its_peers) {
    auto health = worker_health::create(installed_chart("worker_health"), {});
    cr_assert(health.ok());
    health->add(0);
    health->add(1);
    const instant start{};
    for (int count = 0; count < 20; ++count) {
        health->handle(1, task_succeeded{}, start);
    }
    for (int count = 0; count < 3; ++count) {
        cr_assert(health->usable(0, start));
        health->handle(0, task_broke{}, start);
    }
    cr_assert(!health->usable(0, start));
    const instant probe = start + seconds(10);
    cr_assert(health->usable(0, probe));
    health->handle(0, task_sent{}, probe);
    cr_assert(!health->usable(0, probe), "one task tries the worker");
    health->handle(0, task_broke{}, probe);
    cr_assert(!health->usable(0, probe + seconds(19)), "the pause doubles");
    health->handle(0, task_sent{}, probe + seconds(20));
    health->handle(0, task_succeeded{}, probe + seconds(20));
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
        fixture.report(*fixture.open, sync_done{1, false, {8000, 8000, 0}, {running}});
    }
    cr_assert(last_renewal > lost_at, "a short loss must not end a task");
    cr_assert(last_renewal + scheduler_options().lease + scheduler_options().sync_timeout <
              lost_at + units_return);
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
    fixture.handle(handover_heard{{other.id, other.incarnation}, {}});
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
    fixture.handle(handover_heard{next_id, {{}, {}, true}});
    fixture.tick();
    const auto* row = fixture.effect<write_job>();
    cr_assert(row != nullptr && row->row.owner == next.id && row->row.generation == 1);
    cr_assert(fixture.scheduler->holds(first_worker), "the row is not written yet");
    fixture.written();
    fixture.tick();
    cr_assert(!fixture.scheduler->holds(first_worker));
    const auto* offer = fixture.effect<send_peer>();
    cr_assert(offer != nullptr);
    const auto& offered = std::get<job_handover>(offer->message);
    expect_equal(offered.workers.at(0).str(), first_worker.str());
    expect_equal(offered.jobs.at(0).str(), std::string("j"));
    cr_assert(fixture.scheduler->open_handovers() == 2);
    fixture.handle(handover_heard{next_id, {offered.jobs, offered.workers, true}});
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
    fixture.handle(handover_heard{other_id, {}});
    cr_assert(fixture.effect<take_worker_lease>() == nullptr, "the lease is still renewed");
    fixture.handle(handover_heard{other_id, {{}, {worker}, false}});
    cr_assert(fixture.effect<take_worker_lease>() != nullptr);
    fixture.handle(worker_lease_granted{worker, 20});
    fixture.handle(handover_heard{other_id, {{}, {worker}, false}});
    const auto* reply = fixture.effect<send_peer>();
    cr_assert(reply != nullptr && std::get<job_handover>(reply->message).confirms);
    cr_assert(std::get<job_handover>(reply->message).workers.size() == 1);
}
