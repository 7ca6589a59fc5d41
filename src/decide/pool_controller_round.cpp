#include "decide/pool_controller_state.h"

#include "citronford/invariant.h"
#include "citronford/planted_fault.h"

#include <algorithm>

namespace citronford {
namespace {

bool has_pending_order(const vm_record& row) {
    return row.state == vm_states::draining || row.state == vm_states::rebooting ||
           row.state == vm_states::moving;
}

} // namespace

void pool_controller::implementation::advance(const pool_id& name, pool_state& pool, instant now,
                                              bool plan, effects_out effects) {
    if (pool.commit.number != 0) {
        return;
    }
    if (!pool.lease.held(now)) {
        if (pool.assigned && pool.lease.may_acquire(now)) {
            commit(pool, {}, pool.lease.claim_record(name), now, effects);
        }
        return;
    }
    if (pool.read_after && rows_read_begun_ <= *pool.read_after) {
        if (plan) {
            effects.emplace_back(read_pool_rows{});
        }
        return;
    }
    pool.read_after.reset();
    if (!pool.assigned) {
        commit(pool, {}, pool.lease.release_record(name), now, effects);
        return;
    }
    if (!pool.needs_planning && pool.tracked_vms.empty()) {
        write_changes(name, pool, {}, now, effects);
        return;
    }
    std::vector<member> members = members_of(name);
    track_members(pool, members, now);
    if (plan && pool.needs_planning) {
        add_vms_without_row(name, members);
        // The next state of a zone may permit steps that its current state suspends, so the pool is
        // planned again.
        pool.needs_planning = update_zones(pool, members);
        begin_steps(name, pool, members);
    }
    write_changes(name, pool, members, now, effects);
    issue_orders(pool, members, now, effects);
}

std::vector<pool_controller::implementation::member>
pool_controller::implementation::members_of(const pool_id& pool) {
    std::vector<member> members;
    members.reserve(vms_.members(pool).size());
    for (const auto& [id, vm] : vms_.members(pool)) {
        members.emplace_back(vm);
    }
    operations_ += members.size();
    return members;
}

bool pool_controller::implementation::roll_out_ended(const pool_id& pool,
                                                     std::span<const member> members) const {
    const table_version roll_out = vms_.roll_out_number(pool);
    return !members.empty() && std::ranges::all_of(members, [&](const member& item) {
        return item.entry().row.maintained >= roll_out;
    });
}

void pool_controller::implementation::add_vms_without_row(const pool_id& pool,
                                                          std::vector<member>& members) const {
    // During a roll-out, a VM without a row may have been listed before the roll-out was ordered
    // and must still be maintained.
    const table_version maintained =
        roll_out_ended(pool, members) ? known_version_ : table_version{0};
    for (const vm_listing& vm : vms_.without_row(pool)) {
        vm_entry added;
        added.row.id = vm.id;
        added.row.pool = pool;
        added.row.zone = vm.zone;
        added.row.rack = vm.rack;
        added.row.maintained = maintained;
        // Order numbers start above those of an earlier VM with this id, which were below the
        // current table version.
        added.row.order = known_version_;
        added.listed = true;
        added.leaving = vm.leaving;
        members.emplace_back(std::move(added));
    }
}

void pool_controller::implementation::track_members(pool_state& pool, std::vector<member>& members,
                                                    instant now) {
    std::erase_if(pool.tracked_vms, [&](const auto& item) {
        const vm_entry* vm = vms_.find(item.first);
        return vm == nullptr || !needs_tracking(*vm);
    });
    for (member& item : members) {
        if (needs_tracking(item.entry())) {
            apply_observations(refresh_tracking(pool, item.entry(), now), item, now);
        }
    }
}

bool pool_controller::implementation::needs_tracking(const vm_entry& vm) const {
    return vm.row.state != vm_states::serving || is_missing(vm);
}

bool pool_controller::implementation::is_missing(const vm_entry& vm) const {
    return !vm.listed && vms_.listed_at() != instant::min();
}

vm_tracking& pool_controller::implementation::refresh_tracking(pool_state& pool, const vm_entry& vm,
                                                               instant now) {
    vm_tracking& item = pool.tracked_vms[vm.row.id];
    if (item.order != vm.row.order || item.state != vm.row.state) {
        const auto missing_since = item.missing_since;
        item = {};
        item.order = vm.row.order;
        item.state = vm.row.state;
        item.tracked_since = now;
        item.missing_since = missing_since;
    }
    if (!is_missing(vm)) {
        item.missing_since.reset();
    } else if (!item.missing_since) {
        item.missing_since = now;
    }
    return item;
}

void pool_controller::implementation::apply_observations(const vm_tracking& known, member& item,
                                                         instant now) const {
    using enum vm_status::condition;
    const std::string& state = item.entry().row.state;
    const bool is_failed = state == vm_states::failed;
    if (is_failed && known.missing_since &&
        now - *known.missing_since >= options_.missing_vm_timeout) {
        apply_event(item, vm_gone{});
        return;
    }
    if ((state == vm_states::rebooting || state == vm_states::moving) &&
        now - known.tracked_since >= options_.reboot_timeout) {
        apply_event(item, vm_reboot_timed_out{});
        return;
    }
    if (!known.status) {
        return;
    }
    const vm_status& status = *known.status;
    const bool carried_out = status.order >= item.entry().row.order;
    if (status.state == gone) {
        apply_event(item, vm_lost{});
    } else if (status.state == drained && (is_failed || carried_out)) {
        if (apply_event(item, vm_drained{})) {
            apply_event(item, vm_proceeds{});
        }
    } else if (status.state == serving && (is_failed ? item.entry().listed : carried_out)) {
        apply_event(item, vm_returned_to_service{});
    }
}

bool pool_controller::implementation::apply_event(member& item, const vm_event& event) const {
    vm_record row = item.entry().row;
    if (!vm_cycle_.apply_event(row, event, known_version_)) {
        return false;
    }
    item.change(std::move(row));
    return true;
}

bool pool_controller::implementation::update_zones(pool_state& pool,
                                                   const std::vector<member>& members) {
    std::set<zone_id> present;
    bool borrowed = false;
    bool any_removed = false;
    for (const member& item : members) {
        const vm_record& row = item.entry().row;
        present.insert(row.zone);
        borrowed = borrowed || !row.home.empty();
        any_removed = any_removed || zone_removed(fleet_, row.zone);
    }
    for (const zone_id& zone : present) {
        pool.zones.try_emplace(zone, zone_cycle_.initial_state());
    }
    bool any_changed = false;
    for (auto& [zone, current] : pool.zones) {
        const chart_position before = current.position;
        current.has_borrowed = borrowed;
        if (zone_removed(fleet_, zone) && present.contains(zone)) {
            zone_cycle_.apply_event(current, removal_ordered{});
        } else if (!any_removed) {
            zone_cycle_.apply_event(current, zone_restored{});
        }
        if (!borrowed) {
            zone_cycle_.apply_event(current, given_back{});
        }
        if (!present.contains(zone)) {
            zone_cycle_.apply_event(current, zone_emptied{});
        }
        any_changed = any_changed || current.position != before;
    }
    std::erase_if(pool.zones, [&](const auto& item) { return zone_cycle_.is_empty(item.second); });
    return any_changed;
}

void pool_controller::implementation::begin_steps(const pool_id& name, const pool_state& pool,
                                                  std::vector<member>& members) {
    std::vector<const vm_entry*> entries;
    entries.reserve(members.size());
    for (const member& item : members) {
        entries.push_back(&item.entry());
    }
    operations_ += entries.size();
    const auto any_zone = [&](bool zone_state::*flag) {
        return std::ranges::any_of(pool.zones, [&](const auto& item) { return item.second.*flag; });
    };
    const auto found = definitions_.find(name);
    const pool_definition* definition = found == definitions_.end() ? nullptr : found->second;
    const pool_snapshot snapshot{name,
                                 entries,
                                 fleet_,
                                 demand_,
                                 definition,
                                 budget_of(fleet_, name, definition),
                                 vms_.roll_out_number(name),
                                 list_too_old_ || any_zone(&zone_state::planned_steps_suspended),
                                 any_zone(&zone_state::giving_back)};
    const std::vector<pool_step> steps = planned_steps(snapshot);
    check_budget(snapshot, steps);
    for (const pool_step& planned : steps) {
        const auto member_found =
            std::ranges::find(members, planned.vm, [](const member& item) -> const vm_id& {
                return item.entry().row.id;
            });
        apply_event(*member_found, step_planned{planned.step, planned.target});
    }
}

void pool_controller::implementation::check_budget(const pool_snapshot& snapshot,
                                                   std::span<const pool_step> steps) {
    pool_availability before;
    for (const vm_entry* vm : snapshot.members) {
        before.count(availability_of(*vm, snapshot.fleet));
    }
    const auto bound = std::ranges::count_if(
        steps, [](const pool_step& planned) { return planned.step != vm_step::lend; });
    invariant_monitor::check(bound == 0 || before.unavailable() + bound <= snapshot.budget,
                             "budgets", "planned steps exceed the availability budget");
}

void pool_controller::implementation::write_changes(const pool_id& name, pool_state& pool,
                                                    const std::vector<member>& members, instant now,
                                                    effects_out effects) {
    std::vector<vm_write> writes;
    for (const member& item : members) {
        if (item.changed()) {
            writes.push_back({item.entry().row, item.entry().version});
        }
    }
    if (!writes.empty() || pool.lease.renewal_due(now)) {
        commit(pool, std::move(writes), pool.lease.claim_record(name), now, effects);
    }
}

void pool_controller::implementation::commit(pool_state& pool, std::vector<vm_write> writes,
                                             const lease_record& lease, instant now,
                                             effects_out effects) {
    pool.commit = {++last_commit_number_, lease, {}, now, !pool.lease.held(now)};
    for (vm_write& write : writes) {
        write.row.epoch = lease.epoch;
        pool.commit.rows.push_back(write.row);
    }
    effects.emplace_back(
        commit_pool_rows{last_commit_number_, lease, pool.lease.version(), std::move(writes)});
}

void pool_controller::implementation::issue_orders(pool_state& pool,
                                                   const std::vector<member>& members, instant now,
                                                   effects_out effects) const {
    for (const member& item : members) {
        const vm_record& row = item.entry().row;
        const auto found = pool.tracked_vms.find(row.id);
        if (item.changed() || found == pool.tracked_vms.end()) {
            continue;
        }
        vm_tracking& known = found->second;
        const bool carried_out = known.status && known.status->order >= row.order;
        if (has_pending_order(row) && !carried_out &&
            (!known.order_sent_at || now - *known.order_sent_at >= options_.order_retry_interval)) {
            known.order_sent_at = now;
            if (row.state == vm_states::draining) {
                effects.emplace_back(order_drain{row.id, row.order});
            } else {
                effects.emplace_back(order_reboot{row.id, row.order});
            }
        }
        if (!known.queried_at || now - *known.queried_at >= options_.status_query_interval) {
            known.queried_at = now;
            effects.emplace_back(query_vm_status{row.id});
        }
    }
}

} // namespace citronford
