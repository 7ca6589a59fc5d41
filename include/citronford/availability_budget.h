#pragma once

#include "citronford/fleet_configuration.h"
#include "citronford/vm_table.h"

#include <cstdint>

namespace citronford {

/// How one VM counts against the budget of its pool.
enum class vm_availability {
    available,
    declared, ///< Serving by its row, but leaving or missing in the list.
    failed,
    draining,     ///< Being drained or rebooted.
    moving_out,   ///< Being drained for another pool.
    removed_zone, ///< In a zone taken out of service.
    arriving,     ///< Not yet serving in its new pool; neither available nor unavailable.
};

/// Counts a VM pessimistically: it is available only when row, list and configuration agree.
vm_availability availability_of(const vm_entry& vm, const fleet_configuration& fleet);

/// VMs of one pool by availability.
struct pool_availability {
    std::int64_t members = 0;
    std::int64_t available = 0;
    std::int64_t declared = 0;
    std::int64_t failed = 0;
    std::int64_t draining = 0;
    std::int64_t moving_out = 0;
    std::int64_t removed_zone = 0;
    std::int64_t arriving = 0;
    std::int64_t budget = 0;

    void count(vm_availability kind);

    [[nodiscard]] std::int64_t unavailable() const {
        return declared + failed + draining + moving_out + removed_zone;
    }
    /// Planned steps that may still begin; never negative.
    [[nodiscard]] std::int64_t remaining_budget() const;
};

/// The availability budget of `pool`: its exception `unavailable`, else its definition, else 1.
std::int64_t budget_of(const fleet_configuration& fleet, const pool_id& pool);

/// The same for a caller that has found the definition of the pool; null for none.
std::int64_t budget_of(const fleet_configuration& fleet, const pool_id& pool,
                       const pool_definition* definition);

pool_availability availability_of(const vm_table& vms, const pool_id& pool,
                                  const fleet_configuration& fleet);

} // namespace citronford
