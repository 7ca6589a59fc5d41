#include "decide/dispatch/dispatcher_state.h"

#include "citronford/overloaded.h"

#include <algorithm>

namespace citronford {

using namespace dispatch;

void dispatcher::implementation::stop_gang(const task_location& location, std::uint32_t step) {
    if (!location.workflow->step(step).gang || location.workflow->is_ended()) {
        return;
    }
    for (const task_record& record : location.occurrence->steps[step].tasks) {
        if (record.run != nullptr) {
            process_run_event(*record.run, stop_requested{});
        }
    }
}

void dispatcher::implementation::emit_stop(const task_run& run) {
    effects_.emplace_back(send_stop{run.id,
                                    {run.server->registration.id, run.server->registration.address},
                                    {run.key(), run.number, options_.token}});
}

void dispatcher::implementation::stop_stray(backend_entry& server, const running_task& reported) {
    server.has_strays = true;
    log("stray_run_stopped", reported.task.job, server.registration.id,
        "run=" + std::to_string(reported.run));
    effects_.emplace_back(send_stop{run_id{},
                                    {server.registration.id, server.registration.address},
                                    {reported.task, reported.run, options_.token}});
}

void dispatcher::implementation::process(const stop_answered& input) {
    const auto found = runs_.find(static_cast<std::uint64_t>(input.run));
    if (found == runs_.end()) {
        return;
    }
    task_run& run = *found->second;
    backend_entry& server = *run.server;
    std::visit(overloaded{
                   [&](const command_accepted& done) {
                       process_command_clock(server, done.clock);
                       process_run_event(run, stop_accepted{});
                   },
                   [&](const command_refused& refused) {
                       if (refused.reason == command_refusal::fenced) {
                           effects_.emplace_back(fenced_out{});
                       }
                       process_run_event(run, stop_unconfirmed{});
                   },
                   [&](const backend_replaced&) { process_contact_event(server, replaced{}); },
                   [&](const auto&) {
                       mark_contact_failed(server);
                       process_run_event(run, stop_unconfirmed{});
                   },
               },
               input.result);
}

void dispatcher::implementation::retry_stops() {
    const std::vector<run_id> waiting(stop_retries_.begin(), stop_retries_.end());
    for (const run_id id : waiting) {
        task_run& run = *runs_.at(static_cast<std::uint64_t>(id));
        if (now_ >= *run.stop_retry_at) {
            process_run_event(run, stop_retry_due{});
        }
    }
}

bool dispatcher::implementation::may_disrupt(const task_run& run) const {
    const workflow_step& definition = run.workflow->step(run.step);
    if (definition.max_unavailable == 0 || run.server->registration.leaving) {
        return true;
    }
    constexpr int full_rate = 100; // Percent.
    // Longest start-up time of a long-running task; servers do not report when it is ready.
    constexpr duration startup_time = milliseconds(2000);
    const step_state& state = run.workflow->occurrences.at(run.occurrence).steps[run.step];
    std::uint32_t others_unavailable = 0;
    for (const task_record& record : state.tasks) {
        const bool works = record.run != nullptr && record.run->percent == full_rate &&
                           now_ - startup_time >= record.run->first_seen_at &&
                           run_machine_.name_of(record.run->position) == "running" &&
                           contact_is(*record.run->server, "current");
        others_unavailable += record.run != &run && !works ? 1 : 0;
    }
    return others_unavailable < definition.max_unavailable;
}

bool dispatcher::implementation::fits_elsewhere(const task_run& run) const {
    return std::ranges::any_of(run.server->pool->servers, [&](const auto& item) {
        const backend_entry& other = *item.second;
        return &other != run.server && accepts_tasks(other) &&
               other.free_capacity().holds(run.reserved) &&
               meets_constraints(other, *run.workflow, run.occurrence, run.step);
    });
}

void dispatcher::implementation::drain_servers() {
    for (const auto& [id, server] : leaving_) {
        const std::vector<task_run*> snapshot = server->runs;
        for (task_run* run : snapshot) {
            if (run->workflow->step(run->step).long_running &&
                run_machine_.name_of(run->position) == "running" && may_disrupt(*run) &&
                fits_elsewhere(*run)) {
                log("run_moved", run->workflow->row.id, id,
                    server->drain_requested ? "closing" : "leaving");
                process_run_event(*run, stop_requested{});
            }
        }
    }
}

} // namespace citronford
