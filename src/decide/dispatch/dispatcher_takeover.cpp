#include "decide/dispatch/dispatcher_state.h"

#include <algorithm>

namespace citronford {

using namespace dispatch;

void dispatcher::implementation::settle_pools() {
    if (!workflows_loaded_ || !backends_loaded_) {
        return;
    }
    // A server that answers no call within this time is not waited for by the others.
    constexpr duration patience = milliseconds(800);
    for (auto& [name, pool] : pools_) {
        if (pool.settled) {
            continue;
        }
        const bool all_read = std::ranges::all_of(
            pool.servers, [this](const backend_id& id) { return !is(*servers_.at(id), "unread"); });
        if (all_read || now_ >= begun_at_ + patience) {
            settle(pool);
        }
    }
}

void dispatcher::implementation::settle(pool_state& pool) {
    adopt_running(pool);
    apply_first_ends(pool);
    for (const backend_id& id : pool.servers) {
        backend_entry& server = *servers_.at(id);
        server.first_view.reset();
        server.next_look_at = now_;
    }
    pool.settled = true;
    pool.due = true;
}

void dispatcher::implementation::adopt_running(const pool_state& pool) {
    struct sighting {
        backend_entry* server = nullptr;
        const running_task* shown = nullptr;
    };
    std::map<const task_slot*, sighting> latest;
    for (const backend_id& id : pool.servers) {
        backend_entry& server = *servers_.at(id);
        if (!server.first_view) {
            continue;
        }
        for (const running_task& shown : server.first_view->running) {
            const task_place place = place_of(shown.task);
            if (place.slot == nullptr || place.slot->done || place.workflow->is_ended()) {
                stop_stray(server, shown);
                continue;
            }
            sighting& best = latest[place.slot];
            if (best.shown != nullptr && best.shown->run >= shown.run) {
                stop_stray(server, shown);
                continue;
            }
            if (best.shown != nullptr) {
                stop_stray(*best.server, *best.shown);
            }
            best = {&server, &shown};
        }
    }
    for (const auto& [slot, best] : latest) {
        const task_place place = place_of(best.shown->task);
        task_run& run = add_run(*place.workflow, *place.occurrence, best.shown->task.step,
                                best.shown->task.index, best.shown->run, *best.server);
        if (!best.shown->checkpoint.empty()) {
            place.slot->checkpoint = best.shown->checkpoint;
        }
        step_run(run, seen_running{best.shown});
    }
}

void dispatcher::implementation::apply_first_ends(const pool_state& pool) {
    struct listed_end {
        backend_entry* server = nullptr;
        const ended_task* end = nullptr;
    };
    std::vector<listed_end> ends;
    for (const backend_id& id : pool.servers) {
        backend_entry& server = *servers_.at(id);
        if (!server.first_view) {
            continue;
        }
        for (const ended_task& end : server.first_view->ended) {
            ends.push_back({&server, &end});
            server.ends_taken = std::max(server.ends_taken, end.number);
        }
    }
    // Failures up to the run that the saved progress names are counted in it.
    std::ranges::stable_sort(ends, {}, [](const listed_end& item) { return item.end->run; });
    for (const auto& [server, end] : ends) {
        const task_place place = place_of(end->task);
        if (place.slot == nullptr || place.slot->done) {
            continue;
        }
        const bool newer = !place.slot->has_failed_in(end->run);
        // While a later run goes on, only a failure still counts.
        if (newer && (place.slot->run == nullptr || end->how == run_end::failed)) {
            place.slot->last_run = std::max(place.slot->last_run, end->run);
            apply_end(place, end->task, end->run, *server, {end->how, end->checkpoint});
        }
    }
}

bool dispatcher::implementation::unresolved(const pool_state& pool) const {
    if (now_ < begun_at_ + options_.registration_delay) {
        return true;
    }
    return std::ranges::any_of(
        pool.servers, [this](const backend_id& id) { return is(*servers_.at(id), "unread"); });
}

/// Whether a registered server was never read under this ownership. Nothing runs there once the
/// leases of the earlier owner are over, but ends that nobody has taken note of may wait there.
bool dispatcher::implementation::hides_ends(const pool_state& pool) const {
    return std::ranges::any_of(pool.servers, [this](const backend_id& id) {
        const backend_entry& server = *servers_.at(id);
        return server.listed && !is(server, "gone") && server.last_view_at == instant::min();
    });
}

/// Whether the task would be over with one failure more. Long-running tasks have no limit.
bool dispatcher::implementation::has_last_attempt(const workflow_entry& entry,
                                                  const workflow_step& step,
                                                  const task_slot& slot) const {
    const queue_definition* queue = catalog_->queue(entry.row.queue);
    return queue != nullptr && !step.long_running && slot.failed_runs.size() + 1 >= queue->attempts;
}

void dispatcher::implementation::estimate_unknown_use() {
    unknown_use_.clear();
    for (const auto& [name, pool] : pools_) {
        if (!unresolved(pool)) {
            continue;
        }
        resources unread;
        for (const backend_id& id : pool.servers) {
            if (is(*servers_.at(id), "unread")) {
                unread += servers_.at(id)->listing.capacity;
            }
        }
        std::map<team_id, resources> possible;
        for (const workflow_entry* entry : pool.open) {
            for (const auto& [number, occurrence] : entry->occurrences) {
                for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                    const auto tasks = std::ranges::count_if(
                        occurrence.steps[step].tasks, [&](const task_slot& slot) {
                            return slot.waits() && entry->unaccounted(slot);
                        });
                    const resources& size = entry->step(step).size;
                    possible[entry->row.team] += {size.millicores * tasks, size.memory_mb * tasks,
                                                  size.accelerators * tasks};
                }
            }
        }
        for (const auto& [team, amount] : possible) {
            unknown_use_[team] += {std::min(amount.millicores, unread.millicores),
                                   std::min(amount.memory_mb, unread.memory_mb),
                                   std::min(amount.accelerators, unread.accelerators)};
        }
    }
}

} // namespace citronford
