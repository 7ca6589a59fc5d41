#pragma once

#include "citronford/fair_shares.h"
#include "citronford/instant.h"
#include "citronford/resources.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace citronford::dispatch {

/// Detects when a team submits more than `weight` workflows a second. Used without fair shares.
struct token_bucket {
    double tokens = 0;
    instant refilled_at{};
};

struct workflow_entry;

/// A workflow with waiting tasks of a team.
struct waiting_demand {
    workflow_entry* workflow = nullptr;
    int priority = 0;
    instant due{}; ///< End of its objective.
    std::int64_t millicores = 0;
};

/// What is known of the share of one team. Kept for the whole ownership, so that workflows can
/// point to it.
struct team_share {
    team_id team;
    team_part division;                  ///< Of the last division of the fleet.
    std::int64_t waiting_millicores = 0; ///< At the last division.
    resources planned;                   ///< Size of the waiting tasks that its limit allows.
    std::vector<waiting_demand> waiting; ///< At the last division.
    std::int64_t used_millicores = 0;    ///< At the last tick.
    bool over = false;                   ///< Over its share now.
    bool logged_over = false;            ///< As last logged.
    instant logged_at = instant::min();
    /// Version of the last catalogue for which the lack of a weight was logged.
    std::optional<std::int64_t> unlisted_in;
};

} // namespace citronford::dispatch
