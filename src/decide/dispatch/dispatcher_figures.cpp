#include "decide/dispatch/dispatcher_state.h"

#include <utility>

namespace citronford {

using namespace dispatch;

std::map<queue_id, std::uint64_t> dispatcher::implementation::waiting_workflows() const {
    std::map<queue_id, std::uint64_t> counts;
    for (const auto& [id, entry] : workflows_) {
        if (entry->state == workflow_state::pending) {
            ++counts[entry->row.queue];
        }
    }
    return counts;
}

std::vector<backend_load> dispatcher::implementation::backend_loads() const {
    std::vector<backend_load> all;
    for (const auto& [id, server] : servers_) {
        // Until a pool is recovered, the runs of an earlier owner are not known.
        if (!contact_is(*server, "current") || !server->pool->recovered) {
            continue;
        }
        backend_load load{id, server->registration.pool, server->registration.capacity,
                          server->used, server->runs.size() + (server->has_strays ? 1 : 0)};
        load.unschedulable = server->drain_requested || server->registration.leaving;
        load.long_running = static_cast<std::size_t>(server->long_running_runs);
        load.long_running_millicores = server->long_running_millicores;
        all.push_back(std::move(load));
    }
    return all;
}

std::vector<pool_workload> dispatcher::implementation::pool_workloads() const {
    std::vector<pool_workload> all;
    for (const auto& [name, pool] : pools_) {
        // Of this pool alone, since any pool may be the one where the team uses its limit.
        std::map<team_id, resources> planned_usage;
        pool_workload demand{name, pool.arrived_core_s};
        for (const workflow_entry* entry : pool.active_workflows) {
            // Work that misses its objective in any case does not count as demand for more VMs.
            const bool counts = !entry->over_quota && now_ < entry->accepted_at + entry->objective;
            for (const auto& [number, occurrence] : entry->occurrences) {
                for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                    constexpr double millicores_per_core = 1000;
                    const workflow_step& definition = entry->step(step);
                    // More VMs would not start what exceeds the limit of the team.
                    resources& planned = planned_usage[entry->row.team];
                    const std::int64_t tasks = tasks_within_limit(
                        entry->row.team, definition.size,
                        static_cast<std::int64_t>(occurrence.steps[step].waiting_tasks()), planned);
                    planned += definition.size * tasks;
                    if (definition.long_running) {
                        demand.waiting_long_running += tasks;
                    } else if (counts) {
                        demand.waiting_cores += static_cast<double>(tasks) *
                                                static_cast<double>(definition.size.millicores) /
                                                millicores_per_core;
                    }
                }
            }
        }
        all.push_back(std::move(demand));
    }
    return all;
}

dispatch_counts dispatcher::implementation::counts() const {
    dispatch_counts numbers = counts_;
    numbers.workflows = workflows_.size();
    numbers.runs = runs_.size();
    numbers.backends = servers_.size();
    return numbers;
}

} // namespace citronford
