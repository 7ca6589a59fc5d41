#pragma once

#include "citronford/identifier.h"

#include <cstdint>
#include <limits>
#include <span>
#include <vector>

namespace citronford {

/// What the running and waiting tasks of a team ask for. Negative amounts count as zero.
struct team_demand {
    team_id team;
    double weight = 1; ///< As configured; see `effective_weight`.
    std::int64_t used_millicores = 0;
    std::int64_t waiting_millicores = 0; ///< Of ready tasks that the limit of the team allows.
    std::int64_t limit_millicores = 0;   ///< Zero: no limit.
};

/// The part of one team in a division.
struct team_part {
    team_id team;
    double part_millicores = 0;
    /// Use up to which the team is within its share: its part, or, for a team that demands less,
    /// what it would get by its weight if it demanded more, at most its limit.
    double entitled_millicores = std::numeric_limits<double>::infinity();
    bool waits_below_part = false;  ///< Tasks wait, though the team uses less than its part.
    bool others_wait = false;       ///< Tasks of another team wait.
    bool others_wait_below = false; ///< Another team waits below its part.
};

/// Divides `capacity_millicores` by weighted max-min fairness: no team gets more than it demands or
/// more than its limit, and what a team does not use is divided between the others by weight. The
/// parts, in the order of `demands`, do not depend on that order; their sum is at most the
/// capacity. O(n log n) in the number of teams.
std::vector<team_part> divide_fairly(std::span<const team_demand> demands,
                                     std::int64_t capacity_millicores);

/// Whether a team that uses `used_millicores` is over its share: it uses more than it is entitled
/// to while another team waits below its part.
bool exceeds_share(const team_part& share, std::int64_t used_millicores);

/// Whether a waiting task comes after those of other teams: what its team uses, and what waits of
/// the team before the task, take up what the team is entitled to, and another team waits. This
/// holds also when many tasks of a team end at once, where the use alone would give it all their
/// cores again.
bool exceeds_part(const team_part& share, std::int64_t used_millicores,
                  std::int64_t ahead_millicores);

} // namespace citronford
