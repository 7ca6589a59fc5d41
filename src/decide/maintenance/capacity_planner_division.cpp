// The part of `capacity_planner` that divides the fleet, with `burst_capacity`.
#include "citronford/capacity_planner.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace citronford {
namespace {

/// A surplus is kept for this time after a burst has ended. With the time in which needs are held,
/// its VMs are released within a second.
constexpr duration calm_surplus_time = milliseconds(600);

/// A move that waits for tasks is given up when its target has this many VMs more than its part.
constexpr std::int64_t needless_surplus = 1;

/// A deficit of this size in the tiers `late` and `leftover` is not worth a move.
constexpr std::int64_t negligible_deficit = 1;

/// VMs are drained for another pool only when their pool has this many more than its part, or a
/// tenth of its part: the parts of two pools that are both short vary from plan to plan.
constexpr std::int64_t min_drain_surplus = 2;
constexpr std::int64_t drain_surplus_part = 10;

/// The first tier of `by_tier` that `vms` VMs do not serve in full.
need_tier unmet_tier(const std::array<std::int64_t, need_tier_count>& by_tier, std::int64_t vms) {
    std::int64_t reached = 0;
    for (std::size_t tier = 0; tier < need_tier_count; ++tier) {
        reached += by_tier[tier];
        if (vms < reached) {
            return static_cast<need_tier>(tier);
        }
    }
    return need_tier::leftover;
}

/// The first tier in which the part is smaller than the need; `need_tier_count` when none is.
std::size_t short_tier(const vm_needs& needs,
                       const std::array<std::int64_t, need_tier_count>& by_tier) {
    std::size_t tier = 0;
    while (tier < need_tier_count && !(needs[tier] > static_cast<double>(by_tier[tier]))) {
        ++tier;
    }
    return tier;
}

double cores(std::int64_t millicores) {
    constexpr double millicores_per_core = 1000;
    return static_cast<double>(millicores) / millicores_per_core;
}

/// Mean cores of the VMs whose capacity the list states; zero when it states none.
double listed_cores(std::span<const fleet_vm> vms) {
    double sum = 0;
    double count = 0;
    for (const fleet_vm& vm : vms) {
        sum += cores(std::max<std::int64_t>(vm.capacity.millicores, 0));
        count += vm.capacity.millicores > 0 ? 1 : 0;
    }
    return count == 0 ? 0 : sum / count;
}

} // namespace

void capacity_planner::divide_fleet(const capacity_view& view, pool_counts& counts, instant now) {
    std::int64_t available = 0;
    pool_count fleet;
    for (const auto& [name, pool] : counts) {
        available += pool.present + pool.incoming;
        fleet.measured += pool.measured;
        fleet.capacity_millicores += pool.capacity_millicores;
    }
    // Gives the size of servers to a pool that has none. Until the first pool is recovered, no load
    // is known.
    const auto mean_cores = [](const pool_count& pool) {
        return cores(pool.capacity_millicores) / static_cast<double>(pool.measured);
    };
    const double fleet_cores =
        fleet.measured == 0 ? listed_cores(view.fleet.vms()) : mean_cores(fleet);
    std::uint64_t workflows_read = 0;
    std::vector<vm_claim> claims;
    for (const pool_workload& work : view.demands) {
        workflows_read += work.workflows_read;
        const catalog_pool* known = view.catalog.pool(work.pool);
        if (known == nullptr || known->standby) {
            // No VM can be moved to a pool that the configuration does not name.
            continue;
        }
        const pool_count& pool = counts[work.pool];
        const double server_cores = pool.measured == 0 ? fleet_cores : mean_cores(pool);
        const pool_servers servers{server_cores, pool.long_running_hosts,
                                   cores(pool.long_running_millicores), available};
        claims.push_back({work.pool, demands_[work.pool].update(work, servers, now),
                          pool.present + pool.incoming});
    }
    if (workflows_read != workflows_read_) {
        workflows_read_ = workflows_read;
        read_at_ = now;
    }
    const std::vector<vm_part> parts = divide_vms(claims, available);
    for (std::size_t index = 0; index < parts.size(); ++index) {
        pool_count& pool = counts[parts[index].pool];
        pool.needed = parts[index].vms;
        pool.by_tier = parts[index].by_tier;
        pool.short_tier = short_tier(claims[index].needs, pool.by_tier);
    }
    std::erase_if(demands_,
                  [&](const auto& item) { return view.catalog.pool(item.first) == nullptr; });
    record_pool_plans(view, counts);
}

void capacity_planner::record_pool_plans(const capacity_view& view, const pool_counts& counts) {
    pool_plans_.clear();
    for (const pool_workload& work : view.demands) {
        const auto demand = demands_.find(work.pool);
        if (demand == demands_.end()) {
            continue;
        }
        const pool_count& pool = counts.at(work.pool);
        pool_plan plan{work.pool, demand->second.needs(), pool.needed, pool.present, pool.incoming};
        for (const tier_cores& tier : work.tiers) {
            plan.waiting_cores += tier.waiting;
        }
        pool_plans_.push_back(std::move(plan));
    }
}

/// A VM whose tasks still run goes on in its pool when the pool that it was chosen for has enough.
void capacity_planner::cancel_needless_moves(const capacity_view& view, pool_counts& counts,
                                             instant now) {
    for (auto move = moves_.begin(); move != moves_.end();) {
        const auto target = counts.find(move->second.target);
        const fleet_vm* vm = view.fleet.vm(move->first);
        const bool needless = target != counts.end() && !target->second.standby &&
                              target->second.surplus() > needless_surplus && vm != nullptr &&
                              cycle_.in_state(move->second.entry, "closing");
        if (!needless) {
            ++move;
            continue;
        }
        cycle_.step(move->second.entry, vm_order_cancelled{}, now);
        --target->second.incoming;
        ++counts[vm->pool].present;
        move = moves_.erase(move);
    }
}

void capacity_planner::sort_donors(std::deque<donor>& vms, const capacity_view& view) const {
    for (donor& item : vms) {
        const backend_load* load = view.fleet.load(item.vm->backend);
        item.used_millicores = load == nullptr ? 0 : load->used.millicores;
        item.resting = rests_.contains(item.vm->id);
    }
    std::erase_if(vms, [this](const donor& item) {
        const auto found = rests_.find(item.vm->id);
        return found != rests_.end() && found->second.after_drain;
    });
    std::ranges::stable_sort(vms, {}, [](const donor& item) {
        return std::tuple(item.resting, item.runs > 0, item.used_millicores, item.runs);
    });
}

const pool_id* capacity_planner::choose_division_donor(const pool_counts& counts,
                                                       const donor_pools& donors,
                                                       const pool_id& target) {
    const pool_count& receiver = counts.at(target);
    const need_tier unmet = unmet_tier(receiver.by_tier, receiver.present + receiver.incoming);
    const pool_id* best = nullptr;
    std::tuple<int, std::int64_t, std::int64_t> best_score;
    for (const auto& [name, vms] : donors) {
        const auto found = counts.find(name);
        if (vms.empty() || name == target || found == counts.end()) {
            continue;
        }
        const pool_count& pool = found->second;
        const donor& first = vms.front();
        const bool empty = first.runs == 0;
        // A VM that rests serves a lower tier in its pool, or none.
        const bool may_wake =
            unmet <= need_tier::urgent && pool.short_tier > static_cast<std::size_t>(unmet);
        const std::int64_t least =
            empty || pool.standby ? 1
                                  : std::max(min_drain_surplus, pool.needed / drain_surplus_part);
        if (pool.surplus() < least || pool.present <= pool.long_running_hosts ||
            (first.resting && !pool.standby && !may_wake)) {
            continue;
        }
        // An empty VM that is already paid for is preferred to one that must be switched on, and
        // that to one whose tasks must end first.
        constexpr int empty_rank = 2;
        const int rank = pool.standby ? 1 : empty ? empty_rank : 0;
        const std::tuple score(rank, -first.used_millicores, pool.surplus());
        if (best == nullptr || score > best_score) {
            best = &name;
            best_score = score;
        }
    }
    return best;
}

void capacity_planner::fill_division(pool_counts& counts, donor_pools& donors, instant now) {
    const auto unmet = [](const pool_count& pool) {
        return unmet_tier(pool.by_tier, pool.present + pool.incoming);
    };
    std::set<pool_id> settled;
    for (const auto& [name, pool] : counts) {
        const bool negligible =
            unmet(pool) >= need_tier::late && -pool.surplus() <= negligible_deficit;
        if (pool.standby || negligible) {
            settled.insert(name);
        }
    }
    while (true) {
        const pool_id* next = nullptr;
        std::pair<need_tier, std::int64_t> next_rank;
        for (const auto& [name, pool] : counts) {
            if (pool.surplus() >= 0 || settled.contains(name)) {
                continue;
            }
            // The first unmet tier goes first, then the largest deficit.
            const std::pair rank(unmet(pool), pool.surplus());
            if (next == nullptr || rank < next_rank) {
                next = &name;
                next_rank = rank;
            }
        }
        if (next == nullptr) {
            return;
        }
        const pool_id* from = choose_division_donor(counts, donors, *next);
        if (from == nullptr) {
            settled.insert(*next);
            continue;
        }
        std::deque<donor>& vms = donors.at(*from);
        begin_move(*vms.front().vm, *next, counts, now);
        vms.pop_front();
    }
}

duration capacity_planner::release_time(const pool_id& pool, instant surplus_since,
                                        duration usual) const {
    const auto found = demands_.find(pool);
    const bool calm = found != demands_.end() && found->second.is_calm();
    // While no workflow of any pool is read, the store may be slow, and the end of a burst is not
    // known.
    return calm && read_at_ > surplus_since ? calm_surplus_time : usual;
}

} // namespace citronford
