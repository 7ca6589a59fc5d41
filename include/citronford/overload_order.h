#pragma once

#include "citronford/instant.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace citronford {

/// What becomes of waiting work when there is too little room. Work of an earlier rank is started
/// first.
enum class work_rank {
    in_time,  ///< Selected: meets its objective if the estimates hold.
    deferred, ///< Could meet its objective, but is left out in favour of other work.
    late,     ///< Misses its objective, but can end within its useful time.
    expired,  ///< Past its useful time.
};
inline constexpr std::size_t work_ranks = 4;

std::string_view name_of(work_rank rank);

/// One occurrence of a workflow with ready tasks that wait for room in a pool. Values that are out
/// of range are replaced; see `order_waiting_work`.
struct waiting_work {
    std::string_view job;         ///< With `occurrence`, identifies the work; breaks ties.
    std::uint32_t occurrence = 0; ///< Number of the occurrence of a scheduled workflow.
    double core_s = 0;            ///< Estimated core-seconds of all tasks that have not started.
    double cores = 0;             ///< Of the ready tasks, which could start at once.
    duration critical_path{};     ///< Estimated time of the longest chain of incomplete steps.
    duration slack{};             ///< Time left to the latest start that meets the objective.
    duration useful_slack{};      ///< Time left to the latest start that ends in the useful time.
    duration waited{};            ///< Since the work was due.
    int priority = 0;             ///< Zero is the highest.
    double value = 1;             ///< Of the whole workflow, in units of its queue.
    bool beyond_share = false;    ///< Its team exceeds its rate of submissions or its share.
    bool may_start = true;        ///< False while the limit of its team keeps it from starting.
};

/// What a pool can do.
struct pool_room {
    double cores = 0;      ///< Of servers that take tasks, without those of long-running tasks.
    double free_cores = 0; ///< Not reserved at present.
    double committed_core_s = 0;    ///< Estimated work left of workflows that wait for no room.
    double aging_credit_core_s = 0; ///< See `aging_account`.
};

/// Share of the core-seconds started in a pool that goes to the work that has waited longest.
inline constexpr double aging_share = 0.1;
/// Work is aged after this wait. A burst of 4.5 s is then over, and most of what it left waiting is
/// done without the share.
inline constexpr seconds least_aging_wait{5};

struct ordered_work {
    work_rank rank = work_rank::in_time;
    bool aged = false;       ///< Goes first because it has waited longest.
    std::uint32_t place = 0; ///< From 0 on, each given once; the lowest starts first.
};

/// The rank and the place of each item of `work`, in the order of `work`. Costs O(n log n) for n
/// items. The places do not depend on the order of the input, provided that `job` and `occurrence`
/// differ.
///
/// Places: aged work, then in time, deferred, late, expired.
/// - In time: the work that can be done before its latest starts at 75% of the cores of the pool,
///   and at 0.9 times that while there is work to be aged. Where the work up to a latest start
///   exceeds that, work is left out: that of teams beyond their share before that of others, a
///   lower priority before a higher one, and within a priority the work whose miss costs least for
///   each remaining core-second. The cost is the value less the fifth of it that late work is still
///   worth. Order: teams within their share first, then by latest start.
/// - Deferred and late: within their share first, then by priority, then by value for each
///   remaining core-second. Late work that the pool cannot end in its useful time comes after the
///   other late work.
/// - Expired: the longest wait first.
/// Work is late when its slack is below minus a tenth of its critical path, and expired when
/// `useful_slack` is negative.
///
/// Replaced values: `core_s` that is not a number or not positive counts as 1; it is limited to
/// 0.01 to 1,000,000. `value` that is not a number or not positive counts as 1; it is at most 4.
/// `cores` and the values of `room` that are not a number or negative count as 0, except for the
/// credit, which may be negative. Durations are limited to a day, and a negative critical path or
/// wait counts as 0.
std::vector<ordered_work> order_waiting_work(std::span<const waiting_work> work,
                                             const pool_room& room);

/// Keeps the share of a pool's starts that goes to the work that has waited longest, so that no
/// work starves. Each start of a task adds `aging_share` of its core-seconds to the credit, and the
/// start of an aged task takes all of them. Work that has waited for `least_aging_wait` is aged
/// while the credit is positive, the longest wait first.
///
/// Bound: consider work that may start, has waited for `least_aging_wait`, and has W core-seconds
/// of older waiting work in its pool. It is next to start at the latest when the pool has started
/// (W + D) / `aging_share` further core-seconds, where D is the debt (negative credit). With P
/// cores busy, that takes (W + D) / (`aging_share` x P) seconds. D is at most `longest_debt` x
/// `aging_share` x the cores of the pool. The bound holds for tasks that fit into the room that
/// ending tasks leave.
class aging_account {
  public:
    /// Credit that is not used does not exceed that of one second, so that a burst after a quiet
    /// time does not meet a pool full of old work.
    static constexpr seconds longest_credit{1};
    /// A task with a wrong estimate would otherwise stop aging for as long as the estimate says.
    static constexpr seconds longest_debt{30};

    /// A task with an estimate of `core_s` was started in a pool of `pool_cores` cores.
    void note_start(double core_s, bool aged, double pool_cores);

    [[nodiscard]] double credit_core_s() const { return credit_core_s_; }

  private:
    double credit_core_s_ = 0;
};

/// Workflows and cores of one rank.
struct rank_figures {
    std::size_t workflows = 0; ///< Occurrences of scheduled workflows count separately.
    double cores = 0;          ///< Of their ready tasks.
};
using rank_table = std::array<rank_figures, work_ranks>;

} // namespace citronford
