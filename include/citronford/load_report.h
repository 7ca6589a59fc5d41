#pragma once

#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/workflow.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace citronford {

/// Work of one priority in a pool that has not been started, in core-seconds by the estimates of
/// the steps, without long-running tasks. Work past its useful time is left out.
struct priority_backlog {
    int priority = 0;               ///< Of the queue; zero is the highest.
    double on_time_core_s = 0;      ///< Can still meet its objective.
    double beyond_share_core_s = 0; ///< As before, but beyond the share of its team.
    double late_core_s = 0;         ///< Will miss its objective, but is still useful.

    [[nodiscard]] double total() const {
        return on_time_core_s + beyond_share_core_s + late_core_s;
    }
    friend bool operator==(const priority_backlog&, const priority_backlog&) = default;
};

/// Cores that a pool will have in addition.
struct arriving_cores {
    double cores = 0;
    milliseconds in{}; ///< After the report.

    friend bool operator==(const arriving_cores&, const arriving_cores&) = default;
};

/// Load of one pool.
struct reported_pool {
    pool_id pool;
    double cores = 0;      ///< Of the servers that take tasks, less what long-running tasks use.
    double pace_cores = 0; ///< Core-seconds by estimate that ended in the last second.
    double running_core_s = 0;             ///< Left of the running tasks by their estimates.
    std::vector<arriving_cores> arriving;  ///< The earliest first.
    std::vector<priority_backlog> waiting; ///< The highest priority first.

    friend bool operator==(const reported_pool&, const reported_pool&) = default;
};

/// The load of the fleet as the owner of the scheduler publishes it.
struct load_report {
    std::uint64_t sequence = 0;       ///< Rises with each report of one ownership.
    std::vector<reported_pool> pools; ///< Only pools under pressure.
    std::vector<team_id> teams_beyond_share;
    /// Time that the owner needs to start all accepted tasks at its present pace, or for which it
    /// has reached too few servers to start them. Zero while the servers limit the work, and not
    /// the owner.
    milliseconds owner_backlog{};

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// A pool is reported while its waiting work takes its cores at least this long. Queues whose
/// objective leaves less slack than this are not protected by admission.
inline constexpr duration reported_pressure = milliseconds(250);

/// Bounds of a report, so that its row stays below 16 KB; the row limit of the table is 64 KB.
inline constexpr std::size_t max_reported_priorities = 8;
inline constexpr std::size_t max_reported_teams = 64;
inline constexpr std::size_t max_reported_pools = 32;

/// Longest time that is computed from a load; stands for "never" as well.
inline constexpr duration longest_wait = seconds(600);

/// Work of `tasks` tasks of a step by its estimate, in core-seconds; zero for long-running tasks,
/// which do not end, and for sizes and estimates that are not positive.
inline double estimated_core_s(const workflow_step& step, std::size_t tasks) {
    constexpr double millicore_ms_per_core_s = 1e6;
    if (step.long_running || step.size.millicores <= 0 || step.estimate.count() <= 0) {
        return 0;
    }
    return static_cast<double>(tasks) * static_cast<double>(step.size.millicores) *
           static_cast<double>(step.estimate.count()) / millicore_ms_per_core_s;
}

/// Time that the present cores of a pool need for all its waiting work.
inline duration pressure_of(const reported_pool& pool) {
    double waiting = 0;
    for (const priority_backlog& work : pool.waiting) {
        waiting += work.total();
    }
    if (!(waiting > 0)) {
        return duration::zero();
    }
    const double longest_s = std::chrono::duration<double>(longest_wait).count();
    const double wait_s = pool.cores > 0 ? std::min(waiting / pool.cores, longest_s) : longest_s;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait_s));
}

} // namespace citronford
