#include "decide/pool_controller_state.h"

#include "citronford/invariant.h"
#include "citronford/planted_fault.h"
#include "citronford/pool_owner.h"
#include "citronford/result_code.h"

#include <algorithm>
#include <string>

namespace citronford {

void pool_controller::implementation::configure(const fleet_configuration& fleet) {
    fleet_ = fleet;
    configured_pools_ = fleet.defaults.pools;
    apply_requirements();
    // VMs count differently in a zone that is removed or restored, so all are counted again.
    counts_.clear();
    for (const auto& [id, vm] : vms_.entries()) {
        counts_.add(vm.row, fleet_);
    }
    operations_ += vms_.entries().size();
    mark_all_for_planning();
}

void pool_controller::implementation::process(const pool_rows_read& rows, instant now,
                                              effects_out /*effects*/) {
    for (const auto& item : rows.vms) {
        if (item.deleted) {
            erase_row(item.row.id, item.version);
        } else {
            apply_vm_row(item);
        }
    }
    for (const auto& item : rows.pools) {
        if (item.version > vms_.roll_out_number(item.row.name)) {
            vms_.apply(item.row, item.version);
            state_of(item.row.name).needs_planning = true;
            pool_names_changed_ = true;
        }
    }
    for (const auto& item : rows.leases) {
        state_of(item.row.pool).lease.observe(item.row, item.version, now);
    }
    known_version_ = std::max(known_version_, rows.version);
    rows_read_begun_ = std::max(rows_read_begun_, rows.begun_at);
}

void pool_controller::implementation::apply_vm_row(const pool_rows_read::vm_row& item) {
    const vm_entry* known = vms_.find(item.row.id);
    // The epoch in the row of a moving VM is that of the lease of its previous pool.
    const bool comparable =
        known != nullptr && known->version < item.version && known->row.pool == item.row.pool &&
        known->row.state != vm_states::moving && item.row.state != vm_states::moving;
    invariant_monitor::check(
        !comparable || known->row.epoch <= item.row.epoch, "one-pool",
        "a controller wrote a VM row after a later controller of the same pool");
    apply_row(item.row, item.version);
}

void pool_controller::implementation::apply_row(const vm_record& row, table_version version) {
    const vm_entry* known = vms_.find(row.id);
    if (known != nullptr) {
        if (version <= known->version) {
            return;
        }
        counts_.remove(known->row, fleet_);
        state_of(known->row.pool).needs_planning = true;
    }
    pool_names_changed_ = pool_names_changed_ || vms_.members(row.pool).empty();
    vms_.apply(row, version);
    counts_.add(row, fleet_);
    state_of(row.pool).needs_planning = true;
    demand_changed_ = true;
    ++operations_;
}

void pool_controller::implementation::erase_row(const vm_id& vm, table_version version) {
    const vm_entry* known = vms_.find(vm);
    if (known == nullptr || version <= known->version) {
        return;
    }
    counts_.remove(known->row, fleet_);
    state_of(known->row.pool).needs_planning = true;
    vms_.erase(vm, version);
    demand_changed_ = true;
    ++operations_;
}

void pool_controller::implementation::mark_all_for_planning() {
    for (auto& [name, pool] : pools_) {
        pool.needs_planning = true;
    }
    demand_changed_ = true;
    pool_names_changed_ = true;
}

void pool_controller::implementation::process(const vms_listed& list, instant /*now*/,
                                              effects_out /*effects*/) {
    if (vms_.apply_list(list.vms, list.begun_at)) {
        operations_ += list.vms.size();
        mark_all_for_planning();
    }
}

void pool_controller::implementation::process(const pool_live_nodes& listing, instant /*now*/,
                                              effects_out /*effects*/) {
    if (listing.nodes == live_nodes_) {
        return;
    }
    live_nodes_ = listing.nodes;
    for (auto& [name, pool] : pools_) {
        pool.assigned = pool_owner(name, live_nodes_) == options_.node;
    }
}

void pool_controller::implementation::process(const buffers_planned& planned, instant /*now*/,
                                              effects_out /*effects*/) {
    std::map<pool_id, std::int64_t> requirements;
    for (const pool_requirement& requirement : planned.pools) {
        requirements[requirement.pool] = requirement.vms;
    }
    if (requirements != requirements_) {
        requirements_ = std::move(requirements);
        apply_requirements();
        mark_all_for_planning();
    }
}

void pool_controller::implementation::apply_requirements() {
    fleet_.defaults.pools = configured_pools_;
    for (pool_definition& pool : fleet_.defaults.pools) {
        const auto requirement = requirements_.find(pool.name);
        if (requirement != requirements_.end()) {
            pool.wanted = std::max(pool.wanted, requirement->second);
        }
    }
    definitions_.clear();
    for (const pool_definition& pool : fleet_.defaults.pools) {
        definitions_.emplace(pool.name, &pool);
    }
}

void pool_controller::implementation::process(const vm_status_report& report, instant now,
                                              effects_out effects) {
    const vm_entry* vm = vms_.find(report.vm);
    if (vm == nullptr || !report.status) {
        return;
    }
    pool_state& pool = state_of(vm->row.pool);
    const auto tracked = pool.tracked_vms.find(report.vm);
    if (tracked == pool.tracked_vms.end()) {
        return;
    }
    tracked->second.status = report.status;
    advance(vm->row.pool, pool, now, false, effects);
}

void pool_controller::implementation::process(const pool_commit_report& report, instant now,
                                              effects_out effects) {
    pool_state& pool = state_of(report.pool);
    if (report.number != pool.commit.number) {
        return;
    }
    const pending_commit commit = std::exchange(pool.commit, {});
    using enum pool_commit_report::outcome;
    pool.needs_planning =
        pool.needs_planning || commit.acquires_lease || report.result != committed;
    const bool ignores_conflict = fault_planted("one-pool") && report.result == conflicted;
    if (report.result == committed) {
        pool.lease.write_committed(commit.lease, report.version, commit.sent_at);
    }
    if (report.result == committed || ignores_conflict) {
        apply_committed_rows(commit, ignores_conflict ? known_version_ + 1 : report.version);
        if (commit.acquires_lease) {
            pool.tracked_vms.clear();
            pool.read_after = now;
        }
    } else if (report.result == not_written) {
        // The next tick retries; an immediate retry would add load to a platform that refuses
        // calls.
        return;
    } else {
        pool.read_after = now;
    }
    if (pool.read_after && rows_read_begun_ <= *pool.read_after) {
        effects.emplace_back(read_pool_rows{});
        return;
    }
    advance(report.pool, pool, now, false, effects);
}

void pool_controller::implementation::apply_committed_rows(const pending_commit& commit,
                                                           table_version version) {
    for (const vm_record& row : commit.rows) {
        if (row.state == vm_states::removed) {
            erase_row(row.id, version);
        } else {
            apply_row(row, version);
        }
    }
    known_version_ = std::max(known_version_, version);
}

void pool_controller::implementation::process(const pools_tick& /*tick*/, instant now,
                                              effects_out effects) {
    if (rows_read_begun_ == instant::min()) {
        return;
    }
    const bool list_was_too_old = std::exchange(list_too_old_, is_list_too_old(now));
    if (list_was_too_old != list_too_old_) {
        mark_all_for_planning();
    }
    update_demand();
    if (std::exchange(pool_names_changed_, false)) {
        pool_names_ = pools();
    }
    for (const pool_id& name : pool_names_) {
        ++operations_;
        advance(name, state_of(name), now, true, effects);
    }
}

bool pool_controller::implementation::is_list_too_old(instant now) const {
    return vms_.listed_at() == instant::min() || now - vms_.listed_at() > options_.max_list_age;
}

void pool_controller::implementation::update_demand() {
    if (!std::exchange(demand_changed_, false)) {
        return;
    }
    demand_ = counts_.demand(vms_, fleet_);
    operations_ += fleet_.defaults.pools.size();
    for (const pool_transfer& transfer : demand_.transfers) {
        state_of(transfer.from).needs_planning = true;
    }
    for (const pool_shortage& shortage : demand_.shortages) {
        const pool_definition* definition = find_pool(fleet_, shortage.pool.view());
        if (definition != nullptr && !definition->spare.empty()) {
            state_of(definition->spare).needs_planning = true;
        }
    }
}

pool_state& pool_controller::implementation::state_of(const pool_id& pool) {
    const auto found = pools_.find(pool);
    if (found != pools_.end()) {
        return found->second;
    }
    const bool assigned = pool_owner(pool, live_nodes_) == options_.node;
    return pools_
        .emplace(
            pool,
            pool_state{
                pool_lease(options_.node, options_.lease_duration), assigned, true, {}, {}, {}, {}})
        .first->second;
}

absl::StatusOr<vm_write>
pool_controller::implementation::move_order(const vm_id& vm, const pool_id& target,
                                            std::string_view reason) const {
    const vm_entry* known = vms_.find(vm);
    if (known == nullptr) {
        return make_status(result_code::not_found, "there is no such VM");
    }
    if (find_pool(fleet_, target.view()) == nullptr) {
        return make_status(result_code::not_found, "there is no such pool");
    }
    if (reason.empty()) {
        return make_status(result_code::invalid_argument, "a move needs a reason");
    }
    if (!known->row.target.empty()) {
        return make_status(result_code::conflict,
                           "the VM is already being moved to pool " + known->row.target.str() +
                               ", at table version " + std::to_string(known->version));
    }
    if (known->row.pool == target) {
        return make_status(result_code::invalid_argument,
                           "the VM already belongs to the target pool");
    }
    vm_write write{known->row, known->version};
    write.row.target = target;
    write.row.reason = reason;
    if (write.row.step == vm_step::none) {
        write.row.step = vm_step::move;
    }
    return write;
}

absl::StatusOr<pool_write>
pool_controller::implementation::maintenance_order(const pool_id& pool,
                                                   std::string_view reason) const {
    if (!pools().contains(pool)) {
        return make_status(result_code::not_found, "there is no such pool");
    }
    if (reason.empty()) {
        return make_status(result_code::invalid_argument, "a roll-out needs a reason");
    }
    return pool_write{{pool, std::string(reason)}, vms_.roll_out_number(pool)};
}

absl::StatusOr<std::unique_ptr<pool_controller>>
pool_controller::create(const chart& vm_chart, const chart& zone_chart,
                        pool_controller_options options) {
    auto vm_cycle = vm_life_cycle::create(vm_chart);
    if (!vm_cycle.ok()) {
        return vm_cycle.status();
    }
    auto zone_cycle = zone_life_cycle::create(zone_chart);
    if (!zone_cycle.ok()) {
        return zone_cycle.status();
    }
    return std::unique_ptr<pool_controller>(new pool_controller(std::make_unique<implementation>(
        *std::move(vm_cycle), *std::move(zone_cycle), std::move(options))));
}

pool_controller::pool_controller(std::unique_ptr<implementation> body) : body_(std::move(body)) {}
pool_controller::~pool_controller() = default;

void pool_controller::configure(const fleet_configuration& fleet) {
    body_->configure(fleet);
}

std::vector<pool_effect> pool_controller::handle(const pool_input& input, instant now) {
    return body_->handle(input, now);
}

absl::StatusOr<vm_write> pool_controller::move_order(const vm_id& vm, const pool_id& target,
                                                     std::string_view reason) const {
    return body_->move_order(vm, target, reason);
}

absl::StatusOr<pool_write> pool_controller::maintenance_order(const pool_id& pool,
                                                              std::string_view reason) const {
    return body_->maintenance_order(pool, reason);
}

const vm_table& pool_controller::vms() const {
    return body_->vms();
}

std::vector<pool_id> pool_controller::pools() const {
    const std::set<pool_id> names = body_->pools();
    return {names.begin(), names.end()};
}

pool_availability pool_controller::availability(const pool_id& pool) const {
    return availability_of(body_->vms(), pool, body_->fleet());
}

roll_out_view pool_controller::roll_out(const pool_id& pool) const {
    roll_out_view view;
    const pool_entry* entry = body_->vms().find_pool(pool);
    if (entry == nullptr) {
        return view;
    }
    view.number = entry->version;
    view.reason = entry->row.reason;
    for (const auto& [id, vm] : body_->vms().members(pool)) {
        const vm_record& row = vm->row;
        const bool back = row.state == vm_states::serving || row.state == vm_states::moving;
        view.remaining += row.maintained < entry->version || !back ? 1 : 0;
    }
    return view;
}

node_id pool_controller::lease_owner(const pool_id& pool) const {
    return body_->lease_owner(pool);
}

instant pool_controller::rows_read_at() const {
    return body_->rows_read_at();
}

std::uint64_t pool_controller::operations() const {
    return body_->operations();
}

} // namespace citronford
