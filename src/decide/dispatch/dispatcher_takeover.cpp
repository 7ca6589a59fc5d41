#include "decide/dispatch/dispatcher_state.h"

#include <algorithm>

namespace citronford {

using namespace dispatch;

void dispatcher::implementation::recover_pools() {
    if (!workflows_loaded_ || !backends_loaded_) {
        return;
    }
    // After this time, recovery goes on without the servers that have not answered.
    constexpr duration read_timeout = milliseconds(800);
    for (auto& [name, pool] : pools_) {
        if (pool.recovered) {
            continue;
        }
        const bool all_read = std::ranges::all_of(
            pool.servers, [this](const auto& item) { return !contact_is(*item.second, "unread"); });
        const bool listed = vm_list_received_ || !options_.has_vm_lists;
        if ((all_read && listed) || now_ >= ownership_began_at_ + read_timeout) {
            recover(pool);
        }
    }
}

void dispatcher::implementation::recover(pool_state& pool) {
    adopt_running(pool);
    apply_initial_completions(pool);
    for (const auto& [id, server] : pool.servers) {
        server->initial_reply.reset();
        server->next_poll_at = now_;
    }
    pool.recovered = true;
    pool.placement_due = true;
}

void dispatcher::implementation::adopt_running(const pool_state& pool) {
    struct task_report {
        backend_entry* server = nullptr;
        const running_task* reported = nullptr;
    };
    std::map<const task_record*, task_report> latest;
    std::map<const task_record*, task_report> copies; ///< Beside the ones in `latest`.
    for (const auto& [id, entry] : pool.servers) {
        backend_entry& server = *entry;
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
            task_report& best = latest[location.record];
            if (best.reported != nullptr &&
                allows_copies(location.workflow->step(reported.task.step)) &&
                copies.try_emplace(location.record, task_report{&server, &reported}).second) {
                continue;
            }
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
    const auto adopt = [this](const task_report& best) {
        const task_location location = find_task(best.reported->task);
        task_run& run = add_run(*location.workflow, *location.occurrence, best.reported->task.step,
                                best.reported->task.index, best.reported->run, *best.server);
        if (!best.reported->checkpoint.empty()) {
            location.record->checkpoint = best.reported->checkpoint;
        }
        process_run_event(run, reported_running{best.reported});
    };
    for (const auto& reports : {latest, copies}) {
        for (const auto& [record, best] : reports) {
            adopt(best);
        }
    }
}

void dispatcher::implementation::apply_initial_completions(const pool_state& pool) {
    struct server_completion {
        backend_entry* server = nullptr;
        const run_completion* completion = nullptr;
    };
    std::vector<server_completion> pending;
    for (const auto& [id, server] : pool.servers) {
        if (!server->initial_reply) {
            continue;
        }
        for (const run_completion& completion : server->initial_reply->completions) {
            pending.push_back({server, &completion});
        }
    }
    // Applied in order of runs. Failures that the stored progress already names are skipped.
    std::ranges::stable_sort(pending, {},
                             [](const server_completion& item) { return item.completion->run; });
    for (const auto& [server, completion] : pending) {
        const task_location location = find_task(completion->task);
        if (location.record == nullptr || location.record->done) {
            continue;
        }
        const bool uncounted = !location.record->has_failed_in(completion->run);
        // When a run was adopted, only failures still count, and the end of its copy.
        const bool done_by_copy = allows_copies(location.workflow->step(completion->task.step)) &&
                                  completion->kind == completion_kind::done;
        if (uncounted && (location.record->run == nullptr || done_by_copy ||
                          completion->kind == completion_kind::failed)) {
            location.record->last_run = std::max(location.record->last_run, completion->run);
            apply_completion(location, completion->task, completion->run, *server,
                             {completion->kind, completion->checkpoint});
        }
    }
    for (const auto& [id, server] : pool.servers) {
        if (!server->initial_reply) {
            continue;
        }
        for (const run_completion& completion : server->initial_reply->completions) {
            track_completion(*server, completion);
        }
    }
}

bool dispatcher::implementation::may_have_unknown_runs(const pool_state& pool) const {
    if (now_ < ownership_began_at_ + options_.registration_delay) {
        return true;
    }
    // A run that ended is as unknown as one that goes on until its completion has been listed.
    const bool unlisted = std::ranges::any_of(
        pool.servers, [](const auto& item) { return item.second->has_unlisted_completions; });
    if (unlisted) {
        return true;
    }
    if (now_ >= previous_leases_end()) {
        return false;
    }
    // Only the VM list names servers whose registrations had expired before the ownership began.
    if (options_.has_vm_lists && !vm_list_received_) {
        return true;
    }
    const bool unread = std::ranges::any_of(
        pool.servers, [this](const auto& item) { return contact_is(*item.second, "unread"); });
    return unread || std::ranges::any_of(unregistered_, [&](const auto& item) {
               return item.second.pool == pool.name;
           });
}

/// Whether a registered server has never answered a poll under this ownership. Once the leases of
/// the earlier owner have expired, nothing runs there, but it may hold unacknowledged completions.
bool dispatcher::implementation::may_have_unread_completions(const pool_state& pool) const {
    return std::ranges::any_of(pool.servers, [this](const auto& item) {
        const backend_entry& server = *item.second;
        return server.registered && !contact_is(server, "gone") &&
               server.last_reply_at == instant::min();
    });
}

/// Whether failures that are not known yet would exhaust the attempts: one, or two with a copy.
/// Long-running tasks have no limit.
bool dispatcher::implementation::on_last_attempt(const workflow_entry& entry,
                                                 const workflow_step& step,
                                                 const task_record& record) const {
    const std::size_t unknown_failures = allows_copies(step) ? 2 : 1;
    return !step.long_running &&
           record.failed_runs.size() + unknown_failures >= entry.terms.max_attempts;
}

void dispatcher::implementation::estimate_unknown_usage() {
    unknown_usage_.clear();
    for (const auto& [name, pool] : pools_) {
        if (pool.recovered && !may_have_unknown_runs(pool)) {
            continue;
        }
        resources unread;
        for (const auto& [id, server] : pool.servers) {
            // Runs named in a reply are charged to their teams once the pool is recovered.
            if (contact_is(*server, "unread") || server->initial_reply) {
                unread += server->registration.capacity;
            }
        }
        for (const auto& [id, server] : unregistered_) {
            if (server.pool == name) {
                unread += server.capacity;
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
                    possible[entry->row.team] += size * tasks;
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
