#pragma once

#include "citronford/pool_controller.h"

#include "citronford/pool_lease.h"
#include "citronford/pool_steps.h"
#include "citronford/vm_life_cycle.h"
#include "citronford/zone_life_cycle.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace citronford {

/// What a controller remembers of a VM while its last order is carried out.
struct vm_follow {
    vm_order_number order = 0;
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

/// State of a controller: inputs are taken in pool_controller.cpp, pools are planned and followed
/// in pool_controller_round.cpp.
class pool_controller::implementation {
  public:
    implementation(vm_life_cycle vm_cycle, zone_life_cycle zone_cycle,
                   pool_controller_options options)
        : vm_cycle_(std::move(vm_cycle)), zone_cycle_(std::move(zone_cycle)),
          options_(std::move(options)) {}

    void configure(const fleet_configuration& fleet);

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

    void take(const pool_rows_read& rows, instant now, effects_out /*effects*/);

    void take_row(const pool_rows_read::vm_row& item);

    void apply_row(const vm_record& row, table_version version);

    void erase_row(const vm_id& vm, table_version version);

    /// Every pool is planned anew.
    void note_fleet_change();

    void take(const vms_listed& list, instant /*now*/, effects_out /*effects*/);

    void take(const pool_live_nodes& listing, instant /*now*/, effects_out /*effects*/);

    void take(const buffers_planned& planned, instant /*now*/, effects_out /*effects*/);

    /// `fleet_` wants what is configured, or what the buffers need where that is more.
    void raise_wanted_vms();

    void take(const vm_status_report& report, instant now, effects_out effects);

    void take(const pool_commit_report& report, instant now, effects_out effects);

    void take_committed(const open_commit& commit, table_version version);

    void take(const pools_tick& /*tick*/, instant now, effects_out effects);

    [[nodiscard]] bool is_list_too_old(instant now) const;

    /// The pools that give VMs for the new demand are planned anew.
    void update_demand();

    /// Does for one pool what can be done now; new steps are planned on a tick only.
    void advance(const pool_id& name, pool_state& pool, instant now, bool plan,
                 effects_out effects);

    std::vector<member> members_of(const pool_id& pool);

    /// Whether each VM of `members`, which all have rows, was rebooted for the last roll-out.
    [[nodiscard]] bool roll_out_ended(const pool_id& pool, std::span<const member> members) const;

    /// A VM of the list without a row gets one in the pool where the platform started it.
    void add_unwritten(const pool_id& pool, std::vector<member>& members) const;

    void follow_members(pool_state& pool, std::vector<member>& members, instant now);

    [[nodiscard]] bool needs_follow(const vm_entry& vm) const;

    [[nodiscard]] bool missing(const vm_entry& vm) const;

    vm_follow& follow_of(pool_state& pool, const vm_entry& vm, instant now);

    /// Takes one VM through what the platform and the clock say of it.
    void follow(const vm_follow& known, member& item, instant now) const;

    bool step(member& item, const vm_event& event) const;

    /// Returns whether any zone took a step.
    bool step_zones(pool_state& pool, const std::vector<member>& members);

    void begin_steps(const pool_id& name, const pool_state& pool, std::vector<member>& members);

    static void check_budget(const pool_situation& situation, std::span<const pool_step> steps);

    void write_changes(const pool_id& name, pool_state& pool, const std::vector<member>& members,
                       instant now, effects_out effects);

    void commit(pool_state& pool, std::vector<vm_write> writes, const lease_record& lease,
                instant now, effects_out effects);

    /// Orders and questions for the VMs whose row is written; repeats what was not carried out.
    void give_orders(pool_state& pool, const std::vector<member>& members, instant now,
                     effects_out effects) const;

    pool_state& state_of(const pool_id& pool);

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

} // namespace citronford
