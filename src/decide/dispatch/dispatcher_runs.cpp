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
        {"was_present",
         [](const run_context& context, const run_event& event) {
             const task_run& run = context.run;
             return run.present_at && *run.present_at <= std::get<not_listed>(event).asked_at;
         }},
        {"asked_since_doubt",
         [](const run_context& context, const run_event& event) {
             return context.run.doubtful_at <= std::get<not_listed>(event).asked_at;
         }},
        {"asked_since_stop",
         [](const run_context& context, const run_event& event) {
             const task_run& run = context.run;
             return run.stopped_at && *run.stopped_at <= std::get<not_listed>(event).asked_at;
         }},
        {"stop_overdue",
         [](const run_context& context, const run_event&) {
             const task_run& run = context.run;
             return run.stopped_at &&
                    context.board.now_ >= *run.stopped_at + 2 * context.board.options_.stop_time;
         }},
    };
    static constexpr run_machine::action actions[] = {
        {"note_presence",
         [](run_context& context, const run_event& event) {
             context.run.present_at = context.board.now_;
             context.run.known_since = std::min(context.run.known_since, context.board.now_);
             if (const auto* seen = std::get_if<seen_running>(&event)) {
                 context.run.percent = seen->shown->percent;
                 context.run.load = seen->shown->load;
             }
         }},
        {"ask_look",
         [](run_context& context, const run_event&) {
             context.run.doubtful_at = context.board.now_;
             context.run.server->next_look_at = context.board.now_;
         }},
        {"send_stop",
         [](run_context& context, const run_event&) {
             context.run.stop_again_at.reset();
             context.board.order_stop(context.run);
         }},
        {"note_unsent_stop",
         [](run_context& context, const run_event&) {
             constexpr duration pause = milliseconds(300);
             context.run.stop_again_at = context.board.now_ + pause;
         }},
        {"note_stop",
         [](run_context& context, const run_event&) {
             context.run.stopped_at = context.board.now_;
             context.run.server->next_look_at = context.board.now_;
         }},
        {"take_back",
         [](run_context& context, const run_event&) { context.run.outcome = run_not_begun{}; }},
        {"apply_end",
         [](run_context& context, const run_event& event) {
             const ended_task& end = *std::get<end_listed>(event).end;
             context.run.outcome = run_ended{end.how, end.checkpoint};
         }},
        {"apply_loss",
         [](run_context& context, const run_event&) { context.run.outcome = run_lost{}; }},
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
    run.ordered_at = now_;
    server.used += run.reserved;
    server.runs.push_back(&run);
    charged_[entry.row.team] += run.charged;
    step_state& state = occurrence.steps[step];
    task_slot& slot = state.tasks[index];
    slot.run = &run;
    slot.last_run = number;
    slot.accounted = true;
    ++state.active;
    ++entry.runs;
    if (entry.state == workflow_state::pending) {
        entry.state = workflow_state::running;
        step_workflow(entry, task_begun{});
        mark_changed(entry);
    }
    return run;
}

void dispatcher::implementation::remove_run(task_run& run) {
    workflow_entry& entry = *run.workflow;
    step_state& state = entry.occurrences.at(run.occurrence).steps[run.step];
    task_slot& slot = state.tasks[run.index];
    slot.run = nullptr;
    if (!slot.done) {
        --state.active;
    }
    --entry.runs;
    run.server->used -= run.reserved;
    std::erase(run.server->runs, &run);
    charged_[entry.row.team] -= run.charged;
    // Room of a team's limit may let tasks of any pool start.
    for (auto& [name, pool] : pools_) {
        pool.due = pool.due || name == run.server->listing.pool || !entry.row.team.empty();
    }
    runs_.erase(static_cast<std::uint64_t>(run.id));
}

void dispatcher::implementation::step_run(task_run& run, const run_event& event) {
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
    const task_place place{&entry, &occurrence, &occurrence.steps[key.step].tasks[key.index]};
    remove_run(run);
    apply_outcome(place, key, number, server, outcome);
}

void dispatcher::implementation::apply_outcome(const task_place& place, const task_key& key,
                                               std::uint32_t number, backend_entry& server,
                                               const run_outcome& outcome) {
    std::visit(overloaded{
                   [&](const run_ended& end) { apply_end(place, key, number, server, end); },
                   [&](const run_not_begun&) { ++counts_.starts_refused; },
                   [&](const run_lost&) {
                       ++counts_.runs_lost;
                       if (!place.workflow->is_ended()) {
                           note("run_lost", key.job, server.listing.id,
                                "task=" + std::to_string(key.step) + "." +
                                    std::to_string(key.index) + " run=" + std::to_string(number));
                           stop_gang(place, key.step);
                       }
                   },
               },
               outcome);
}

void dispatcher::implementation::apply_end(const task_place& place, const task_key& key,
                                           std::uint32_t number, backend_entry& server,
                                           const run_ended& end) {
    task_slot& slot = *place.slot;
    if (place.workflow->is_ended() || slot.done) {
        return;
    }
    if (!end.checkpoint.empty()) {
        slot.checkpoint = end.checkpoint;
    }
    switch (end.how) {
    case run_end::done:
        ++counts_.runs_done;
        rate_server(server, false);
        complete(place, key);
        return;
    case run_end::failed:
        ++counts_.runs_failed;
        rate_server(server, true);
        count_failure(place, key, number, server);
        break;
    case run_end::stopped:
    case run_end::lapsed:
    case run_end::partner_ended:
    case run_end::partners_missing:
        break;
    }
    stop_gang(place, key.step);
}

void dispatcher::implementation::complete(const task_place& place, const task_key& key) {
    workflow_entry& entry = *place.workflow;
    const workflow_step& step = entry.step(key.step);
    bool all_done = false;
    if (step.gang) {
        // The members of a gang end together, and one end stands for all.
        for (std::uint32_t index = 0; index < step.tasks; ++index) {
            all_done = entry.complete_task(*place.occurrence, key.step, index) || all_done;
        }
    } else {
        all_done = entry.complete_task(*place.occurrence, key.step, key.index);
    }
    mark_changed(entry);
    pools_[entry.row.pool].due = true;
    if (all_done || fault_planted("workflow-truth")) {
        step_workflow(entry, tasks_done{});
    }
}

void dispatcher::implementation::count_failure(const task_place& place, const task_key& key,
                                               std::uint32_t number, backend_entry& server) {
    workflow_entry& entry = *place.workflow;
    task_slot& slot = *place.slot;
    if (slot.has_failed_in(number)) {
        // A server that left the list and came back shows its last ends once more.
        return;
    }
    slot.failed_runs.push_back(number);
    slot.failed_on = server.listing.id;
    mark_changed(entry);
    const queue_definition* queue = catalog_->queue(entry.row.queue);
    // A removed queue has no limit any more: its tasks go on until they are done or cancelled.
    const bool limited = queue != nullptr && !entry.step(key.step).long_running;
    note("task_failed", key.job, server.listing.id,
         "task=" + std::to_string(key.step) + "." + std::to_string(key.index) +
             " failures=" + std::to_string(slot.failed_runs.size()));
    if (limited && slot.failed_runs.size() >= queue->attempts &&
        !fault_planted("workflow-attempts")) {
        step_workflow(entry, attempts_spent{});
    }
}

void dispatcher::implementation::stop_gang(const task_place& place, std::uint32_t step) {
    if (!place.workflow->step(step).gang || place.workflow->is_ended()) {
        return;
    }
    for (const task_slot& slot : place.occurrence->steps[step].tasks) {
        if (slot.run != nullptr) {
            step_run(*slot.run, stop_wanted{});
        }
    }
}

void dispatcher::implementation::order_start(task_run& run) {
    ++counts_.starts;
    const task_slot& slot =
        run.workflow->occurrences.at(run.occurrence).steps[run.step].tasks[run.index];
    effects_.emplace_back(send_start{run.id,
                                     {run.server->listing.id, run.server->listing.address},
                                     {run.key(),
                                      run.number,
                                      run.workflow->row.spec.payload,
                                      renewed_lease(*run.server),
                                      options_.token,
                                      slot.checkpoint,
                                      {}}});
}

void dispatcher::implementation::order_stop(const task_run& run) {
    effects_.emplace_back(send_stop{run.id,
                                    {run.server->listing.id, run.server->listing.address},
                                    {run.key(), run.number, options_.token}});
}

void dispatcher::implementation::stop_stray(backend_entry& server, const running_task& shown) {
    server.has_strays = true;
    note("stray_run_stopped", shown.task.job, server.listing.id,
         "run=" + std::to_string(shown.run));
    effects_.emplace_back(send_stop{run_id{},
                                    {server.listing.id, server.listing.address},
                                    {shown.task, shown.run, options_.token}});
}

void dispatcher::implementation::take(const start_answered& input) {
    const auto found = runs_.find(static_cast<std::uint64_t>(input.run));
    if (found == runs_.end()) {
        return;
    }
    task_run& run = *found->second;
    backend_entry& server = *run.server;
    std::visit(overloaded{
                   [&](const order_done& done) {
                       note_clock(server, done.clock);
                       step_run(run, start_accepted{});
                   },
                   [&](const order_refused& refused) {
                       constexpr duration pause = milliseconds(150);
                       if (refused.why == order_refusal::fenced) {
                           effects_.emplace_back(fenced_out{});
                       }
                       if (refused.why != order_refusal::superseded_run) {
                           server.refused_until = now_ + pause;
                           server.next_look_at = now_;
                       }
                       note("start_refused", run.workflow->row.id, server.listing.id,
                            "reason=" + std::to_string(static_cast<int>(refused.why)));
                       step_run(run, start_refused{});
                   },
                   [&](const backend_replaced&) {
                       // Nothing was begun, and nothing that the intended life ran goes on.
                       step_run(run, start_refused{});
                       step_contact(server, replaced{});
                   },
                   [&](const backend_unreachable&) {
                       step_run(run, start_refused{});
                       fail_contact(server);
                   },
                   [&](const order_in_doubt&) {
                       step_run(run, start_unanswered{});
                       fail_contact(server);
                   },
               },
               input.result);
}

void dispatcher::implementation::take(const stop_answered& input) {
    const auto found = runs_.find(static_cast<std::uint64_t>(input.run));
    if (found == runs_.end()) {
        return;
    }
    task_run& run = *found->second;
    backend_entry& server = *run.server;
    std::visit(overloaded{
                   [&](const order_done& done) {
                       note_clock(server, done.clock);
                       step_run(run, stop_accepted{});
                   },
                   [&](const order_refused& refused) {
                       if (refused.why == order_refusal::fenced) {
                           effects_.emplace_back(fenced_out{});
                       }
                       step_run(run, stop_unanswered{});
                   },
                   [&](const backend_replaced&) { step_contact(server, replaced{}); },
                   [&](const auto&) {
                       fail_contact(server);
                       step_run(run, stop_unanswered{});
                   },
               },
               input.result);
}

void dispatcher::implementation::repeat_stops() {
    for (const auto& [id, server] : servers_) {
        for (task_run* run : server->runs) {
            if (run->stop_again_at && now_ >= *run->stop_again_at) {
                step_run(*run, stop_due{});
            }
        }
    }
}

bool dispatcher::implementation::may_take_away(const task_run& run) const {
    const workflow_step& definition = run.workflow->step(run.step);
    if (definition.max_unavailable == 0 || run.server->listing.leaving) {
        return true;
    }
    constexpr int at_work = 100;
    // A long-running task starts up within this time; servers do not tell when it has.
    constexpr duration startup_time = milliseconds(2000);
    const step_state& state = run.workflow->occurrences.at(run.occurrence).steps[run.step];
    std::uint32_t others_away = 0;
    for (const task_slot& slot : state.tasks) {
        const bool works = slot.run != nullptr && slot.run->percent == at_work &&
                           now_ - startup_time >= slot.run->known_since &&
                           run_machine_.name_of(slot.run->position) == "running" &&
                           is(*slot.run->server, "current");
        others_away += slot.run != &run && !works ? 1 : 0;
    }
    return others_away < definition.max_unavailable;
}

bool dispatcher::implementation::has_room_elsewhere(const task_run& run) const {
    return std::ranges::any_of(servers_, [&](const auto& item) {
        const backend_entry& other = *item.second;
        return &other != run.server && other.listing.pool == run.server->listing.pool &&
               can_take(other) && other.room().holds(run.reserved) &&
               suits(other, *run.workflow, run.occurrence, run.step);
    });
}

void dispatcher::implementation::vacate_servers() {
    for (const auto& [id, server] : servers_) {
        if (!server->closing && !server->listing.leaving) {
            continue;
        }
        const std::vector<task_run*> present = server->runs;
        for (task_run* run : present) {
            if (run->workflow->step(run->step).long_running &&
                run_machine_.name_of(run->position) == "running" && may_take_away(*run) &&
                has_room_elsewhere(*run)) {
                note("run_moved", run->workflow->row.id, id,
                     server->closing ? "closing" : "leaving");
                step_run(*run, stop_wanted{});
            }
        }
    }
}

} // namespace citronford
