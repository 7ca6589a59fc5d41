#include "dispatch_fixture.h"

#include <cstddef>
#include <map>
#include <utility>

using namespace citronford;

namespace {

const job_id held_up_job("held-up");
constexpr milliseconds estimate(500);

/// Backend servers that report what was started on them, until a test ends a task.
struct model_servers {
    struct server {
        std::vector<running_task> running;
        std::vector<run_completion> ended;
    };
    std::map<backend_id, server> all;

    void end(const backend_id& id, const task_key& task, std::uint32_t run, completion_kind kind) {
        server& where = all[id];
        const auto removed = std::erase_if(where.running, [&](const running_task& item) {
            return item.task == task && item.run == run;
        });
        cr_assert_eq(removed, 1);
        where.ended.push_back({where.ended.size() + 1, task, run, kind, ""});
    }
};

dispatch_options with_slow_servers(bool on = true) {
    dispatch_options options;
    options.slow_servers = on;
    return options;
}

/// Four servers of four cores, of which a workflow has taught the run time of 500 ms.
struct copies_fixture : dispatch_fixture {
    model_servers& servers;
    bool answers_starts = true;
    std::size_t starts_handled = 0;
    std::size_t stops_handled = 0;
    std::size_t polls_handled = 0;
    std::map<backend_id, bool> answers; ///< Whether the server answers polls.

    explicit copies_fixture(model_servers& model, bool on = true)
        : dispatch_fixture(with_slow_servers(on)), servers(model) {
        for (const char* name : {"i-1", "i-2", "i-3", "i-4"}) {
            register_backend(backend_id(name));
            answers[backend_id(name)] = true;
        }
    }

    void add(const job_id& id, std::uint32_t tasks, bool speculative, bool stored_before = false,
             const workflow_progress& progress = {}) {
        accepted_workflow row;
        row.id = id;
        row.queue = queue;
        row.pool = pool;
        workflow_step step;
        step.tasks = tasks;
        step.size = {1000, 10, 0};
        step.estimate = estimate;
        step.speculative = speculative;
        row.spec.steps = {step};
        handle(workflow_found{row, progress, stored_before});
    }

    /// Servers carry out commands and answer polls at once, with one tick each 20 ms.
    void play(duration length) {
        for (const instant end = now + length; now < end;) {
            tick();
            answer_commands();
            for (; polls_handled < polls.size(); ++polls_handled) {
                const backend_id id = polls[polls_handled].to.id;
                if (answers[id]) {
                    answer_poll(id, servers.all[id].running, servers.all[id].ended);
                }
            }
            confirm_save();
        }
    }

    void answer_commands() {
        for (; answers_starts && starts_handled < starts.size(); ++starts_handled) {
            const send_start start = starts[starts_handled];
            servers.all[start.to.id].running.push_back(
                {start.command.task, start.command.run, "", 100, 0});
            handle(start_answered{start.run, command_accepted{1000}});
        }
        for (; stops_handled < stops.size(); ++stops_handled) {
            const send_stop stop = stops[stops_handled];
            const bool runs =
                std::ranges::any_of(servers.all[stop.to.id].running, [&](const auto& item) {
                    return item.task == stop.command.task && item.run == stop.command.run;
                });
            if (runs) {
                servers.end(stop.to.id, stop.command.task, stop.command.run,
                            completion_kind::stopped);
            }
            handle(stop_answered{stop.run, command_accepted{1000}});
        }
    }

    void teach() {
        const job_id teacher("teacher");
        add(teacher, 6, false);
        play(estimate);
        for (std::uint32_t task = 0; task < 6; ++task) {
            servers.end(starts[task].to.id, starts[task].command.task, 1, completion_kind::done);
        }
        play(milliseconds(100));
    }

    /// Starts the task that does not end, and plays until its copy is due.
    void begin(bool speculative) {
        finish_loading();
        play(milliseconds(200));
        teach();
        add(held_up_job, 1, speculative);
        play(seconds(3));
    }

    /// The starts of the task that is held up.
    [[nodiscard]] std::vector<send_start> task_starts() const {
        std::vector<send_start> found;
        std::ranges::copy_if(starts, std::back_inserter(found), [](const send_start& start) {
            return start.command.task.job == held_up_job;
        });
        return found;
    }

    void end_run(std::size_t start, completion_kind kind) {
        const send_start which = task_starts()[start];
        servers.end(which.to.id, which.command.task, which.command.run, kind);
    }

    [[nodiscard]] long count_log(std::string_view event) const {
        return std::ranges::count(log, event, &log_decision::event);
    }

    [[nodiscard]] std::size_t stops_of_task() const {
        return static_cast<std::size_t>(std::ranges::count_if(
            stops, [](const send_stop& stop) { return stop.command.task.job == held_up_job; }));
    }

    [[nodiscard]] std::size_t running_runs() const {
        std::size_t count = 0;
        for (const auto& [id, server] : servers.all) {
            count += server.running.size();
        }
        return count;
    }
};

} // namespace

// Guards against a task that waits for a server that hangs: a second run, with a higher number, on
// another server; its end counts and the first run is stopped.
Test(task_copies, the_copy_ends_first) {
    model_servers servers;
    copies_fixture fixture(servers);
    fixture.begin(true);
    const std::vector<send_start> starts = fixture.task_starts();
    cr_assert_eq(starts.size(), 2, "One copy, not %zu starts.", starts.size());
    cr_assert(starts[0].to.id != starts[1].to.id);
    cr_assert(starts[0].command.run < starts[1].command.run);
    fixture.end_run(1, completion_kind::done);
    fixture.play(milliseconds(200));
    cr_assert_eq(fixture.stops_of_task(), 1);
    cr_assert_eq(fixture.running_runs(), 0);
    cr_assert_eq(fixture.count_log("workflow_ended"), 2);
    cr_assert_eq(fixture.decisions->counts().copies_started, 1);
    cr_assert_eq(fixture.decisions->counts().copies_won, 1);
    cr_assert_eq(fixture.decisions->counts().workflows, 0);
}

// Guards against a copy that goes on after the end of its task, and holds room.
Test(task_copies, the_original_ends_first) {
    model_servers servers;
    copies_fixture fixture(servers);
    fixture.begin(true);
    fixture.end_run(0, completion_kind::done);
    fixture.play(milliseconds(200));
    cr_assert_eq(fixture.running_runs(), 0);
    cr_assert_eq(fixture.decisions->counts().copies_won, 0);
    cr_assert_eq(fixture.decisions->counts().workflows, 0);
    cr_assert_eq(fixture.decisions->counts().runs_done, 7);
}

// Guards against a start after the recorded end of a task: while the start of the copy is not
// answered, the end of the first run is not applied.
Test(task_copies, the_original_ends_while_the_copy_starts) {
    model_servers servers;
    copies_fixture fixture(servers);
    fixture.finish_loading();
    fixture.play(milliseconds(200));
    fixture.teach();
    fixture.add(held_up_job, 1, true);
    fixture.play(milliseconds(100));
    fixture.answers_starts = false;
    fixture.play(seconds(3));
    cr_assert_eq(fixture.task_starts().size(), 2);
    fixture.end_run(0, completion_kind::done);
    fixture.play(milliseconds(300));
    cr_assert_eq(fixture.decisions->counts().workflows, 1);
    cr_assert_eq(fixture.decisions->counts().runs_lost, 0);
    fixture.answers_starts = true;
    fixture.play(milliseconds(400));
    cr_assert_eq(fixture.decisions->counts().workflows, 0);
    cr_assert_eq(fixture.decisions->counts().runs_done, 7);
    cr_assert_eq(fixture.running_runs(), 0);
}

// Guards against two ends of one task counted twice.
Test(task_copies, both_ends_arrive) {
    model_servers servers;
    copies_fixture fixture(servers);
    fixture.begin(true);
    fixture.end_run(0, completion_kind::done);
    fixture.end_run(1, completion_kind::done);
    fixture.play(milliseconds(300));
    cr_assert_eq(fixture.decisions->counts().runs_done, 7);
    cr_assert_eq(fixture.decisions->counts().workflows, 0);
    cr_assert_eq(fixture.decisions->counts().runs, 0);
}

// Guards against a task that counts as waiting, or is lost, when the server of one run is gone.
Test(task_copies, the_server_of_the_original_is_lost) {
    model_servers servers;
    copies_fixture fixture(servers);
    fixture.begin(true);
    const backend_id lost = fixture.task_starts()[0].to.id;
    fixture.answers[lost] = false;
    servers.all[lost].running.clear();
    fixture.handle(poll_answered{lost, backend_replaced{}});
    fixture.play(milliseconds(500));
    cr_assert_eq(fixture.task_starts().size(), 2, "The copy goes on alone.");
    fixture.end_run(1, completion_kind::done);
    fixture.play(milliseconds(200));
    cr_assert_eq(fixture.decisions->counts().workflows, 0);
}

// Guards against one failure counted for both runs, and against more failed runs than attempts
// (three): the failed copy counts once, and the last attempt is not doubled.
Test(task_copies, a_failed_copy_counts_once) {
    model_servers servers;
    copies_fixture fixture(servers);
    fixture.begin(true);
    fixture.end_run(1, completion_kind::failed);
    fixture.play(milliseconds(300));
    cr_assert_eq(fixture.count_log("task_failed"), 1);
    cr_assert_eq(fixture.decisions->counts().workflows, 1);
    cr_assert_eq(fixture.task_starts().size(), 3, "The second copy is the last attempt.");
    fixture.end_run(2, completion_kind::failed);
    fixture.play(seconds(3));
    cr_assert_eq(fixture.task_starts().size(), 3, "No copy with one attempt left.");
    fixture.end_run(0, completion_kind::failed);
    fixture.play(milliseconds(300));
    cr_assert_eq(fixture.count_log("task_failed"), 3);
    cr_assert_eq(fixture.decisions->counts().workflows, 0);
}

// Guards against two runs of a task whose step does not allow it, and against copies with the
// switch off.
Test(task_copies, no_copy_without_the_flag_or_the_switch) {
    for (const auto& [speculative, on] : {std::pair(false, true), std::pair(true, false)}) {
        model_servers servers;
        copies_fixture fixture(servers, on);
        fixture.begin(speculative);
        fixture.play(seconds(5));
        cr_assert_eq(fixture.task_starts().size(), 1);
    }
}

// Guards against a new owner that stops one of two runs, or starts a third one; the end of the copy
// counts.
Test(task_copies, a_takeover_keeps_both_runs) {
    model_servers servers;
    copies_fixture earlier(servers);
    earlier.begin(true);
    copies_fixture owner(servers);
    owner.add(held_up_job, 1, true, true);
    owner.finish_loading();
    owner.play(milliseconds(600));
    cr_assert_eq(owner.running_runs(), 2);
    cr_assert_eq(owner.decisions->counts().runs, 2);
    cr_assert(owner.starts.empty());
    earlier.end_run(1, completion_kind::done);
    owner.play(milliseconds(200));
    cr_assert_eq(owner.running_runs(), 0);
    cr_assert_eq(owner.decisions->counts().workflows, 0);
}

// Guards against the loss of a copy that ended done between two owners, while the original runs.
Test(task_copies, a_takeover_takes_in_the_end_of_a_copy) {
    model_servers servers;
    copies_fixture earlier(servers);
    earlier.begin(true);
    earlier.end_run(1, completion_kind::done);
    copies_fixture owner(servers);
    owner.add(held_up_job, 1, true, true);
    owner.finish_loading();
    owner.play(milliseconds(600));
    cr_assert_eq(owner.running_runs(), 0);
    cr_assert_eq(owner.decisions->counts().workflows, 0);
}

// Guards against a run number that is used twice: while the server of the copy cannot be read, the
// new owner starts no other run, and it keeps the copy when the server answers.
Test(task_copies, a_takeover_waits_for_an_unread_copy) {
    model_servers servers;
    copies_fixture earlier(servers);
    earlier.begin(true);
    copies_fixture owner(servers);
    const backend_id unread = earlier.task_starts()[1].to.id;
    owner.answers[unread] = false;
    owner.add(held_up_job, 1, true, true);
    owner.finish_loading();
    owner.play(milliseconds(1500));
    cr_assert_eq(owner.decisions->counts().runs, 1);
    earlier.end_run(0, completion_kind::failed);
    owner.play(milliseconds(500));
    cr_assert(owner.starts.empty());
    owner.answers[unread] = true;
    owner.answer_poll(unread, servers.all[unread].running, servers.all[unread].ended);
    owner.play(milliseconds(200));
    cr_assert_eq(owner.decisions->counts().runs, 1);
    cr_assert(owner.starts.empty());
}
