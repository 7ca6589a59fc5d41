#pragma once

#include "citronford/fleet_configuration.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/resources.h"

#include <map>
#include <span>

namespace citronford {

/// Resource usage of each team, for weighted dominant resource fairness (DRF). Past usage decays
/// with a half-life, so that a team that got less than its share is served first until it has
/// caught up.
class share_ledger {
  public:
    explicit share_ledger(duration half_life) : half_life_(half_life) {}

    void set_shares(std::span<const team_definition> teams);

    /// Sets the capacity of all usable workers, to which all fractions refer.
    void set_capacity(const resources& capacity) { capacity_ = capacity; }

    /// Add to and subtract from the current usage of the running tasks of `team`, measured while
    /// they were throttled to `percent` of the processors that they would use.
    void add(const team_id& team, const resources& amount, int percent = full_percent);
    void remove(const team_id& team, const resources& amount, int percent = full_percent);

    /// Advances the decayed usage of every team to `now`.
    void advance(instant now);

    /// Sum of the current and the decayed dominant fraction of the team, divided by its share. The
    /// team with the lowest value is served first.
    [[nodiscard]] double priority(const team_id& team) const;

    /// The priority of `team` if none of its tasks were throttled.
    [[nodiscard]] double unthrottled_priority(const team_id& team) const;

    /// The priority that each of `teams` would have if their total usage were divided in proportion
    /// to their shares.
    [[nodiscard]] double mean_priority(std::span<const team_id> teams) const;

    /// The largest fraction of any resource of `capacity` that the running tasks of `team` use.
    [[nodiscard]] double used_fraction(const team_id& team) const;

    /// The dominant fraction of `amount`, divided by the share of `team`: what `amount` adds to its
    /// priority.
    [[nodiscard]] double weighted_fraction(const team_id& team, const resources& amount) const;

    /// The fraction of their unthrottled usage to which the tasks of `team` must be throttled to
    /// bring its priority to `target`. 1 for a team without usage; may be negative or above 1.
    [[nodiscard]] double allowed_fraction(const team_id& team, double target) const;

    [[nodiscard]] const resources& capacity() const { return capacity_; }
    /// Current usage of the running tasks of all teams.
    [[nodiscard]] const resources& used() const { return used_; }

  private:
    static constexpr int full_percent = 100;

    struct account {
        double share = 1;
        resources used;
        resources unthrottled_use; ///< `used`, extrapolated to no throttling.
        double decayed_mean = 0;   ///< Mean weighted fraction with exponential decay.
    };
    [[nodiscard]] double current_weighted_fraction(const account& entry) const;

    duration half_life_;
    resources capacity_;
    resources used_;
    instant advanced_at_{};
    std::map<team_id, account> accounts_;
};

} // namespace citronford
