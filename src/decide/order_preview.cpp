#include "citronford/order_preview.h"

#include "citronford/maintenance_planner.h"

#include <algorithm>
#include <map>
#include <set>
#include <span>

namespace citronford {
namespace {

/// Adds one pool and its zones to `preview`, which already contains the VMs of the order.
void add_pool(const vm_table& vms, const fleet_configuration& fleet, const pool_id& pool,
              order_preview& preview) {
    const pool_availability count = availability_of(vms, pool, fleet);
    const bool held = count.removed_zone > 0;
    const std::int64_t left = held ? 0 : count.remaining_budget();
    const std::set<vm_id> drained(preview.drained.begin(), preview.drained.end());
    const std::set<vm_id> first(preview.first.begin(), preview.first.end());
    std::map<zone_id, zone_preview> zones;
    std::map<zone_id, std::int64_t> begun_in;
    std::int64_t begun = 0;
    for (const auto& [id, vm] : vms.members(pool)) {
        zone_preview& zone = zones[vm->row.zone];
        ++zone.vms;
        zone.available += availability_of(*vm, fleet) == vm_availability::available ? 1 : 0;
        zone.drained += drained.contains(id) ? 1 : 0;
        if (first.contains(id)) {
            ++begun_in[vm->row.zone];
            ++begun;
        }
    }
    for (auto& [name, zone] : zones) {
        zone.pool = pool;
        zone.zone = name;
        zone.left = std::min(left, zone.available);
        zone.left_after = std::min(left - begun, zone.available - begun_in[name]);
        preview.zones.push_back(zone);
    }
    preview.pools.push_back({pool, count.budget, count.unavailable(), left, left - begun, held});
}

/// The VMs among `ordered` whose drain the budget of their pool permits to begin now.
std::vector<vm_id> first_steps(const vm_table& vms, const fleet_configuration& fleet,
                               const pool_id& pool, std::span<const vm_id> ordered) {
    const pool_availability count = availability_of(vms, pool, fleet);
    if (count.removed_zone > 0) {
        return {};
    }
    const std::set<vm_id> drained(ordered.begin(), ordered.end());
    std::vector<placed_vm> due;
    std::vector<placed_vm> in_progress;
    for (const auto& [id, vm] : vms.members(pool)) {
        const placed_vm placed{id, vm->row.zone, vm->row.rack};
        const vm_availability kind = availability_of(*vm, fleet);
        if (kind == vm_availability::available && drained.contains(id)) {
            due.push_back(placed);
        } else if (kind == vm_availability::draining) {
            in_progress.push_back(placed);
        }
    }
    return next_wave(due, in_progress, static_cast<std::size_t>(count.remaining_budget()));
}

} // namespace

order_preview preview_of_move(const vm_table& vms, const fleet_configuration& fleet,
                              const vm_write& order) {
    order_preview preview;
    preview.drained.push_back(order.row.id);
    preview.first = first_steps(vms, fleet, order.row.pool, preview.drained);
    add_pool(vms, fleet, order.row.pool, preview);
    add_pool(vms, fleet, order.row.target, preview);
    return preview;
}

order_preview preview_of_maintenance(const vm_table& vms, const fleet_configuration& fleet,
                                     const pool_id& pool) {
    order_preview preview;
    for (const auto& [id, vm] : vms.members(pool)) {
        // A VM that changes its pool is rebooted by the move and not drained for the roll-out.
        if (vm->row.target.empty() && vm->row.state != vm_states::moving) {
            preview.drained.push_back(id);
        }
    }
    preview.first = first_steps(vms, fleet, pool, preview.drained);
    add_pool(vms, fleet, pool, preview);
    return preview;
}

} // namespace citronford
