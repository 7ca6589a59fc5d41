#pragma once

#include "citronford/instant.h"

#include <functional>
#include <memory>
#include <utility>

namespace citronford {

/// Keeps a timer subscription alive; destroying it cancels the timer.
class timer_subscription {
  public:
    timer_subscription() = default;
    explicit timer_subscription(std::shared_ptr<void> entry) : entry_(std::move(entry)) {}

    [[nodiscard]] bool active() const { return entry_ != nullptr; }
    void cancel() { entry_.reset(); }

  private:
    std::shared_ptr<void> entry_;
};

/// The only source of time. Parts subscribe to it; callbacks run on the loop, never inside a call
/// to the service.
class timer_service {
  public:
    using callback = std::function<void(instant now)>;

    timer_service() = default;
    timer_service(const timer_service&) = delete;
    timer_service& operator=(const timer_service&) = delete;
    timer_service(timer_service&&) = delete;
    timer_service& operator=(timer_service&&) = delete;
    virtual ~timer_service() = default;

    [[nodiscard]] virtual instant now() const = 0;

    /// Calls `function` once after `delay`.
    [[nodiscard]] virtual timer_subscription after(duration delay, callback function) = 0;

    /// Calls `function` every `period`, first after one period. Missed periods are not made up for.
    [[nodiscard]] virtual timer_subscription every(duration period, callback function) = 0;
};

} // namespace citronford
