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

/// Where a VM counts for the demand of the pools.
const pool_id& demand_pool(const vm_record& row) {
    if (!row.home.empty()) {
        return row.home;
    }
    return row.target.empty() || row.step == vm_step::lend ? row.pool : row.target;
}

/// Plans the steps of one pool; every VM is chosen for one step at most.
class step_planner {
  public:
    explicit step_planner(const pool_situation& situation) : situation_(situation) {
        availability_.budget = situation.budget;
        for (const vm_entry* vm : situation.members) {
            availability_.count(availability_of(*vm, situation.fleet));
        }
        left_ = availability_.remaining_budget();
    }

    std::vector<pool_step> plan() && {
        lend();
        if (!situation_.steps_held && left_ > 0) {
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
               availability_of(vm, situation_.fleet) == vm_availability::available;
    }

    template <class Condition>
    [[nodiscard]] std::vector<placed_vm> available_vms(Condition condition) const {
        std::vector<placed_vm> result;
        for (const vm_entry* vm : situation_.members) {
            if (is_available(*vm) && condition(vm->row)) {
                result.push_back(placed(*vm));
            }
        }
        return result;
    }

    [[nodiscard]] std::vector<placed_vm> in_state(std::string_view state) const {
        std::vector<placed_vm> result;
        for (const vm_entry* vm : situation_.members) {
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

    void add_planned(const vm_id& vm, vm_step step, const pool_id& target) {
        if (left_ > 0) {
            --left_;
            add(vm, step, target);
        }
    }

    /// Lends what this pool has above its own demand to the pools that name it as their spare.
    void lend() {
        std::vector<pool_shortage> shortages;
        for (const pool_shortage& shortage : situation_.demand.shortages) {
            const pool_definition* definition = find_pool(situation_.fleet, shortage.pool.view());
            if (definition != nullptr && definition->spare == situation_.pool) {
                shortages.push_back(shortage);
            }
        }
        if (shortages.empty()) {
            return;
        }
        const auto candidates = available_vms(
            [](const vm_record& row) { return row.target.empty() && row.home.empty(); });
        const pool_definition* own = situation_.definition;
        const std::int64_t floor = own == nullptr ? 0 : own->wanted;
        const auto lendable = static_cast<std::int64_t>(candidates.size()) - floor;
        std::size_t next = 0;
        const std::vector<vm_id> vms = transferred_vms(candidates, candidates, candidates.size());
        for (const pool_transfer& loan : planned_loans(situation_.pool, lendable, shortages)) {
            for (std::int64_t count = 0; count < loan.count; ++count) {
                add(vms[next++], vm_step::lend, loan.to);
                left_ = std::max<std::int64_t>(0, left_ - 1);
            }
        }
    }

    void start_ordered_moves() {
        for (const placed_vm& vm :
             available_vms([](const vm_record& row) { return !row.target.empty(); })) {
            add_planned(vm.id, vm_step::move, pool_id());
        }
    }

    /// Returns borrowed VMs while what remains covers the demand, or all that the pool owns.
    void give_back() {
        if (!situation_.giving_back) {
            return;
        }
        std::int64_t borrowed = 0;
        for (const vm_entry* vm : situation_.members) {
            borrowed += vm->row.home.empty() ? 0 : 1;
        }
        const pool_definition* own = situation_.definition;
        const std::int64_t needed =
            std::min(own == nullptr ? 0 : own->wanted, availability_.members - borrowed);
        std::int64_t spare = availability_.available - needed;
        for (const placed_vm& vm :
             available_vms([](const vm_record& row) { return !row.home.empty(); })) {
            if (spare-- > 0) {
                add_planned(vm.id, vm_step::give_back, home_of(vm.id));
            }
        }
    }

    [[nodiscard]] pool_id home_of(const vm_id& vm) const {
        const auto found =
            std::ranges::find(situation_.members, vm, [](const vm_entry* e) { return e->row.id; });
        return (*found)->row.home;
    }

    void rebalance() {
        for (const pool_transfer& transfer : situation_.demand.transfers) {
            if (transfer.from != situation_.pool) {
                continue;
            }
            const auto candidates = available_vms(
                [](const vm_record& row) { return row.target.empty() && row.home.empty(); });
            const auto count = static_cast<std::size_t>(std::min(transfer.count, left_));
            for (const vm_id& vm : transferred_vms(candidates, candidates, count)) {
                add_planned(vm, vm_step::rebalance, transfer.to);
            }
        }
    }

    void maintain() {
        const auto due = available_vms([&](const vm_record& row) {
            return row.target.empty() && row.maintained < situation_.roll_out;
        });
        std::vector<placed_vm> under_way = in_state(vm_states::draining);
        std::ranges::move(in_state(vm_states::rebooting), std::back_inserter(under_way));
        for (const vm_id& vm : next_wave(due, under_way, static_cast<std::size_t>(left_))) {
            add_planned(vm, vm_step::maintain, pool_id());
        }
    }

    const pool_situation& situation_;
    pool_availability availability_;
    std::int64_t left_ = 0; ///< Planned steps that the budget still leaves.
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
        // A listed VM belongs to its first pool before its row is written. Without it a pool looks
        // short while the rows of a new fleet are written, and VMs move for nothing.
        for (const vm_listing& vm : vms.without_row(pool.name)) {
            ++count.members;
            count.remaining += zone_removed(fleet, vm.zone) ? 0 : 1;
        }
        demands.push_back({pool.name, pool.wanted, count.members});
        if (count.in_removed_zones > 0) {
            result.shortages.push_back({pool.name, pool.wanted, count.remaining});
        }
    }
    // Once for all pools: planned for each pool, it would grow with the square of their number.
    result.transfers = planned_transfers(demands);
    return result;
}

std::vector<pool_step> planned_steps(const pool_situation& situation) {
    return step_planner(situation).plan();
}

} // namespace citronford
