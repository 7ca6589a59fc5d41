#pragma once

#include "citronford/instant.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace citronford {

/// Bounds a rate while unused turns can be saved up: in any time `t`, at most `t / interval +
/// burst` turns are taken.
class rate_limit {
  public:
    /// An interval of zero bounds nothing. `burst` is at least 1.
    rate_limit(duration interval, std::size_t burst) : interval_(interval), burst_(burst) {}

    /// Keeps the turns that were taken.
    void set(duration interval, std::size_t burst) {
        interval_ = interval;
        burst_ = burst;
    }

    /// Earliest instant at which `turns` turns are saved up; `instant::max()` when it is more than
    /// the burst.
    [[nodiscard]] instant next(std::size_t turns) const {
        if (turns > burst_ && interval_ > duration::zero()) {
            return instant::max();
        }
        return spent_until_ -
               interval_ * static_cast<std::int64_t>(burst_ - std::min(turns, burst_));
    }
    [[nodiscard]] bool allows(instant now, std::size_t turns = 1) const {
        return next(turns) <= now;
    }

    void take(instant now) { spent_until_ = std::max(spent_until_, now) + interval_; }

  private:
    duration interval_;
    std::size_t burst_;
    instant spent_until_{}; ///< When all turns that were taken are made up for.
};

} // namespace citronford
