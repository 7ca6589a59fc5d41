#pragma once

#include "citronford/instant.h"
#include "citronford/overload_order.h"
#include "citronford/queue_catalog.h"

#include <cstdint>
#include <map>

namespace citronford::dispatch {

/// Mean work of the workflows of a queue.
struct queue_work {
    double mean_core_s = 0;
    std::uint32_t workflows = 0; ///< Counted up to the number that the mean goes back.

    void add(double core_s) {
        // About ten seconds of a queue with 25 workflows a second.
        constexpr std::uint32_t most_workflows = 250;
        workflows += workflows < most_workflows ? 1 : 0;
        mean_core_s += (core_s - mean_core_s) / workflows;
    }
};

/// State of one pool with `dispatch_options::overload_order`.
struct pool_order {
    aging_account aging;
    std::map<queue_id, queue_work> queues;
    double cores = 0;     ///< Of the servers that accepted tasks in the last pass.
    rank_table waiting{}; ///< What the last pass left waiting.
    instant deferral_logged_at = instant::min();
};

} // namespace citronford::dispatch
