#include "citronford/team_limits.h"

#include "citronford/invariant.h"

#include <utility>

namespace citronford {

void team_limits::set_units(const team_id& team, std::int64_t units, std::int64_t covered) {
    account& entry = accounts_[team];
    entry.units = units;
    entry.covered = covered;
}

std::int64_t team_limits::renewable(const team_id& team) const {
    const auto found = accounts_.find(team);
    return found == accounts_.end() || !held() ? 0 : found->second.covered;
}

bool team_limits::acquire(const team_id& team) {
    if (team.empty()) {
        return true;
    }
    account& entry = accounts_[team];
    if (!held() || entry.running >= entry.units) {
        entry.refused = true;
        return false;
    }
    ++entry.running;
    return true;
}

void team_limits::adopt(const team_id& team) {
    if (!team.empty()) {
        ++accounts_[team].running;
    }
}

void team_limits::release(const team_id& team) {
    if (team.empty()) {
        return;
    }
    account& entry = accounts_[team];
    if (invariant_monitor::check(entry.running > 0, "limits", "a unit was released twice")) {
        --entry.running;
    }
}

bool team_limits::take_refused(const team_id& team) {
    const auto found = accounts_.find(team);
    return found != accounts_.end() && std::exchange(found->second.refused, false);
}

std::int64_t team_limits::units(const team_id& team) const {
    const auto found = accounts_.find(team);
    return found == accounts_.end() ? 0 : found->second.units;
}

std::int64_t team_limits::running(const team_id& team) const {
    const auto found = accounts_.find(team);
    return found == accounts_.end() ? 0 : found->second.running;
}

} // namespace citronford
