#pragma once

#include <algorithm>

namespace citronford {

/// Weight of a team whose configured weight is absent, zero, negative or not a number.
inline constexpr double default_team_weight = 1;

/// Configured weights outside these bounds are clamped. Within them, sums over all teams are exact
/// enough for parts in millicores, and the interval between two workflows is at least 1 us.
inline constexpr double min_team_weight = 1e-3;
inline constexpr double max_team_weight = 1e6;

/// The weight by which a team with the configured weight `configured` is served.
constexpr double effective_weight(double configured) {
    // The comparison is also false for NaN.
    if (!(configured > 0)) {
        return default_team_weight;
    }
    return std::clamp(configured, min_team_weight, max_team_weight);
}

} // namespace citronford
