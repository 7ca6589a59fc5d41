#pragma once

#include "citronford/fleet_configuration.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/resources.h"

#include <map>
#include <span>

namespace citronford {

/// What each team uses, for weighted dominant resource fairness. Usage fades with a half-life, so
/// that a team that got too little for a while is served first until it has caught up.
class share_ledger {
  public:
    explicit share_ledger(duration half_life) : half_life_(half_life) {}

    void set_shares(std::span<const team_definition> teams);

    /// Capacity of all usable workers; fractions refer to it.
    void set_capacity(const resources& capacity) { capacity_ = capacity; }

    /// Changes what the running tasks of `team` use at present, held to `percent` of the processors
    /// that they want.
    void add(const team_id& team, const resources& amount, int percent = full_percent);
    void remove(const team_id& team, const resources& amount, int percent = full_percent);

    /// Moves the faded usage of every team on to `now`.
    void advance(instant now);

    /// The lower, the sooner the team is served: present and faded dominant use over the share.
    [[nodiscard]] double priority(const team_id& team) const;

    /// The priority that `team` would have if none of its tasks were throttled.
    [[nodiscard]] double unthrottled_priority(const team_id& team) const;

    /// The priority that every one of `teams` would have if their use were divided by share.
    [[nodiscard]] double mean_priority(std::span<const team_id> teams) const;

    /// The largest fraction of any resource of `capacity` that the running tasks of `team` use.
    [[nodiscard]] double used_fraction(const team_id& team) const;

    /// What `amount` adds to the priority of `team`.
    [[nodiscard]] double weighted_fraction(const team_id& team, const resources& amount) const;

    /// The fraction of what the tasks of `team` want that takes its priority to `wanted`.
    [[nodiscard]] double allowed_fraction(const team_id& team, double target) const;

    [[nodiscard]] const resources& capacity() const { return capacity_; }
    /// What the running tasks of all teams use at present.
    [[nodiscard]] const resources& used() const { return used_; }

  private:
    static constexpr int full_percent = 100;

    struct account {
        double share = 1;
        resources used;
        resources unthrottled_use; ///< As used, without throttling.
        double decayed_mean = 0;   ///< Faded mean of the dominant fraction over the share.
    };
    [[nodiscard]] double current_weighted_fraction(const account& entry) const;

    duration half_life_;
    resources capacity_;
    resources used_;
    instant advanced_at_{};
    std::map<team_id, account> accounts_;
};

} // namespace citronford
