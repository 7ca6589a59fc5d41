#pragma once

#include "citronford/timer_service.h"

#include <absl/status/statusor.h>
#include <uv.h>

#include <functional>
#include <memory>

namespace citronford {

/// The loop of a process and its clock. One loop runs on one thread; nothing else does.
class event_loop final : public timer_service {
  public:
    static absl::StatusOr<std::unique_ptr<event_loop>> create();

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;
    ~event_loop() override;

    /// Monotonic time, which goes on while the process is stopped and the machine is suspended.
    [[nodiscard]] instant now() const override;
    [[nodiscard]] timer_subscription after(duration delay, callback function) override;
    [[nodiscard]] timer_subscription every(duration period, callback function) override;

    /// Calls `function` when the process receives `signal_number`, which is unblocked.
    void on_signal(int signal_number, std::function<void()> function);

    /// Runs until `stop` is called.
    void run();
    void stop();

    [[nodiscard]] uv_loop_t* handle() { return &loop_; }

  private:
    event_loop() = default;
    timer_subscription subscribe(duration delay, duration period, callback function);

    uv_loop_t loop_{};
};

} // namespace citronford
