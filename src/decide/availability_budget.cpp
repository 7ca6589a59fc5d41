#include "citronford/availability_budget.h"

#include "citronford/planted_fault.h"

#include <algorithm>
#include <charconv>

namespace citronford {

vm_availability availability_of(const vm_entry& vm, const fleet_configuration& fleet) {
    using enum vm_availability;
    if (vm.row.state == vm_states::failed) {
        return failed;
    }
    if (vm.row.state == vm_states::moving) {
        return arriving;
    }
    if (vm.row.state != vm_states::serving) {
        return vm.row.target.empty() ? draining : moving_out;
    }
    if (zone_removed(fleet, vm.row.zone)) {
        return removed_zone;
    }
    return vm.listed && !vm.leaving ? available : declared;
}

void pool_availability::count(vm_availability kind) {
    ++members;
    switch (kind) {
    case vm_availability::available:
        ++available;
        break;
    case vm_availability::declared:
        ++declared;
        break;
    case vm_availability::failed:
        ++failed;
        break;
    case vm_availability::draining:
        ++draining;
        break;
    case vm_availability::moving_out:
        ++moving_out;
        break;
    case vm_availability::removed_zone:
        ++removed_zone;
        break;
    case vm_availability::arriving:
        ++arriving;
        break;
    }
}

std::int64_t pool_availability::remaining_budget() const {
    const std::int64_t counted =
        fault_planted("budgets") ? unavailable() - draining - moving_out : unavailable();
    return std::max<std::int64_t>(0, budget - counted);
}

std::int64_t budget_of(const fleet_configuration& fleet, const pool_id& pool) {
    return budget_of(fleet, pool, find_pool(fleet, pool.view()));
}

std::int64_t budget_of(const fleet_configuration& fleet, const pool_id& pool,
                       const pool_definition* definition) {
    const auto text = exception_value(fleet, "pool/" + pool.str(), "unavailable");
    std::int64_t budget = 0;
    if (text &&
        std::from_chars(text->data(), text->data() + text->size(), budget).ec == std::errc()) {
        return std::max<std::int64_t>(0, budget);
    }
    return definition == nullptr ? 1 : definition->unavailable;
}

pool_availability availability_of(const vm_table& vms, const pool_id& pool,
                                  const fleet_configuration& fleet) {
    pool_availability result;
    result.budget = budget_of(fleet, pool);
    for (const auto& [id, vm] : vms.members(pool)) {
        result.count(availability_of(*vm, fleet));
    }
    return result;
}

} // namespace citronford
