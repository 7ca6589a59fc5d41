#include "decide/dispatch/dispatcher_state.h"

#include "citronford/load_report.h"

#include <algorithm>
#include <utility>

namespace citronford {

using namespace dispatch;

namespace {

constexpr double millicores_per_core = 1000;

/// The pace is measured over this time.
constexpr duration pace_window = seconds(1);

/// Time in which a VM that is listed in a pool without a server takes tasks: a move takes 1.5 s.
constexpr milliseconds move_time{1500};

/// Time in which a registered server that does not answer is expected back, or its work elsewhere.
constexpr milliseconds contact_time{1000};

/// Time in which the planner brings VMs that other pools can spare: a plan, the end of short tasks
/// on the VM, and the move.
constexpr milliseconds planning_time{2000};

/// Under pressure for this long, a pool does not expect spare VMs any more: they would have come.
/// From the begin of a burst, a pool took up to 4 s to reach the servers that it needs.
constexpr duration growth_time = seconds(4);

/// An owner that keeps up has read the rows and polled its servers within this time.
constexpr milliseconds usual_takeover_time{2000};

double cores_of(std::int64_t millicores) {
    return static_cast<double>(std::max<std::int64_t>(millicores, 0)) / millicores_per_core;
}

double waiting_of(const reported_pool& load) {
    double sum = 0;
    for (const priority_backlog& work : load.waiting) {
        sum += work.total();
    }
    return sum;
}

/// The entry of a priority, created in order. Beyond the bound, lower priorities share the last
/// entry, so that the report stays small whatever the operators configure.
priority_backlog& work_at(reported_pool& load, int priority) {
    const auto found =
        std::ranges::lower_bound(load.waiting, priority, {}, &priority_backlog::priority);
    if (found != load.waiting.end() && found->priority == priority) {
        return *found;
    }
    if (load.waiting.size() >= max_reported_priorities) {
        return load.waiting.back();
    }
    return *load.waiting.insert(found, priority_backlog{priority});
}

/// Estimated work of the tasks of an occurrence that have no run and are not done.
double unstarted_core_s(const workflow_entry& entry, const occurrence_state& occurrence) {
    double sum = 0;
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        const step_state& state = occurrence.steps[step];
        sum += estimated_core_s(entry.step(step), state.tasks.size() - state.done - state.active);
    }
    return sum;
}

/// Measures the pace of what `total` sums up: its growth in the last second.
double measure_pace(std::deque<pace_sample>& samples, double total, instant now) {
    while (samples.size() > 1 && samples[1].at <= now - pace_window) {
        samples.pop_front();
    }
    samples.push_back({now, total});
    const pace_sample& oldest = samples.front();
    const double span_s = std::chrono::duration<double>(now - oldest.at).count();
    return span_s > 0 ? (total - oldest.total) / span_s : 0;
}

} // namespace

void dispatcher::implementation::count_finished_work(const workflow_entry& entry,
                                                     std::uint32_t step) {
    const workflow_step& definition = entry.step(step);
    // The members of a gang end together, with one completion.
    pool_named(entry.row.pool).load.finished_core_s +=
        estimated_core_s(definition, definition.gang ? definition.tasks : 1);
}

void dispatcher::implementation::add_waiting_work(const workflow_entry& entry, reported_pool& load,
                                                  std::set<team_id>& teams_beyond_share) const {
    for (const auto& [number, occurrence] : entry.occurrences) {
        const double core_s = unstarted_core_s(entry, occurrence);
        if (!(core_s > 0)) {
            continue;
        }
        const instant begin =
            entry.row.spec.occurrences == 0 ? entry.accepted_at : occurrence.due_at;
        const duration path = entry.remaining_critical_path(occurrence);
        const duration slack = begin + entry.objective - now_ - path;
        if (slack + 2 * entry.objective < duration::zero()) {
            continue; // Past its useful time.
        }
        priority_backlog& work = work_at(load, entry.terms.priority);
        if (slack < -path / 10) {
            work.late_core_s += core_s;
        } else if (entry.over_quota) {
            work.beyond_share_core_s += core_s;
            teams_beyond_share.insert(entry.row.team);
        } else {
            work.on_time_core_s += core_s;
        }
    }
}

void dispatcher::implementation::add_server_load(const backend_entry& server,
                                                 reported_pool& load) const {
    if (is_withdrawn(server)) {
        return;
    }
    const double cores =
        cores_of(server.registration.capacity.millicores - server.long_running_millicores);
    if (!contact_is(server, "current")) {
        load.arriving.push_back({cores, contact_time});
        return;
    }
    load.cores += cores;
    for (const task_run* run : server.runs) {
        const workflow_step& step = run->workflow->step(run->step);
        const double total = estimated_core_s(step, 1);
        if (total > 0) {
            const duration estimate = step.estimate;
            const duration left =
                std::max(estimate - (now_ - run->start_sent_at), duration::zero());
            load.running_core_s +=
                total * static_cast<double>(left.count()) / static_cast<double>(estimate.count());
        }
    }
}

double dispatcher::implementation::spare_cores(const pool_id& name,
                                               std::span<const reported_pool> loads) const {
    double spare = 0;
    for (const idle_vm& vm : idle_vms_) {
        const catalog_pool* pool = catalog_->pool(vm.pool);
        if (pool != nullptr && pool->standby && !orders_.removed_zones.contains(vm.zone)) {
            spare += cores_of(vm.capacity.millicores);
        }
    }
    for (const reported_pool& load : loads) {
        if (load.pool == name) {
            continue;
        }
        // VMs with long-running tasks stay. Of the others, a pool keeps what runs, and what does
        // its waiting work within a second. A VM that is drained is about to move as a whole.
        double movable = 0;
        for (const auto& [id, server] : pools_.at(load.pool).servers) {
            const resources& capacity = server->registration.capacity;
            if (server->long_running_runs > 0 ||
                orders_.removed_zones.contains(server->registration.zone)) {
                continue;
            }
            movable += cores_of(capacity.millicores -
                                (server->drain_requested ? 0 : server->used.millicores));
        }
        spare += std::max(movable - waiting_of(load), 0.0);
    }
    return spare;
}

void dispatcher::implementation::add_arriving_cores(reported_pool& load,
                                                    std::span<const reported_pool> loads,
                                                    double share) const {
    double back = 0;
    for (const arriving_cores& more : load.arriving) {
        back += more.cores;
    }
    load.arriving.clear();
    double moving = 0;
    for (const idle_vm& vm : idle_vms_) {
        const bool usable = !orders_.removed_zones.contains(vm.zone);
        moving += vm.pool == load.pool && usable ? cores_of(vm.capacity.millicores) : 0;
    }
    const bool grows = now_ < pools_.at(load.pool).load.calm_at + growth_time;
    const double spare = grows ? spare_cores(load.pool, loads) * share : 0;
    for (const arriving_cores& more :
         {arriving_cores{back, contact_time}, arriving_cores{moving, move_time},
          arriving_cores{spare, planning_time}}) {
        if (more.cores > 0) {
            load.arriving.push_back(more);
        }
    }
}

std::size_t dispatcher::implementation::unstarted_tasks() const {
    std::size_t tasks = 0;
    for (const auto& [name, pool] : pools_) {
        for (const workflow_entry* entry : pool.active_workflows) {
            for (const auto& [number, occurrence] : entry->occurrences) {
                for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                    const step_state& state = occurrence.steps[step];
                    tasks += entry->step(step).long_running
                                 ? 0
                                 : state.tasks.size() - state.done - state.active;
                }
            }
        }
    }
    return tasks;
}

bool dispatcher::implementation::reaches_most_servers() const {
    std::size_t registered = 0;
    std::size_t reached = 0;
    for (const auto& [id, server] : servers_) {
        registered += server->registered ? 1 : 0;
        reached += server->registered && contact_is(*server, "current") ? 1 : 0;
    }
    return 2 * reached >= registered;
}

milliseconds dispatcher::implementation::time_out_of_work(instant now) {
    if (workflows_loaded_ && backends_loaded_ && reaches_most_servers()) {
        in_work_at_ = now;
    }
    return std::chrono::duration_cast<milliseconds>(now - in_work_at_);
}

milliseconds dispatcher::implementation::owner_backlog(instant now) {
    const double starts_per_s =
        measure_pace(start_samples_, static_cast<double>(counts_.starts), now);
    const milliseconds out_of_work = time_out_of_work(now);
    if (out_of_work > usual_takeover_time) {
        return out_of_work;
    }
    if (!start_window_.limits_work(now)) {
        return milliseconds::zero();
    }
    const double longest_s = std::chrono::duration<double>(longest_wait).count();
    const auto tasks = static_cast<double>(unstarted_tasks());
    const double span_s = starts_per_s > 0 ? std::min(tasks / starts_per_s, longest_s) : longest_s;
    constexpr double ms_per_s = 1000;
    return milliseconds(static_cast<std::int64_t>(span_s * ms_per_s));
}

load_report dispatcher::implementation::report_load(instant now) {
    now_ = now;
    std::vector<reported_pool> loads;
    std::set<team_id> teams;
    for (auto& [name, pool] : pools_) {
        // Until a pool is recovered, the runs of an earlier owner are not known.
        if (!pool.recovered) {
            continue;
        }
        reported_pool& load = loads.emplace_back();
        load.pool = name;
        load.pace_cores = measure_pace(pool.load.samples, pool.load.finished_core_s, now);
        for (const auto& [id, server] : pool.servers) {
            add_server_load(*server, load);
        }
        if (start_window_.limits_work(now)) {
            // The owner and not the servers limits the work that the pool can do.
            load.cores = std::min(load.cores, load.pace_cores);
            load.arriving.clear();
        }
        for (const workflow_entry* entry : pool.active_workflows) {
            add_waiting_work(*entry, load, teams);
        }
        if (pool.load.calm_at == instant::min() || pressure_of(load) < reported_pressure) {
            pool.load.calm_at = now;
        }
    }
    load_report report;
    report.owner_backlog = owner_backlog(now);
    double waiting = 0;
    for (const reported_pool& load : loads) {
        waiting += pressure_of(load) >= reported_pressure ? waiting_of(load) : 0;
    }
    for (const reported_pool& load : loads) {
        if (pressure_of(load) >= reported_pressure && report.pools.size() < max_reported_pools) {
            reported_pool& reported = report.pools.emplace_back(load);
            add_arriving_cores(reported, loads, waiting_of(load) / waiting);
        }
    }
    for (const team_id& team : teams) {
        if (!report.pools.empty() && report.teams_beyond_share.size() < max_reported_teams) {
            report.teams_beyond_share.push_back(team);
        }
    }
    return report;
}

} // namespace citronford
