#include "dispatch_fixture.h"

#include <algorithm>

using namespace citronford;

// Guards against completions that are acknowledged before they are stored, which a crash of the
// owner would lose, and against a step that starts before the earlier one is done.
Test(dispatcher, runs_the_steps_in_order_and_saves_completions_before_it_acknowledges_them) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    fixture.add_workflow(job, false);
    fixture.tick();
    cr_assert(fixture.starts.size() == 1);
    fixture.handle(start_answered{fixture.starts[0].run, command_accepted{1000}});
    fixture.confirm_save();
    fixture.tick();
    fixture.answer_poll(first, {}, {completion_of(1, 1, completion_kind::done)});
    fixture.tick();
    cr_assert(fixture.saving, "the completion is not being saved");
    fixture.tick(milliseconds(20));
    cr_assert(fixture.last_poll(first).acknowledged_completion == 0,
              "the completion was acknowledged before it was saved");
    fixture.confirm_save();
    fixture.tick();
    cr_assert(fixture.last_poll(first).acknowledged_completion == 1);
    cr_assert(fixture.starts.size() == 2 && fixture.starts[1].command.task.step == 1);
}

// Guards against polls that saturate the link of a new owner while it loads its workflows: each
// reply contains all unacknowledged completions (kettunen-lavat-grown trouble-3). Leases must still
// be renewed.
Test(dispatcher, polls_rarely_while_the_pool_waits_for_workflows) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.handle(backends_loaded{});
    std::size_t answered = 0;
    for (int round = 0; round < 200; ++round) {
        fixture.tick();
        if (fixture.polls.size() > answered) {
            answered = fixture.polls.size();
            fixture.answer_poll(first, {reported_run(1)}, {});
        }
    }
    cr_assert(answered >= 4 && answered <= 7, "%zu polls in 4 s", answered);
    const auto renewals = std::ranges::count_if(
        fixture.polls, [](const send_poll& poll) { return poll.request.lease_until.has_value(); });
    cr_assert(renewals >= 2, "%td renewals", renewals);
}

// Guards against a second execution of an ended workflow whose row is delivered again, which
// happens after the store has dropped its change history.
Test(dispatcher, ignores_rows_of_workflows_that_have_ended) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.add_workflow(job, false);
    fixture.handle(workflow_cancelled{job});
    fixture.tick();
    fixture.confirm_save();
    fixture.add_workflow(job, false);
    fixture.tick();
    cr_assert(fixture.starts.empty());
}

// Guards against a workflow that fails too early: a server that was deregistered and registered
// again reported a failure a second time, and it was counted twice (pf-citron, hunt-8e3a-27).
Test(dispatcher, counts_a_failure_once) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.add_workflow(job, true);
    fixture.finish_loading();
    fixture.tick(seconds(1));
    for (int time = 0; time < 3; ++time) {
        fixture.answer_poll(first, {}, {completion_of(1, 1, completion_kind::failed)});
        fixture.handle(backend_deregistered{first});
        fixture.confirm_save();
        fixture.tick();
        fixture.confirm_save();
        fixture.tick();
        fixture.register_backend(first);
        fixture.tick();
    }
    cr_assert(fixture.saved.back().progress.state != workflow_state::failed);
}

// Guards against starting a task a second time after the owner's lease has expired: the next owner
// may have renewed the lease of the first run.
Test(dispatcher, expires_no_run_after_its_own_lease_has_expired) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.register_backend(second);
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.answer_poll(second, {}, {});
    fixture.tick();
    fixture.add_workflow(job, false);
    fixture.tick();
    cr_assert(fixture.starts.size() == 1);
    const backend_id where = fixture.starts[0].to.id;
    fixture.handle(start_answered{fixture.starts[0].run, command_accepted{1000}});
    fixture.handle(poll_answered{where, command_in_doubt{}});
    // The owner's lease has expired, but it may still send commands; all run leases would be over.
    fixture.now += seconds(20);
    fixture.handle(ownership_extended{fixture.now - seconds(15), fixture.now + seconds(1)});
    fixture.handle(dispatch_tick{1});
    cr_assert(fixture.starts.size() == 1, "started again without the owner's lease");
    fixture.tick();
    fixture.answer_poll(where == first ? second : first, {}, {});
    fixture.tick();
    cr_assert(fixture.starts.size() == 2,
              "not started again after the owner has renewed its lease");
}

// Guards against acknowledging completions of a server that restarted unnoticed: its completion
// numbers start again at 1, so they would be dropped unread.
Test(dispatcher, acknowledges_nothing_after_a_gap) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.add_workflow(job, false);
    fixture.tick();
    fixture.tick();
    fixture.handle(start_answered{fixture.starts[0].run, command_accepted{1000}});
    fixture.tick();
    fixture.answer_poll(first, {}, {completion_of(4, 1, completion_kind::done)});
    fixture.tick();
    fixture.confirm_save();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.tick(seconds(10));
    fixture.add_workflow(job_id("later"), false);
    fixture.tick();
    fixture.tick();
    cr_assert(fixture.last_poll(first).acknowledged_completion == 0);
    cr_assert(!fixture.last_poll(first).lease_until);
}

// Guards against two runs of a task: the answer to a start was lost and the task was started again
// beside the first run.
Test(dispatcher, resolves_an_unanswered_start_by_a_poll_and_a_stop) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.add_workflow(job, false);
    fixture.tick();
    fixture.tick();
    cr_assert(fixture.starts.size() == 1);
    fixture.handle(start_answered{fixture.starts[0].run, command_in_doubt{}});
    fixture.tick();
    fixture.answer_poll(first, {}, {}); // This poll was sent before the start timed out.
    cr_assert(fixture.stops.empty());
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    cr_assert(fixture.stops.size() == 1, "no stop was sent for the run that is not reported");
    cr_assert(fixture.starts.size() == 1);
    fixture.handle(stop_answered{fixture.stops[0].run, command_accepted{1000}});
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    fixture.tick();
    cr_assert(fixture.starts.size() == 2 && fixture.starts[1].command.run == 2);
}

// Guards against completions that servers report again and again while more workflows change than
// one transaction saves.
Test(dispatcher, acknowledges_what_is_saved_while_other_changes_wait) {
    dispatch_fixture fixture;
    backend_registration registration;
    registration.id = first;
    registration.pool = pool;
    registration.capacity = {1000000, 1000000, 0};
    fixture.handle(backend_registered{registration});
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    fixture.add_workflow(job, false);
    for (int index = 0; index < 200; ++index) {
        fixture.add_workflow(job_id("job-" + std::to_string(index)), false);
    }
    fixture.now += milliseconds(20);
    fixture.renew_ownership();
    fixture.handle(dispatch_tick{1});
    cr_assert(fixture.starts.size() == 201 && fixture.saving);
    for (const send_start& start : fixture.starts) {
        fixture.handle(start_answered{start.run, command_accepted{1000}});
    }
    fixture.confirm_save();
    fixture.answer_poll(first, {}, {completion_of(1, 1, completion_kind::done)});
    // Another 111 changes were waiting before that of the completion; each save takes 90.
    for (int saves = 0; saves < 2; ++saves) {
        fixture.tick();
        cr_assert(fixture.saved.size() <= 90 && fixture.saving);
        fixture.confirm_save();
    }
    fixture.add_workflow(job_id("another"), false);
    fixture.tick();
    fixture.tick(seconds(1));
    cr_assert(fixture.last_poll(first).acknowledged_completion == 1, "%llu acknowledged",
              static_cast<unsigned long long>(fixture.last_poll(first).acknowledged_completion));
}

// Guards against a fleet that saves nothing because the table rejects the row of one workflow, and
// against a row that is written again without a pause.
Test(dispatcher, saves_other_workflows_while_a_row_is_rejected) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.add_workflow(job, false);
    fixture.tick();
    fixture.tick();
    cr_assert(fixture.saving && fixture.saved.size() == 1);
    fixture.saving = false;
    fixture.handle(progress_saved{{job}});
    fixture.tick();
    cr_assert(!fixture.saving, "written again without a pause");
    fixture.add_workflow(job_id("other"), false);
    fixture.tick();
    cr_assert(fixture.saving && fixture.saved.size() == 1 &&
              fixture.saved[0].job == job_id("other"));
    fixture.confirm_save();
    fixture.tick(seconds(6));
    cr_assert(fixture.saving && fixture.saved.size() == 1 && fixture.saved[0].job == job);
}

// Guards against progress that grows with each failure of a long-running task, which is restarted
// without limit.
Test(dispatcher, keeps_only_the_last_failure_of_a_long_running_task) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    accepted_workflow row;
    row.id = job;
    row.queue = queue;
    row.pool = pool;
    workflow_step step;
    step.tasks = 1;
    step.size = {1000, 10, 0};
    step.long_running = true;
    row.spec.steps = {step};
    fixture.handle(workflow_found{row, {}, false});
    for (std::uint64_t failure = 1; failure <= 20; ++failure) {
        for (int round = 0; round < 400 && fixture.starts.size() < failure; ++round) {
            fixture.tick();
            fixture.answer_poll(first, {}, {});
            fixture.confirm_save();
        }
        cr_assert(fixture.starts.size() == failure, "not restarted");
        const send_start start = fixture.starts.back();
        fixture.handle(start_answered{start.run, command_accepted{1000}});
        fixture.answer_poll(first, {},
                            {completion_of(failure, start.command.run, completion_kind::failed)});
        fixture.tick();
    }
    cr_assert(fixture.saved.back().progress.failures.size() == 1);
    cr_assert(fixture.saved.back().progress.failures[0].runs.size() == 1);
    cr_assert(fixture.saved.back().progress.state == workflow_state::running);
}
