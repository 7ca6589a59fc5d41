#pragma once

#include "citronford/timer_service.h"

#include <cstdint>
#include <map>
#include <memory>

namespace citronford {

/// Virtual time for tests and measurements: time moves only through `advance`.
class manual_timer_service final : public timer_service {
  public:
    [[nodiscard]] instant now() const override { return now_; }
    [[nodiscard]] timer_subscription after(duration delay, callback function) override;
    [[nodiscard]] timer_subscription every(duration period, callback function) override;

    /// Runs every callback that falls due within `span`, in order of time, then of subscription.
    void advance(duration span);

    /// The instant of the next callback; `instant::max()` when none is subscribed.
    [[nodiscard]] instant next_due() const;

  private:
    struct entry {
        callback function;
        duration period{}; ///< Zero for a one-shot timer.
    };
    using queue = std::multimap<instant, std::weak_ptr<entry>>;

    timer_subscription subscribe(duration delay, duration period, callback function);

    instant now_{};
    queue queue_;
};

} // namespace citronford
