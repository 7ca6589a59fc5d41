#include "test_support.h"

#include "citronford/dispatcher.h"

#include <algorithm>

using namespace citronford;

namespace {

const pool_id pool("pool");
const queue_id queue("queue");
const job_id job("job");
const backend_id first("i-1");
const backend_id second("i-2");

/// A dispatcher with two servers of four cores and a queue with three attempts.
struct dispatch_fixture {
    std::unique_ptr<dispatcher> decisions;
    instant now{seconds(100)};
    std::vector<send_start> starts;
    std::vector<send_stop> stops;
    std::vector<send_poll> looks;
    std::vector<progress_row> saved;
    bool saving = false;

    dispatch_fixture() {
        static const chart workflow = installed_chart("workflow");
        static const chart run = installed_chart("task_run");
        static const chart contact = installed_chart("backend_contact");
        dispatch_options options;
        options.token = 5;
        auto created = dispatcher::create({workflow, run, contact}, options, now);
        cr_assert(created.ok(), "%s", created.status().ToString().c_str());
        decisions = *std::move(created);
        queue_definition definition;
        definition.name = queue;
        definition.pool = pool;
        definition.attempts = 3;
        handle(catalog_applied{std::make_shared<queue_catalog>(
            1, std::vector{definition}, std::vector{catalog_pool{pool, true, false}},
            std::vector<catalog_team>{})});
        extend();
    }

    void handle(const dispatch_input& input) {
        for (const dispatch_effect& effect : decisions->handle(input, now)) {
            if (const auto* start = std::get_if<send_start>(&effect)) {
                starts.push_back(*start);
            } else if (const auto* stop = std::get_if<send_stop>(&effect)) {
                stops.push_back(*stop);
            } else if (const auto* look = std::get_if<send_poll>(&effect)) {
                looks.push_back(*look);
            } else if (const auto* save = std::get_if<save_progress>(&effect)) {
                saved = save->rows;
                saving = true;
            }
        }
    }

    void extend() { handle(ownership_extended{now + seconds(2), now + seconds(5)}); }

    void tick(duration passed = milliseconds(20)) {
        now += passed;
        extend();
        handle(dispatch_tick{1});
    }

    void list(const backend_id& id) {
        backend_registration registration;
        registration.id = id;
        registration.pool = pool;
        registration.capacity = {4000, 4000, 0};
        handle(backend_registered{registration});
    }

    void find(const job_id& id, bool stored_before, std::uint32_t tasks = 1,
              const workflow_progress& progress = {}) {
        accepted_workflow row;
        row.id = id;
        row.queue = queue;
        row.pool = pool;
        row.spec.steps = {{.tasks = tasks, .size = {1000, 10, 0}, .estimate = milliseconds(500)},
                          {.tasks = 1, .size = {1000, 10, 0}, .after = {0}}};
        handle(workflow_found{row, progress, stored_before});
    }

    void loaded() {
        handle(workflows_loaded{});
        handle(backends_loaded{});
    }

    void show(const backend_id& id, std::vector<running_task> running,
              std::vector<run_completion> ended) {
        handle(poll_answered{id, poll_reply{1000, 7, std::move(running), std::move(ended)}});
    }

    void save() {
        if (std::exchange(saving, false)) {
            handle(progress_saved{});
        }
    }

    [[nodiscard]] const poll_request& last_look(const backend_id& id) const {
        const auto found = std::ranges::find(looks.rbegin(), looks.rend(), id,
                                             [](const auto& look) { return look.to.id; });
        cr_assert(found != looks.rend());
        return found->order;
    }
};

run_completion end_of(std::uint64_t number, std::uint32_t run, completion_kind kind,
                      std::uint32_t index = 0) {
    return {number, {job, 0, 0, index}, run, kind, ""};
}

running_task run_of(std::uint32_t run, std::uint32_t index = 0) {
    return {{job, 0, 0, index}, run, "", 100, 0};
}

} // namespace

// Guards against the basic path: a task starts on a server that was read, its end is saved before
// it is acknowledged, and the next step starts after it.
Test(dispatcher, runs_the_steps_in_order_and_saves_ends_before_it_acknowledges_them) {
    dispatch_fixture fixture;
    fixture.list(first);
    fixture.loaded();
    fixture.tick();
    fixture.show(first, {}, {});
    fixture.tick();
    fixture.find(job, false);
    fixture.tick();
    cr_assert(fixture.starts.size() == 1);
    fixture.handle(start_answered{fixture.starts[0].run, command_accepted{1000}});
    fixture.save();
    fixture.tick();
    fixture.show(first, {}, {end_of(1, 1, completion_kind::done)});
    fixture.tick();
    cr_assert(fixture.saving, "the end is to be saved");
    fixture.tick(milliseconds(20));
    cr_assert(fixture.last_look(first).acknowledged_completion == 0,
              "acknowledged before it was saved");
    fixture.save();
    fixture.tick();
    cr_assert(fixture.last_look(first).acknowledged_completion == 1);
    cr_assert(fixture.starts.size() == 2 && fixture.starts[1].order.task.step == 1);
}

// Guards against looks that fill the link of a new owner while it reads its workflows: each brings
// the whole list of ends (kettunen-lavat-grown trouble-3). Leases are renewed all the same.
Test(dispatcher, looks_seldom_at_servers_whose_pool_waits_for_workflows) {
    dispatch_fixture fixture;
    fixture.list(first);
    fixture.handle(backends_loaded{});
    std::size_t answered = 0;
    for (int round = 0; round < 200; ++round) {
        fixture.tick();
        if (fixture.looks.size() > answered) {
            answered = fixture.looks.size();
            fixture.show(first, {run_of(1)}, {});
        }
    }
    cr_assert(answered >= 4 && answered <= 7, "%zu looks in 4 s", answered);
    const auto renewals = std::ranges::count_if(
        fixture.looks, [](const send_poll& look) { return look.order.lease_until.has_value(); });
    cr_assert(renewals >= 2, "%td renewals", renewals);
}

// Guards against a second run of a workflow whose rows are delivered again after its end, as after
// the store has dropped its history.
Test(dispatcher, ignores_rows_of_workflows_that_have_ended) {
    dispatch_fixture fixture;
    fixture.list(first);
    fixture.loaded();
    fixture.tick();
    fixture.show(first, {}, {});
    fixture.find(job, false);
    fixture.handle(workflow_cancelled{job});
    fixture.tick();
    fixture.save();
    fixture.find(job, false);
    fixture.tick();
    cr_assert(fixture.starts.empty());
}

// Guards against too many attempts after a takeover: a failed end behind a run that goes on was
// skipped.
Test(dispatcher, counts_failures_behind_an_adopted_run) {
    dispatch_fixture fixture;
    fixture.list(first);
    fixture.list(second);
    fixture.find(job, true);
    fixture.loaded();
    fixture.tick();
    fixture.show(first, {},
                 {end_of(1, 1, completion_kind::failed), end_of(2, 2, completion_kind::failed)});
    fixture.show(second, {run_of(3)}, {});
    fixture.tick();
    fixture.tick();
    fixture.save();
    fixture.show(second, {}, {end_of(1, 3, completion_kind::failed)});
    fixture.tick();
    cr_assert(fixture.starts.empty(), "all attempts are spent");
    cr_assert(fixture.saved.back().progress.state == workflow_state::failed);
}

// Guards against a workflow that is shown as failed too soon: a server that left the list and came
// back showed a failed end a second time, and it counted twice (pf-citron, hunt-8e3a-27).
Test(dispatcher, counts_a_failed_end_once) {
    dispatch_fixture fixture;
    fixture.list(first);
    fixture.find(job, true);
    fixture.loaded();
    fixture.tick(seconds(1));
    for (int time = 0; time < 3; ++time) {
        fixture.show(first, {}, {end_of(1, 1, completion_kind::failed)});
        fixture.handle(backend_deregistered{first});
        fixture.save();
        fixture.tick();
        fixture.save();
        fixture.tick();
        fixture.list(first);
        fixture.tick();
    }
    cr_assert(fixture.saved.back().progress.state != workflow_state::failed);
}

// Guards against two runs of a task: while a server is unread, a task of an earlier owner may run
// there, also one of a step that opens only now.
Test(dispatcher, holds_back_unaccounted_tasks_while_a_server_is_unread) {
    dispatch_fixture fixture;
    fixture.list(first);
    fixture.list(second);
    fixture.find(job, true);
    fixture.find(job_id("new"), false);
    fixture.loaded();
    fixture.tick();
    fixture.show(first, {}, {end_of(1, 1, completion_kind::done)});
    fixture.handle(poll_answered{second, backend_unreachable{}});
    fixture.tick(seconds(1));
    fixture.save();
    fixture.tick();
    fixture.show(first, {}, {});
    fixture.tick();
    cr_assert(std::ranges::all_of(fixture.starts, [](const send_start& start) {
        return start.order.task.job == job_id("new");
    }));
    fixture.handle(
        poll_answered{second, poll_reply{1000, 7, {{{job, 0, 1, 0}, 1, "", 100, 0}}, {}}});
    fixture.tick();
    cr_assert(fixture.decisions->counts().runs >= 1);
    cr_assert(std::ranges::none_of(
        fixture.starts, [](const send_start& start) { return start.order.task.job == job; }));
}

// Guards against one attempt too many: a server that cannot be read may hold the failure of a run
// that an earlier owner started (proof workflow-attempts, seed 167).
Test(dispatcher, starts_no_last_attempt_while_a_server_may_hold_a_failure) {
    dispatch_fixture fixture;
    fixture.list(first);
    fixture.list(second);
    workflow_progress progress;
    progress.state = workflow_state::running;
    progress.failures = {{0, 0, 0, {1, 2}}};
    fixture.find(job, true, 1, progress);
    fixture.loaded();
    fixture.tick();
    fixture.show(first, {}, {});
    fixture.handle(poll_answered{second, backend_unreachable{}});
    fixture.tick(seconds(20));
    fixture.show(first, {}, {});
    fixture.tick();
    cr_assert(fixture.starts.empty(), "the leases are over, but not what is known of the ends");
    fixture.show(second, {}, {end_of(1, 3, completion_kind::failed)});
    fixture.tick();
    fixture.save();
    fixture.tick();
    cr_assert(fixture.starts.empty());
    cr_assert(fixture.saved.back().progress.state == workflow_state::failed);
}

// Guards against tasks that wait for the leases of an earlier owner because a server that a moved
// VM has left is still registered and cannot be read.
Test(dispatcher, does_not_wait_for_servers_that_no_vm_has_any_more) {
    dispatch_fixture fixture;
    fixture.list(first);
    fixture.list(second);
    fixture.find(job, true);
    fixture.loaded();
    fixture.tick();
    fixture.show(first, {}, {});
    fixture.handle(poll_answered{second, backend_unreachable{}});
    fixture.tick(seconds(1));
    fixture.handle(present_backends{{first}});
    fixture.tick();
    cr_assert(fixture.starts.empty(), "one list may be older than the server");
    fixture.handle(present_backends{{first}});
    fixture.show(first, {}, {});
    fixture.tick();
    cr_assert(fixture.starts.size() == 1);
    cr_assert(fixture.starts[0].to.id == first);
}

// Guards against runs of a cancelled workflow that are adopted and never stopped.
Test(dispatcher, stops_runs_of_a_workflow_that_was_cancelled_before_the_takeover) {
    dispatch_fixture fixture;
    fixture.list(first);
    fixture.find(job, true);
    fixture.handle(workflow_cancelled{job});
    fixture.loaded();
    fixture.tick();
    fixture.show(first, {run_of(1)}, {});
    fixture.tick();
    cr_assert(fixture.stops.size() == 1 && fixture.stops[0].order.run == 1);
}

// Guards against a restart of tasks whose leases the next owner may have renewed.
Test(dispatcher, takes_no_run_as_lapsed_once_its_own_lease_is_over) {
    dispatch_fixture fixture;
    fixture.list(first);
    fixture.list(second);
    fixture.loaded();
    fixture.tick();
    fixture.show(first, {}, {});
    fixture.show(second, {}, {});
    fixture.tick();
    fixture.find(job, false);
    fixture.tick();
    cr_assert(fixture.starts.size() == 1);
    const backend_id where = fixture.starts[0].to.id;
    fixture.handle(start_answered{fixture.starts[0].run, command_accepted{1000}});
    fixture.handle(poll_answered{where, command_in_doubt{}});
    // The lease of the owner ends; it may act on for a while, and time passes beyond all leases.
    fixture.now += seconds(20);
    fixture.handle(ownership_extended{fixture.now - seconds(15), fixture.now + seconds(1)});
    fixture.handle(dispatch_tick{1});
    cr_assert(fixture.starts.size() == 1, "started again");
    fixture.tick();
    fixture.show(where == first ? second : first, {}, {});
    fixture.tick();
    cr_assert(fixture.starts.size() == 2, "its lease is back, so no other owner has renewed");
}

// Guards against VMs that are taken away with tasks of an earlier owner on them.
Test(dispatcher, tells_no_loads_before_the_pool_is_settled) {
    dispatch_fixture fixture;
    fixture.list(first);
    fixture.handle(backends_loaded{});
    fixture.tick();
    fixture.show(first, {run_of(1)}, {});
    fixture.tick();
    cr_assert(fixture.decisions->backend_loads().empty());
    fixture.find(job, true);
    fixture.handle(workflows_loaded{});
    fixture.tick();
    cr_assert(fixture.decisions->backend_loads().size() == 1);
    cr_assert(fixture.decisions->backend_loads().front().runs == 1);
}

// Guards against ends of a server that restarted unseen: its numbers begin anew.
Test(dispatcher, acknowledges_nothing_after_a_gap) {
    dispatch_fixture fixture;
    fixture.list(first);
    fixture.loaded();
    fixture.tick();
    fixture.show(first, {}, {});
    fixture.find(job, false);
    fixture.tick();
    fixture.tick();
    fixture.handle(start_answered{fixture.starts[0].run, command_accepted{1000}});
    fixture.tick();
    fixture.show(first, {}, {end_of(4, 1, completion_kind::done)});
    fixture.tick();
    fixture.save();
    fixture.tick();
    fixture.show(first, {}, {});
    fixture.tick(seconds(10));
    fixture.find(job_id("later"), false);
    fixture.tick();
    fixture.tick();
    cr_assert(fixture.last_look(first).acknowledged_completion == 0);
    cr_assert(!fixture.last_look(first).lease_until);
}

// Guards against a start whose answer was lost and that runs beside the next one.
Test(dispatcher, settles_an_unanswered_start_by_a_look_and_a_stop) {
    dispatch_fixture fixture;
    fixture.list(first);
    fixture.loaded();
    fixture.tick();
    fixture.show(first, {}, {});
    fixture.find(job, false);
    fixture.tick();
    fixture.tick();
    cr_assert(fixture.starts.size() == 1);
    fixture.handle(start_answered{fixture.starts[0].run, command_in_doubt{}});
    fixture.tick();
    fixture.show(first, {}, {}); // Asked before the doubt.
    cr_assert(fixture.stops.empty());
    fixture.tick();
    fixture.show(first, {}, {});
    fixture.tick();
    cr_assert(fixture.stops.size() == 1, "a run that is not listed is barred by a stop");
    cr_assert(fixture.starts.size() == 1);
    fixture.handle(stop_answered{fixture.stops[0].run, command_accepted{1000}});
    fixture.tick();
    fixture.show(first, {}, {});
    fixture.tick();
    fixture.tick();
    cr_assert(fixture.starts.size() == 2 && fixture.starts[1].order.run == 2);
}
