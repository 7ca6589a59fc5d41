#pragma once

#include "citronford/instant.h"
#include "citronford/vm_division.h"

#include <cstdint>
#include <map>

namespace citronford {

/// What a plan of the VMs says about one pool.
struct pool_plan {
    pool_id pool;
    vm_needs needs{};          ///< VMs.
    std::int64_t division = 0; ///< VMs that the pool should have.
    std::int64_t present = 0;  ///< VMs that can take work.
    std::int64_t incoming = 0; ///< VMs that will be able to take work soon.
    double waiting_cores = 0;  ///< Of all waiting work that is not long-running.
};

/// Decides which plans are worth a log line: at most one a second for a pool, and only when its
/// needs, its division or its VMs have changed by more than a tenth since the last one.
class pool_plan_filter {
  public:
    /// Whether `plan` is to be reported. Remembers it if so.
    bool is_due(const pool_plan& plan, instant now);

  private:
    struct report {
        instant at{};
        pool_plan plan;
    };

    std::map<pool_id, report> last_;
};

} // namespace citronford
