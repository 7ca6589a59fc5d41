#pragma once

#include "citronford/backend.h"

#include <map>
#include <set>

namespace citronford::dispatch {

struct backend_entry;
struct workflow_entry;

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
    std::size_t stalled_workflows = 0;          ///< Found in the last pass; see `is_stalled`.
    instant stall_logged_at = instant::min();
};

} // namespace citronford::dispatch
