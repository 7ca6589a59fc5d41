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

/// What a controller knows about a VM that is not in service or is missing in the VM list.
struct vm_tracking {
    vm_order_number order = 0;
    std::string state;
    instant tracked_since{}; ///< When the controller first saw the VM in this state.
    std::optional<instant> order_sent_at;
    std::optional<instant> queried_at;
    std::optional<instant> missing_since; ///< Since when the VM list lacks the VM.
    std::optional<vm_status> status;      ///< Last status reported by the platform.
};

/// A transaction whose result is not known yet.
struct pending_commit {
    std::uint64_t number = 0; ///< Zero if no transaction is pending.
    lease_record lease;
    std::vector<vm_record> rows;
    instant sent_at{};
    bool acquires_lease = false;
};

struct pool_state {
    pool_lease lease;
    bool assigned = false;      ///< Whether `pool_owner` assigns the pool to this node.
    bool needs_planning = true; ///< Something changed since its steps were last planned.
    pending_commit commit;
    std::optional<instant> read_after; ///< Waits for rows whose read began later.
    std::map<vm_id, vm_tracking> tracked_vms;
    std::map<zone_id, zone_state> zones;
};

/// Implementation of the controller. pool_controller.cpp processes inputs;
/// pool_controller_round.cpp plans the steps of the pools and carries them out.
class pool_controller::implementation {
  public:
    implementation(vm_life_cycle vm_cycle, zone_life_cycle zone_cycle,
                   pool_controller_options options)
        : vm_cycle_(std::move(vm_cycle)), zone_cycle_(std::move(zone_cycle)),
          options_(std::move(options)) {}

    void configure(const fleet_configuration& fleet);

    std::vector<pool_effect> handle(const pool_input& input, instant now) {
        std::vector<pool_effect> effects;
        std::visit([&](const auto& event) { process(event, now, effects); }, input);
        return effects;
    }

    [[nodiscard]] absl::StatusOr<vm_write> move_order(const vm_id& vm, const pool_id& target,
                                                      std::string_view reason) const;
    [[nodiscard]] absl::StatusOr<pool_write> maintenance_order(const pool_id& pool,
                                                               std::string_view reason) const;

    [[nodiscard]] const vm_table& vms() const { return vms_; }
    [[nodiscard]] instant rows_read_at() const { return rows_read_begun_; }
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

    /// A VM of a pool. The first change copies the entry; changed rows are written at the end of
    /// the round.
    class member {
      public:
        explicit member(const vm_entry* known) : entry_(known) {}
        /// A VM without a row, which counts as changed.
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

    void process(const pool_rows_read& rows, instant now, effects_out /*effects*/);

    void apply_vm_row(const pool_rows_read::vm_row& item);

    void apply_row(const vm_record& row, table_version version);

    void erase_row(const vm_id& vm, table_version version);

    /// Causes the demand, the set of pools and the steps of every pool to be computed again.
    void mark_all_for_planning();

    void process(const vms_listed& list, instant /*now*/, effects_out /*effects*/);

    void process(const pool_live_nodes& listing, instant /*now*/, effects_out /*effects*/);

    void process(const buffers_planned& planned, instant /*now*/, effects_out /*effects*/);

    /// Sets the wanted number of each pool in `fleet_` to the maximum of the configured number and
    /// the buffer requirement.
    void apply_requirements();

    void process(const vm_status_report& report, instant now, effects_out effects);

    void process(const pool_commit_report& report, instant now, effects_out effects);

    void apply_committed_rows(const pending_commit& commit, table_version version);

    void process(const pools_tick& /*tick*/, instant now, effects_out effects);

    [[nodiscard]] bool is_list_too_old(instant now) const;

    /// Computes the demand again if it changed, and marks the pools that give VMs for planning.
    void update_demand();

    /// Carries out for one pool what is possible now. `plan` is true on ticks, the only time at
    /// which new steps are planned.
    void advance(const pool_id& name, pool_state& pool, instant now, bool plan,
                 effects_out effects);

    std::vector<member> members_of(const pool_id& pool);

    /// Whether all `members`, each of which has a row, were rebooted for the last roll-out.
    [[nodiscard]] bool roll_out_ended(const pool_id& pool, std::span<const member> members) const;

    /// Adds a row for each listed VM without one, in the pool in which the platform started it.
    void add_vms_without_row(const pool_id& pool, std::vector<member>& members) const;

    void track_members(pool_state& pool, std::vector<member>& members, instant now);

    [[nodiscard]] bool needs_tracking(const vm_entry& vm) const;

    [[nodiscard]] bool is_missing(const vm_entry& vm) const;

    vm_tracking& refresh_tracking(pool_state& pool, const vm_entry& vm, instant now);

    /// Applies the event that follows from the status, the VM list or a timeout to one VM.
    void apply_observations(const vm_tracking& known, member& item, instant now) const;

    bool apply_event(member& item, const vm_event& event) const;

    /// Returns whether the state of any zone changed.
    bool update_zones(pool_state& pool, const std::vector<member>& members);

    void begin_steps(const pool_id& name, const pool_state& pool, std::vector<member>& members);

    static void check_budget(const pool_snapshot& snapshot, std::span<const pool_step> steps);

    void write_changes(const pool_id& name, pool_state& pool, const std::vector<member>& members,
                       instant now, effects_out effects);

    void commit(pool_state& pool, std::vector<vm_write> writes, const lease_record& lease,
                instant now, effects_out effects);

    /// Sends orders and status queries for the tracked VMs whose rows have no unwritten change, and
    /// repeats orders that were not carried out.
    void issue_orders(pool_state& pool, const std::vector<member>& members, instant now,
                      effects_out effects) const;

    pool_state& state_of(const pool_id& pool);

    vm_life_cycle vm_cycle_;
    zone_life_cycle zone_cycle_;
    pool_controller_options options_;
    fleet_configuration fleet_; ///< `wanted` includes the buffer requirements.
    std::vector<pool_definition> configured_pools_;
    /// Definitions in `fleet_` by pool. A linear search per pool would make the cost of a round
    /// quadratic in the number of pools.
    std::map<pool_id, const pool_definition*> definitions_;
    std::map<pool_id, std::int64_t> requirements_; ///< VMs that each pool needs with its buffer.
    vm_table vms_;
    demand_counts counts_; ///< Counts of all rows in `vms_`.
    fleet_demand demand_;
    bool demand_changed_ = true; ///< `demand_` is out of date.
    bool list_too_old_ = true;
    std::vector<node_id> live_nodes_;
    std::map<pool_id, pool_state> pools_; ///< Includes pools of which only a lease row is left.
    std::set<pool_id> pool_names_;        ///< `pools()` at the last tick.
    bool pool_names_changed_ = true;
    table_version known_version_ = 0; ///< Highest table version read or written.
    instant rows_read_begun_ = instant::min();
    std::uint64_t last_commit_number_ = 0;
    std::uint64_t operations_ = 0;
};

} // namespace citronford
