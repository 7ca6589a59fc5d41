#include "citronford/pool_steps.h"

#include "citronford/maintenance_planner.h"

#include <algorithm>
#include <map>
#include <set>

namespace citronford {
namespace {

placed_vm placed(const vm_entry& vm) {
    return {vm.row.id, vm.row.zone, vm.row.rack};
}

/// The pool for whose demand a VM counts.
const pool_id& demand_pool(const vm_record& row) {
    if (!row.home.empty()) {
        return row.home;
    }
    return row.target.empty() || row.step == vm_step::lend ? row.pool : row.target;
}

/// Plans the steps of one pool. Each VM is selected for at most one step.
class step_planner {
  public:
    explicit step_planner(const pool_snapshot& snapshot) : snapshot_(snapshot) {
        availability_.budget = snapshot.budget;
        for (const vm_entry* vm : snapshot.members) {
            availability_.count(availability_of(*vm, snapshot.fleet));
        }
        remaining_budget_ = availability_.remaining_budget();
    }

    std::vector<pool_step> plan() && {
        lend();
        if (!snapshot_.steps_suspended && remaining_budget_ > 0) {
            start_ordered_moves();
            give_back();
            rebalance();
            maintain();
        }
        return std::move(steps_);
    }

  private:
    [[nodiscard]] bool is_available(const vm_entry& vm) const {
        return !chosen_.contains(vm.row.id) &&
               availability_of(vm, snapshot_.fleet) == vm_availability::available;
    }

    template <class Condition>
    [[nodiscard]] std::vector<placed_vm> available_vms(Condition condition) const {
        std::vector<placed_vm> result;
        for (const vm_entry* vm : snapshot_.members) {
            if (is_available(*vm) && condition(vm->row)) {
                result.push_back(placed(*vm));
            }
        }
        return result;
    }

    [[nodiscard]] std::vector<placed_vm> in_state(std::string_view state) const {
        std::vector<placed_vm> result;
        for (const vm_entry* vm : snapshot_.members) {
            if (vm->row.state == state) {
                result.push_back(placed(*vm));
            }
        }
        return result;
    }

    void add(const vm_id& vm, vm_step step, const pool_id& target) {
        chosen_.insert(vm);
        steps_.push_back({vm, step, target});
    }

    void add_within_budget(const vm_id& vm, vm_step step, const pool_id& target) {
        if (remaining_budget_ > 0) {
            --remaining_budget_;
            add(vm, step, target);
        }
    }

    /// Lends the VMs above the wanted size of this pool to the pools that configure it as their
    /// spare.
    void lend() {
        std::vector<pool_shortage> shortages;
        for (const pool_shortage& shortage : snapshot_.demand.shortages) {
            const pool_definition* definition = find_pool(snapshot_.fleet, shortage.pool.view());
            if (definition != nullptr && definition->spare == snapshot_.pool) {
                shortages.push_back(shortage);
            }
        }
        if (shortages.empty()) {
            return;
        }
        const auto candidates = available_vms(
            [](const vm_record& row) { return row.target.empty() && row.home.empty(); });
        const pool_definition* own = snapshot_.definition;
        const std::int64_t floor = own == nullptr ? 0 : own->wanted;
        const auto lendable = static_cast<std::int64_t>(candidates.size()) - floor;
        std::size_t next = 0;
        const std::vector<vm_id> vms = vms_to_transfer(candidates, candidates, candidates.size());
        for (const pool_transfer& loan : planned_loans(snapshot_.pool, lendable, shortages)) {
            for (std::int64_t count = 0; count < loan.count; ++count) {
                add(vms[next++], vm_step::lend, loan.to);
                remaining_budget_ = std::max<std::int64_t>(0, remaining_budget_ - 1);
            }
        }
    }

    void start_ordered_moves() {
        for (const placed_vm& vm :
             available_vms([](const vm_record& row) { return !row.target.empty(); })) {
            add_within_budget(vm.id, vm_step::move, pool_id());
        }
    }

    /// Returns borrowed VMs while the available VMs still cover the wanted size of the pool, or the
    /// number of its own VMs if that is smaller.
    void give_back() {
        if (!snapshot_.giving_back) {
            return;
        }
        std::int64_t borrowed = 0;
        for (const vm_entry* vm : snapshot_.members) {
            borrowed += vm->row.home.empty() ? 0 : 1;
        }
        const pool_definition* own = snapshot_.definition;
        const std::int64_t needed =
            std::min(own == nullptr ? 0 : own->wanted, availability_.members - borrowed);
        std::int64_t spare = availability_.available - needed;
        for (const placed_vm& vm :
             available_vms([](const vm_record& row) { return !row.home.empty(); })) {
            if (spare-- > 0) {
                add_within_budget(vm.id, vm_step::give_back, home_of(vm.id));
            }
        }
    }

    [[nodiscard]] pool_id home_of(const vm_id& vm) const {
        const auto found =
            std::ranges::find(snapshot_.members, vm, [](const vm_entry* e) { return e->row.id; });
        return (*found)->row.home;
    }

    void rebalance() {
        for (const pool_transfer& transfer : snapshot_.demand.transfers) {
            if (transfer.from != snapshot_.pool) {
                continue;
            }
            const auto candidates = available_vms(
                [](const vm_record& row) { return row.target.empty() && row.home.empty(); });
            const auto count =
                static_cast<std::size_t>(std::min(transfer.count, remaining_budget_));
            for (const vm_id& vm : vms_to_transfer(candidates, candidates, count)) {
                add_within_budget(vm, vm_step::rebalance, transfer.to);
            }
        }
    }

    void maintain() {
        const auto due = available_vms([&](const vm_record& row) {
            return row.target.empty() && row.maintained < snapshot_.roll_out_number;
        });
        std::vector<placed_vm> in_progress = in_state(vm_states::draining);
        std::ranges::move(in_state(vm_states::rebooting), std::back_inserter(in_progress));
        for (const vm_id& vm :
             next_wave(due, in_progress, static_cast<std::size_t>(remaining_budget_))) {
            add_within_budget(vm, vm_step::maintain, pool_id());
        }
    }

    const pool_snapshot& snapshot_;
    pool_availability availability_;
    std::int64_t remaining_budget_ = 0; ///< After the steps planned so far.
    std::set<vm_id> chosen_;
    std::vector<pool_step> steps_;
};

} // namespace

void demand_counts::count(const vm_record& row, const fleet_configuration& fleet,
                          std::int64_t sign) {
    counts_[demand_pool(row)].members += sign;
    if (zone_removed(fleet, row.zone)) {
        counts_[row.pool].in_removed_zones += sign;
    } else if (row.state != vm_states::failed) {
        counts_[row.target.empty() ? row.pool : row.target].remaining += sign;
    }
}

fleet_demand demand_counts::demand(const vm_table& vms, const fleet_configuration& fleet) const {
    fleet_demand result;
    std::vector<pool_demand> demands;
    for (const pool_definition& pool : fleet.defaults.pools) {
        const auto known = counts_.find(pool.name);
        pool_count count = known == counts_.end() ? pool_count() : known->second;
        // A listed VM without a row counts for the pool in which it was started. Otherwise pools
        // seem short while the rows of a new fleet are written, and VMs are moved needlessly.
        for (const vm_listing& vm : vms.without_row(pool.name)) {
            ++count.members;
            count.remaining += zone_removed(fleet, vm.zone) ? 0 : 1;
        }
        demands.push_back({pool.name, pool.wanted, count.members});
        if (count.in_removed_zones > 0) {
            result.shortages.push_back({pool.name, pool.wanted, count.remaining});
        }
    }
    // Computed once for all pools; per pool, the cost would be quadratic in the number of pools.
    result.transfers = planned_transfers(demands);
    return result;
}

std::vector<pool_step> planned_steps(const pool_snapshot& snapshot) {
    return step_planner(snapshot).plan();
}

} // namespace citronford
