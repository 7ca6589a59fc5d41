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

/// A sum at some time, from which a pace is measured.
struct pace_sample {
    instant at{};
    double total = 0;
};

/// What the load report of a pool is computed from, beside the present state.
struct load_history {
    double finished_core_s = 0;       ///< By estimate, since the ownership began.
    std::deque<pace_sample> samples;  ///< Of the last second, the oldest first.
    instant calm_at = instant::min(); ///< Last report in which the pool was not under pressure.
};

/// Servers of one pool, by what keeps them from new tasks.
struct server_availability {
    std::int64_t open = 0;
    std::int64_t quarantined = 0;
    std::int64_t in_backoff = 0;      ///< After a refused start.
    std::int64_t out_of_contact = 0;  ///< The last call failed, or none was answered yet.
    std::int64_t withdrawn = 0;       ///< Leaving, draining, unregistered or in a removed zone.
    std::int64_t free_millicores = 0; ///< Of the open ones.
};

/// What servers that have not answered yet may hold of an earlier owner.
struct unknown_state {
    bool runs = false;
    bool completions = false;
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
