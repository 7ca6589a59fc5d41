#pragma once

#include "citronford/instant.h"

#include <algorithm>
#include <utility>

namespace citronford {

/// Spaces out periodic work whose cost grows with what waits, such as placement: when it delays the
/// loop, calls and renewals of leases are late.
///
/// The cost of the work is taken from the delay of the tick after it. Until the work is repeated,
/// everything else gets twice that time.
class work_pace {
  public:
    /// Begins a tick that the loop has delayed by `late_by`.
    void begin_tick(instant now, duration late_by) {
        constexpr duration tolerated = milliseconds(30);
        constexpr duration longest = milliseconds(200);
        constexpr int pause_factor = 2;
        now_ = now;
        if (std::exchange(worked_, false) && late_by > tolerated) {
            due_at_ = now + pause_factor * std::min(late_by, longest);
        }
    }

    /// Whether the work may be done in this tick.
    [[nodiscard]] bool due() const { return now_ >= due_at_; }

    /// The work is done in this tick.
    void note_work() { worked_ = true; }

  private:
    instant now_ = instant::min();
    instant due_at_ = instant::min();
    bool worked_ = false;
};

} // namespace citronford
