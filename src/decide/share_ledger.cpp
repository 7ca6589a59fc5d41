#include "citronford/share_ledger.h"

#include <algorithm>
#include <cmath>

namespace citronford {

void share_ledger::set_shares(std::span<const team_definition> teams) {
    for (const team_definition& team : teams) {
        accounts_[team.name].share = team.share;
    }
}

void share_ledger::add(const team_id& team, const resources& amount) {
    accounts_[team].used += amount;
}

void share_ledger::remove(const team_id& team, const resources& amount) {
    accounts_[team].used -= amount;
}

void share_ledger::advance(instant now) {
    if (now <= advanced_at_) {
        return;
    }
    const double kept =
        std::exp2(-static_cast<double>((now - advanced_at_).count()) /
                  static_cast<double>(std::max<duration::rep>(half_life_.count(), 1)));
    advanced_at_ = now;
    for (auto& [team, entry] : accounts_) {
        entry.faded = entry.faded * kept + present(entry) * (1 - kept);
    }
}

double share_ledger::priority(const team_id& team) const {
    const auto found = accounts_.find(team);
    return found == accounts_.end() ? 0 : present(found->second) + found->second.faded;
}

double share_ledger::present(const account& entry) const {
    return dominant_fraction(entry.used, capacity_) / entry.share;
}

} // namespace citronford
