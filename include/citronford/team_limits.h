#pragma once

#include "citronford/identifier.h"
#include "citronford/instant.h"

#include <cstdint>
#include <map>

namespace citronford {

/// Units of each team that this node may run at once, and those it runs. One running request or
/// task takes one unit. Work of open queues (the empty team) is not limited.
class team_limits {
  public:
    /// Sets the units that this node may run for `team`. May be below the number running; then
    /// nothing is acquired until enough are released.
    void set_units(const team_id& team, std::int64_t units) { set_units(team, units, units); }

    /// As above; `covered` units stand behind running work, which is more than `units` while the
    /// node gives up a part of them.
    void set_units(const team_id& team, std::int64_t units, std::int64_t covered);

    /// Sets the time up to which units may be acquired: the end of the node's registration.
    void set_held_until(instant until) { held_until_ = until; }

    /// Tells the present time. Called before decisions that acquire, so that a node that was
    /// paused does not use units that it lost meanwhile.
    void set_now(instant now) { now_ = now; }

    /// Whether the node may acquire units.
    [[nodiscard]] bool held() const { return now_ <= held_until_; }

    /// How long the node has been without its registration; zero while it holds it. Its units
    /// return to the fleet a fixed time after it lost the registration.
    [[nodiscard]] duration lapsed_for() const {
        return held() ? duration::zero() : now_ - held_until_;
    }

    /// How many running requests and tasks of `team` the node may keep running: leases of more
    /// must not be renewed, since their units return to the fleet.
    [[nodiscard]] std::int64_t renewable(const team_id& team) const;

    /// Takes one unit; false when the node runs as much as it may.
    bool acquire(const team_id& team);

    /// Counts one unit of work that runs already, taken over from another node; may exceed the
    /// units of this node, and then nothing is acquired until enough are released.
    void adopt(const team_id& team);

    /// Returns one unit taken before.
    void release(const team_id& team);

    [[nodiscard]] std::int64_t units(const team_id& team) const;
    [[nodiscard]] std::int64_t running(const team_id& team) const;

    /// Whether a unit was refused since the last call.
    bool take_refused(const team_id& team);

  private:
    struct account {
        std::int64_t units = 0;
        std::int64_t covered = 0;
        std::int64_t running = 0;
        bool refused = false;
    };
    std::map<team_id, account> accounts_;
    instant held_until_ = instant::max();
    instant now_{};
};

} // namespace citronford
