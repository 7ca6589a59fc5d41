#include "decide/dispatch/start_window.h"

#include <algorithm>

namespace citronford::dispatch {
namespace {

/// Answers that take longer show that the owner is behind. Calls time out after three times this.
constexpr duration prompt_answer = milliseconds(100);

constexpr std::size_t min_limit = 4;
constexpr std::size_t max_limit = 8192;

/// Single slow servers answer late as well, so the limit falls only while half of the answers do.
constexpr double high_late_share = 0.5;
constexpr double late_share_weight = 0.125;

/// The limit falls by a quarter at a time.
constexpr std::size_t reduction_divisor = 4;

/// How long held back starts count as a sign that the owner limits the work.
constexpr duration held_back_time = seconds(1);

} // namespace

void start_window::note_answered(duration round_trip, instant now) {
    const std::size_t waiting_before = waiting_;
    note_unanswered();
    const bool late = round_trip > prompt_answer;
    late_share_ += late_share_weight * ((late ? 1 : 0) - late_share_);
    if (!late) {
        // A limit that is not reached says nothing about a higher one.
        if (2 * waiting_before >= limit_) {
            limit_ = std::min(limit_ + 1, max_limit);
        }
        return;
    }
    // Starts that were sent before the last reduction do not show its effect.
    const bool shows_effect = reduced_at_ == instant::min() || now - round_trip >= reduced_at_;
    if (shows_effect && late_share_ >= high_late_share) {
        // Few starts that wait are not what delays the answers, so the limit falls from its own
        // value.
        const bool is_used = waiting_before * reduction_divisor >= limit_;
        const std::size_t used = is_used ? std::min(limit_, waiting_before) : limit_;
        limit_ = std::max(used - used / reduction_divisor, min_limit);
        reduced_at_ = now;
    }
}

void start_window::note_held_back(instant now) {
    if (limit_ < initial_limit) {
        held_back_at_ = now;
    }
}

void start_window::note_unanswered() {
    waiting_ -= std::min<std::size_t>(waiting_, 1);
}

bool start_window::limits_work(instant now) const {
    return held_back_at_ != instant::min() && now < held_back_at_ + held_back_time;
}

} // namespace citronford::dispatch
