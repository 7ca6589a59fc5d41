#pragma once

#include "citronford/identifier.h"
#include "citronford/instant.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace citronford {

/// Ranks of work that is not long-running, by what its delay costs callers; most important first.
enum class work_tier : std::uint8_t {
    urgent,   ///< Of a queue with priority 0 (or less), within its objective.
    on_time,  ///< Of another queue, within its objective.
    late,     ///< Past its objective, but within three objectives, so it is still useful.
    leftover, ///< Past three objectives, or beyond the submission rate of its team.
};
inline constexpr std::size_t work_tier_count = 4;

/// Cores of the tasks of one tier.
struct tier_cores {
    double running = 0; ///< Tasks with a run.
    double waiting = 0; ///< Ready tasks without a run, as far as the limit of the team allows them.
};

/// Classes of arriving work: `urgent` and `on_time` of `work_tier`.
inline constexpr std::size_t arrival_class_count = 2;

/// Work that was accepted in one interval, by the time at which an entry VM accepted it. Without
/// long-running tasks, scheduled workflows, and work beyond the submission rate of a team.
struct accepted_work {
    struct sum {
        double core_s = 0; ///< Estimated.
        std::uint32_t workflows = 0;
    };

    /// Length of an interval.
    static constexpr duration interval = milliseconds(50);

    instant begin{};
    std::array<sum, arrival_class_count> classes; ///< By `work_tier`.
};

/// Submitted and waiting work of one pool.
struct pool_workload {
    pool_id pool;
    /// Estimated work submitted under this ownership, without long-running tasks.
    double arrived_core_s = 0;
    double waiting_cores = 0;              ///< Of ready tasks that can still meet their objective.
    std::int64_t waiting_long_running = 0; ///< Tasks; each may need a server of its own.
    std::array<tier_cores, work_tier_count>
        tiers{};                              ///< By `work_tier`, without long-running tasks.
    std::vector<accepted_work> accepted = {}; ///< In the order of time, of the last 4 s.
    std::uint64_t workflows_read = 0;         ///< Since the ownership began.
};

} // namespace citronford
