// The backend servers, and the checks of the starts that they carry out.
#include "proofs/workflow_world.h"

#include <algorithm>
#include <utility>

namespace citronford {
namespace {

std::string text_of(const task_key& task) {
    return task.job.str() + '.' + std::to_string(task.step) + '.' + std::to_string(task.index);
}

} // namespace

backend_clock_ms workflow_world::clock_of(const model_backend& server) const {
    const double elapsed_ms =
        static_cast<double>(to_ms(now_ - server.process_start)) * server.clock_rate;
    return server.clock_at_start + static_cast<backend_clock_ms>(elapsed_ms);
}

const workflow_step& workflow_world::step_of(const task_key& task) const {
    return store_.at(task.job).row.spec.steps[task.step];
}

command_result workflow_world::start_task(model_backend& server, const start_command& command) {
    if (command.token < server.fence) {
        return command_refused{command_refusal::fenced};
    }
    server.fence = command.token;
    const backend_clock_ms clock = clock_of(server);
    const backend_clock_ms lease =
        std::min<backend_clock_ms>(command.lease_until, clock + to_ms(max_lease));
    for (const model_run& run : server.running) {
        if (run.task == command.task && run.run == command.run) {
            return command_accepted{clock};
        }
    }
    if (lease <= clock) {
        return command_refused{command_refusal::lease_expired};
    }
    server.lease_until = std::max(server.lease_until, lease);
    const auto barred = server.highest_barred_run.find(command.task);
    if (barred != server.highest_barred_run.end() && command.run <= barred->second) {
        return command_refused{command_refusal::superseded_run};
    }
    const workflow_step& step = step_of(command.task);
    resources used;
    for (const model_run& run : server.running) {
        used += run.size;
    }
    if (!(server.registration.capacity - used).holds(step.size)) {
        return command_refused{command_refusal::insufficient_capacity};
    }
    check_start(server, command);
    const bool fails = !fault_free_ && chance(faults_.task_fails);
    duration time = milliseconds(to_ms(step.estimate) / 2 + random_below(1 + to_ms(step.estimate)));
    if (!fault_free_ && chance(faults_.task_overruns)) {
        time += milliseconds(2000 + random_below(10000));
    }
    trace("start of " + std::to_string(command.token), server.registration.id, [&] {
        return text_of(command.task) + " run " + std::to_string(command.run) + " clock " +
               std::to_string(clock) + " lease left " +
               std::to_string(command.lease_until - clock) + " for process " +
               std::to_string(command.process);
    });
    server.running.push_back({command.task, command.run, now_ + time,
                              fails ? completion_kind::failed : completion_kind::done, step.size});
    return command_accepted{clock};
}

void workflow_world::check_start(const model_backend& server, const start_command& command) {
    const workflow_step& step = step_of(command.task);
    const stored_workflow& stored = store_.at(command.task.job);
    if (acknowledged_done_.contains(command.task)) {
        report_violation("workflow-once",
                         text_of(command.task) +
                             " starts again after its completion was acknowledged");
    }
    resources team_use = step.size;
    std::uint32_t on_server = 1;
    for (const auto& [id, other] : backends_) {
        for (const model_run& run : other.running) {
            team_use += run.size;
            if (other.up && run.task == command.task) {
                report_violation("workflow-once", text_of(command.task) + " runs on " + id.str() +
                                                      " and " + server.registration.id.str());
            }
            on_server += &other == &server && run.task.job == command.task.job &&
                                 run.task.step == command.task.step
                             ? 1
                             : 0;
        }
    }
    if (step.max_per_server != 0 && on_server > step.max_per_server) {
        report_violation("workflow-limits",
                         text_of(command.task) + " exceeds the limit of its server");
    }
    // Allows 10% and one task more, since no dispatcher observes that a run ends when its lease
    // expires.
    if (team_use.millicores > team_limit.millicores + team_limit.millicores / 10 + 4000) {
        report_violation("workflow-limits", "the team has " + std::to_string(team_use.millicores) +
                                                " millicores running");
    }
    if (acknowledged_failures_[command.task] >= attempts) {
        report_violation("workflow-attempts",
                         text_of(command.task) + " starts again after all attempts have failed");
    }
    for (const std::uint32_t earlier : step.after) {
        for (std::uint32_t index = 0; index < stored.row.spec.steps[earlier].tasks; ++index) {
            if (!done_tasks_.contains({command.task.job, 0, earlier, index})) {
                report_violation("workflow-order",
                                 text_of(command.task) + " starts before an earlier step");
            }
        }
    }
    constexpr duration cancel_time = milliseconds(3000);
    if (stored.cancelled && now_ > stored.cancelled_at + cancel_time && sender_up_to_date_) {
        report_violation("workflow-cancel",
                         text_of(command.task) + " starts after it was cancelled");
    }
}

command_result workflow_world::stop_run(model_backend& server, const stop_command& command) {
    if (command.token < server.fence) {
        return command_refused{command_refusal::fenced};
    }
    server.fence = command.token;
    std::uint32_t& barred = server.highest_barred_run[command.task];
    barred = std::max(barred, command.run);
    trace("stop of " + std::to_string(command.token), server.registration.id,
          [&] { return text_of(command.task) + " run " + std::to_string(command.run); });
    for (model_run& run : server.running) {
        if (run.task == command.task && run.run == command.run) {
            run.kind = completion_kind::stopped;
            run.ends_at =
                std::min(run.ends_at, now_ + milliseconds(random_below(to_ms(stop_time))));
        }
    }
    return command_accepted{clock_of(server)};
}

poll_reply workflow_world::answer_poll(model_backend& server, const poll_request& request) {
    server.fence = request.token;
    poll_reply reply;
    reply.clock = clock_of(server);
    reply.process_start_unix_ms = to_ms(server.process_start.time_since_epoch());
    if (request.lease_until) {
        server.lease_until = std::max(
            server.lease_until,
            std::min<backend_clock_ms>(*request.lease_until, reply.clock + to_ms(max_lease)));
    }
    for (model_completion& item : server.completions) {
        if (item.completion.number <= request.acknowledged_completion && !item.acknowledged) {
            item.acknowledged = true;
            trace("acknowledged", server.registration.id, [&] {
                return text_of(item.completion.task) + " run " +
                       std::to_string(item.completion.run);
            });
            // A completion does not count when the lease expired before the acknowledgement: the
            // task may have been started elsewhere.
            if (item.completion.kind == completion_kind::done && !item.lease_expired_since) {
                acknowledged_done_.insert(item.completion.task);
            } else if (item.completion.kind == completion_kind::failed) {
                ++acknowledged_failures_[item.completion.task];
            }
        }
    }
    std::erase_if(server.completions,
                  [](const model_completion& item) { return item.acknowledged; });
    for (const model_completion& item : server.completions) {
        reply.completions.push_back(item.completion);
    }
    for (const model_run& run : server.running) {
        reply.running.push_back({run.task, run.run, "", 100, 0});
    }
    return reply;
}

void workflow_world::end_run(model_backend& server, const model_run& run, completion_kind kind) {
    server.completions.push_back(
        {{++server.last_completion, run.task, run.run, kind, ""}, false, false});
    std::uint32_t& barred = server.highest_barred_run[run.task];
    barred = std::max(barred, run.run);
    trace("ended", server.registration.id, [&] {
        return text_of(run.task) + " run " + std::to_string(run.run) + " kind " +
               std::to_string(static_cast<int>(kind));
    });
    if (kind == completion_kind::done) {
        done_tasks_.insert(run.task);
    }
}

void workflow_world::crash(model_backend& server, duration down_time) {
    server.up = false;
    server.refuses_connections = chance(0.5);
    server.running.clear();
    server.down_until = now_ + down_time;
    trace("crashed", server.registration.id,
          [&] { return "until " + time_text(server.down_until); });
}

/// The VM restarts under the same identifier without its earlier state. The clock of the new
/// process may continue that of the former one, be somewhat earlier or later, or start anywhere.
void workflow_world::restart(model_backend& server) {
    constexpr std::int64_t shift_ms = 8000;
    const backend_clock_ms former_clock = clock_of(server);
    model_backend fresh;
    fresh.registration = server.registration;
    fresh.stored = server.stored;
    fresh.clock_rate = server.clock_rate;
    fresh.partitioned_at = server.partitioned_at;
    fresh.partitioned_until = server.partitioned_until;
    fresh.process_start = now_;
    fresh.registration.process_start_unix_ms = to_ms(now_.time_since_epoch());
    fresh.registers_at = now_ + milliseconds(20 + random_below(1500));
    constexpr std::uint64_t kinds = 4;
    switch (random_below(kinds)) {
    case 0:
        fresh.clock_at_start = former_clock;
        break;
    case 1:
        fresh.clock_at_start = std::max<backend_clock_ms>(
            0, former_clock - shift_ms + static_cast<std::int64_t>(random_below(2 * shift_ms)));
        break;
    case 2:
        fresh.clock_at_start = static_cast<backend_clock_ms>(random_below(longest_clock_ms));
        break;
    default:
        break;
    }
    server = std::move(fresh);
    trace("restarted", server.registration.id, [&] {
        return "clock " + std::to_string(server.clock_at_start) + " instead of " +
               std::to_string(former_clock);
    });
}

void workflow_world::advance(model_backend& server) {
    if (!server.up) {
        if (now_ >= server.down_until || fault_free_) {
            restart(server);
        }
        return;
    }
    if (fault_free_) {
        server.partitioned_until = std::min(server.partitioned_until, now_);
    }
    const bool lapsed = clock_of(server) >= server.lease_until;
    for (model_completion& item : server.completions) {
        item.lease_expired_since = item.lease_expired_since || lapsed;
    }
    const std::vector<model_run> running = std::exchange(server.running, {});
    for (const model_run& run : running) {
        if (now_ >= run.ends_at) {
            end_run(server, run, run.kind);
        } else if (lapsed) {
            end_run(server, run, completion_kind::lapsed);
        } else {
            server.running.push_back(run);
        }
    }
}

} // namespace citronford
