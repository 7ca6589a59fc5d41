#pragma once

#include "citronford/identifier.h"

#include <cstdint>
#include <map>

namespace citronford {

/// Units of each team that this node may run at once, and those it runs. One running request or
/// task takes one unit. Work of open queues (the empty team) is not limited.
class team_limits {
  public:
    /// Sets the units that this node may run for `team`. May be below the number running; then
    /// nothing is acquired until enough are released.
    void set_units(const team_id& team, std::int64_t units);

    /// Takes one unit; false when the node runs as much as it may.
    bool acquire(const team_id& team);

    /// Counts one unit of work that runs already, taken over from another node; may exceed the
    /// units of this node, and then nothing is acquired until enough are released.
    void adopt(const team_id& team);

    /// Returns one unit taken before.
    void release(const team_id& team);

    [[nodiscard]] std::int64_t units(const team_id& team) const;
    [[nodiscard]] std::int64_t running(const team_id& team) const;

  private:
    struct account {
        std::int64_t units = 0;
        std::int64_t running = 0;
    };
    std::map<team_id, account> accounts_;
};

} // namespace citronford
