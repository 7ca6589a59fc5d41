#pragma once

#include "citronford/object_store.h"
#include "citronford/timer_service.h"

#include <cstdint>
#include <functional>
#include <string>

namespace citronford {

/// Stores the state of a node in one object per availability zone, so that operators can read the
/// last state when entry VMs are lost. One node of the zone writes: a node writes only if nobody
/// else has written since it looked last. Two nodes may write in the same period at the start,
/// which does no harm.
class state_snapshot {
  public:
    /// Gives the state as JSON with this sequence number, which makes every content distinct.
    using report_function = std::function<std::string(std::uint64_t sequence)>;

    static constexpr duration first_pause = seconds(1);
    static constexpr duration period = seconds(60);

    /// Both interfaces must outlive the object.
    state_snapshot(std::string_view zone, object_store& objects, timer_service& timers,
                   report_function report);
    state_snapshot(const state_snapshot&) = delete;
    state_snapshot& operator=(const state_snapshot&) = delete;
    state_snapshot(state_snapshot&&) = delete;
    state_snapshot& operator=(state_snapshot&&) = delete;
    ~state_snapshot() = default;

    void start();

  private:
    void look();
    void write();

    std::string name_;
    object_store& objects_;
    timer_service& timers_;
    report_function report_;
    std::string seen_; ///< Content at the last look; empty while there is none.
    std::uint64_t sequence_ = 0;
    timer_subscription first_timer_;
    timer_subscription period_timer_;
};

} // namespace citronford
