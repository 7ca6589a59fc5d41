#include "decide/dispatch/dispatcher_state.h"

#include "citronford/overloaded.h"
#include "citronford/planted_fault.h"

#include <algorithm>
#include <utility>

namespace citronford {

using namespace dispatch;

task_key task_run::key() const {
    return {workflow->row.id, occurrence, step, index};
}

absl::StatusOr<dispatcher::implementation::run_machine>
dispatcher::implementation::bind_runs(const chart& life_cycle) {
    static constexpr run_machine::guard guards[] = {
        {"seen_before_poll",
         [](const run_context& context, const run_event& event) {
             const task_run& run = context.run;
             return run.last_seen_at &&
                    *run.last_seen_at <= std::get<not_reported>(event).polled_at;
         }},
        {"polled_since_doubt",
         [](const run_context& context, const run_event& event) {
             return context.run.in_doubt_since <= std::get<not_reported>(event).polled_at;
         }},
        {"polled_since_stop",
         [](const run_context& context, const run_event& event) {
             const task_run& run = context.run;
             return run.stop_accepted_at &&
                    *run.stop_accepted_at <= std::get<not_reported>(event).polled_at;
         }},
        {"stop_overdue",
         [](const run_context& context, const run_event&) {
             const task_run& run = context.run;
             return run.stop_accepted_at &&
                    context.impl.now_ >=
                        *run.stop_accepted_at + 2 * context.impl.options_.stop_time;
         }},
    };
    static constexpr run_machine::action actions[] = {
        {"record_sighting",
         [](run_context& context, const run_event& event) {
             context.run.last_seen_at = context.impl.now_;
             context.run.first_seen_at = std::min(context.run.first_seen_at, context.impl.now_);
             if (const auto* seen = std::get_if<reported_running>(&event)) {
                 context.run.percent = seen->reported->percent;
                 context.run.load = seen->reported->load;
                 context.impl.note_report(context.run, seen->reported->percent);
             }
         }},
        {"request_poll",
         [](run_context& context, const run_event&) {
             context.run.in_doubt_since = context.impl.now_;
             context.run.server->next_poll_at = context.impl.now_;
         }},
        {"send_stop",
         [](run_context& context, const run_event&) {
             context.run.stop_retry_at.reset();
             context.impl.stop_retries_.erase(context.run.id);
             context.impl.emit_stop(context.run);
         }},
        {"schedule_stop_retry",
         [](run_context& context, const run_event&) {
             constexpr duration pause = milliseconds(300);
             context.run.stop_retry_at = context.impl.now_ + pause;
             context.impl.stop_retries_.insert(context.run.id);
         }},
        {"record_stop_accepted",
         [](run_context& context, const run_event&) {
             context.run.stop_accepted_at = context.impl.now_;
             context.run.server->next_poll_at = context.impl.now_;
         }},
        {"record_not_started",
         [](run_context& context, const run_event&) { context.run.outcome = run_not_started{}; }},
        {"record_completion",
         [](run_context& context, const run_event& event) {
             const run_completion& end = *std::get<completion_reported>(event).completion;
             context.run.outcome = run_ended{end.kind, end.checkpoint};
             if (end.kind == completion_kind::done) {
                 context.impl.note_done(context.run);
             }
         }},
        {"record_loss",
         [](run_context& context, const run_event& event) {
             const bool expired = std::holds_alternative<lease_expired>(event);
             context.run.outcome =
                 run_lost{expired ? loss_cause::lease_expired : loss_cause::not_reported};
         }},
    };
    return run_machine::create(life_cycle, guards, actions);
}

dispatcher::implementation::task_run&
dispatcher::implementation::add_run(workflow_entry& entry, occurrence_state& occurrence,
                                    std::uint32_t step, std::uint32_t index, std::uint32_t number,
                                    backend_entry& server) {
    const auto id = static_cast<run_id>(++last_run_id_);
    auto& run = *runs_.emplace(last_run_id_, std::make_unique<task_run>()).first->second;
    const workflow_step& definition = entry.step(step);
    run.id = id;
    run.workflow = &entry;
    run.occurrence = occurrence.number;
    run.step = step;
    run.index = index;
    run.number = number;
    run.server = &server;
    run.charged = definition.size;
    run.reserved = definition.size;
    if (definition.best_effort_cpu) {
        run.reserved.millicores = 0;
    }
    run.position = run_machine_.initial();
    run.start_sent_at = now_;
    run.progress = run_progress::adopted(now_);
    server.used += run.reserved;
    server.runs.push_back(&run);
    count_run(run, 1);
    team_usage_[entry.row.team] += run.charged;
    step_state& state = occurrence.steps[step];
    task_record& record = state.tasks[index];
    if (record.run == nullptr) {
        record.run = &run;
        ++state.active;
    } else {
        record.copy = &run;
    }
    record.last_run = std::max(record.last_run, number);
    ++entry.runs;
    if (entry.state == workflow_state::pending) {
        entry.state = workflow_state::running;
        process_workflow_event(entry, task_started{});
        mark_changed(entry);
    }
    return run;
}

void dispatcher::implementation::count_run(const task_run& run, int change) {
    const workflow_step& definition = run.workflow->step(run.step);
    backend_entry& server = *run.server;
    if (definition.long_running) {
        server.long_running_runs += change;
        server.long_running_millicores += change * run.reserved.millicores;
    }
    server.serving_runs += definition.response_target > milliseconds::zero() ? change : 0;
    server.best_effort_runs += definition.best_effort_cpu ? change : 0;
}

void dispatcher::implementation::remove_run(task_run& run) {
    workflow_entry& entry = *run.workflow;
    step_state& state = entry.occurrences.at(run.occurrence).steps[run.step];
    task_record& record = state.tasks[run.index];
    if (record.run == &run) {
        record.run = record.copy;
    }
    record.copy = nullptr;
    if (record.run == nullptr && !record.done) {
        --state.active;
    }
    --entry.runs;
    entry.idle_since = now_;
    run.server->used -= run.reserved;
    count_run(run, -1);
    std::erase(run.server->runs, &run);
    team_usage_[entry.row.team] -= run.charged;
    // Freeing part of a team's limit may let its tasks start in any pool.
    for (auto& [name, pool] : pools_) {
        pool.placement_due = pool.placement_due || name == run.server->registration.pool ||
                             (pool.limit_reached && !entry.row.team.empty());
    }
    stop_retries_.erase(run.id);
    runs_.erase(static_cast<std::uint64_t>(run.id));
}

void dispatcher::implementation::process_run_event(task_run& run, const run_event& event) {
    run_context context{*this, run};
    run_machine_.step(run.position, context, event);
    if (!run_machine_.is_final(run.position)) {
        return;
    }
    const task_key key = run.key();
    const std::uint32_t number = run.number;
    backend_entry& server = *run.server;
    const run_outcome outcome = std::move(run.outcome);
    workflow_entry& entry = *run.workflow;
    occurrence_state& occurrence = entry.occurrences.at(key.occurrence);
    const task_location location{&entry, &occurrence, &occurrence.steps[key.step].tasks[key.index]};
    remove_run(run);
    apply_outcome(location, key, number, server, outcome);
}

void dispatcher::implementation::apply_outcome(const task_location& location, const task_key& key,
                                               std::uint32_t number, backend_entry& server,
                                               const run_outcome& outcome) {
    std::visit(
        overloaded{
            [&](const run_ended& end) { apply_completion(location, key, number, server, end); },
            [&](const run_not_started&) { ++counts_.starts_refused; },
            [&](const run_lost& loss) {
                ++counts_.runs_lost;
                if (!location.workflow->is_ended()) {
                    log("run_lost", key.job, server.registration.id,
                        "task=" + std::to_string(key.step) + "." + std::to_string(key.index) +
                            " run=" + std::to_string(number) + " cause=" +
                            (loss.cause == loss_cause::lease_expired ? "lease_expired"
                                                                     : "not_reported"));
                    stop_gang(location, key.step);
                }
            },
        },
        outcome);
}

void dispatcher::implementation::apply_completion(const task_location& location,
                                                  const task_key& key, std::uint32_t number,
                                                  backend_entry& server, const run_ended& end) {
    task_record& record = *location.record;
    if (location.workflow->is_ended() || record.done) {
        return;
    }
    if (!end.checkpoint.empty()) {
        record.checkpoint = end.checkpoint;
    }
    switch (end.kind) {
    case completion_kind::done:
        ++counts_.runs_done;
        record_run_result(server, false);
        if (location.workflow->step(key.step).long_running) {
            // Long-running tasks run until their workflow is cancelled, however a run ends.
            log("long_running_ended", key.job, server.registration.id,
                "task=" + std::to_string(key.step) + "." + std::to_string(key.index) +
                    " run=" + std::to_string(number));
            break;
        }
        count_finished_work(*location.workflow, key.step);
        complete(location, key);
        if (allows_copies(location.workflow->step(key.step))) {
            stop_runs(record);
        }
        return;
    case completion_kind::failed:
        ++counts_.runs_failed;
        record_run_result(server, true);
        count_failure(location, key, number, server);
        break;
    case completion_kind::stopped:
    case completion_kind::lapsed:
    case completion_kind::gang_member_ended:
    case completion_kind::gang_incomplete:
        break;
    }
    stop_gang(location, key.step);
}

void dispatcher::implementation::complete(const task_location& location, const task_key& key) {
    workflow_entry& entry = *location.workflow;
    const workflow_step& step = entry.step(key.step);
    bool all_done = false;
    if (step.gang) {
        // The members of a gang end together, so one completion covers all.
        for (std::uint32_t index = 0; index < step.tasks; ++index) {
            all_done = entry.complete_task(*location.occurrence, key.step, index) || all_done;
        }
    } else {
        all_done = entry.complete_task(*location.occurrence, key.step, key.index);
    }
    mark_changed(entry);
    note_ready_work(entry);
    pool_named(entry.row.pool).placement_due = true;
    if (all_done || fault_planted("workflow-truth")) {
        process_workflow_event(entry, all_tasks_done{});
    }
}

void dispatcher::implementation::count_failure(const task_location& location, const task_key& key,
                                               std::uint32_t number, backend_entry& server) {
    workflow_entry& entry = *location.workflow;
    task_record& record = *location.record;
    const bool superseded = entry.step(key.step).long_running && !record.failed_runs.empty() &&
                            number < record.failed_runs.back();
    if (superseded || record.has_failed_in(number)) {
        // A server that was deregistered and came back reports its last completions again.
        return;
    }
    const bool limited = !entry.step(key.step).long_running;
    if (entry.step(key.step).long_running) {
        // These tasks have no limit, so only the last number is needed; a list would never end.
        record.failed_runs.clear();
    }
    record.failed_runs.push_back(number);
    record.failed_on = server.registration.id;
    mark_changed(entry);
    log("task_failed", key.job, server.registration.id,
        "task=" + std::to_string(key.step) + "." + std::to_string(key.index) +
            " failures=" + std::to_string(record.failed_runs.size()) +
            " max_attempts=" + (limited ? std::to_string(entry.terms.max_attempts) : "none") +
            " queue=" + (catalog_->queue(entry.row.queue) == nullptr ? "removed" : "present"));
    if (limited && record.failed_runs.size() >= entry.terms.max_attempts &&
        !fault_planted("workflow-attempts")) {
        process_workflow_event(entry, attempts_exhausted{});
    }
}

void dispatcher::implementation::emit_start(task_run& run) {
    ++counts_.starts;
    start_window_.note_sent();
    task_record& record = record_of(run);
    if (run.follows_unknown_runs) {
        log_unseen_runs(run);
    }
    record.run_seen = true;
    note_start(run, !record.checkpoint.empty());
    run.lease_until = extend_lease(*run.server);
    effects_.emplace_back(
        send_start{run.id,
                   {run.server->registration.id, run.server->registration.address},
                   {run.key(),
                    run.number,
                    run.workflow->row.spec.payload,
                    run.lease_until,
                    options_.token,
                    record.checkpoint,
                    {},
                    run.server->process_start_unix_ms}});
}

void dispatcher::implementation::process(const start_answered& input) {
    const auto found = runs_.find(static_cast<std::uint64_t>(input.run));
    const bool answered = std::holds_alternative<command_accepted>(input.result) ||
                          std::holds_alternative<command_refused>(input.result);
    if (found != runs_.end() && answered) {
        start_window_.note_answered(now_ - found->second->start_sent_at, now_);
    } else {
        start_window_.note_unanswered();
    }
    if (found == runs_.end()) {
        return;
    }
    task_run& run = *found->second;
    backend_entry& server = *run.server;
    std::visit(overloaded{
                   [&](const command_accepted& done) {
                       note_lease(server, run.lease_until, done.clock);
                       process_command_clock(server, done.clock);
                       process_run_event(run, start_accepted{});
                   },
                   [&](const command_refused& refused) {
                       constexpr duration pause = milliseconds(150);
                       if (refused.reason == command_refusal::fenced) {
                           effects_.emplace_back(fenced_out{});
                       }
                       if (refused.reason != command_refusal::superseded_run) {
                           server.start_backoff_until = now_ + pause;
                           server.next_poll_at = now_;
                       }
                       log("start_refused", run.workflow->row.id, server.registration.id,
                           "reason=" + std::to_string(static_cast<int>(refused.reason)));
                       process_run_event(run, start_refused{});
                   },
                   [&](const backend_replaced&) {
                       // The task was not started, and the intended incarnation has no runs left.
                       process_run_event(run, start_refused{});
                       process_contact_event(server, replaced{});
                   },
                   [&](const backend_unreachable&) {
                       process_run_event(run, start_refused{});
                       mark_contact_failed(server);
                   },
                   [&](const command_in_doubt& doubt) {
                       if (!doubt.process_known) {
                           assume_longest_lease(server);
                       }
                       process_run_event(run, start_in_doubt{});
                       mark_contact_failed(server);
                   },
               },
               input.result);
}

} // namespace citronford
