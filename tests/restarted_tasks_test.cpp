#include "dispatch_fixture.h"

using namespace citronford;

namespace {

constexpr completion_kind all_kinds[] = {completion_kind::done,
                                         completion_kind::failed,
                                         completion_kind::stopped,
                                         completion_kind::lapsed,
                                         completion_kind::gang_member_ended,
                                         completion_kind::gang_incomplete};

/// The kinds of steps whose tasks run until the workflow is cancelled.
struct step_variant {
    const char* name;
    workflow_step step;
    std::uint32_t occurrences = 0;
};

std::vector<step_variant> step_variants() {
    const workflow_step plain{
        .tasks = 1, .size = {1000, 10, 0}, .estimate = milliseconds(500), .long_running = true};
    step_variant checkpointing{"with checkpoints", plain};
    checkpointing.step.checkpointing = true;
    step_variant gang{"gang", plain};
    gang.step.gang = true;
    step_variant filling{"filling", plain};
    filling.step.best_effort_cpu = true;
    step_variant copied{"with copies", plain};
    copied.step.speculative = true;
    step_variant scheduled{"scheduled", plain, 1};
    return {{"plain", plain}, checkpointing, gang, filling, copied, scheduled};
}

/// Two servers and one workflow of one step.
struct restart_fixture : dispatch_fixture {
    explicit restart_fixture(dispatch_options options = {}) : dispatch_fixture(options) {
        register_backend(first);
        register_backend(second);
    }

    void add(const workflow_step& step, std::uint32_t occurrences, bool stored_before,
             const workflow_progress& progress = {}) {
        accepted_workflow row;
        row.id = job;
        row.queue = queue;
        row.pool = pool;
        row.spec.steps = {step};
        row.spec.occurrences = occurrences;
        handle(workflow_found{row, progress, stored_before});
    }

    void begin() {
        finish_loading();
        tick();
        answer_poll(first, {}, {});
        answer_poll(second, {}, {});
        tick();
    }

    void accept(const send_start& start) {
        handle(start_answered{start.run, command_accepted{1000}});
    }

    /// The run ends; its server lists the completion, and the other one lists nothing.
    void end(const send_start& start, completion_kind kind, std::uint64_t number = 1) {
        now += milliseconds(20);
        const run_completion completion{number, start.command.task, start.command.run, kind, "c1"};
        answer_poll(start.to.id, {}, {completion});
        answer_poll(start.to.id == first ? second : first, {}, {});
        tick();
        confirm_save();
        tick();
    }
};

workflow_step gang_of(std::uint32_t tasks) {
    return {.tasks = tasks, .size = {1000, 10, 0}, .estimate = milliseconds(500), .gang = true};
}

} // namespace

// Guards against a long-running task that is never started again once a run has ended as done, and
// a workflow that is shown as completed by it (review/9).
Test(restarted_tasks, long_running_tasks_start_again_however_they_end) {
    for (const step_variant& variant : step_variants()) {
        for (const completion_kind kind : all_kinds) {
            const int name = static_cast<int>(kind);
            restart_fixture fixture;
            fixture.add(variant.step, variant.occurrences, false);
            fixture.begin();
            cr_assert(fixture.starts.size() == 1, "%s: not started", variant.name);
            fixture.accept(fixture.starts[0]);
            fixture.end(fixture.starts[0], kind);
            cr_assert(fixture.starts.size() == 2, "%s: not started again after end %d",
                      variant.name, name);
            cr_assert(fixture.starts[1].command.run > fixture.starts[0].command.run);
            for (const progress_row& row : fixture.saved) {
                cr_assert(!ended(row.progress.state), "%s: ended by end %d", variant.name, name);
            }
        }
    }
}

// Guards against the same after a takeover: the next owner finds the end in the first reply of the
// server, or the task as done in the progress that an earlier version has stored.
Test(restarted_tasks, long_running_tasks_start_again_after_a_takeover) {
    for (const step_variant& variant : step_variants()) {
        for (const completion_kind kind : all_kinds) {
            restart_fixture fixture;
            fixture.add(variant.step, variant.occurrences, true);
            fixture.finish_loading();
            fixture.tick();
            fixture.answer_poll(first, {}, {completion_of(1, 4, kind)});
            fixture.answer_poll(second, {}, {});
            fixture.tick();
            cr_assert(fixture.starts.size() == 1, "%s: end %d of the earlier owner", variant.name,
                      static_cast<int>(kind));
            cr_assert(fixture.starts[0].command.run > 4);
        }
        restart_fixture fixture;
        workflow_progress stored;
        stored.state = workflow_state::running;
        stored.done = {true};
        fixture.add(variant.step, variant.occurrences, true, stored);
        fixture.begin();
        cr_assert(fixture.starts.size() == 1, "%s: stored as done", variant.name);
    }
}

// Guards against a long-running task that starts again after its workflow was cancelled.
Test(restarted_tasks, cancelled_long_running_tasks_stay_ended) {
    restart_fixture fixture;
    fixture.add(step_variants()[0].step, 0, false);
    fixture.begin();
    fixture.accept(fixture.starts[0]);
    fixture.handle(workflow_cancelled{job});
    fixture.end(fixture.starts[0], completion_kind::done);
    cr_assert(fixture.starts.size() == 1);
}

// Guards against a gang whose members are started and stopped in turn without end after one of them
// has failed: the failed one was started alone, beside members that were being stopped.
Test(restarted_tasks, a_gang_starts_again_when_all_members_have_ended) {
    restart_fixture fixture;
    fixture.add(gang_of(3), 0, false);
    fixture.begin();
    cr_assert(fixture.starts.size() == 3);
    std::map<backend_id, std::vector<running_task>> running;
    for (const send_start& start : fixture.starts) {
        fixture.accept(start);
        running[start.to.id].push_back({start.command.task, start.command.run, "", 100, 0});
    }
    const send_start failed = fixture.starts[0];
    std::erase_if(running[failed.to.id],
                  [&](const running_task& item) { return item.task == failed.command.task; });
    const run_completion failure{1, failed.command.task, failed.command.run,
                                 completion_kind::failed, ""};
    fixture.now += milliseconds(20);
    fixture.answer_poll(failed.to.id, running[failed.to.id], {failure});
    fixture.tick();
    cr_assert(fixture.stops.size() == 2, "the other members are not stopped");
    cr_assert(fixture.starts.size() == 3, "a member is started beside members of the old run");
    for (const send_stop& stop : std::vector(fixture.stops)) {
        fixture.handle(stop_answered{stop.run, command_accepted{1000}});
    }
    fixture.now += milliseconds(20);
    std::vector<run_completion> ends{failure};
    for (const send_stop& stop : fixture.stops) {
        ends.push_back(
            {ends.size() + 1, stop.command.task, stop.command.run, completion_kind::stopped, ""});
    }
    fixture.confirm_save();
    fixture.tick();
    for (const backend_id& id : {first, second}) {
        std::vector<run_completion> own;
        for (const run_completion& end : ends) {
            const auto start = std::ranges::find(
                fixture.starts, end.task, [](const auto& item) { return item.command.task; });
            if (start->to.id == id) {
                own.push_back(end);
            }
        }
        fixture.answer_poll(id, {}, own);
    }
    fixture.tick();
    cr_assert(fixture.starts.size() == 6, "%zu starts", fixture.starts.size());
    cr_assert(fixture.stops.size() == 2, "stopped again");
    for (std::size_t index = 3; index < 6; ++index) {
        cr_assert(fixture.starts[index].command.run == fixture.starts[3].command.run);
    }
}

// Guards against members of a gang that wait for one whose start was refused: it would join with
// another number of the run.
Test(restarted_tasks, a_gang_with_a_refused_member_is_stopped_and_started_as_a_whole) {
    restart_fixture fixture;
    fixture.add(gang_of(2), 0, false);
    fixture.begin();
    cr_assert(fixture.starts.size() == 2);
    fixture.accept(fixture.starts[0]);
    fixture.handle(start_answered{fixture.starts[1].run,
                                  command_refused{command_refusal::insufficient_capacity}});
    fixture.tick();
    cr_assert(fixture.starts.size() == 2, "the refused member is started alone");
    cr_assert(fixture.stops.size() == 1);
    cr_assert(fixture.stops[0].command.task == fixture.starts[0].command.task);
}
