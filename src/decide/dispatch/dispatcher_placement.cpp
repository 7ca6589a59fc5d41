#include "decide/dispatch/placement_candidate.h"

#include "citronford/planted_fault.h"

#include <algorithm>
#include <compare>
#include <tuple>
#include <utility>

namespace citronford {

using namespace dispatch;

namespace {

/// What is left of a server once all its other runs have ended.
resources capacity_beside_long_running(const backend_entry& server) {
    resources left = server.registration.capacity;
    for (const task_run* run : server.runs) {
        if (run->workflow->step(run->step).long_running) {
            left -= run->reserved;
        }
    }
    return left;
}

} // namespace

/// One pass over the waiting steps of a pool.
struct dispatcher::implementation::placement_pass {
    pool_state& pool;
    open_servers servers;
    unknown_state unread;
    std::set<const backend_entry*> reserved_servers{}; ///< Kept clear for long-running tasks.
    failed_searches failed{};
    bool starts_held_back = false; ///< The limit of starts was reached.
};

void dispatcher::implementation::place_tasks() {
    if (!catalog_received_ || now_ >= commands_until_ || !pace_of_passes_.due()) {
        return;
    }
    estimate_unknown_usage();
    std::vector<pool_state*> due;
    for (auto& [name, pool] : pools_) {
        if (pool.recovered && pool.placement_due) {
            due.push_back(&pool);
        }
    }
    // While starts are limited, each pool has its turn to be the first.
    const auto first = std::ranges::find_if(
        due, [this](const pool_state* pool) { return pool->name >= first_pool_; });
    std::rotate(due.begin(), first, due.end());
    for (std::size_t index = 0; index < due.size(); ++index) {
        pool_state& pool = *due[index];
        pace_of_passes_.note_work();
        pool.placement_due = false;
        if (!place_pool(pool)) {
            first_pool_ = due[(index + 1) % due.size()]->name;
            return;
        }
    }
}

void dispatcher::implementation::collect_candidates(workflow_entry& entry,
                                                    std::vector<candidate>& candidates) {
    if (entry.stored_before && fault_planted("workflow-finishes")) {
        return;
    }
    for (auto& [number, occurrence] : entry.occurrences) {
        if (occurrence.steps_done == occurrence.steps.size()) {
            continue;
        }
        const bool waits =
            std::ranges::any_of(occurrence.steps, [](const dispatch::step_state& step) {
                return step.waiting_tasks() > 0;
            });
        if (!waits) {
            continue;
        }
        const instant objective_start =
            entry.row.spec.occurrences == 0 ? entry.accepted_at : occurrence.due_at;
        const duration critical_path = entry.remaining_critical_path(occurrence);
        const duration slack = objective_start + entry.objective - now_ - critical_path;
        // Work that ends within three times its objective is still useful.
        const duration late_slack = slack + 2 * entry.objective;
        const bool postponed = entry.over_quota || is_over_share(entry);
        urgency rank = postponed ? urgency::over_quota : urgency::on_time;
        if (late_slack < duration::zero()) {
            rank = urgency::expired;
        } else if (slack < -critical_path / 10) {
            rank = urgency::late;
        }
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (occurrence.steps[step].waiting_tasks() > 0) {
                candidate item{&entry, &occurrence, step, rank, entry.terms.priority, slack};
                item.critical_path = critical_path;
                item.active_before = occurrence.steps[step].active;
                if (item.definition().long_running) {
                    item.rank = urgency::long_running;
                }
                candidates.push_back(item);
            }
        }
    }
}

bool dispatcher::implementation::place_pool(pool_state& pool) {
    std::vector<candidate> candidates;
    for (workflow_entry* entry : pool.active_workflows) {
        collect_candidates(*entry, candidates);
    }
    pool.limit_reached = false;
    pool.stalled_workflows = 0;
    pool.order.waiting = {};
    if (candidates.empty()) {
        return true;
    }
    update_quarantine(pool);
    std::vector<backend_entry*> servers;
    std::vector<backend_entry*> stale;
    for (const auto& [id, server] : pool.servers) {
        if (accepts_tasks(*server) && (pool.quarantine_suspended || !is_quarantined(*server))) {
            (server->has_recent_contact(now_) ? servers : stale).push_back(server);
        }
    }
    if (options_.overload_order) {
        order_by_cost(pool, servers, candidates);
    }
    std::ranges::stable_sort(candidates, {}, &candidate::key);
    placement_pass pass{pool,
                        open_servers(std::move(servers)),
                        {may_have_unknown_runs(pool), may_have_unread_completions(pool)}};
    std::vector<const workflow_entry*> stalled;
    for (const candidate& item : candidates) {
        if (!place_step(item, pass)) {
            // Some task waits for capacity, the team limit or an unread server: retry next tick.
            pool.placement_due = true;
            if (is_stalled(*item.workflow)) {
                stalled.push_back(item.workflow);
            }
        }
        if (pass.starts_held_back) {
            break;
        }
    }
    if (options_.overload_order) {
        note_order(pool, candidates);
    }
    report_stalled(pool, pass.unread, stalled);
    for (backend_entry* server : stale) {
        server->poll_wanted = server->poll_wanted || pool.placement_due;
    }
    return !pass.starts_held_back;
}

bool dispatcher::implementation::place_step(const candidate& item, placement_pass& pass) {
    const workflow_step& definition = item.definition();
    step_state& state = item.occurrence->steps[item.step];
    if (definition.gang && state.active > 0) {
        // A member that is missing would join with another number of the run. The others are
        // stopped, unless a server that has not answered may run it.
        if (!pass.unread.runs) {
            stop_gang({item.workflow, item.occurrence, &state.tasks.front()}, item.step);
        }
        return false;
    }
    if (definition.gang && !pass.servers.have_room(item.reserved(), state.waiting_tasks())) {
        return false;
    }
    if (!start_window_.has_room(definition.gang ? state.waiting_tasks() : 1)) {
        start_window_.note_held_back(now_);
        pass.starts_held_back = true;
        return false;
    }
    std::vector<task_run*> started;
    bool complete = true;
    bool skipped = false;
    std::uint32_t number = 0;
    for (const task_record& record : state.tasks) {
        number = std::max(number, item.workflow->next_run_number(record));
    }
    for (std::uint32_t index = 0; index < state.tasks.size() && complete; ++index) {
        task_record& record = state.tasks[index];
        if (!record.is_waiting()) {
            continue;
        }
        if (!definition.gang && !start_window_.has_room(started.size() + 1)) {
            start_window_.note_held_back(now_);
            pass.starts_held_back = true;
            complete = false;
            break;
        }
        const bool may_run_elsewhere = pass.unread.runs && !fault_planted("workflow-once");
        const bool attempts_may_be_exhausted =
            pass.unread.completions && on_last_attempt(*item.workflow, definition, record);
        if (item.workflow->may_have_unknown_run(record) &&
            (may_run_elsewhere || attempts_may_be_exhausted)) {
            skipped = true;
            complete = !definition.gang;
            continue;
        }
        backend_entry* server = select_server(item, record, pass);
        if (server == nullptr) {
            complete = false;
            break;
        }
        const bool follows_unknown_runs = item.workflow->may_have_unknown_run(record);
        task_run& run =
            add_run(*item.workflow, *item.occurrence, item.step, index,
                    definition.gang ? number : item.workflow->next_run_number(record), *server);
        run.follows_unknown_runs = follows_unknown_runs;
        started.push_back(&run);
        pass.servers.reorder(*server);
    }
    const bool partial_gang =
        definition.gang && (!complete || state.active != state.tasks.size() - state.done);
    if (partial_gang) {
        for (task_run* run : started) {
            backend_entry& server = *run->server;
            remove_run(*run);
            pass.servers.reorder(server);
        }
        return false;
    }
    for (task_run* run : started) {
        emit_start(*run);
    }
    if (complete) {
        item.workflow->waits_for_server = false;
    } else if (definition.long_running) {
        reserve_server(item, pass);
    }
    return complete && !skipped;
}

/// Keeps the server with the most free CPU clear of other work until a long-running task fits that
/// waits for capacity. Nothing is kept for a task that a free server would not start, either.
void dispatcher::implementation::reserve_server(const candidate& item, placement_pass& pass) {
    if (!within_team_limit(item.workflow->row.team, item.definition().size)) {
        return;
    }
    const resources reserved = item.reserved();
    const backend_entry* best = nullptr;
    for (const backend_entry* server : pass.servers.with_cpu(0)) {
        if (meets_constraints(*server, *item.workflow, item.occurrence->number, item.step) &&
            capacity_beside_long_running(*server).holds(reserved) &&
            (best == nullptr ||
             server->free_capacity().millicores > best->free_capacity().millicores)) {
            best = server;
        }
    }
    if (best != nullptr) {
        if (!std::exchange(item.workflow->waits_for_server, true)) {
            log("backend_reserved", item.workflow->row.id, best->registration.id,
                "step=" + std::to_string(item.step));
        }
        pass.reserved_servers.insert(best);
    }
}

dispatcher::implementation::backend_entry*
dispatcher::implementation::select_server(const candidate& item, const task_record& record,
                                          placement_pass& pass) {
    const workflow_step& definition = item.definition();
    if (!within_team_limit(item.workflow->row.team, definition.size)) {
        pass.pool.limit_reached = true;
        return nullptr;
    }
    const resources reserved = item.reserved();
    if (pass.failed.rule_out(definition, reserved)) {
        return nullptr;
    }
    backend_entry* best = nullptr;
    std::tuple<bool, bool, bool, bool, bool, bool> best_score;
    for (backend_entry* server : pass.servers.with_cpu(reserved.millicores)) {
        ++counts_.servers_examined;
        if (!server->free_capacity().holds(reserved) || pass.reserved_servers.contains(server) ||
            !meets_constraints(*server, *item.workflow, item.occurrence->number, item.step)) {
            continue;
        }
        const bool near =
            definition.data_rack.empty() || server->registration.has_label(definition.data_rack);
        const bool not_draining = !definition.long_running || !server->drain_planned;
        // Packs tasks, and above all long-running ones, on few servers, so that empty VMs can be
        // moved to pools with waiting work.
        const bool joins_long_running = !definition.long_running || server->long_running_runs > 0;
        const std::tuple score(!is_quarantined(*server), !server->slow,
                               server->registration.id != record.failed_on, not_draining, near,
                               joins_long_running);
        // Servers come in the order of their free CPU, so the first of equal ones is the best fit.
        if (best == nullptr || score > best_score) {
            best = server;
            best_score = score;
        }
        if (score == std::tuple(true, true, true, true, true, true)) {
            break;
        }
    }
    if (best == nullptr && !definition.gang) {
        pass.failed.add(definition, reserved);
    }
    return best;
}

bool dispatcher::implementation::is_withdrawn(const backend_entry& server) const {
    return !server.registered || server.registration.leaving || server.drain_requested ||
           orders_.removed_zones.contains(server.registration.zone);
}

bool dispatcher::implementation::accepts_tasks(const backend_entry& server) const {
    // After the owner's lease, a next owner may have run the tasks elsewhere, and only the
    // processes that it polled refuse the commands of this one.
    const bool refuses_superseded_owner = server.process_known_since < lease_until_;
    return contact_is(server, "current") && !is_withdrawn(server) && server.clock &&
           refuses_superseded_owner && now_ >= server.start_backoff_until;
}

/// Suspends the quarantine of a pool while it would close more than a third of the servers: then
/// the work is more likely at fault than the servers. Others are still preferred.
void dispatcher::implementation::update_quarantine(pool_state& pool) {
    constexpr std::size_t servers_per_quarantined = 3;
    std::size_t accepting = 0;
    std::size_t quarantined = 0;
    for (const auto& [id, server] : pool.servers) {
        if (accepts_tasks(*server)) {
            ++accepting;
            quarantined += is_quarantined(*server) ? 1 : 0;
        }
    }
    const bool suspended = quarantined * servers_per_quarantined > accepting;
    if (std::exchange(pool.quarantine_suspended, suspended) != suspended) {
        log(suspended ? "quarantine_suspended" : "quarantine_resumed", {}, {},
            "pool=" + std::string(pool.name.view()) + " quarantined=" +
                std::to_string(quarantined) + " servers=" + std::to_string(accepting));
    }
}

bool dispatcher::implementation::meets_constraints(const backend_entry& server,
                                                   const workflow_entry& entry,
                                                   std::uint32_t occurrence,
                                                   std::uint32_t step) const {
    const workflow_step& definition = entry.step(step);
    if (!definition.required_label.empty() &&
        !server.registration.has_label(definition.required_label)) {
        return false;
    }
    // Best-effort tasks slow down serving tasks on the same server by an unpredictable amount.
    const bool serves = definition.response_target > milliseconds::zero();
    if ((definition.best_effort_cpu && server.serving_runs > 0) ||
        (serves && server.best_effort_runs > 0)) {
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

std::int64_t dispatcher::implementation::tasks_within_limit(const team_id& team,
                                                            const resources& size,
                                                            std::int64_t tasks,
                                                            const resources& planned) const {
    const auto known = team_limits_.find(team);
    if (known == team_limits_.end() || fault_planted("workflow-limits")) {
        return tasks;
    }
    const auto found = team_usage_.find(team);
    const auto unknown = unknown_usage_.find(team);
    const resources used = (found == team_usage_.end() ? resources{} : found->second) +
                           (unknown == unknown_usage_.end() ? resources{} : unknown->second) +
                           planned;
    std::int64_t allowed = tasks;
    const auto apply = [&](std::int64_t limit, std::int64_t amount, std::int64_t needed) {
        if (limit != 0 && amount + needed > limit) {
            allowed = 0;
        } else if (limit != 0 && needed > 0) {
            allowed = std::min(allowed, (limit - amount) / needed);
        }
    };
    apply(known->second.millicores, used.millicores, size.millicores);
    apply(known->second.memory_mb, used.memory_mb, size.memory_mb);
    apply(known->second.accelerators, used.accelerators, size.accelerators);
    return allowed;
}

bool dispatcher::implementation::within_team_limit(const team_id& team,
                                                   const resources& size) const {
    return tasks_within_limit(team, size, 1, {}) == 1;
}

} // namespace citronford
