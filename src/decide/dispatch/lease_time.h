#pragma once

#include "citronford/instant.h"

#include <chrono>

namespace citronford::dispatch {

/// Clocks of servers may be 2% slow; 1% is added as a margin.
inline constexpr double slowest_clock = 1.03;

/// Covers the time between computing a lease and its arrival at the server, and rounding.
inline constexpr duration lease_margin = milliseconds(100);

/// Longest local time in which a server's clock can advance by `span`.
inline duration max_local_duration(duration span) {
    return std::chrono::duration_cast<duration>(span * slowest_clock) + lease_margin;
}

} // namespace citronford::dispatch
