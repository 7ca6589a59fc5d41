#include "citronford/capacity_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_set>
#include <utility>

namespace citronford {
namespace {

/// Window over which the arrival rate is measured.
constexpr duration rate_window = milliseconds(900);

/// A pool keeps the most servers that it needed within this time, since arrivals are uneven.
constexpr duration need_window = milliseconds(1000);

/// Share of the waiting tasks that new servers should be able to start at once; the rest start when
/// running tasks end.
constexpr double waiting_share = 0.6;

/// Factor on the expected work, since tasks do not fill servers exactly.
constexpr double headroom = 1.15;

/// A forecast is at most this multiple of the present rate.
constexpr double max_growth = 2.0;

/// Servers that a pool keeps without any work.
constexpr std::int64_t min_servers = 2;

/// Servers beyond its need that a pool keeps before it gives one away.
constexpr std::int64_t spare_servers = 1;

/// A VM that no pool needs is moved to the standby pool after this time: by then keeping it has
/// cost about as much as the two moves.
constexpr duration surplus_time = milliseconds(2500);

/// Delay before a move that was not answered is ordered again.
constexpr duration retry_delay = milliseconds(700);

/// A move that has not been ordered after this time is cancelled.
constexpr duration drain_timeout = milliseconds(3000);

/// A VM that has not arrived after this time is no longer counted for its new pool.
constexpr duration arrival_timeout = seconds(8);

/// With a division, a VM that has arrived stays for this time unless urgent work needs it: a move
/// costs about as much as keeping the VM for 1.2 s.
constexpr duration arrival_rest = milliseconds(2000);

/// With a division, a VM whose tasks did not end within `drain_timeout` is not drained again for
/// this time, since a long task would keep it from new work again.
constexpr duration drain_rest = milliseconds(5000);

} // namespace

absl::StatusOr<capacity_planner> capacity_planner::create(const chart& life_cycle,
                                                          capacity_options options) {
    auto cycle = vm_order_cycle::create(life_cycle);
    if (!cycle.ok()) {
        return cycle.status();
    }
    return capacity_planner(*std::move(cycle), options);
}

std::vector<move_vm> capacity_planner::plan(const capacity_view& view, instant now) {
    std::vector<move_vm> orders;
    advance_moves(view, now, orders);
    pool_counts counts = count_servers(view);
    if (options_.burst_capacity) {
        divide_fleet(view, counts, now);
    } else {
        estimate_needs(view, counts, now);
    }
    if (view.may_order) {
        if (options_.burst_capacity) {
            cancel_needless_moves(view, counts, now);
        }
        donor_pools donors = find_donors(view);
        if (options_.burst_capacity) {
            fill_division(counts, donors, now);
        } else {
            fill_deficits(counts, donors, now);
        }
        move_surplus_to_standby(counts, donors, now);
    }
    servers_to_drain_.clear();
    for (const auto& [id, move] : moves_) {
        const fleet_vm* vm = view.fleet.vm(id);
        if (vm != nullptr && !vm->backend.empty() && !cycle_.in_state(move.entry, "executing")) {
            servers_to_drain_.push_back(vm->backend);
        }
    }
    return orders;
}

void capacity_planner::handle_result(const vm_id& vm, vm_order_result result, instant now) {
    const auto found = moves_.find(vm);
    if (found != moves_.end()) {
        cycle_.step(found->second.entry, event_of(result), now);
    }
}

void capacity_planner::advance_moves(const capacity_view& view, instant now,
                                     std::vector<move_vm>& orders) {
    for (auto& [id, move] : moves_) {
        vm_order_entry& entry = move.entry;
        const fleet_vm* vm = view.fleet.vm(id);
        const bool newer_list = view.listed_at > entry.recorded_at;
        if (vm == nullptr) {
            if (newer_list) {
                cycle_.step(entry, vm_absent{}, now);
            }
            continue;
        }
        if (cycle_.in_state(entry, "executing")) {
            const bool arrived = vm->pool == move.target && vm->state == fleet_vm::condition::up &&
                                 view.listed_at >= entry.recorded_at + options_.move_time;
            if (arrived) {
                cycle_.step(entry, vm_returned{}, now);
                rests_[id] = {now + arrival_rest, false};
            } else if (now >= entry.recorded_at + arrival_timeout) {
                cycle_.step(entry, vm_absent{}, now);
            }
        } else if (cycle_.in_state(entry, "in_doubt") && now >= entry.recorded_at + retry_delay &&
                   view.may_order) {
            if (cycle_.step(entry, vm_order_retry_due{}, now)) {
                orders.push_back({id, move.target});
            }
        } else if (cycle_.in_state(entry, "closing")) {
            const backend_load* load = view.fleet.load(vm->backend);
            const catalog_pool* pool = view.catalog.pool(vm->pool);
            const bool off = vm->backend.empty() || (pool != nullptr && pool->standby);
            const bool empty = off || (load != nullptr && load->runs == 0);
            // An empty server counts only in a later plan than the one that began to drain it.
            if (empty && now > entry.recorded_at && view.may_order &&
                vm->state == fleet_vm::condition::up) {
                if (cycle_.step(entry, vm_order_due{}, now)) {
                    orders.push_back({id, move.target});
                }
            } else if (now >= entry.recorded_at + drain_timeout) {
                cycle_.step(entry, vm_order_cancelled{}, now);
                rests_[id] = {now + drain_rest, true};
            }
        }
    }
    std::erase_if(rests_, [now](const auto& item) { return now >= item.second.until; });
    std::erase_if(moves_, [this](const auto& id_and_move) {
        return cycle_.has_ended(id_and_move.second.entry) ||
               cycle_.in_state(id_and_move.second.entry, "waiting");
    });
}

capacity_planner::pool_counts capacity_planner::count_servers(const capacity_view& view) const {
    pool_counts counts;
    for (const auto& [name, pool] : view.catalog.pools()) {
        counts[name].standby = pool.standby;
    }
    for (const fleet_vm& vm : view.fleet.vms()) {
        const auto move = moves_.find(vm.id);
        const bool leaves = move != moves_.end() && vm.pool != move->second.target;
        if (leaves) {
            ++counts[move->second.target].incoming;
            continue;
        }
        if (view.removed_zones.contains(vm.zone) || vm.state == fleet_vm::condition::down) {
            continue;
        }
        pool_count& pool = counts[vm.pool];
        const backend_load* load = view.fleet.load(vm.backend);
        if (load == nullptr) {
            // The VM is moving, in maintenance or just back, so it will serve soon.
            pool.incoming += pool.standby ? 0 : 1;
            pool.present += pool.standby ? 1 : 0;
            continue;
        }
        // The tasks of a draining server need room on other servers, or it never becomes empty.
        pool.present += load->unschedulable ? 0 : 1;
        ++pool.measured;
        pool.capacity_millicores += load->capacity.millicores;
        pool.long_running_hosts += load->long_running > 0 ? 1 : 0;
        pool.long_running_millicores += load->long_running_millicores;
        pool.used_millicores += load->used.millicores - load->long_running_millicores;
    }
    return counts;
}

double capacity_planner::expected_cores(const pool_history& history, instant now) const {
    const auto arrived_at = [&](instant at) {
        const arrival_sample* last = nullptr;
        for (const arrival_sample& item : history.samples) {
            if (item.at <= at) {
                last = &item;
            }
        }
        return last == nullptr ? history.samples.front().arrived_core_s : last->arrived_core_s;
    };
    const double window_s = std::chrono::duration<double>(rate_window).count();
    const double rate = (arrived_at(now) - arrived_at(now - rate_window)) / window_s;
    const double earlier =
        (arrived_at(now - rate_window) - arrived_at(now - 2 * rate_window)) / window_s;
    const double lead_s = std::chrono::duration<double>(options_.move_time).count();
    const double growth = std::max(0.0, rate - earlier) / window_s * lead_s;
    return std::min(rate + growth, rate * max_growth);
}

void capacity_planner::estimate_needs(const capacity_view& view, pool_counts& counts, instant now) {
    for (const pool_workload& demand : view.demands) {
        if (view.catalog.pool(demand.pool) == nullptr) {
            // No VM can be moved to a pool that the configuration does not name.
            continue;
        }
        pool_history& history = histories_[demand.pool];
        history.samples.push_back({now, demand.arrived_core_s});
        while (history.samples.size() > 2 && history.samples[1].at <= now - 2 * rate_window) {
            history.samples.pop_front();
        }
        pool_count& pool = counts[demand.pool];
        constexpr double millicores_per_core = 1000;
        const double server_cores = pool.measured == 0 || pool.capacity_millicores == 0
                                        ? 1
                                        : static_cast<double>(pool.capacity_millicores) /
                                              static_cast<double>(pool.measured) /
                                              millicores_per_core;
        const double used = static_cast<double>(pool.used_millicores) / millicores_per_core;
        const double cores =
            std::max(expected_cores(history, now) * headroom, used) +
            demand.waiting_cores * waiting_share +
            static_cast<double>(pool.long_running_millicores) / millicores_per_core;
        const auto servers = static_cast<std::int64_t>(std::ceil(cores / server_cores));
        history.needs.push_back({now, servers});
        while (history.needs.front().at < now - need_window) {
            history.needs.pop_front();
        }
        const std::int64_t peak =
            std::ranges::max_element(history.needs, {}, &need_sample::servers)->servers;
        pool.needed =
            std::max({peak, pool.long_running_hosts + demand.waiting_long_running, min_servers});
    }
}

std::optional<std::size_t> capacity_planner::runs_to_wait_for(const fleet_vm& vm,
                                                              const capacity_view& view) const {
    if (vm.state != fleet_vm::condition::up || moves_.contains(vm.id) ||
        view.removed_zones.contains(vm.zone)) {
        return std::nullopt;
    }
    const catalog_pool* pool = view.catalog.pool(vm.pool);
    if (pool != nullptr && pool->standby) {
        return 0;
    }
    const backend_load* load = view.fleet.load(vm.backend);
    if (load == nullptr || load->long_running > 0) {
        return std::nullopt;
    }
    return load->runs;
}

capacity_planner::donor_pools capacity_planner::find_donors(const capacity_view& view) const {
    const std::unordered_set<vm_id> excluded(view.excluded.begin(), view.excluded.end());
    donor_pools donors;
    for (const fleet_vm& vm : view.fleet.vms()) {
        const std::optional<std::size_t> runs = runs_to_wait_for(vm, view);
        if (runs && !excluded.contains(vm.id)) {
            donors[vm.pool].push_back({&vm, *runs, 0, false});
        }
    }
    for (auto& [name, vms] : donors) {
        if (options_.burst_capacity) {
            sort_donors(vms, view);
        } else {
            std::ranges::stable_sort(vms, {}, &donor::runs);
        }
    }
    return donors;
}

const pool_id* capacity_planner::choose_donor_pool(const pool_counts& counts,
                                                   const donor_pools& donors,
                                                   const pool_id& target) {
    const pool_id* best = nullptr;
    std::tuple<bool, std::int64_t, std::int64_t> best_score;
    for (const auto& [name, vms] : donors) {
        const auto found = counts.find(name);
        if (vms.empty() || name == target || found == counts.end()) {
            continue;
        }
        const pool_count& pool = found->second;
        const std::int64_t spares = pool.standby ? 0 : spare_servers;
        if (pool.surplus() <= spares || pool.present <= pool.long_running_hosts) {
            continue;
        }
        // A VM that is already paid for is preferred to one that must be switched on, and an empty
        // one to one whose tasks must end first.
        const std::tuple score(!pool.standby, -static_cast<std::int64_t>(vms.front().runs),
                               pool.surplus());
        if (best == nullptr || score > best_score) {
            best = &name;
            best_score = score;
        }
    }
    return best;
}

void capacity_planner::begin_move(const fleet_vm& vm, const pool_id& target, pool_counts& counts,
                                  instant now) {
    vm_move move{cycle_.begin(vm.id, now), target};
    cycle_.step(move.entry, vm_chosen{}, now);
    moves_.emplace(vm.id, std::move(move));
    --counts[vm.pool].present;
    ++counts[target].incoming;
}

void capacity_planner::fill_deficits(pool_counts& counts, donor_pools& donors, instant now) {
    while (true) {
        const pool_id* worst = nullptr;
        std::int64_t worst_surplus = 0;
        for (const auto& [name, pool] : counts) {
            if (!pool.standby && pool.surplus() < worst_surplus) {
                worst_surplus = pool.surplus();
                worst = &name;
            }
        }
        if (worst == nullptr) {
            return;
        }
        const pool_id target = *worst;
        const pool_id* from = choose_donor_pool(counts, donors, target);
        if (from == nullptr) {
            return;
        }
        std::deque<donor>& vms = donors.at(*from);
        begin_move(*vms.front().vm, target, counts, now);
        vms.pop_front();
    }
}

void capacity_planner::move_surplus_to_standby(pool_counts& counts, donor_pools& donors,
                                               instant now) {
    const auto standby =
        std::ranges::find_if(counts, [](const auto& item) { return item.second.standby; });
    if (standby == counts.end()) {
        return;
    }
    const pool_id target = standby->first;
    for (auto& [name, pool] : counts) {
        if (pool.standby) {
            continue;
        }
        instant& since = histories_[name].surplus_since;
        if (pool.surplus() <= spare_servers) {
            since = instant::max();
            continue;
        }
        since = std::min(since, now);
        const duration wait =
            options_.burst_capacity ? release_time(name, since, surplus_time) : surplus_time;
        if (now - since < wait) {
            continue;
        }
        std::deque<donor>& vms = donors[name];
        while (!vms.empty() && vms.front().runs == 0 && !vms.front().resting &&
               pool.surplus() > spare_servers && pool.present > pool.long_running_hosts) {
            begin_move(*vms.front().vm, target, counts, now);
            vms.pop_front();
        }
    }
}

} // namespace citronford
