#pragma once

#include "citronford/instant.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace citronford {

/// Rate limiter that accumulates unused permits up to a burst (generic cell rate algorithm): in any
/// period `t`, at most `t / interval + burst` permits are granted.
class rate_limit {
  public:
    /// An interval of zero disables the limit. `burst` must be at least 1.
    rate_limit(duration interval, std::size_t burst) : interval_(interval), burst_(burst) {}

    /// Changes the limits; permits that were taken before still count.
    void configure(duration interval, std::size_t burst) {
        interval_ = interval;
        burst_ = burst;
    }

    /// Earliest instant at which `permits` permits are available; `instant::max()` if `permits`
    /// exceeds the burst.
    [[nodiscard]] instant available_at(std::size_t permits) const {
        if (permits > burst_ && interval_ > duration::zero()) {
            return instant::max();
        }
        return theoretical_arrival_time_ -
               interval_ * static_cast<std::int64_t>(burst_ - std::min(permits, burst_));
    }
    [[nodiscard]] bool allows(instant now, std::size_t permits = 1) const {
        return available_at(permits) <= now;
    }

    /// Takes a permit even if none is available; later permits are then delayed.
    void acquire(instant now) {
        theoretical_arrival_time_ = std::max(theoretical_arrival_time_, now) + interval_;
    }

  private:
    duration interval_;
    std::size_t burst_;
    instant theoretical_arrival_time_{}; ///< When the full burst is available again.
};

} // namespace citronford
