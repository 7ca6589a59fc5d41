#include "citronford/team_limits.h"

#include "citronford/invariant.h"

namespace citronford {

void team_limits::set_units(const team_id& team, std::int64_t units) {
    accounts_[team].units = units;
}

bool team_limits::acquire(const team_id& team) {
    if (team.empty()) {
        return true;
    }
    account& entry = accounts_[team];
    if (entry.running >= entry.units) {
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

std::int64_t team_limits::units(const team_id& team) const {
    const auto found = accounts_.find(team);
    return found == accounts_.end() ? 0 : found->second.units;
}

std::int64_t team_limits::running(const team_id& team) const {
    const auto found = accounts_.find(team);
    return found == accounts_.end() ? 0 : found->second.running;
}

} // namespace citronford
