#pragma once

#include "citronford/identifier.h"
#include "citronford/table_service.h"
#include "citronford/vm_control.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace citronford {

/// Why a VM is taken out of service.
enum class vm_step {
    none,
    maintain,  ///< Reboot for a roll-out.
    move,      ///< Change of pool ordered by an operator.
    rebalance, ///< Change of pool because the demand of the pools changed.
    lend,      ///< Change of pool that replaces a VM in a removed zone.
    give_back, ///< Return to the pool that lent the VM.
};

std::string_view name_of(vm_step step);

/// The step with this name; `none` if the name is unknown.
vm_step vm_step_of(std::string_view name);

/// States of the chart `vm` that the code refers to by name.
namespace vm_states {
inline constexpr std::string_view serving = "serving";
inline constexpr std::string_view draining = "draining";
inline constexpr std::string_view rebooting = "rebooting";
inline constexpr std::string_view moving = "moving";
inline constexpr std::string_view failed = "failed";
inline constexpr std::string_view removed = "removed";
} // namespace vm_states

/// Row `vm/{id}`, the authoritative record of the pool to which a VM belongs.
struct vm_record {
    vm_id id;
    pool_id pool;
    zone_id zone;
    rack_id rack;
    std::string state{vm_states::serving}; ///< State of the chart `vm`.
    vm_step step = vm_step::none;
    pool_id target;               ///< Pool to which the VM is being moved; empty if none.
    pool_id home;                 ///< Pool that lent the VM; empty if it is not lent.
    std::string reason;           ///< Reason that the operator gave for the move.
    table_version maintained = 0; ///< The VM was rebooted for all roll-outs up to this number.
    vm_order_number order = 0;    ///< Number of the last order sent to the VM.
    std::uint64_t epoch = 0;      ///< Lease epoch of the controller that last wrote the row.
};

/// Row `pool/{name}`, written once for each maintenance roll-out. The number of a roll-out is the
/// table version of this row; a VM is due while its `maintained` is below that number.
struct pool_record {
    pool_id name;
    std::string reason;
};

/// Row `lease/pool/{name}`, written with every transaction of the lease holder.
struct lease_record {
    pool_id pool;
    node_id owner; ///< Empty if the lease is released.
    std::uint64_t epoch = 0;
};

} // namespace citronford
