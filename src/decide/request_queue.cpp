#include "citronford/request_queue.h"

#include <algorithm>

namespace citronford {
namespace {

constexpr double mean_weight = 0.1;
constexpr double high_quantile = 0.95;
/// Part of the present estimate by which one answer moves the quantile.
constexpr double quantile_step = 0.05;
/// The rate of free slots is measured over several run times, since slots become free in groups.
constexpr int window_run_times = 4;
constexpr duration window_least = milliseconds(50);

} // namespace

request_queue::ticket request_queue::push(const team_id& team, caller_id caller, instant now) {
    if (size_ == 0) {
        window_start_ = now;
        window_slots_ = 0;
    }
    line& own = lines_[team];
    if (own.waiting.empty() && !own.blocked) {
        turn_.push_back(team);
    }
    const ticket place = next_ticket_++;
    own.waiting.emplace(place, caller);
    ++size_;
    return place;
}

void request_queue::erase(const team_id& team, ticket place) {
    const auto found = lines_.find(team);
    if (found == lines_.end() || found->second.waiting.erase(place) == 0) {
        return;
    }
    --size_;
    if (found->second.waiting.empty()) {
        leave_turn(team);
        lines_.erase(found);
    }
}

std::optional<caller_id> request_queue::next() {
    if (turn_.empty()) {
        return std::nullopt;
    }
    turn_.splice(turn_.end(), turn_, turn_.begin());
    return lines_.at(turn_.back()).waiting.begin()->second;
}

void request_queue::block(const team_id& team) {
    const auto found = lines_.find(team);
    if (found != lines_.end() && !found->second.blocked) {
        found->second.blocked = true;
        leave_turn(team);
    }
}

void request_queue::unblock(const team_id& team) {
    const auto found = lines_.find(team);
    if (found != lines_.end() && found->second.blocked) {
        found->second.blocked = false;
        turn_.push_back(team);
    }
}

void request_queue::unblock_all() {
    for (auto& [team, own] : lines_) {
        if (own.blocked) {
            own.blocked = false;
            turn_.push_back(team);
        }
    }
}

bool request_queue::blocked(const team_id& team) const {
    const auto found = lines_.find(team);
    return found != lines_.end() && found->second.blocked;
}

std::size_t request_queue::size(const team_id& team) const {
    const auto found = lines_.find(team);
    return found == lines_.end() ? 0 : found->second.waiting.size();
}

/// The teams in turn are few, and the one that leaves is the one just served: search from the end.
void request_queue::leave_turn(const team_id& team) {
    const auto found = std::find(turn_.rbegin(), turn_.rend(), team);
    if (found != turn_.rend()) {
        turn_.erase(std::next(found).base());
    }
}

void request_queue::note_answer(duration run_time) {
    const auto us = static_cast<double>(run_time.count());
    if (mean_us_ == 0) {
        mean_us_ = us;
        high_us_ = us;
        return;
    }
    mean_us_ += mean_weight * (us - mean_us_);
    const double step = quantile_step * std::max(high_us_, 1.0);
    high_us_ += us > high_us_ ? step * high_quantile : -step * (1 - high_quantile);
}

void request_queue::note_free_slot(instant now) {
    if (size_ == 0) {
        return;
    }
    ++window_slots_;
    const duration window = now - window_start_;
    if (window < std::max(window_least, window_run_times * mean_run_time())) {
        return;
    }
    const double gap = static_cast<double>(window.count()) / static_cast<double>(window_slots_);
    slot_gap_us_ = slot_gap_us_ == 0 ? gap : (slot_gap_us_ + gap) / 2;
    window_start_ = now;
    window_slots_ = 0;
}

duration request_queue::estimated_wait(const team_id& team, int capacity, instant now) const {
    if (size_ == 0) {
        return duration::zero();
    }
    const std::size_t ahead = std::min(size_, (size(team) + 1) * (turn_.size() + 1));
    double gap = slot_gap_us_ > 0 ? slot_gap_us_ : mean_us_ / std::max(capacity, 1);
    const duration window = now - window_start_;
    // No slot became free for several run times: the executors have stopped answering.
    if (window_slots_ == 0 && window > 2 * window_run_times * mean_run_time() &&
        window > window_least) {
        gap = std::max(gap, static_cast<double>(window.count()));
    }
    return to_duration(gap * static_cast<double>(ahead));
}

} // namespace citronford
