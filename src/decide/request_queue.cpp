#include "citronford/request_queue.h"

#include <algorithm>

namespace citronford {
namespace {

constexpr double mean_weight = 0.1;
constexpr double tracked_quantile = 0.95;
/// Step of the quantile estimate per answer, as a fraction of the estimate.
constexpr double quantile_step = 0.05;
/// The rate of freed slots is measured over several run times, since slots become free in bursts.
constexpr int window_run_times = 4;
constexpr duration min_window = milliseconds(50);

} // namespace

request_queue::ticket request_queue::push(const team_id& team, caller_id caller, instant now) {
    if (size_ == 0) {
        window_start_ = now;
        window_slots_ = 0;
    }
    team_queue& queue = team_queues_[team];
    if (queue.waiting.empty() && !queue.blocked) {
        rotation_.push_back(team);
    }
    const ticket position = next_ticket_++;
    queue.waiting.emplace(position, caller);
    ++size_;
    return position;
}

void request_queue::erase(const team_id& team, ticket position) {
    const auto found = team_queues_.find(team);
    if (found == team_queues_.end() || found->second.waiting.erase(position) == 0) {
        return;
    }
    --size_;
    if (found->second.waiting.empty()) {
        remove_from_rotation(team);
        team_queues_.erase(found);
    }
}

std::optional<caller_id> request_queue::next() {
    if (rotation_.empty()) {
        return std::nullopt;
    }
    rotation_.splice(rotation_.end(), rotation_, rotation_.begin());
    return team_queues_.at(rotation_.back()).waiting.begin()->second;
}

void request_queue::block(const team_id& team) {
    const auto found = team_queues_.find(team);
    if (found != team_queues_.end() && !found->second.blocked) {
        found->second.blocked = true;
        remove_from_rotation(team);
    }
}

void request_queue::unblock(const team_id& team) {
    const auto found = team_queues_.find(team);
    if (found != team_queues_.end() && found->second.blocked) {
        found->second.blocked = false;
        rotation_.push_back(team);
    }
}

void request_queue::unblock_all() {
    for (auto& [team, queue] : team_queues_) {
        if (queue.blocked) {
            queue.blocked = false;
            rotation_.push_back(team);
        }
    }
}

bool request_queue::blocked(const team_id& team) const {
    const auto found = team_queues_.find(team);
    return found != team_queues_.end() && found->second.blocked;
}

std::size_t request_queue::size(const team_id& team) const {
    const auto found = team_queues_.find(team);
    return found == team_queues_.end() ? 0 : found->second.waiting.size();
}

/// Linear search, since only few teams are in rotation; from the end, because the team to remove is
/// usually the one that was just served.
void request_queue::remove_from_rotation(const team_id& team) {
    const auto found = std::find(rotation_.rbegin(), rotation_.rend(), team);
    if (found != rotation_.rend()) {
        rotation_.erase(std::next(found).base());
    }
}

void request_queue::record_run_time(duration run_time) {
    const auto us = static_cast<double>(run_time.count());
    if (mean_us_ == 0) {
        mean_us_ = us;
        p95_us_ = us;
        return;
    }
    mean_us_ += mean_weight * (us - mean_us_);
    const double step = quantile_step * std::max(p95_us_, 1.0);
    p95_us_ += us > p95_us_ ? step * tracked_quantile : -step * (1 - tracked_quantile);
}

void request_queue::record_free_slot(instant now) {
    if (size_ == 0) {
        return;
    }
    ++window_slots_;
    const duration window = now - window_start_;
    if (window < std::max(min_window, window_run_times * mean_run_time())) {
        return;
    }
    const double interval =
        static_cast<double>(window.count()) / static_cast<double>(window_slots_);
    slot_interval_us_ = slot_interval_us_ == 0 ? interval : (slot_interval_us_ + interval) / 2;
    window_start_ = now;
    window_slots_ = 0;
}

duration request_queue::estimated_wait(const team_id& team, int capacity, instant now) const {
    if (size_ == 0) {
        return duration::zero();
    }
    const std::size_t ahead = std::min(size_, (size(team) + 1) * (rotation_.size() + 1));
    double interval = slot_interval_us_ > 0 ? slot_interval_us_ : mean_us_ / std::max(capacity, 1);
    const duration window = now - window_start_;
    // If no slot became free for several run times, the executors have stopped answering.
    if (window_slots_ == 0 && window > 2 * window_run_times * mean_run_time() &&
        window > min_window) {
        interval = std::max(interval, static_cast<double>(window.count()));
    }
    return to_duration(interval * static_cast<double>(ahead));
}

} // namespace citronford
