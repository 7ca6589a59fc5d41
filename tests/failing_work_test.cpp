#include "dispatch_fixture.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Failed runs: whether the work or a server is at fault, and what becomes of the other work.

using namespace citronford;

namespace {

/// Stand-in for a backend server whose tasks end after 100 ms.
struct server_model {
    struct active_run {
        task_key task;
        std::uint32_t run = 0;
        instant ends_at;
    };

    bool fails_all = false;
    std::vector<active_run> running;
    std::vector<run_completion> completions;
    std::uint64_t last_completion = 0;
    std::size_t starts = 0;
};

/// An owner with `servers` servers of four cores.
struct failing_work_fixture : dispatch_fixture {
    std::map<backend_id, server_model> servers;
    std::size_t starts_seen = 0;
    std::size_t polls_seen = 0;
    std::map<backend_id, send_poll> open_polls;
    std::map<job_id, instant> started_at; ///< First start of each job.

    explicit failing_work_fixture(std::size_t count) {
        for (std::size_t number = 1; number <= count; ++number) {
            const backend_id id("i-" + std::to_string(number));
            servers.emplace(id, server_model{});
            register_backend(id);
        }
        finish_loading();
        pass(milliseconds(100));
    }

    static bool can_be_done(const job_id& id) { return !id.view().starts_with("failing"); }

    void add(const job_id& id, std::uint32_t tasks) {
        accepted_workflow row;
        row.id = id;
        row.queue = queue;
        row.pool = pool;
        row.spec.steps = {{.tasks = tasks, .size = {1000, 10, 0}, .estimate = milliseconds(100)}};
        handle(workflow_found{row, {}, false});
    }

    void pass(duration time) {
        for (const instant end = now + time; now < end;) {
            tick();
            begin_runs();
            end_runs();
            answer_polls();
            confirm_save();
        }
    }

    void begin_runs() {
        for (; starts_seen < starts.size(); ++starts_seen) {
            const send_start start = starts[starts_seen];
            server_model& server = servers.at(start.to.id);
            ++server.starts;
            started_at.emplace(start.command.task.job, now);
            server.running.push_back(
                {start.command.task, start.command.run, now + milliseconds(100)});
            handle(start_answered{start.run, command_accepted{clock()}});
        }
    }

    void end_runs() {
        for (auto& [id, server] : servers) {
            std::erase_if(server.running, [&](const server_model::active_run& run) {
                if (now < run.ends_at) {
                    return false;
                }
                const bool done = can_be_done(run.task.job) && !server.fails_all;
                server.completions.push_back(
                    {++server.last_completion, run.task, run.run,
                     done ? completion_kind::done : completion_kind::failed, ""});
                return true;
            });
        }
    }

    void answer_polls() {
        for (; polls_seen < polls.size(); ++polls_seen) {
            open_polls.insert_or_assign(polls[polls_seen].to.id, polls[polls_seen]);
        }
        for (auto& [id, server] : servers) {
            const auto poll = open_polls.find(id);
            if (poll == open_polls.end()) {
                continue;
            }
            const std::uint64_t seen = poll->second.request.acknowledged_completion;
            std::erase_if(server.completions,
                          [&](const run_completion& item) { return item.number <= seen; });
            if (poll->second.request.max_wait > duration::zero() && server.completions.empty()) {
                continue;
            }
            open_polls.erase(poll);
            std::vector<running_task> running;
            for (const server_model::active_run& run : server.running) {
                running.push_back({run.task, run.run, "", 100, 0});
            }
            handle(poll_answered{id, poll_reply{clock(), 7, running, server.completions}});
        }
    }

    [[nodiscard]] backend_clock_ms clock() const { return to_ms(now.time_since_epoch()); }

    /// Hands in jobs that cannot be done, one of four tasks every 100 ms, until all servers have
    /// failed many of them.
    void submit_failing_jobs(int jobs) {
        for (int number = 0; number < jobs; ++number) {
            add(job_id("failing-" + std::to_string(number)), 4);
            pass(milliseconds(100));
        }
    }

    [[nodiscard]] std::string logged(std::string_view event) const {
        const auto found = std::ranges::find(log.rbegin(), log.rend(), event, &log_decision::event);
        return found == log.rend() ? std::string() : found->detail;
    }
};

} // namespace

Test(failing_work, starts_a_job_that_can_be_done_while_others_fail_on_all_servers) {
    failing_work_fixture fixture(4);
    fixture.submit_failing_jobs(20);
    const job_id sound("sound");
    const instant handed_in = fixture.now;
    fixture.add(sound, 1);
    fixture.pass(seconds(3));
    cr_assert(fixture.started_at.contains(sound), "not started within 3 s; %s",
              fixture.logged("work_stalled").c_str());
    cr_assert(fixture.started_at.at(sound) - handed_in < seconds(1));
}

Test(failing_work, ends_jobs_that_cannot_be_done_soon_after_the_last_one) {
    failing_work_fixture fixture(4);
    fixture.submit_failing_jobs(20);
    fixture.pass(seconds(3));
    cr_assert(fixture.decisions->counts().workflows == 0, "%zu workflows have not ended; %s",
              fixture.decisions->counts().workflows, fixture.logged("work_stalled").c_str());
}

Test(failing_work, keeps_tasks_off_a_server_that_fails_what_others_can_do) {
    failing_work_fixture fixture(4);
    server_model& broken = fixture.servers.at(backend_id("i-1"));
    broken.fails_all = true;
    for (int number = 0; number < 100; ++number) {
        fixture.add(job_id("sound-" + std::to_string(number)), 4);
        fixture.pass(milliseconds(40));
    }
    cr_assert(broken.starts > 0);
    cr_assert(broken.starts < 40, "%zu tasks were started on it", broken.starts);
}

Test(failing_work, logs_what_keeps_the_servers_from_a_job_that_waits) {
    failing_work_fixture fixture(1);
    fixture.handle(backends_to_drain{{backend_id("i-1")}, {}});
    fixture.add(job_id("sound"), 1);
    fixture.pass(milliseconds(1900));
    cr_assert(fixture.logged("work_stalled").empty());
    cr_assert(fixture.decisions->counts().stalled == 0);
    fixture.pass(milliseconds(200));
    const std::string detail = fixture.logged("work_stalled");
    cr_assert(detail.starts_with("pool=pool workflows=1 open=0 free_millicores=0 quarantined=0"),
              "%s", detail.c_str());
    cr_assert(detail.find("withdrawn=1") != std::string::npos, "%s", detail.c_str());
    cr_assert(fixture.decisions->counts().stalled == 1);
    fixture.handle(backends_to_drain{});
    fixture.pass(milliseconds(400));
    cr_assert(fixture.decisions->counts().stalled == 0);
}
