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
    raise_wanted_vms();
    // A removed zone changes what its VMs count for.
    counts_.clear();
    for (const auto& [id, vm] : vms_.entries()) {
        counts_.add(vm.row, fleet_);
    }
    operations_ += vms_.entries().size();
    note_fleet_change();
}

void pool_controller::implementation::take(const pool_rows_read& rows, instant now,
                                           effects_out /*effects*/) {
    for (const auto& item : rows.vms) {
        if (item.deleted) {
            erase_row(item.row.id, item.version);
        } else {
            take_row(item);
        }
    }
    for (const auto& item : rows.pools) {
        if (item.version > vms_.roll_out(item.row.name)) {
            vms_.apply(item.row, item.version);
            state_of(item.row.name).due = true;
            names_changed_ = true;
        }
    }
    for (const auto& item : rows.leases) {
        state_of(item.row.pool).lease.observe(item.row, item.version, now);
    }
    seen_ = std::max(seen_, rows.version);
    rows_begun_ = std::max(rows_begun_, rows.begun_at);
}

void pool_controller::implementation::take_row(const pool_rows_read::vm_row& item) {
    const vm_entry* known = vms_.find(item.row.id);
    // The row of a moving VM carries the epoch of the pool that it left.
    const bool comparable =
        known != nullptr && known->version < item.version && known->row.pool == item.row.pool &&
        known->row.state != vm_states::moving && item.row.state != vm_states::moving;
    invariant_monitor::check(!comparable || known->row.epoch <= item.row.epoch, "one-pool",
                             "a controller wrote a VM row after its successor");
    apply_row(item.row, item.version);
}

void pool_controller::implementation::apply_row(const vm_record& row, table_version version) {
    const vm_entry* known = vms_.find(row.id);
    if (known != nullptr) {
        if (version <= known->version) {
            return;
        }
        counts_.remove(known->row, fleet_);
        state_of(known->row.pool).due = true;
    }
    names_changed_ = names_changed_ || vms_.members(row.pool).empty();
    vms_.apply(row, version);
    counts_.add(row, fleet_);
    state_of(row.pool).due = true;
    demand_changed_ = true;
    ++operations_;
}

void pool_controller::implementation::erase_row(const vm_id& vm, table_version version) {
    const vm_entry* known = vms_.find(vm);
    if (known == nullptr || version <= known->version) {
        return;
    }
    counts_.remove(known->row, fleet_);
    state_of(known->row.pool).due = true;
    vms_.erase(vm, version);
    demand_changed_ = true;
    ++operations_;
}

void pool_controller::implementation::note_fleet_change() {
    for (auto& [name, pool] : pools_) {
        pool.due = true;
    }
    demand_changed_ = true;
    names_changed_ = true;
}

void pool_controller::implementation::take(const vms_listed& list, instant /*now*/,
                                           effects_out /*effects*/) {
    if (vms_.apply_list(list.vms, list.begun_at)) {
        operations_ += list.vms.size();
        note_fleet_change();
    }
}

void pool_controller::implementation::take(const pool_live_nodes& listing, instant /*now*/,
                                           effects_out /*effects*/) {
    if (listing.nodes == members_) {
        return;
    }
    members_ = listing.nodes;
    for (auto& [name, pool] : pools_) {
        pool.owned = pool_owner(name, members_) == options_.node;
    }
}

void pool_controller::implementation::take(const buffers_planned& planned, instant /*now*/,
                                           effects_out /*effects*/) {
    std::map<pool_id, std::int64_t> wants;
    for (const pool_want& want : planned.pools) {
        wants[want.pool] = want.vms;
    }
    if (wants != wants_) {
        wants_ = std::move(wants);
        raise_wanted_vms();
        note_fleet_change();
    }
}

void pool_controller::implementation::raise_wanted_vms() {
    fleet_.defaults.pools = configured_pools_;
    for (pool_definition& pool : fleet_.defaults.pools) {
        const auto want = wants_.find(pool.name);
        if (want != wants_.end()) {
            pool.wanted = std::max(pool.wanted, want->second);
        }
    }
    definitions_.clear();
    for (const pool_definition& pool : fleet_.defaults.pools) {
        definitions_.emplace(pool.name, &pool);
    }
}

void pool_controller::implementation::take(const vm_status_report& report, instant now,
                                           effects_out effects) {
    const vm_entry* vm = vms_.find(report.vm);
    if (vm == nullptr || !report.status) {
        return;
    }
    pool_state& pool = state_of(vm->row.pool);
    const auto follow = pool.follows.find(report.vm);
    if (follow == pool.follows.end()) {
        return;
    }
    follow->second.status = report.status;
    advance(vm->row.pool, pool, now, false, effects);
}

void pool_controller::implementation::take(const pool_commit_report& report, instant now,
                                           effects_out effects) {
    pool_state& pool = state_of(report.pool);
    if (report.number != pool.commit.number) {
        return;
    }
    const open_commit commit = std::exchange(pool.commit, {});
    using enum pool_commit_report::outcome;
    pool.due = pool.due || commit.takes_lease || report.result != committed;
    const bool ignores_conflict = fault_planted("one-pool") && report.result == conflicted;
    if (report.result == committed) {
        pool.lease.renewed(commit.lease, report.version, commit.sent_at);
    }
    if (report.result == committed || ignores_conflict) {
        take_committed(commit, ignores_conflict ? seen_ + 1 : report.version);
        if (commit.takes_lease) {
            pool.follows.clear();
            pool.read_after = now;
        }
    } else if (report.result == not_written) {
        // The next tick tries again; at once would load a platform that refuses.
        return;
    } else {
        pool.read_after = now;
    }
    if (pool.read_after && rows_begun_ <= *pool.read_after) {
        effects.emplace_back(read_pool_rows{});
        return;
    }
    advance(report.pool, pool, now, false, effects);
}

void pool_controller::implementation::take_committed(const open_commit& commit,
                                                     table_version version) {
    for (const vm_record& row : commit.rows) {
        if (row.state == vm_states::removed) {
            erase_row(row.id, version);
        } else {
            apply_row(row, version);
        }
    }
    seen_ = std::max(seen_, version);
}

void pool_controller::implementation::take(const pools_tick& /*tick*/, instant now,
                                           effects_out effects) {
    if (rows_begun_ == instant::min()) {
        return;
    }
    const bool list_was_too_old = std::exchange(list_too_old_, is_list_too_old(now));
    if (list_was_too_old != list_too_old_) {
        note_fleet_change();
    }
    update_demand();
    if (std::exchange(names_changed_, false)) {
        names_ = pools();
    }
    for (const pool_id& name : names_) {
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
        state_of(transfer.from).due = true;
    }
    for (const pool_shortage& shortage : demand_.shortages) {
        const pool_definition* definition = find_pool(fleet_, shortage.pool.view());
        if (definition != nullptr && !definition->spare.empty()) {
            state_of(definition->spare).due = true;
        }
    }
}

pool_state& pool_controller::implementation::state_of(const pool_id& pool) {
    const auto found = pools_.find(pool);
    if (found != pools_.end()) {
        return found->second;
    }
    const bool owned = pool_owner(pool, members_) == options_.node;
    return pools_
        .emplace(
            pool,
            pool_state{
                pool_lease(options_.node, options_.lease_duration), owned, true, {}, {}, {}, {}})
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
                           "the VM already moves to pool " + known->row.target.str() +
                               ", at table version " + std::to_string(known->version));
    }
    if (known->row.pool == target) {
        return make_status(result_code::invalid_argument, "the VM belongs to this pool");
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
    return pool_write{{pool, std::string(reason)}, vms_.roll_out(pool)};
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
