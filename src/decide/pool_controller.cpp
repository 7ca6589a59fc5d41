#include "citronford/pool_controller.h"

#include "citronford/invariant.h"
#include "citronford/planted_fault.h"
#include "citronford/pool_lease.h"
#include "citronford/pool_owner.h"
#include "citronford/pool_steps.h"
#include "citronford/result_code.h"
#include "citronford/vm_life_cycle.h"
#include "citronford/zone_life_cycle.h"

#include <algorithm>
#include <string>
#include <utility>

namespace citronford {
namespace {

/// What a controller remembers of a VM while its last order is carried out.
struct vm_follow {
    vm_order order = 0;
    std::string state;
    instant since{}; ///< When this state was first followed.
    std::optional<instant> ordered_at;
    std::optional<instant> asked_at;
    std::optional<instant> missing_since; ///< In the list.
    std::optional<vm_status> status;
};

/// A transaction whose result is not known yet.
struct open_commit {
    std::uint64_t number = 0; ///< Zero when none is open.
    lease_record lease;
    std::vector<vm_record> rows;
    instant sent_at{};
    bool takes_lease = false;
};

struct pool_state {
    pool_lease lease;
    bool owned = false; ///< Whether this node is to control the pool.
    bool due = true;    ///< Something changed since its steps were planned last.
    open_commit commit;
    std::optional<instant> read_after; ///< Rows must be read after this instant before acting.
    std::map<vm_id, vm_follow> follows;
    std::map<zone_id, zone_situation> zones;
};

bool has_order_open(const vm_record& row) {
    return row.state == vm_states::draining || row.state == vm_states::rebooting ||
           row.state == vm_states::moving;
}

} // namespace

class pool_controller::implementation {
  public:
    implementation(vm_life_cycle vm_cycle, zone_life_cycle zone_cycle,
                   pool_controller_options options)
        : vm_cycle_(std::move(vm_cycle)), zone_cycle_(std::move(zone_cycle)),
          options_(std::move(options)) {}

    void configure(const fleet_configuration& fleet) {
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

    std::vector<pool_effect> handle(const pool_input& input, instant now) {
        std::vector<pool_effect> effects;
        std::visit([&](const auto& event) { take(event, now, effects); }, input);
        return effects;
    }

    [[nodiscard]] absl::StatusOr<vm_write> move_order(const vm_id& vm, const pool_id& target,
                                                      std::string_view reason) const;
    [[nodiscard]] absl::StatusOr<pool_write> maintenance_order(const pool_id& pool,
                                                               std::string_view reason) const;

    [[nodiscard]] const vm_table& vms() const { return vms_; }
    [[nodiscard]] instant rows_read_at() const { return rows_begun_; }
    [[nodiscard]] const fleet_configuration& fleet() const { return fleet_; }
    [[nodiscard]] std::uint64_t operations() const { return operations_; }
    [[nodiscard]] std::set<pool_id> pools() const {
        std::set<pool_id> names = vms_.pools();
        for (const pool_definition& pool : fleet_.defaults.pools) {
            names.insert(pool.name);
        }
        return names;
    }
    [[nodiscard]] node_id lease_owner(const pool_id& pool) const {
        const auto found = pools_.find(pool);
        return found == pools_.end() ? node_id() : found->second.lease.owner();
    }

  private:
    using effects_out = std::vector<pool_effect>&;

    /// A member of a pool; a copy of its row is changed step by step and then written.
    class member {
      public:
        explicit member(const vm_entry* known) : entry_(known) {}
        /// A VM without a row.
        explicit member(vm_entry added)
            : changed_(std::make_unique<vm_entry>(std::move(added))), entry_(changed_.get()) {}

        [[nodiscard]] const vm_entry& entry() const { return *entry_; }
        [[nodiscard]] bool changed() const { return changed_ != nullptr; }
        void change(vm_record row) {
            vm_entry next = *entry_;
            next.row = std::move(row);
            changed_ = std::make_unique<vm_entry>(std::move(next));
            entry_ = changed_.get();
        }

      private:
        std::unique_ptr<vm_entry> changed_;
        const vm_entry* entry_;
    };

    void take(const pool_rows_read& rows, instant now, effects_out /*effects*/) {
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
        rows_begun_ = std::max(rows_begun_, rows.begun);
    }

    void take_row(const pool_rows_read::vm_row& item) {
        const vm_entry* known = vms_.find(item.row.id);
        // The row of a moving VM carries the epoch of the pool that it left.
        const bool comparable =
            known != nullptr && known->version < item.version && known->row.pool == item.row.pool &&
            known->row.state != vm_states::moving && item.row.state != vm_states::moving;
        invariant_monitor::check(!comparable || known->row.epoch <= item.row.epoch, "one-pool",
                                 "a controller wrote a VM row after its successor");
        apply_row(item.row, item.version);
    }

    void apply_row(const vm_record& row, table_version version) {
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

    void erase_row(const vm_id& vm, table_version version) {
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

    /// Every pool is planned anew.
    void note_fleet_change() {
        for (auto& [name, pool] : pools_) {
            pool.due = true;
        }
        demand_changed_ = true;
        names_changed_ = true;
    }

    void take(const vms_listed& list, instant /*now*/, effects_out /*effects*/) {
        if (vms_.apply_list(list.vms, list.begun)) {
            operations_ += list.vms.size();
            note_fleet_change();
        }
    }

    void take(const pool_node_listing& listing, instant /*now*/, effects_out /*effects*/) {
        if (listing.nodes == members_) {
            return;
        }
        members_ = listing.nodes;
        for (auto& [name, pool] : pools_) {
            pool.owned = pool_owner(name, members_) == options_.node;
        }
    }

    void take(const buffers_planned& planned, instant /*now*/, effects_out /*effects*/) {
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

    /// `fleet_` wants what is configured, or what the buffers need where that is more.
    void raise_wanted_vms() {
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

    void take(const vm_status_report& report, instant now, effects_out effects) {
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

    void take(const pool_commit_report& report, instant now, effects_out effects) {
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

    void take_committed(const open_commit& commit, table_version version) {
        for (const vm_record& row : commit.rows) {
            if (row.state == vm_states::removed) {
                erase_row(row.id, version);
            } else {
                apply_row(row, version);
            }
        }
        seen_ = std::max(seen_, version);
    }

    void take(const pools_tick& /*tick*/, instant now, effects_out effects) {
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

    [[nodiscard]] bool is_list_too_old(instant now) const {
        return vms_.listed_at() == instant::min() || now - vms_.listed_at() > options_.list_limit;
    }

    /// The pools that give VMs for the new demand are planned anew.
    void update_demand() {
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

    /// Does for one pool what can be done now; new steps are planned on a tick only.
    void advance(const pool_id& name, pool_state& pool, instant now, bool plan,
                 effects_out effects) {
        if (pool.commit.number != 0) {
            return;
        }
        if (!pool.lease.held(now)) {
            if (pool.owned && pool.lease.may_take(now)) {
                commit(pool, {}, pool.lease.claim(name), now, effects);
            }
            return;
        }
        if (pool.read_after && rows_begun_ <= *pool.read_after) {
            if (plan) {
                effects.emplace_back(read_pool_rows{});
            }
            return;
        }
        pool.read_after.reset();
        if (!pool.owned) {
            commit(pool, {}, pool.lease.release(name), now, effects);
            return;
        }
        if (!pool.due && pool.follows.empty()) {
            write_changes(name, pool, {}, now, effects);
            return;
        }
        std::vector<member> members = members_of(name);
        follow_members(pool, members, now);
        if (plan && pool.due) {
            add_unwritten(name, members);
            // The next step of a zone can allow steps that this one holds.
            pool.due = step_zones(pool, members);
            begin_steps(name, pool, members);
        }
        write_changes(name, pool, members, now, effects);
        give_orders(pool, members, now, effects);
    }

    std::vector<member> members_of(const pool_id& pool) {
        std::vector<member> members;
        members.reserve(vms_.members(pool).size());
        for (const auto& [id, vm] : vms_.members(pool)) {
            members.emplace_back(vm);
        }
        operations_ += members.size();
        return members;
    }

    /// A VM of the list without a row gets one in the pool where the platform started it.
    void add_unwritten(const pool_id& pool, std::vector<member>& members) const {
        for (const vm_listing& vm : vms_.without_row(pool)) {
            vm_entry added;
            added.row.id = vm.id;
            added.row.pool = pool;
            added.row.zone = vm.zone;
            added.row.rack = vm.rack;
            added.row.maintained = seen_;
            // Orders to an earlier VM of this name had lower numbers than the table's version.
            added.row.order = seen_;
            added.listed = true;
            added.leaving = vm.leaving;
            members.emplace_back(std::move(added));
        }
    }

    void follow_members(pool_state& pool, std::vector<member>& members, instant now) {
        std::erase_if(pool.follows, [&](const auto& item) {
            const vm_entry* vm = vms_.find(item.first);
            return vm == nullptr || !needs_follow(*vm);
        });
        for (member& item : members) {
            if (needs_follow(item.entry())) {
                follow(follow_of(pool, item.entry(), now), item, now);
            }
        }
    }

    [[nodiscard]] bool needs_follow(const vm_entry& vm) const {
        return vm.row.state != vm_states::serving || missing(vm);
    }
    [[nodiscard]] bool missing(const vm_entry& vm) const {
        return !vm.listed && vms_.listed_at() != instant::min();
    }

    vm_follow& follow_of(pool_state& pool, const vm_entry& vm, instant now) {
        vm_follow& item = pool.follows[vm.row.id];
        if (item.order != vm.row.order || item.state != vm.row.state) {
            const auto missing_since = item.missing_since;
            item = {};
            item.order = vm.row.order;
            item.state = vm.row.state;
            item.since = now;
            item.missing_since = missing_since;
        }
        if (!missing(vm)) {
            item.missing_since.reset();
        } else if (!item.missing_since) {
            item.missing_since = now;
        }
        return item;
    }

    /// Takes one VM through what the platform and the clock say of it.
    void follow(const vm_follow& known, member& item, instant now) const {
        using enum vm_status::condition;
        const std::string& state = item.entry().row.state;
        const bool is_failed = state == vm_states::failed;
        if (is_failed && known.missing_since && now - *known.missing_since >= options_.gone_after) {
            step(item, vm_gone{});
            return;
        }
        if ((state == vm_states::rebooting || state == vm_states::moving) &&
            now - known.since >= options_.reboot_limit) {
            step(item, vm_overdue{});
            return;
        }
        if (!known.status) {
            return;
        }
        const vm_status& status = *known.status;
        const bool carried_out = status.order >= item.entry().row.order;
        if (status.state == gone) {
            step(item, vm_lost{});
        } else if (status.state == drained && (is_failed || carried_out)) {
            if (step(item, vm_drained{})) {
                step(item, vm_proceeds{});
            }
        } else if (status.state == serving && (is_failed ? item.entry().listed : carried_out)) {
            step(item, vm_came_back{});
        }
    }

    bool step(member& item, const vm_event& event) const {
        vm_record row = item.entry().row;
        if (!vm_cycle_.step(row, event, seen_)) {
            return false;
        }
        item.change(std::move(row));
        return true;
    }

    /// Returns whether any zone took a step.
    bool step_zones(pool_state& pool, const std::vector<member>& members) {
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
            pool.zones.try_emplace(zone, zone_cycle_.begin());
        }
        bool stepped = false;
        for (auto& [zone, situation] : pool.zones) {
            const chart_position before = situation.position;
            situation.has_borrowed = borrowed;
            if (zone_removed(fleet_, zone) && present.contains(zone)) {
                zone_cycle_.step(situation, removal_ordered{});
            } else if (!any_removed) {
                zone_cycle_.step(situation, zone_restored{});
            }
            if (!borrowed) {
                zone_cycle_.step(situation, given_back{});
            }
            if (!present.contains(zone)) {
                zone_cycle_.step(situation, zone_emptied{});
            }
            stepped = stepped || situation.position != before;
        }
        std::erase_if(pool.zones,
                      [&](const auto& item) { return zone_cycle_.closed(item.second); });
        return stepped;
    }

    void begin_steps(const pool_id& name, const pool_state& pool, std::vector<member>& members) {
        std::vector<const vm_entry*> entries;
        entries.reserve(members.size());
        for (const member& item : members) {
            entries.push_back(&item.entry());
        }
        operations_ += entries.size();
        const auto any_zone = [&](bool zone_situation::*flag) {
            return std::ranges::any_of(pool.zones,
                                       [&](const auto& item) { return item.second.*flag; });
        };
        const auto found = definitions_.find(name);
        const pool_definition* definition = found == definitions_.end() ? nullptr : found->second;
        const pool_situation situation{name,
                                       entries,
                                       fleet_,
                                       demand_,
                                       definition,
                                       budget_of(fleet_, name, definition),
                                       vms_.roll_out(name),
                                       list_too_old_ ||
                                           any_zone(&zone_situation::planned_steps_held),
                                       any_zone(&zone_situation::giving_back)};
        const std::vector<pool_step> steps = planned_steps(situation);
        check_budget(situation, steps);
        for (const pool_step& planned : steps) {
            const auto member_found =
                std::ranges::find(members, planned.vm, [](const member& item) -> const vm_id& {
                    return item.entry().row.id;
                });
            step(*member_found, step_planned{planned.step, planned.target});
        }
    }

    static void check_budget(const pool_situation& situation, std::span<const pool_step> steps) {
        pool_availability before;
        for (const vm_entry* vm : situation.members) {
            before.count(availability_of(*vm, situation.fleet));
        }
        const auto bound = std::ranges::count_if(
            steps, [](const pool_step& planned) { return planned.step != vm_step::lend; });
        invariant_monitor::check(bound == 0 || before.unavailable() + bound <= situation.budget,
                                 "budgets", "planned steps exceed the availability budget");
    }

    void write_changes(const pool_id& name, pool_state& pool, const std::vector<member>& members,
                       instant now, effects_out effects) {
        std::vector<vm_write> writes;
        for (const member& item : members) {
            if (item.changed()) {
                writes.push_back({item.entry().row, item.entry().version});
            }
        }
        if (!writes.empty() || pool.lease.renewal_due(now)) {
            commit(pool, std::move(writes), pool.lease.claim(name), now, effects);
        }
    }

    void commit(pool_state& pool, std::vector<vm_write> writes, const lease_record& lease,
                instant now, effects_out effects) {
        pool.commit = {++last_number_, lease, {}, now, !pool.lease.held(now)};
        for (vm_write& write : writes) {
            write.row.epoch = lease.epoch;
            pool.commit.rows.push_back(write.row);
        }
        effects.emplace_back(
            commit_pool{last_number_, lease, pool.lease.version(), std::move(writes)});
    }

    /// Orders and questions for the VMs whose row is written; repeats what was not carried out.
    void give_orders(pool_state& pool, const std::vector<member>& members, instant now,
                     effects_out effects) const {
        for (const member& item : members) {
            const vm_record& row = item.entry().row;
            const auto found = pool.follows.find(row.id);
            if (item.changed() || found == pool.follows.end()) {
                continue;
            }
            vm_follow& known = found->second;
            const bool carried_out = known.status && known.status->order >= row.order;
            if (has_order_open(row) && !carried_out &&
                (!known.ordered_at || now - *known.ordered_at >= options_.order_retry)) {
                known.ordered_at = now;
                if (row.state == vm_states::draining) {
                    effects.emplace_back(order_drain{row.id, row.order});
                } else {
                    effects.emplace_back(order_reboot{row.id, row.order});
                }
            }
            if (!known.asked_at || now - *known.asked_at >= options_.ask_period) {
                known.asked_at = now;
                effects.emplace_back(ask_vm_status{row.id});
            }
        }
    }

    pool_state& state_of(const pool_id& pool) {
        const auto found = pools_.find(pool);
        if (found != pools_.end()) {
            return found->second;
        }
        const bool owned = pool_owner(pool, members_) == options_.node;
        return pools_
            .emplace(
                pool,
                pool_state{pool_lease(options_.node, options_.lease), owned, true, {}, {}, {}, {}})
            .first->second;
    }

    vm_life_cycle vm_cycle_;
    zone_life_cycle zone_cycle_;
    pool_controller_options options_;
    fleet_configuration fleet_; ///< With the buffers in `wanted`.
    std::vector<pool_definition> configured_pools_;
    /// Of `fleet_`: searched one by one, the definitions cost the square of the number of pools.
    std::map<pool_id, const pool_definition*> definitions_;
    std::map<pool_id, std::int64_t> wants_; ///< VMs that the buffers need.
    vm_table vms_;
    demand_counts counts_; ///< Of all rows in `vms_`.
    fleet_demand demand_;
    bool demand_changed_ = true; ///< `demand_` is to be worked out again.
    bool list_too_old_ = true;
    std::vector<node_id> members_;
    std::map<pool_id, pool_state> pools_; ///< Also those of which only a lease is left.
    std::set<pool_id> names_;             ///< `pools()` at the last tick.
    bool names_changed_ = true;
    table_version seen_ = 0; ///< Highest version of the table that was read or written.
    instant rows_begun_ = instant::min();
    std::uint64_t last_number_ = 0;
    std::uint64_t operations_ = 0;
};

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
