#include "dispatch_fixture.h"

#include <algorithm>

using namespace citronford;

namespace {

const job_id new_job("new");

/// A new owner that has read two servers of a pool that it has not recovered, since workflows are
/// still being loaded. The second one runs the task of a stored workflow.
struct recovery_fixture : dispatch_fixture {
    recovery_fixture() {
        register_backend(first);
        register_backend(second);
        add_workflow(job, true);
        handle(backends_loaded{});
        tick();
        answer_poll(first, {}, {});
        answer_poll(second, {reported_run(1)}, {});
        tick();
    }

    [[nodiscard]] bool started(const job_id& id) const {
        return std::ranges::any_of(
            starts, [&](const send_start& start) { return start.command.task.job == id; });
    }

    /// Ticks until `id` is started or `limit` has passed, while `first` answers its polls.
    void run_until_started(const job_id& id, duration limit) {
        constexpr duration step = milliseconds(50);
        for (const instant end = now + limit; now < end && !started(id);) {
            tick(step);
            confirm_save();
            answer_poll(first, {}, {});
        }
    }
};

/// A reply with half of the completions of a server.
poll_reply partial_reply(std::vector<run_completion> completions) {
    poll_reply reply{1000, 7, {}, std::move(completions)};
    reply.has_all_completions = false;
    return reply;
}

} // namespace

// Guards against two runs of a task: the registration of a server that a new owner had read expired
// before the pool was recovered, and the owner forgot the runs on it.
Test(dispatcher_recovery, keeps_the_runs_of_a_server_whose_registration_expires) {
    recovery_fixture fixture;
    fixture.handle(backend_deregistered{second});
    fixture.tick();
    fixture.tick();
    fixture.handle(workflows_loaded{});
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    cr_assert(!fixture.started(job), "started while the server that expired runs the task");
    cr_assert(fixture.decisions->counts().runs == 1);
}

// Guards against two runs of a task: as above, and the registration comes back before the pool is
// recovered.
Test(dispatcher_recovery, keeps_the_runs_of_a_server_whose_registration_comes_back) {
    recovery_fixture fixture;
    fixture.handle(backend_deregistered{second});
    fixture.tick();
    fixture.register_backend(second);
    fixture.handle(workflows_loaded{});
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    cr_assert(!fixture.started(job));
    cr_assert(fixture.decisions->counts().runs == 1);
}

// Guards against an attempt too many: a failure that a new owner had read was forgotten with the
// registration of its server.
Test(dispatcher_recovery, counts_failures_of_a_server_whose_registration_expires) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.register_backend(second);
    workflow_progress progress;
    progress.state = workflow_state::running;
    progress.failures = {{0, {1, 2}}};
    fixture.add_workflow(job, true, 1, progress);
    fixture.handle(backends_loaded{});
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.answer_poll(second, {}, {completion_of(1, 3, completion_kind::failed)});
    fixture.tick();
    fixture.handle(backend_deregistered{second});
    fixture.tick();
    fixture.handle(workflows_loaded{});
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    cr_assert(fixture.starts.empty(), "started again although all attempts are exhausted");
    cr_assert(fixture.saved.back().progress.state == workflow_state::failed);
}

// Guards against a task that is never started again: the server that ran it has gone for good, and
// the runs named in its first reply ended with their leases.
Test(dispatcher_recovery, starts_the_tasks_of_a_server_that_is_gone_for_good) {
    recovery_fixture fixture;
    fixture.handle(backend_deregistered{second});
    fixture.tick(milliseconds(200));
    fixture.handle(poll_answered{second, backend_unreachable{}});
    fixture.handle(workflows_loaded{});
    fixture.run_until_started(job, seconds(20));
    cr_assert(fixture.started(job));
}

// As above, when the leases expire before the pool is recovered.
Test(dispatcher_recovery, drops_the_runs_of_a_reply_when_their_leases_expire) {
    recovery_fixture fixture;
    fixture.handle(backend_deregistered{second});
    fixture.tick(milliseconds(200));
    fixture.handle(poll_answered{second, backend_unreachable{}});
    fixture.tick(seconds(10));
    fixture.tick(seconds(10));
    fixture.handle(workflows_loaded{});
    fixture.run_until_started(job, seconds(20));
    cr_assert(fixture.started(job));
}

// Guards against runs of an earlier incarnation: the server restarts behind the cut, and the next
// poll is answered by an incarnation that runs nothing.
Test(dispatcher_recovery, replaces_the_reply_of_a_server_that_restarts) {
    recovery_fixture fixture;
    fixture.handle(backend_deregistered{second});
    fixture.tick(milliseconds(200));
    fixture.handle(poll_answered{second, poll_reply{10, 8, {}, {}}});
    fixture.handle(workflows_loaded{});
    fixture.run_until_started(job, seconds(2));
    cr_assert(fixture.started(job));
}

// As above, when another incarnation refuses the poll.
Test(dispatcher_recovery, drops_the_reply_of_a_server_that_is_replaced) {
    recovery_fixture fixture;
    fixture.handle(backend_deregistered{second});
    fixture.tick(milliseconds(200));
    fixture.handle(poll_answered{second, backend_replaced{}});
    fixture.tick();
    fixture.handle(workflows_loaded{});
    fixture.run_until_started(job, seconds(2));
    cr_assert(fixture.started(job));
}

// Guards against two runs of a task: a registration that expires before the first poll is answered
// must not end the wait for the server.
Test(dispatcher_recovery, waits_for_an_unread_server_whose_registration_expires) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.register_backend(second);
    fixture.add_workflow(job, true);
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.handle(backend_deregistered{second});
    fixture.tick(seconds(1));
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    cr_assert(fixture.starts.empty());
    fixture.answer_poll(second, {reported_run(1)}, {});
    fixture.tick();
    cr_assert(fixture.starts.empty());
    cr_assert(fixture.decisions->counts().runs == 1);
}

// Guards against two runs of a task when two owners are lost in a row: the registration of the
// server expires under the first one, and the next one finds it in the VM list only.
Test(dispatcher_recovery, waits_for_the_server_when_the_owner_is_lost_again) {
    recovery_fixture lost_owner;
    lost_owner.handle(backend_deregistered{second});
    lost_owner.tick();
    dispatch_options options;
    options.has_vm_lists = true;
    dispatch_fixture fixture(options);
    fixture.register_backend(first);
    fixture.add_workflow(job, true);
    fixture.handle(present_backends{{{first, pool, {}}, {second, pool, {}}}});
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.tick(seconds(2));
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    cr_assert(fixture.starts.empty(), "started while the server that expired may run the task");
    fixture.register_backend(second);
    fixture.tick();
    fixture.answer_poll(second, {reported_run(1)}, {});
    fixture.tick();
    cr_assert(fixture.starts.empty());
    cr_assert(fixture.decisions->counts().runs == 1);
}

// Guards against two runs of a task: only this owner cannot reach the server, which stays
// registered and runs on under the leases of the earlier owner.
Test(dispatcher_recovery, waits_for_the_leases_on_a_server_that_only_this_owner_cannot_reach) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.register_backend(second);
    fixture.add_workflow(job, true);
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    const instant leases_end = fixture.now + seconds(7);
    while (fixture.now < leases_end) {
        fixture.handle(poll_answered{second, backend_unreachable{}});
        fixture.tick(milliseconds(100));
        fixture.answer_poll(first, {}, {});
    }
    cr_assert(fixture.starts.empty(), "started while an earlier lease may hold");
    for (int round = 0; round < 50 && fixture.starts.empty(); ++round) {
        fixture.handle(poll_answered{second, backend_unreachable{}});
        fixture.tick(milliseconds(100));
        fixture.answer_poll(first, {}, {});
    }
    cr_assert(fixture.starts.size() == 1);
}

// Guards against tasks that are started again although they have ended: a server lists a limited
// number of completions in a reply, and the others only after an acknowledgement.
Test(dispatcher_recovery, starts_no_task_whose_completion_may_not_be_listed_yet) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.add_workflow(job, true, 2);
    fixture.finish_loading();
    fixture.tick();
    const std::vector listed = {completion_of(1, 1, completion_kind::done, 0)};
    fixture.handle(poll_answered{first, partial_reply(listed)});
    fixture.tick();
    fixture.tick();
    cr_assert(fixture.starts.empty(), "started before all completions were listed");
    fixture.confirm_save();
    fixture.tick();
    cr_assert(fixture.last_poll(first).acknowledged_completion == 1,
              "the completions that were listed are not acknowledged");
    fixture.answer_poll(first, {}, {completion_of(2, 1, completion_kind::done, 1)});
    fixture.tick();
    cr_assert(std::ranges::all_of(
        fixture.starts, [](const send_start& start) { return start.command.task.step == 1; }));
}

// As above, when the registration of the server expires, and when its leases do: completions that
// were not listed by then are not counted, so the tasks are started again.
Test(dispatcher_recovery, waits_for_unlisted_completions_no_longer_than_the_contact_lasts) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.register_backend(second);
    fixture.add_workflow(job, true);
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.handle(poll_answered{second, partial_reply({})});
    fixture.tick();
    fixture.handle(backend_deregistered{second});
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    cr_assert(fixture.starts.empty(), "started before all completions were listed");
    fixture.handle(poll_answered{second, backend_unreachable{}});
    for (int round = 0; round < 200 && fixture.starts.empty(); ++round) {
        fixture.tick(milliseconds(100));
        fixture.answer_poll(first, {}, {});
        fixture.handle(poll_answered{second, backend_unreachable{}});
    }
    cr_assert(fixture.starts.size() == 1);
}

// Guards against two runs of a task: the registration of its server had expired before the
// ownership began, and the VM list that names the server is late.
Test(dispatcher_recovery, waits_for_the_first_vm_list) {
    dispatch_options options;
    options.has_vm_lists = true;
    dispatch_fixture fixture(options);
    fixture.register_backend(first);
    fixture.add_workflow(job, true);
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.tick(seconds(2));
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    cr_assert(fixture.starts.empty(), "started before the first VM list");
    fixture.add_workflow(new_job, false);
    fixture.tick();
    cr_assert(fixture.starts.size() == 1, "a new workflow has no earlier runs");
    fixture.handle(present_backends{{{first, pool}}});
    fixture.tick();
    cr_assert(fixture.starts.size() == 2);
}

// As above: without any VM list, the wait ends with the leases of the earlier owner.
Test(dispatcher_recovery, waits_for_the_first_vm_list_no_longer_than_the_leases) {
    dispatch_options options;
    options.has_vm_lists = true;
    dispatch_fixture fixture(options);
    fixture.register_backend(first);
    fixture.add_workflow(job, true);
    fixture.finish_loading();
    for (int round = 0; round < 200 && fixture.starts.empty(); ++round) {
        fixture.tick(milliseconds(50));
        fixture.answer_poll(first, {}, {});
    }
    cr_assert(fixture.starts.size() == 1);
}

// Guards against a team above its limit: its runs in a pool that is not recovered, on servers that
// were read, were not counted.
Test(dispatcher_recovery, counts_runs_of_a_pool_that_is_not_recovered) {
    const pool_id other_pool("other-pool");
    const queue_id other_queue("other-queue");
    const team_id team("team");
    dispatch_fixture fixture;
    queue_definition here;
    here.name = queue;
    here.pool = pool;
    queue_definition there;
    there.name = other_queue;
    there.pool = other_pool;
    catalog_team limited;
    limited.name = team;
    limited.limit = {1500, 0, 0};
    fixture.handle(catalog_applied{std::make_shared<queue_catalog>(
        2, std::vector{here, there},
        std::vector{catalog_pool{pool, true, false}, catalog_pool{other_pool, true, false}},
        std::vector{limited})});
    fixture.register_backend(first);
    const backend_id read("i-3");
    const backend_id unread("i-4");
    backend_registration registration;
    registration.pool = other_pool;
    registration.id = read;
    registration.capacity = {1000, 1000, 0};
    fixture.handle(backend_registered{registration});
    registration.id = unread;
    registration.capacity = {100, 100, 0};
    fixture.handle(backend_registered{registration});
    accepted_workflow stored;
    stored.id = job;
    stored.queue = other_queue;
    stored.pool = other_pool;
    stored.team = team;
    stored.spec.steps = {{.tasks = 1, .size = {1000, 10, 0}}};
    fixture.handle(workflow_found{stored, {}, true});
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.answer_poll(read, {reported_run(1)}, {});
    accepted_workflow added = stored;
    added.id = new_job;
    added.queue = queue;
    added.pool = pool;
    fixture.handle(workflow_found{added, {}, false});
    fixture.tick();
    cr_assert(fixture.starts.empty(), "started above the limit of the team");
}
