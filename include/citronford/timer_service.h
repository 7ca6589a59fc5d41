#pragma once

#include "citronford/instant.h"

#include <cstdint>
#include <functional>
#include <map>
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

    /// Calls `function` once after `delay`, with no subscription to hold. A call still pending when
    /// the service ends is dropped.
    void once(duration delay, callback function) {
        const std::uint64_t number = next_++;
        pending_.emplace(number,
                         after(delay, [this, number, function = std::move(function)](instant now) {
                             const auto fired = pending_.extract(number);
                             function(now);
                         }));
    }

  protected:
    /// Drops the calls that are pending, for a service whose timers end before this base does.
    void drop_pending() { pending_.clear(); }

  private:
    std::map<std::uint64_t, timer_subscription> pending_;
    std::uint64_t next_ = 0;
};

} // namespace citronford
