#pragma once

#include "citronford/pool_workload.h"

#include <cstdint>
#include <vector>

namespace citronford::dispatch {

/// Work of one pool by the time of its acceptance, for the last 4 s. A read of the store that is
/// delayed by a second adds its work to the intervals in which it was accepted, not to the present
/// one.
class arrival_log {
  public:
    /// Adds one workflow with `core_s` core-seconds of estimated work. A time of acceptance after
    /// `now` counts as `now`; work accepted more than 4 s ago is only counted in `workflows`.
    void note(work_tier rank, double core_s, instant accepted_at, instant now);

    /// In the order of time; may hold some that are older than 4 s.
    [[nodiscard]] const std::vector<accepted_work>& intervals() const { return intervals_; }

    /// All workflows since the ownership began.
    [[nodiscard]] std::uint64_t workflows() const { return workflows_; }

  private:
    std::vector<accepted_work> intervals_;
    std::uint64_t workflows_ = 0;
};

} // namespace citronford::dispatch
