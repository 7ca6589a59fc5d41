#include "decide/dispatch/dispatcher_state.h"

#include <algorithm>

namespace citronford {

using namespace dispatch;

void dispatcher::implementation::recover_pools() {
    if (!workflows_loaded_ || !backends_loaded_) {
        return;
    }
    // A server that answers no call within this time is not waited for by the others.
    constexpr duration read_timeout = milliseconds(800);
    for (auto& [name, pool] : pools_) {
        if (pool.recovered) {
            continue;
        }
        const bool all_read = std::ranges::all_of(pool.servers, [this](const backend_id& id) {
            return !contact_is(*servers_.at(id), "unread");
        });
        if (all_read || now_ >= ownership_began_at_ + read_timeout) {
            recover(pool);
        }
    }
}

void dispatcher::implementation::recover(pool_state& pool) {
    adopt_running(pool);
    apply_initial_completions(pool);
    for (const backend_id& id : pool.servers) {
        backend_entry& server = *servers_.at(id);
        server.initial_reply.reset();
        server.next_poll_at = now_;
    }
    pool.recovered = true;
    pool.placement_due = true;
}

void dispatcher::implementation::adopt_running(const pool_state& pool) {
    struct sighting {
        backend_entry* server = nullptr;
        const running_task* reported = nullptr;
    };
    std::map<const task_record*, sighting> latest;
    for (const backend_id& id : pool.servers) {
        backend_entry& server = *servers_.at(id);
        if (!server.initial_reply) {
            continue;
        }
        for (const running_task& reported : server.initial_reply->running) {
            const task_location location = find_task(reported.task);
            if (location.record == nullptr || location.record->done ||
                location.workflow->is_ended()) {
                stop_stray(server, reported);
                continue;
            }
            sighting& best = latest[location.record];
            if (best.reported != nullptr && best.reported->run >= reported.run) {
                stop_stray(server, reported);
                continue;
            }
            if (best.reported != nullptr) {
                stop_stray(*best.server, *best.reported);
            }
            best = {&server, &reported};
        }
    }
    for (const auto& [record, best] : latest) {
        const task_location location = find_task(best.reported->task);
        task_run& run = add_run(*location.workflow, *location.occurrence, best.reported->task.step,
                                best.reported->task.index, best.reported->run, *best.server);
        if (!best.reported->checkpoint.empty()) {
            location.record->checkpoint = best.reported->checkpoint;
        }
        process_run_event(run, reported_running{best.reported});
    }
}

void dispatcher::implementation::apply_initial_completions(const pool_state& pool) {
    struct listed_end {
        backend_entry* server = nullptr;
        const run_completion* end = nullptr;
    };
    std::vector<listed_end> ends;
    for (const backend_id& id : pool.servers) {
        backend_entry& server = *servers_.at(id);
        if (!server.initial_reply) {
            continue;
        }
        for (const run_completion& end : server.initial_reply->completions) {
            ends.push_back({&server, &end});
            server.last_completion_applied = std::max(server.last_completion_applied, end.number);
        }
    }
    // Failures up to the run that the saved progress names are counted in it.
    std::ranges::stable_sort(ends, {}, [](const listed_end& item) { return item.end->run; });
    for (const auto& [server, end] : ends) {
        const task_location location = find_task(end->task);
        if (location.record == nullptr || location.record->done) {
            continue;
        }
        const bool newer = !location.record->has_failed_in(end->run);
        // While a later run goes on, only a failure still counts.
        if (newer && (location.record->run == nullptr || end->kind == completion_kind::failed)) {
            location.record->last_run = std::max(location.record->last_run, end->run);
            apply_completion(location, end->task, end->run, *server, {end->kind, end->checkpoint});
        }
    }
}

bool dispatcher::implementation::may_have_unknown_runs(const pool_state& pool) const {
    if (now_ < ownership_began_at_ + options_.registration_delay) {
        return true;
    }
    return std::ranges::any_of(pool.servers, [this](const backend_id& id) {
        return contact_is(*servers_.at(id), "unread");
    });
}

/// Whether a registered server was never read under this ownership. Nothing runs there once the
/// leases of the earlier owner are over, but ends that nobody has taken note of may wait there.
bool dispatcher::implementation::may_have_unread_completions(const pool_state& pool) const {
    return std::ranges::any_of(pool.servers, [this](const backend_id& id) {
        const backend_entry& server = *servers_.at(id);
        return server.registered && !contact_is(server, "gone") &&
               server.last_reply_at == instant::min();
    });
}

/// Whether the task would be over with one failure more. Long-running tasks have no limit.
bool dispatcher::implementation::on_last_attempt(const workflow_entry& entry,
                                                 const workflow_step& step,
                                                 const task_record& record) const {
    const queue_definition* queue = catalog_->queue(entry.row.queue);
    return queue != nullptr && !step.long_running &&
           record.failed_runs.size() + 1 >= queue->attempts;
}

void dispatcher::implementation::estimate_unknown_usage() {
    unknown_usage_.clear();
    for (const auto& [name, pool] : pools_) {
        if (!may_have_unknown_runs(pool)) {
            continue;
        }
        resources unread;
        for (const backend_id& id : pool.servers) {
            if (contact_is(*servers_.at(id), "unread")) {
                unread += servers_.at(id)->registration.capacity;
            }
        }
        std::map<team_id, resources> possible;
        for (const workflow_entry* entry : pool.active_workflows) {
            for (const auto& [number, occurrence] : entry->occurrences) {
                for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                    const auto tasks = std::ranges::count_if(
                        occurrence.steps[step].tasks, [&](const task_record& record) {
                            return record.is_waiting() && entry->may_have_unknown_run(record);
                        });
                    const resources& size = entry->step(step).size;
                    possible[entry->row.team] += {size.millicores * tasks, size.memory_mb * tasks,
                                                  size.accelerators * tasks};
                }
            }
        }
        for (const auto& [team, amount] : possible) {
            unknown_usage_[team] += {std::min(amount.millicores, unread.millicores),
                                     std::min(amount.memory_mb, unread.memory_mb),
                                     std::min(amount.accelerators, unread.accelerators)};
        }
    }
}

} // namespace citronford
