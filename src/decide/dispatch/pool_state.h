#pragma once

#include "decide/dispatch/arrival_log.h"
#include "decide/dispatch/pool_order.h"

#include "citronford/backend.h"

#include <deque>
#include <map>
#include <set>

namespace citronford::dispatch {

struct backend_entry;
struct workflow_entry;

/// What the load report of a pool is computed from, beside the present state.
struct load_history {
    struct sample {
        instant at{};
        double finished_core_s = 0;
    };
    double finished_core_s = 0;       ///< By estimate, since the ownership began.
    std::deque<sample> samples;       ///< Of the last second, the oldest first.
    instant calm_at = instant::min(); ///< Last report in which the pool was not under pressure.
};

/// State of one pool.
struct pool_state {
    pool_id name;
    std::map<backend_id, backend_entry*> servers;
    bool recovered = false;            ///< The runs of the earlier owner have been adopted.
    bool placement_due = false;        ///< Tasks may have become placeable since the last pass.
    bool quarantine_suspended = false; ///< Quarantined servers may be used, after the others.
    bool slowness_ignored = false;     ///< Too many servers are slow for it to count.
    bool limit_reached = false; ///< In the last pass, a task waited for the limit of its team.
    std::set<workflow_entry*> active_workflows; ///< Workflows that have not ended.
    double arrived_core_s = 0;                  ///< Estimated work submitted under this ownership.
    arrival_log arrivals;
    std::size_t stalled_workflows = 0; ///< Found in the last pass; see `is_stalled`.
    instant stall_logged_at = instant::min();
    pool_order order;
    load_history load;
};

} // namespace citronford::dispatch
