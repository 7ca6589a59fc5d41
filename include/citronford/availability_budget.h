#pragma once

#include "citronford/fleet_configuration.h"
#include "citronford/vm_table.h"

#include <cstdint>

namespace citronford {

/// How one VM counts against the availability budget of its pool.
enum class vm_availability {
    available,
    declared, ///< Serving according to its row, but absent from the VM list or listed as leaving.
    failed,
    draining,     ///< Being drained or rebooted without a change of pool.
    moving_out,   ///< Being drained for a move to another pool.
    removed_zone, ///< Serving in an availability zone that an operator took out of service.
    arriving,     ///< Moved to this pool but not serving yet; neither available nor unavailable.
};

/// Classifies a VM. It counts as available only if its row, the VM list and the configuration all
/// say so.
vm_availability availability_of(const vm_entry& vm, const fleet_configuration& fleet);

/// Number of VMs of one pool in each availability class, and the budget of the pool.
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
    /// Number of VMs that planned steps may still take out of service; never negative.
    [[nodiscard]] std::int64_t remaining_budget() const;
};

/// The largest number of VMs of `pool` that may be unavailable: the configuration exception
/// `unavailable` of the pool if there is one, else the value of its definition, else 1.
std::int64_t budget_of(const fleet_configuration& fleet, const pool_id& pool);

/// The same for a caller that has already looked up the definition of the pool; null if the pool
/// is not configured.
std::int64_t budget_of(const fleet_configuration& fleet, const pool_id& pool,
                       const pool_definition* definition);

pool_availability availability_of(const vm_table& vms, const pool_id& pool,
                                  const fleet_configuration& fleet);

} // namespace citronford
