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
    rebalance, ///< Change of pool for a changed demand.
    lend,      ///< Change of pool to replace VMs of a removed zone.
    give_back, ///< Return to the pool that lent the VM.
};

std::string_view name_of(vm_step step);

/// The step named `name`; `none` for any other name.
vm_step vm_step_of(std::string_view name);

/// States of the chart `vm` that other modules tell apart.
namespace vm_states {
inline constexpr std::string_view serving = "serving";
inline constexpr std::string_view draining = "draining";
inline constexpr std::string_view rebooting = "rebooting";
inline constexpr std::string_view moving = "moving";
inline constexpr std::string_view failed = "failed";
inline constexpr std::string_view removed = "removed";
} // namespace vm_states

/// Row `vm/{id}`: the one place that says to which pool a VM belongs.
struct vm_record {
    vm_id id;
    pool_id pool;
    zone_id zone;
    rack_id rack;
    std::string state{vm_states::serving}; ///< State of the chart `vm`.
    vm_step step = vm_step::none;
    pool_id target;               ///< Pool that the VM is to move to; empty for none.
    pool_id home;                 ///< Pool that lent the VM; empty for none.
    std::string reason;           ///< Of the move, as the operator gave it.
    table_version maintained = 0; ///< Roll-out that the VM was last rebooted for.
    vm_order_number order = 0;    ///< Number of the last order to the VM.
    std::uint64_t epoch = 0;      ///< Epoch of the controller that wrote the row last.
};

/// Row `pool/{name}`: written once for each roll-out, whose number is the version of the row. A VM
/// is due when it was last rebooted for an older number.
struct pool_record {
    pool_id name;
    std::string reason;
};

/// Row `lease/pool/{name}`; written with every transaction of the holder.
struct lease_record {
    pool_id pool;
    node_id owner; ///< Empty when released.
    std::uint64_t epoch = 0;
};

} // namespace citronford
