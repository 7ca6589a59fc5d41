#include "dispatch_fixture.h"

#include <algorithm>

// Servers that are kept clear for a long-running task: only where an empty server would start it.

using namespace citronford;

namespace {

const job_id lasting_job("lasting");
const job_id short_job("short");
const team_id limited_team("limited");

workflow_step lasting_step(std::uint32_t tasks, std::int64_t millicores) {
    workflow_step step;
    step.tasks = tasks;
    step.size = {millicores, 10, 0};
    step.long_running = true;
    return step;
}

/// An owner that has read two empty servers of four cores. A team may use two cores.
struct reservation_fixture : dispatch_fixture {
    reservation_fixture() {
        queue_definition definition;
        definition.name = queue;
        definition.pool = pool;
        definition.max_attempts = 3;
        catalog_team team;
        team.name = limited_team;
        team.limit = {2000, 0, 0};
        handle(catalog_applied{std::make_shared<queue_catalog>(
            2, std::vector{definition}, std::vector{catalog_pool{pool, true, false}},
            std::vector{team})});
        register_backend(first);
        register_backend(second);
        finish_loading();
        tick();
        answer_all_polls();
    }

    void answer_all_polls() {
        answer_poll(first, {}, {});
        answer_poll(second, {}, {});
    }

    void add(const job_id& id, const workflow_step& step, const team_id& team = {},
             bool stored_before = false) {
        accepted_workflow row;
        row.id = id;
        row.queue = queue;
        row.pool = pool;
        row.team = team;
        row.spec.steps = {step};
        handle(workflow_found{row, {}, stored_before});
    }

    /// Submits a short task of `millicores` and returns whether it is started.
    bool starts_short_task(std::int64_t millicores) {
        workflow_step step;
        step.tasks = 1;
        step.size = {millicores, 10, 0};
        step.estimate = milliseconds(500);
        add(short_job, step);
        for (int round = 0; round < 5; ++round) {
            tick();
            answer_running();
        }
        return started(short_job) == 1;
    }

    /// Answers the polls of both servers with all runs that were started there.
    void answer_running() {
        for (const backend_id& id : {first, second}) {
            std::vector<running_task> running;
            for (const send_start& start : starts) {
                if (start.to.id == id) {
                    running.push_back({start.command.task, start.command.run, "", 100, 0});
                }
            }
            answer_poll(id, std::move(running), {});
        }
    }

    [[nodiscard]] std::ptrdiff_t started(const job_id& id) const {
        return std::ranges::count(starts, id,
                                  [](const send_start& start) { return start.command.task.job; });
    }
};

} // namespace

// Guards against an idle server that is kept from all other work because a team that has reached
// its limit has more long-running tasks (review/5, LOST).
Test(reservations, none_for_a_team_at_its_limit) {
    reservation_fixture fixture;
    fixture.add(lasting_job, lasting_step(4, 1000), limited_team);
    fixture.tick();
    fixture.answer_running();
    cr_assert(fixture.started(lasting_job) == 2);
    cr_assert(fixture.starts_short_task(3500), "no server for the other team");
}

// Guards against a server that is kept clear for a task which no server can hold.
Test(reservations, none_for_a_task_larger_than_any_server) {
    reservation_fixture fixture;
    fixture.add(lasting_job, lasting_step(1, 5000));
    fixture.tick();
    cr_assert(fixture.starts_short_task(4000));
    fixture.add(job_id("another"), lasting_step(1, 3900));
    fixture.tick();
    cr_assert(fixture.started(job_id("another")) == 1);
}

// Guards against a server that is kept clear although its own long-running tasks, which do not end,
// leave no room for the task.
Test(reservations, none_on_a_server_that_never_gets_room) {
    reservation_fixture fixture;
    fixture.add(job_id("a"), lasting_step(1, 3000));
    fixture.tick();
    fixture.answer_running();
    fixture.add(job_id("b"), lasting_step(1, 2500));
    fixture.tick();
    fixture.answer_running();
    cr_assert(fixture.starts.size() == 2);
    fixture.add(lasting_job, lasting_step(1, 2000));
    cr_assert(fixture.starts_short_task(1500));
}

// Guards against servers that are kept clear for tasks that have to run apart, while each server
// runs one of them already.
Test(reservations, none_for_tasks_that_have_to_run_apart) {
    reservation_fixture fixture;
    workflow_step step = lasting_step(3, 100);
    step.max_per_server = 1;
    fixture.add(lasting_job, step);
    fixture.tick();
    fixture.answer_running();
    cr_assert(fixture.started(lasting_job) == 2);
    cr_assert(fixture.starts_short_task(3800));
}

// As above, for a label that no server has.
Test(reservations, none_without_the_required_label) {
    reservation_fixture fixture;
    workflow_step step = lasting_step(1, 100);
    step.required_label = "absent";
    fixture.add(lasting_job, step);
    fixture.tick();
    cr_assert(fixture.starts_short_task(3800));
}

// As above, for a gang, which starts only when all its tasks fit.
Test(reservations, none_for_a_gang) {
    reservation_fixture fixture;
    workflow_step step = lasting_step(9, 1000);
    step.gang = true;
    fixture.add(lasting_job, step);
    fixture.tick();
    cr_assert(fixture.starts.empty());
    cr_assert(fixture.starts_short_task(3800));
}

// As above, for tasks that may still run under an earlier owner.
Test(reservations, none_for_tasks_that_may_run_elsewhere) {
    reservation_fixture fixture;
    fixture.register_backend(backend_id("unread"));
    fixture.add(lasting_job, lasting_step(1, 3000), {}, true);
    fixture.tick(seconds(1)); // The pool is recovered without the server that does not answer.
    fixture.answer_running();
    fixture.tick();
    cr_assert(fixture.starts.empty());
    cr_assert(fixture.starts_short_task(3800));
}

// As above, for a workflow that is cancelled while it waits.
Test(reservations, end_with_the_workflow) {
    reservation_fixture fixture;
    fixture.add(job_id("a"), lasting_step(2, 3000));
    fixture.tick();
    fixture.answer_running();
    workflow_step filling;
    filling.tasks = 2;
    filling.size = {1000, 10, 0};
    fixture.add(job_id("b"), filling);
    fixture.tick();
    fixture.answer_running();
    fixture.add(lasting_job, lasting_step(1, 500));
    fixture.tick();
    fixture.answer_running();
    cr_assert(fixture.started(lasting_job) == 0);
    fixture.handle(workflow_cancelled{lasting_job});
    fixture.handle(workflow_cancelled{job_id("b")});
    fixture.tick();
    for (const send_stop& stop : fixture.stops) {
        fixture.handle(stop_answered{stop.run, command_accepted{1000}});
    }
    for (int round = 0; round < 5; ++round) {
        fixture.tick();
        for (const backend_id& id : {first, second}) {
            std::vector<running_task> running;
            for (const send_start& start : fixture.starts) {
                if (start.to.id == id && start.command.task.job == job_id("a")) {
                    running.push_back({start.command.task, start.command.run, "", 100, 0});
                }
            }
            fixture.answer_poll(id, std::move(running), {});
        }
    }
    cr_assert(fixture.starts_short_task(1000));
}

// Guards the purpose of reservations: a long-running task that waits for capacity is not overtaken
// for good by short ones that fit into the gaps.
Test(reservations, keep_a_server_for_a_task_that_fits_an_empty_one) {
    reservation_fixture fixture;
    workflow_step filling;
    filling.tasks = 2;
    filling.size = {2000, 10, 0};
    filling.estimate = seconds(5);
    fixture.add(job_id("a"), filling);
    fixture.add(job_id("b"), filling);
    fixture.tick();
    fixture.answer_running();
    cr_assert(fixture.starts.size() == 4);
    fixture.add(lasting_job, lasting_step(1, 4000));
    fixture.tick();
    fixture.answer_running();
    // One task of each server ends; the gap on one of them stays free.
    fixture.starts.erase(fixture.starts.begin());
    std::vector<backend_id> seen;
    std::vector<send_start> running;
    for (const send_start& start : fixture.starts) {
        if (std::ranges::find(seen, start.to.id) == seen.end()) {
            seen.push_back(start.to.id);
            running.push_back(start);
        }
    }
    cr_assert(running.size() == 2);
    fixture.starts = running;
    for (int round = 0; round < 3; ++round) {
        fixture.tick();
        fixture.answer_running();
    }
    std::size_t placed = 0;
    for (int number = 0; number < 2; ++number) {
        workflow_step step;
        step.tasks = 1;
        step.size = {2000, 10, 0};
        step.estimate = milliseconds(500);
        fixture.add(job_id("gap-" + std::to_string(number)), step);
        fixture.tick();
        placed +=
            static_cast<std::size_t>(fixture.started(job_id("gap-" + std::to_string(number))));
    }
    cr_assert(placed <= 1, "both gaps were filled while the long-running task waits");
}

// Guards against VMs that are kept in a pool for tasks that the limit of their team does not allow.
Test(reservations, no_demand_for_vms_above_the_limit_of_a_team) {
    reservation_fixture fixture;
    fixture.add(lasting_job, lasting_step(9, 1000), limited_team);
    const auto waiting = [&] { return fixture.decisions->pool_workloads().at(0); };
    cr_assert(waiting().waiting_long_running == 2);
    fixture.tick();
    fixture.answer_running();
    cr_assert(fixture.started(lasting_job) == 2);
    cr_assert(waiting().waiting_long_running == 0);
    workflow_step step;
    step.tasks = 5;
    step.size = {1000, 10, 0};
    step.estimate = seconds(1);
    fixture.add(short_job, step, limited_team);
    cr_assert(waiting().waiting_cores == 0);
    fixture.add(job_id("unlimited"), step);
    cr_assert(waiting().waiting_cores == 5);
}

// Guards against a pool without VMs: work of the same team that waits in another pool must not use
// up what the limit of the team allows here.
Test(reservations, demand_of_one_pool_does_not_depend_on_another) {
    reservation_fixture fixture;
    const pool_id other_pool("other-pool");
    workflow_step step;
    step.tasks = 5;
    step.size = {1000, 10, 0};
    step.estimate = seconds(1);
    fixture.add(short_job, step, limited_team);
    accepted_workflow elsewhere;
    elsewhere.id = job_id("elsewhere");
    elsewhere.queue = queue;
    elsewhere.pool = other_pool;
    elsewhere.team = limited_team;
    elsewhere.spec.steps = {step};
    fixture.handle(workflow_found{elsewhere, {}, false});
    for (const pool_workload& workload : fixture.decisions->pool_workloads()) {
        cr_assert(workload.waiting_cores == 2, "%s: %f", workload.pool.str().c_str(),
                  workload.waiting_cores);
    }
}
