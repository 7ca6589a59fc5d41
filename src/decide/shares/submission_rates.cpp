#include "citronford/submission_rates.h"

#include "citronford/team_weight.h"
#include "citronford/workflow.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace citronford {
namespace {

constexpr std::int64_t us_per_ms = 1000;
constexpr std::int64_t us_per_s = 1000000;

/// Time in which the bucket of a team regains what one workflow takes.
std::int64_t interval_us(double weight) {
    return static_cast<std::int64_t>(std::llround(static_cast<double>(us_per_s) / weight));
}

/// Largest time to the full bucket at which a workflow is still within the rate. The bucket holds
/// the workflows of one second, and at least one.
std::int64_t tolerance_us(std::int64_t interval) {
    return std::max<std::int64_t>(us_per_s - interval, 0);
}

} // namespace

void submission_rates::set_weights(std::map<team_id, double> weights) {
    for (auto& [team, weight] : weights) {
        weight = effective_weight(weight);
    }
    std::swap(weights_, weights);
    for (auto& [team, bucket] : buckets_) {
        const auto before = weights.find(team);
        const double weight = weight_of(team);
        if (weight == (before == weights.end() ? default_team_weight : before->second)) {
            continue;
        }
        // Otherwise the bucket could take as long to refill as under the previous weight.
        const std::int64_t interval = interval_us(weight);
        bucket.full_at_us =
            std::min(bucket.full_at_us, pruned_us_ + tolerance_us(interval) + interval);
        if (!bucket.records.empty()) {
            bucket.first_added = bucket.records.begin()->first;
            bucket.last_added = bucket.records.rbegin()->first;
        }
    }
}

void submission_rates::add(const submission& item, std::int64_t now_unix_ms) {
    const std::int64_t latest_ms =
        now_unix_ms == 0 ? max_due_unix_ms : std::min(now_unix_ms + max_lead_ms, max_due_unix_ms);
    const std::int64_t time_us = std::max(
        std::clamp<std::int64_t>(item.accepted_unix_ms, 0, std::max<std::int64_t>(latest_ms, 0)) *
            us_per_ms,
        pruned_us_);
    team_bucket& bucket = buckets_[item.team];
    if (!bucket.times.emplace(item.job, time_us).second) {
        return;
    }
    newest_us_ = std::max(newest_us_, time_us);
    const position place(time_us, item.job);
    bucket.records.emplace(place, record{});
    bucket.first_added = std::min(bucket.first_added.value_or(place), place);
    bucket.last_added = std::max(bucket.last_added.value_or(place), place);
}

std::vector<rate_verdict> submission_rates::evaluate() {
    std::vector<rate_verdict> changed;
    for (auto& [team, bucket] : buckets_) {
        if (bucket.first_added) {
            evaluate(team, bucket, changed);
        }
    }
    return changed;
}

void submission_rates::evaluate(const team_id& team, team_bucket& bucket,
                                std::vector<rate_verdict>& changed) {
    const std::int64_t interval = interval_us(weight_of(team));
    const std::int64_t tolerance = tolerance_us(interval);
    auto next = bucket.records.find(*bucket.first_added);
    std::int64_t full_at =
        next == bucket.records.begin() ? bucket.full_at_us : std::prev(next)->second.full_at_us;
    for (; next != bucket.records.end(); ++next) {
        auto& [place, item] = *next;
        const std::int64_t time = place.first;
        const bool beyond = full_at > time + tolerance;
        full_at = beyond ? full_at : std::max(full_at, time) + interval;
        if (std::exchange(item.beyond, beyond) != beyond) {
            changed.push_back({place.second, beyond});
        }
        // From here on, nothing differs from the last evaluation.
        if (std::exchange(item.full_at_us, full_at) == full_at && place > *bucket.last_added) {
            break;
        }
    }
    bucket.first_added.reset();
    bucket.last_added.reset();
}

void submission_rates::prune(std::int64_t now_unix_ms) {
    // The lesser of two clocks: if one jumps ahead, the other keeps workflows from being pruned.
    const std::int64_t now_us =
        std::clamp<std::int64_t>(now_unix_ms, 0, max_due_unix_ms) * us_per_ms;
    pruned_us_ = std::max(pruned_us_, std::min(now_us, newest_us_) - retention_ms * us_per_ms);
    for (auto& [team, bucket] : buckets_) {
        if (bucket.first_added) {
            continue;
        }
        auto first_kept = bucket.records.begin();
        while (first_kept != bucket.records.end() && first_kept->first.first < pruned_us_) {
            bucket.full_at_us = first_kept->second.full_at_us;
            bucket.times.erase(first_kept->first.second);
            ++first_kept;
        }
        bucket.records.erase(bucket.records.begin(), first_kept);
    }
    std::erase_if(buckets_, [this](const auto& item) {
        return item.second.records.empty() && item.second.full_at_us < pruned_us_;
    });
}

bool submission_rates::is_beyond(const team_id& team, const job_id& job) const {
    const auto bucket = buckets_.find(team);
    if (bucket == buckets_.end()) {
        return false;
    }
    const auto time = bucket->second.times.find(job);
    return time != bucket->second.times.end() &&
           bucket->second.records.at({time->second, job}).beyond;
}

std::size_t submission_rates::retained() const {
    std::size_t sum = 0;
    for (const auto& [team, bucket] : buckets_) {
        sum += bucket.records.size();
    }
    return sum;
}

double submission_rates::weight_of(const team_id& team) const {
    const auto found = weights_.find(team);
    return found == weights_.end() ? default_team_weight : found->second;
}

} // namespace citronford
