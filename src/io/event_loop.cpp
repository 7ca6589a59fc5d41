#include "io/event_loop.h"

#include "citronford/result_code.h"

#include <csignal>
#include <ctime>
#include <utility>

namespace citronford {
namespace {

/// A libuv timer; freed by the loop after its handle is closed.
struct timer_entry {
    uv_timer_t handle{};
    timer_service::callback function;
    const event_loop* clock = nullptr;
};

struct signal_entry {
    uv_signal_t handle{};
    std::function<void()> function;
};

template <class Entry> void close_entry(Entry* entry) {
    uv_close(reinterpret_cast<uv_handle_t*>(&entry->handle),
             [](uv_handle_t* handle) { delete static_cast<Entry*>(handle->data); });
}

std::uint64_t timer_ms(duration span) {
    return span <= duration::zero()
               ? 0
               : static_cast<std::uint64_t>(std::chrono::ceil<milliseconds>(span).count());
}

} // namespace

absl::StatusOr<std::unique_ptr<event_loop>> event_loop::create() {
    std::unique_ptr<event_loop> loop(new event_loop());
    if (uv_loop_init(&loop->loop_) != 0) {
        return make_status(result_code::internal_error, "the event loop cannot be created");
    }
    std::signal(SIGPIPE, SIG_IGN);
    return loop;
}

event_loop::~event_loop() {
    drop_pending();
    uv_walk(
        &loop_,
        [](uv_handle_t* handle, void* /*argument*/) {
            if (uv_is_closing(handle) == 0 && handle->type == UV_SIGNAL) {
                close_entry(static_cast<signal_entry*>(handle->data));
            }
        },
        nullptr);
    uv_run(&loop_, UV_RUN_NOWAIT);
    uv_loop_close(&loop_);
}

instant event_loop::now() const {
    // Counts the time that a suspended machine spends, unlike the clock of the loop's timers:
    // leases run out meanwhile.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    constexpr long ns_per_us = 1000;
    return instant(seconds(time.tv_sec) + microseconds(time.tv_nsec / ns_per_us));
}

timer_subscription event_loop::subscribe(duration delay, duration period, callback function) {
    auto* entry = new timer_entry();
    entry->function = std::move(function);
    entry->clock = this;
    entry->handle.data = entry;
    uv_timer_init(&loop_, &entry->handle);
    uv_update_time(&loop_);
    uv_timer_start(
        &entry->handle,
        [](uv_timer_t* handle) {
            const auto* fired = static_cast<timer_entry*>(handle->data);
            // A copy, since the callback may cancel its own subscription.
            const callback function = fired->function;
            function(fired->clock->now());
        },
        timer_ms(delay), timer_ms(period));
    return timer_subscription(std::shared_ptr<void>(
        entry, [](void* data) { close_entry(static_cast<timer_entry*>(data)); }));
}

timer_subscription event_loop::after(duration delay, callback function) {
    return subscribe(delay, duration::zero(), std::move(function));
}

timer_subscription event_loop::every(duration period, callback function) {
    return subscribe(period, period, std::move(function));
}

void event_loop::on_signal(int signal_number, std::function<void()> function) {
    auto* entry = new signal_entry();
    entry->function = std::move(function);
    entry->handle.data = entry;
    uv_signal_init(&loop_, &entry->handle);
    uv_signal_start(
        &entry->handle,
        [](uv_signal_t* handle, int /*number*/) {
            static_cast<signal_entry*>(handle->data)->function();
        },
        signal_number);
    sigset_t handled;
    sigemptyset(&handled);
    sigaddset(&handled, signal_number);
    pthread_sigmask(SIG_UNBLOCK, &handled, nullptr);
    uv_unref(reinterpret_cast<uv_handle_t*>(&entry->handle));
}

void event_loop::run() {
    uv_run(&loop_, UV_RUN_DEFAULT);
}

void event_loop::stop() {
    uv_stop(&loop_);
}

} // namespace citronford
