#include "decide/dispatch/dispatcher_state.h"

#include "citronford/planted_fault.h"

#include <algorithm>
#include <compare>
#include <tuple>

namespace citronford {

using namespace dispatch;

namespace {

/// In which order waiting work is placed; what comes first goes first.
enum class urgency {
    long_running, ///< Serves its own users; must be back soon after each loss.
    on_time,      ///< Can still meet its objective.
    surplus,      ///< On time, but beyond the rate that its team is owed.
    late,         ///< Will miss its objective, and still has some worth.
    hopeless,
};

} // namespace

/// A step with tasks that wait.
struct dispatcher::implementation::candidate {
    workflow_entry* workflow = nullptr;
    occurrence_state* occurrence = nullptr;
    std::uint32_t step = 0;
    urgency rank = urgency::on_time;
    int priority = 0;
    duration slack{}; ///< Until the latest start that meets the objective.

    [[nodiscard]] const workflow_step& definition() const { return workflow->step(step); }
    [[nodiscard]] auto key() const { return std::tuple(rank, priority, slack); }
};

void dispatcher::implementation::place_tasks() {
    if (now_ >= authority_until_) {
        return;
    }
    estimate_unknown_use();
    for (auto& [name, pool] : pools_) {
        if (pool.settled && pool.due) {
            pool.due = false;
            place_pool(name, pool);
        }
    }
}

void dispatcher::implementation::collect(workflow_entry& entry,
                                         std::vector<candidate>& candidates) {
    if (entry.stored_before && fault_planted("workflow-finishes")) {
        return;
    }
    const queue_definition* queue = catalog_->queue(entry.row.queue);
    for (auto& [number, occurrence] : entry.occurrences) {
        if (occurrence.steps_done == occurrence.steps.size()) {
            continue;
        }
        const instant begun =
            entry.row.spec.occurrences == 0 ? entry.accepted_at : occurrence.due_at;
        const duration chain = entry.remaining_chain(occurrence);
        const duration slack = begun + entry.allowance - now_ - chain;
        // Work that ends within three times its allowance still has some worth.
        const duration late_slack = slack + 2 * entry.allowance;
        urgency rank = entry.surplus ? urgency::surplus : urgency::on_time;
        if (late_slack < duration::zero()) {
            rank = urgency::hopeless;
        } else if (slack < -chain / 10) {
            rank = urgency::late;
        }
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (occurrence.steps[step].waiting() > 0) {
                candidate item{
                    &entry, &occurrence, step, rank, queue == nullptr ? 0 : queue->priority, slack};
                if (item.definition().long_running) {
                    item.rank = urgency::long_running;
                }
                candidates.push_back(item);
            }
        }
    }
}

void dispatcher::implementation::place_pool(const pool_id& /*name*/, pool_state& pool) {
    std::vector<backend_entry*> servers;
    std::vector<backend_entry*> unseen;
    for (const backend_id& id : pool.servers) {
        backend_entry* server = servers_.at(id).get();
        if (can_take(*server)) {
            (server->fresh(now_) ? servers : unseen).push_back(server);
        }
    }
    std::vector<candidate> candidates;
    for (workflow_entry* entry : pool.open) {
        collect(*entry, candidates);
    }
    std::ranges::stable_sort(candidates, {}, &candidate::key);
    const unread_state unread{unresolved(pool), hides_ends(pool)};
    std::set<const backend_entry*> held_back;
    for (const candidate& item : candidates) {
        if (!place_step(item, held_back, servers, unread)) {
            // Something waits for room, a limit or a server: look again at the next tick.
            pool.due = true;
        }
    }
    for (backend_entry* server : unseen) {
        server->look_wanted = server->look_wanted || pool.due;
    }
}

bool dispatcher::implementation::place_step(const candidate& item,
                                            std::set<const backend_entry*>& held_back,
                                            std::span<backend_entry* const> servers,
                                            unread_state unread) {
    const workflow_step& definition = item.definition();
    step_state& state = item.occurrence->steps[item.step];
    std::vector<task_run*> begun;
    bool complete = true;
    bool skipped = false;
    std::uint32_t number = 0;
    for (const task_slot& slot : state.tasks) {
        number = std::max(number, item.workflow->next_run(slot));
    }
    for (std::uint32_t index = 0; index < state.tasks.size() && complete; ++index) {
        task_slot& slot = state.tasks[index];
        if (!slot.waits()) {
            continue;
        }
        const bool may_run_elsewhere = unread.runs && !fault_planted("workflow-once");
        const bool may_be_spent = unread.ends && has_last_attempt(*item.workflow, definition, slot);
        if (item.workflow->unaccounted(slot) && (may_run_elsewhere || may_be_spent)) {
            skipped = true;
            complete = !definition.gang;
            continue;
        }
        backend_entry* server = choose(item, slot, servers, held_back);
        if (server == nullptr) {
            complete = false;
            break;
        }
        begun.push_back(&add_run(*item.workflow, *item.occurrence, item.step, index,
                                 definition.gang ? number : item.workflow->next_run(slot),
                                 *server));
    }
    const bool partial_gang =
        definition.gang && (!complete || state.active != state.tasks.size() - state.done);
    if (partial_gang) {
        for (task_run* run : begun) {
            remove_run(*run);
        }
        return false;
    }
    for (task_run* run : begun) {
        order_start(*run);
    }
    if (!complete && definition.long_running) {
        // The server with the most room is kept free of other work until the task fits.
        const backend_entry* best = nullptr;
        for (const backend_entry* server : servers) {
            if (suits(*server, *item.workflow, item.occurrence->number, item.step) &&
                (best == nullptr || server->room().millicores > best->room().millicores)) {
                best = server;
            }
        }
        if (best != nullptr) {
            held_back.insert(best);
        }
    }
    return complete && !skipped;
}

dispatcher::implementation::backend_entry*
dispatcher::implementation::choose(const candidate& item, const task_slot& slot,
                                   std::span<backend_entry* const> servers,
                                   const std::set<const backend_entry*>& held_back) const {
    const workflow_step& definition = item.definition();
    resources reserved = definition.size;
    if (definition.best_effort_cpu) {
        reserved.millicores = 0;
    }
    if (!within_limit(item.workflow->row.team, definition.size)) {
        return nullptr;
    }
    backend_entry* best = nullptr;
    std::tuple<bool, bool, bool, bool, std::int64_t> best_score;
    for (backend_entry* server : servers) {
        const resources room = server->room();
        if (!room.holds(reserved) || held_back.contains(server) ||
            !suits(*server, *item.workflow, item.occurrence->number, item.step)) {
            continue;
        }
        const bool near =
            definition.data_rack.empty() || server->listing.has_label(definition.data_rack);
        const bool stays = !definition.long_running || !server->closing_later;
        // Tasks are packed, and long-running ones most of all, so that other VMs are empty and can
        // go where work waits.
        const bool shares = !definition.long_running || hosts_long_running(*server);
        const std::tuple score(server->listing.id != slot.failed_on, stays, near, shares,
                               -room.millicores);
        if (best == nullptr || score > best_score) {
            best = server;
            best_score = score;
        }
    }
    return best;
}

bool dispatcher::implementation::hosts_long_running(const backend_entry& server) {
    return std::ranges::any_of(server.runs, [](const task_run* run) {
        return run->workflow->step(run->step).long_running;
    });
}

bool dispatcher::implementation::can_take(const backend_entry& server) const {
    return is(server, "current") && server.listed && !server.listing.leaving && !server.closing &&
           server.clock && !orders_.removed_zones.contains(server.listing.zone) &&
           now_ >= server.refused_until && now_ >= server.quarantined_until;
}

bool dispatcher::implementation::suits(const backend_entry& server, const workflow_entry& entry,
                                       std::uint32_t occurrence, std::uint32_t step) const {
    const workflow_step& definition = entry.step(step);
    if (!definition.required_label.empty() &&
        !server.listing.has_label(definition.required_label)) {
        return false;
    }
    // Tasks that fill slow down tasks that serve beside them, by amounts that nobody knows before.
    const bool serves = definition.response_target > milliseconds::zero();
    const bool disturbed = std::ranges::any_of(server.runs, [&](const task_run* run) {
        const workflow_step& other = run->workflow->step(run->step);
        return (definition.best_effort_cpu && other.response_target > milliseconds::zero()) ||
               (serves && other.best_effort_cpu);
    });
    if (disturbed) {
        return false;
    }
    if (definition.max_per_server == 0) {
        return true;
    }
    const auto present = std::ranges::count_if(server.runs, [&](const task_run* run) {
        return run->workflow == &entry && run->occurrence == occurrence && run->step == step;
    });
    return present < static_cast<std::ptrdiff_t>(definition.max_per_server);
}

bool dispatcher::implementation::within_limit(const team_id& team, const resources& size) const {
    const catalog_team* known = catalog_->team(team);
    if (known == nullptr || fault_planted("workflow-limits")) {
        return true;
    }
    const auto found = charged_.find(team);
    const auto unknown = unknown_use_.find(team);
    const resources total = (found == charged_.end() ? resources{} : found->second) +
                            (unknown == unknown_use_.end() ? resources{} : unknown->second) + size;
    const auto fits = [](std::int64_t amount, std::int64_t limit) {
        return limit == 0 || amount <= limit;
    };
    return fits(total.millicores, known->limit.millicores) &&
           fits(total.memory_mb, known->limit.memory_mb) &&
           fits(total.accelerators, known->limit.accelerators);
}

} // namespace citronford
