#include "dispatch_fixture.h"

#include <algorithm>

using namespace citronford;

// Guards against too many attempts after a takeover: failures of earlier runs were skipped when a
// later run of the task was adopted.
Test(dispatcher_takeover, counts_failures_before_an_adopted_run) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.register_backend(second);
    fixture.add_workflow(job, true);
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {},
                        {completion_of(1, 1, completion_kind::failed),
                         completion_of(2, 2, completion_kind::failed)});
    fixture.answer_poll(second, {reported_run(3)}, {});
    fixture.tick();
    fixture.tick();
    fixture.confirm_save();
    fixture.answer_poll(second, {}, {completion_of(1, 3, completion_kind::failed)});
    fixture.tick();
    cr_assert(fixture.starts.empty(), "started again although all attempts are exhausted");
    cr_assert(fixture.saved.back().progress.state == workflow_state::failed);
}

// Guards against two runs of a task: until a server has answered, tasks of an earlier owner may run
// there, including tasks of a step that has just become ready for this owner.
Test(dispatcher_takeover, starts_no_task_that_may_run_on_an_unread_server) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.register_backend(second);
    fixture.add_workflow(job, true);
    fixture.add_workflow(job_id("new"), false);
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {completion_of(1, 1, completion_kind::done)});
    fixture.handle(poll_answered{second, backend_unreachable{}});
    fixture.tick(seconds(1));
    fixture.confirm_save();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    cr_assert(std::ranges::all_of(fixture.starts, [](const send_start& start) {
        return start.command.task.job == job_id("new");
    }));
    fixture.handle(
        poll_answered{second, poll_reply{1000, 7, {{{job, 0, 1, 0}, 1, "", 100, 0}}, {}}});
    fixture.tick();
    cr_assert(fixture.decisions->counts().runs >= 1);
    cr_assert(std::ranges::none_of(
        fixture.starts, [](const send_start& start) { return start.command.task.job == job; }));
}

// Guards against one attempt too many: a server that cannot be polled may hold the failure of a run
// that an earlier owner started (proof workflow-attempts, seed 167).
Test(dispatcher_takeover, starts_no_last_attempt_while_a_server_may_hold_a_failure) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.register_backend(second);
    workflow_progress progress;
    progress.state = workflow_state::running;
    progress.failures = {{0, {1, 2}}};
    fixture.add_workflow(job, true, 1, progress);
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.handle(poll_answered{second, backend_unreachable{}});
    fixture.tick(seconds(20));
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    cr_assert(fixture.starts.empty(),
              "started although the unread server may hold the last failure");
    fixture.answer_poll(second, {}, {completion_of(1, 3, completion_kind::failed)});
    fixture.tick();
    fixture.confirm_save();
    fixture.tick();
    cr_assert(fixture.starts.empty());
    cr_assert(fixture.saved.back().progress.state == workflow_state::failed);
}

// Guards against tasks that wait for the expiry of an earlier owner's leases because the former
// server of a moved VM is still registered and cannot be polled.
Test(dispatcher_takeover, does_not_wait_for_servers_that_the_vm_list_lacks) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.register_backend(second);
    fixture.add_workflow(job, true);
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.handle(poll_answered{second, backend_unreachable{}});
    fixture.tick(seconds(1));
    fixture.handle(present_backends{{{first, pool}}});
    fixture.tick();
    cr_assert(fixture.starts.empty(),
              "started after one VM list, which may be older than the server");
    fixture.handle(present_backends{{{first, pool}}});
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    cr_assert(fixture.starts.size() == 1);
    cr_assert(fixture.starts[0].to.id == first);
}

// Guards against runs of a cancelled workflow that are adopted and never stopped.
Test(dispatcher_takeover, stops_runs_of_a_workflow_that_was_cancelled_before_the_takeover) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.add_workflow(job, true);
    fixture.handle(workflow_cancelled{job});
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {reported_run(1)}, {});
    fixture.tick();
    cr_assert(fixture.stops.size() == 1 && fixture.stops[0].command.run == 1);
}

// Guards against moving VMs that look empty but run tasks of an earlier owner.
Test(dispatcher_takeover, reports_no_loads_before_the_pool_is_recovered) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.handle(backends_loaded{});
    fixture.tick();
    fixture.answer_poll(first, {reported_run(1)}, {});
    fixture.tick();
    cr_assert(fixture.decisions->backend_loads().empty());
    fixture.add_workflow(job, true);
    fixture.handle(workflows_loaded{});
    fixture.tick();
    cr_assert(fixture.decisions->backend_loads().size() == 1);
    cr_assert(fixture.decisions->backend_loads().front().runs == 1);
}

// Guards against tasks that are started again while their runs go on under the leases of an earlier
// owner, on servers whose registrations expired in a partition.
Test(dispatcher_takeover, waits_for_listed_servers_that_are_not_registered) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.add_workflow(job, true);
    fixture.handle(present_backends{{{first, pool}, {second, pool}}});
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    cr_assert(fixture.starts.empty(), "started while the other server may run the task");
    fixture.add_workflow(job_id("new"), false);
    fixture.tick();
    cr_assert(fixture.starts.size() == 1, "a new workflow has no earlier runs");
    // The registration comes back, and the server reports the task.
    fixture.register_backend(second);
    fixture.tick();
    fixture.answer_poll(second, {reported_run(1)}, {});
    fixture.tick();
    cr_assert(fixture.starts.size() == 1, "the running task was started again");
}

// Guards against tasks that wait for a server which is replaced before it registers.
Test(dispatcher_takeover, does_not_wait_for_unregistered_servers_that_leave_the_list) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.add_workflow(job, true);
    fixture.handle(present_backends{{{first, pool}, {second, pool}}});
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    cr_assert(fixture.starts.empty());
    fixture.handle(present_backends{{{first, pool}, {backend_id("i-3"), pool}}});
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    cr_assert(fixture.starts.size() == 1);
}

// Guards against tasks that wait for ever for a server that registers late.
Test(dispatcher_takeover, waits_for_unregistered_servers_no_longer_than_their_leases) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.add_workflow(job, true);
    fixture.handle(present_backends{{{first, pool}, {second, pool}}});
    fixture.finish_loading();
    for (int round = 0; round < 200 && fixture.starts.empty(); ++round) {
        fixture.tick(milliseconds(50));
        fixture.answer_poll(first, {}, {});
    }
    cr_assert(fixture.starts.size() == 1);
}

// Guards against two runs of a task: while a server is unread, an earlier owner in its grace may
// start a task there again whose run on another server has ended with the server.
Test(dispatcher_takeover, waits_for_unread_servers_after_an_adopted_run_is_lost) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.register_backend(second);
    fixture.add_workflow(job, true);
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {reported_run(2)}, {});
    fixture.handle(poll_answered{second, backend_unreachable{}});
    fixture.tick(seconds(1));
    cr_assert(fixture.decisions->counts().runs == 1);
    constexpr process_start_ms new_process = 8;
    fixture.handle(poll_answered{first, poll_reply{1000, new_process, {}, {}}});
    fixture.tick();
    fixture.handle(poll_answered{first, poll_reply{1020, new_process, {}, {}}});
    fixture.tick();
    cr_assert(fixture.starts.empty());
    fixture.answer_poll(second, {}, {});
    fixture.tick();
    cr_assert(fixture.starts.size() == 1);
}
