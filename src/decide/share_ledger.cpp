#include "citronford/share_ledger.h"

#include <algorithm>
#include <cmath>

namespace citronford {
namespace {

resources unthrottled(resources amount, int percent) {
    constexpr std::int64_t full_percent = 100;
    amount.millicores = amount.millicores * full_percent / percent;
    return amount;
}

} // namespace

void share_ledger::set_shares(std::span<const team_definition> teams) {
    for (const team_definition& team : teams) {
        accounts_[team.name].share = team.share;
    }
}

void share_ledger::add(const team_id& team, const resources& amount, int percent) {
    account& entry = accounts_[team];
    entry.used += amount;
    entry.unthrottled_use += unthrottled(amount, percent);
    used_ += amount;
}

void share_ledger::remove(const team_id& team, const resources& amount, int percent) {
    account& entry = accounts_[team];
    entry.used -= amount;
    entry.unthrottled_use -= unthrottled(amount, percent);
    used_ -= amount;
}

void share_ledger::advance(instant now) {
    if (now <= advanced_at_) {
        return;
    }
    const double retained =
        std::exp2(-static_cast<double>((now - advanced_at_).count()) /
                  static_cast<double>(std::max<duration::rep>(half_life_.count(), 1)));
    advanced_at_ = now;
    for (auto& [team, entry] : accounts_) {
        entry.decayed_mean =
            entry.decayed_mean * retained + current_weighted_fraction(entry) * (1 - retained);
    }
}

double share_ledger::priority(const team_id& team) const {
    const auto found = accounts_.find(team);
    return found == accounts_.end()
               ? 0
               : current_weighted_fraction(found->second) + found->second.decayed_mean;
}

double share_ledger::unthrottled_priority(const team_id& team) const {
    const auto found = accounts_.find(team);
    return found == accounts_.end() ? 0
                                    : weighted_fraction(team, found->second.unthrottled_use) +
                                          found->second.decayed_mean;
}

double share_ledger::mean_priority(std::span<const team_id> teams) const {
    double use = 0;
    double shares = 0;
    for (const team_id& team : teams) {
        const auto found = accounts_.find(team);
        const double share = found == accounts_.end() ? 1 : found->second.share;
        use += priority(team) * share;
        shares += share;
    }
    return shares > 0 ? use / shares : 0;
}

double share_ledger::used_fraction(const team_id& team) const {
    const auto found = accounts_.find(team);
    return found == accounts_.end() ? 0 : dominant_fraction(found->second.used, capacity_);
}

double share_ledger::weighted_fraction(const team_id& team, const resources& amount) const {
    const auto found = accounts_.find(team);
    const double share = found == accounts_.end() ? 1 : found->second.share;
    return dominant_fraction(amount, capacity_) / share;
}

double share_ledger::allowed_fraction(const team_id& team, double target) const {
    const auto found = accounts_.find(team);
    if (found == accounts_.end()) {
        return 1;
    }
    const double unthrottled_fraction = weighted_fraction(team, found->second.unthrottled_use);
    return unthrottled_fraction <= 0 ? 1
                                     : (target - found->second.decayed_mean) / unthrottled_fraction;
}

double share_ledger::current_weighted_fraction(const account& entry) const {
    return dominant_fraction(entry.used, capacity_) / entry.share;
}

} // namespace citronford
