#pragma once

#include "citronford/instant.h"
#include "citronford/run_time_estimates.h"
#include "citronford/server_pace.h"

namespace citronford::dispatch {

/// What is known of the pace of servers and runs.
struct pace_state {
    server_pace servers;
    run_time_estimates run_times;
    instant reviewed_at = instant::min();
};

} // namespace citronford::dispatch
