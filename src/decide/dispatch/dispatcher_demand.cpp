#include "decide/dispatch/dispatcher_state.h"

#include <algorithm>
#include <utility>

namespace citronford {

using namespace dispatch;

namespace {

double cores_of(const workflow_step& step, std::int64_t tasks) {
    constexpr double millicores_per_core = 1000;
    return static_cast<double>(tasks) * static_cast<double>(step.size.millicores) /
           millicores_per_core;
}

} // namespace

bool dispatcher::implementation::is_urgent(const workflow_entry& entry) const {
    return entry.terms.priority <= 0;
}

void dispatcher::implementation::note_arrival(pool_state& pool, const workflow_entry& entry) {
    if (entry.over_quota || entry.row.spec.occurrences != 0) {
        return;
    }
    double core_s = 0;
    for (const workflow_step& step : entry.row.spec.steps) {
        if (!step.long_running) {
            core_s +=
                cores_of(step, step.tasks) * std::chrono::duration<double>(step.estimate).count();
        }
    }
    if (core_s > 0) {
        pool.arrivals.note(is_urgent(entry) ? work_tier::urgent : work_tier::on_time, core_s,
                           entry.accepted_at, now_);
    }
}

work_tier dispatcher::implementation::tier_of(const workflow_entry& entry,
                                              const occurrence_state& occurrence) const {
    const instant due = entry.row.spec.occurrences == 0 ? entry.accepted_at : occurrence.due_at;
    // Work is useful, at a small part of its value, until three objectives have passed.
    if (entry.over_quota || now_ >= due + 3 * entry.objective) {
        return work_tier::leftover;
    }
    if (now_ >= due + entry.objective) {
        return work_tier::late;
    }
    return is_urgent(entry) ? work_tier::urgent : work_tier::on_time;
}

/// Of an urgent workflow, the widest step counts as urgent at most; what its other steps need at
/// the same time ranks as `on_time`.
void dispatcher::implementation::add_tier_cores(const workflow_entry& entry,
                                                const occurrence_state& occurrence,
                                                std::span<const std::int64_t> waiting_tasks,
                                                pool_workload& demand) const {
    tier_cores sum;
    double widest = 0;
    for (std::uint32_t number = 0; number < occurrence.steps.size(); ++number) {
        const workflow_step& step = entry.step(number);
        if (!step.long_running) {
            sum.running += cores_of(step, occurrence.steps[number].active);
            sum.waiting += cores_of(step, waiting_tasks[number]);
            widest = std::max(widest, cores_of(step, step.tasks));
        }
    }
    const work_tier rank = tier_of(entry, occurrence);
    const double running = rank == work_tier::urgent ? std::min(sum.running, widest) : sum.running;
    const double waiting =
        rank == work_tier::urgent ? std::min(sum.waiting, widest - running) : sum.waiting;
    tier_cores& tier = demand.tiers[static_cast<std::size_t>(rank)];
    tier.running += running;
    tier.waiting += waiting;
    tier_cores& excess = demand.tiers[static_cast<std::size_t>(work_tier::on_time)];
    excess.running += sum.running - running;
    excess.waiting += sum.waiting - waiting;
}

std::vector<pool_workload> dispatcher::implementation::pool_workloads() const {
    std::vector<pool_workload> all;
    for (const auto& [name, pool] : pools_) {
        // Of this pool alone, since any pool may be the one where the team uses its limit.
        std::map<team_id, resources> planned_usage;
        pool_workload demand{name, pool.arrived_core_s};
        demand.accepted = pool.arrivals.intervals();
        demand.workflows_read = pool.arrivals.workflows();
        std::vector<std::int64_t> waiting_tasks;
        for (const workflow_entry* entry : pool.active_workflows) {
            // Work that misses its objective in any case does not count as demand for more VMs.
            const bool counts = !entry->over_quota && now_ < entry->accepted_at + entry->objective;
            for (const auto& [number, occurrence] : entry->occurrences) {
                waiting_tasks.clear();
                for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                    const workflow_step& definition = entry->step(step);
                    // More VMs would not start what exceeds the limit of the team.
                    resources& planned = planned_usage[entry->row.team];
                    const std::int64_t tasks = tasks_within_limit(
                        entry->row.team, definition.size,
                        static_cast<std::int64_t>(occurrence.steps[step].waiting_tasks()), planned);
                    planned += definition.size * tasks;
                    waiting_tasks.push_back(tasks);
                    if (definition.long_running) {
                        demand.waiting_long_running += tasks;
                    } else if (counts) {
                        demand.waiting_cores += cores_of(definition, tasks);
                    }
                }
                add_tier_cores(*entry, occurrence, waiting_tasks, demand);
            }
        }
        all.push_back(std::move(demand));
    }
    return all;
}

} // namespace citronford
