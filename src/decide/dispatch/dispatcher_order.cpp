#include "decide/dispatch/placement_candidate.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

namespace citronford {

using namespace dispatch;

namespace {

constexpr double millicores_per_core = 1000;

double cores_of(const workflow_step& step) {
    return step.best_effort_cpu ? 0
                                : static_cast<double>(step.size.millicores) / millicores_per_core;
}

/// Estimated work of one task; zero for a long-running one.
double core_seconds_of(const workflow_step& step) {
    // For a step without an estimate: short work, so that it is not put back for long.
    constexpr milliseconds default_estimate{500};
    const milliseconds estimate =
        step.estimate > milliseconds::zero() ? step.estimate : default_estimate;
    return step.long_running ? 0 : cores_of(step) * std::chrono::duration<double>(estimate).count();
}

/// Work of the tasks of an occurrence that are neither done nor running.
double unstarted_core_seconds(const workflow_entry& entry, const occurrence_state& occurrence) {
    double sum = 0;
    for (std::uint32_t number = 0; number < occurrence.steps.size(); ++number) {
        const step_state& step = occurrence.steps[number];
        sum += core_seconds_of(entry.step(number)) *
               static_cast<double>(step.tasks.size() - step.done - step.active);
    }
    return sum;
}

/// Work left of the running tasks of an occurrence.
double running_core_seconds(const workflow_entry& entry, const occurrence_state& occurrence) {
    // A task seen at any time of its run has half of it left on average.
    constexpr double part_left = 0.5;
    double sum = 0;
    for (std::uint32_t number = 0; number < occurrence.steps.size(); ++number) {
        sum += part_left * core_seconds_of(entry.step(number)) * occurrence.steps[number].active;
    }
    return sum;
}

bool has_waiting_tasks(const occurrence_state& occurrence) {
    return std::ranges::any_of(occurrence.steps,
                               [](const step_state& step) { return step.waiting_tasks() > 0; });
}

/// Work left of the running tasks of a pool, and of the later steps of workflows that wait for no
/// room now and are within their objective.
double committed_core_seconds(const pool_state& pool, instant now) {
    double sum = 0;
    for (const workflow_entry* entry : pool.active_workflows) {
        for (const auto& [number, occurrence] : entry->occurrences) {
            sum += running_core_seconds(*entry, occurrence);
            const instant due =
                entry->row.spec.occurrences == 0 ? entry->accepted_at : occurrence.due_at;
            if (now < due + entry->objective && !has_waiting_tasks(occurrence)) {
                sum += unstarted_core_seconds(*entry, occurrence);
            }
        }
    }
    return sum;
}

/// The value of a workflow, in units of its queue, as docs/load_control.md defines it.
double value_of(double core_s, double mean_core_s) {
    constexpr double base = 0.3;
    constexpr double by_work = 0.7;
    return mean_core_s > 0 ? base + by_work * core_s / mean_core_s : 1;
}

/// Counts the work of a workflow in the mean of its queue when it is first seen.
void note_work(workflow_entry& entry, pool_order& order) {
    if (entry.core_s > 0) {
        return;
    }
    for (const workflow_step& step : entry.row.spec.steps) {
        entry.core_s += core_seconds_of(step) * step.tasks;
    }
    if (entry.core_s > 0) {
        order.queues[entry.row.queue].add(entry.core_s);
    }
}

} // namespace

void dispatcher::implementation::order_by_cost(pool_state& pool,
                                               std::span<backend_entry* const> servers,
                                               std::vector<candidate>& candidates) {
    for (const candidate& item : candidates) {
        note_work(*item.workflow, pool.order);
    }
    std::vector<waiting_work> work;
    work.reserve(candidates.size());
    std::vector<std::uint32_t> positions(candidates.size()); // In `work`.
    const occurrence_state* last = nullptr;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const candidate& item = candidates[index];
        if (item.rank == urgency::long_running) {
            continue;
        }
        // The steps of an occurrence are next to each other.
        if (std::exchange(last, item.occurrence) != item.occurrence) {
            work.push_back(waiting_work_of(item, pool.order));
        }
        waiting_work& sums = work.back();
        sums.cores +=
            cores_of(item.definition()) * static_cast<double>(item.state().waiting_tasks());
        sums.may_start =
            sums.may_start || within_team_limit(item.workflow->row.team, item.definition().size);
        positions[index] = static_cast<std::uint32_t>(work.size() - 1);
    }
    const pool_room room = room_of(pool, servers);
    pool.order.cores = room.cores;
    const std::vector<ordered_work> ordered = order_waiting_work(work, room);
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        candidate& item = candidates[index];
        if (item.rank != urgency::long_running) {
            item.rank = urgency::on_time;
            item.order = ordered[positions[index]];
        }
    }
}

waiting_work dispatcher::implementation::waiting_work_of(const candidate& item,
                                                         const pool_order& order) const {
    const workflow_entry& entry = *item.workflow;
    const auto queue = order.queues.find(entry.row.queue);
    waiting_work work;
    work.job = entry.row.id.view();
    work.occurrence = item.occurrence->number;
    // Tasks without a reservation of CPU need next to no room.
    constexpr double least_core_s = 0.01;
    work.core_s = std::max(unstarted_core_seconds(entry, *item.occurrence), least_core_s);
    work.critical_path = item.critical_path;
    work.slack = item.slack;
    work.useful_slack = item.slack + 2 * entry.objective;
    work.waited = entry.objective - item.slack - item.critical_path;
    work.priority = item.priority;
    work.value =
        value_of(entry.core_s, queue == order.queues.end() ? 0 : queue->second.mean_core_s);
    work.beyond_share = entry.over_quota || item.rank == urgency::over_quota;
    work.may_start = false;
    return work;
}

pool_room dispatcher::implementation::room_of(const pool_state& pool,
                                              std::span<backend_entry* const> servers) const {
    std::int64_t millicores = 0;
    std::int64_t free_millicores = 0;
    for (const backend_entry* server : servers) {
        millicores += std::max<std::int64_t>(0, server->registration.capacity.millicores -
                                                    server->long_running_millicores);
        free_millicores += std::max<std::int64_t>(0, server->free_capacity().millicores);
    }
    return {static_cast<double>(millicores) / millicores_per_core,
            static_cast<double>(free_millicores) / millicores_per_core,
            committed_core_seconds(pool, now_), pool.order.aging.credit_core_s()};
}

void dispatcher::implementation::note_order(pool_state& pool,
                                            std::span<const candidate> candidates) {
    const occurrence_state* last = nullptr;
    for (const candidate& item : candidates) {
        if (item.rank == urgency::long_running) {
            continue;
        }
        const double task_core_s = core_seconds_of(item.definition());
        for (std::uint32_t task = item.active_before; task_core_s > 0 && task < item.state().active;
             ++task) {
            pool.order.aging.note_start(task_core_s, item.order.aged, pool.order.cores);
        }
        const std::size_t tasks = item.state().waiting_tasks();
        if (tasks > 0) {
            rank_figures& figures =
                pool.order.waiting.at(static_cast<std::size_t>(item.order.rank));
            figures.cores += cores_of(item.definition()) * static_cast<double>(tasks);
            // The steps of an occurrence have the same place.
            figures.workflows += std::exchange(last, item.occurrence) != item.occurrence ? 1 : 0;
        }
    }
    log_deferred(pool, candidates);
}

void dispatcher::implementation::log_deferred(pool_state& pool,
                                              std::span<const candidate> candidates) {
    constexpr duration period = seconds(1);
    const auto deferred = std::ranges::find_if(candidates, [](const candidate& item) {
        return item.rank != urgency::long_running && item.order.rank == work_rank::deferred &&
               item.state().waiting_tasks() > 0;
    });
    if (deferred == candidates.end() || now_ < pool.order.deferral_logged_at + period) {
        return;
    }
    pool.order.deferral_logged_at = now_;
    std::string detail = "pool=" + pool.name.str();
    const auto add_names = [&detail](std::string_view prefix, std::string_view queue,
                                     std::string_view team) {
        detail.append(" ").append(prefix).append("queue=").append(queue);
        detail.append(" ").append(prefix).append("team=").append(team);
    };
    const accepted_workflow& back = deferred->workflow->row;
    add_names("", back.queue.view(), back.team.view());
    const auto ahead = std::ranges::find(candidates, urgency::on_time, &candidate::rank);
    if (ahead->order.aged || ahead->order.rank == work_rank::in_time) {
        const accepted_workflow& first = ahead->workflow->row;
        add_names("before_", first.queue.view(), first.team.view());
    } else {
        // No work is selected, for instance in a pool without servers.
        add_names("before_", "-", "-");
    }
    for (std::size_t rank = 0; rank < work_ranks; ++rank) {
        const rank_figures& figures = pool.order.waiting.at(rank);
        const std::string_view name = name_of(static_cast<work_rank>(rank));
        detail.append(" ").append(name).append("=").append(std::to_string(figures.workflows));
        detail.append(" ").append(name).append("_cores=");
        detail.append(std::to_string(static_cast<std::int64_t>(figures.cores)));
    }
    log("work_deferred", deferred->workflow->row.id, {}, std::move(detail));
}

} // namespace citronford
