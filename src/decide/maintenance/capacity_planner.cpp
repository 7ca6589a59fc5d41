#include "citronford/capacity_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace citronford {
namespace {

/// Over which the arrival rate is measured.
constexpr duration rate_window = milliseconds(900);

/// Servers that were needed within this time are kept, since arrivals are uneven.
constexpr duration hold_time = milliseconds(1000);

/// Share of the waiting tasks that new servers should be able to start at once; the rest starts
/// when the running ones end.
constexpr double waiting_share = 0.6;

/// Room beside the expected work, since tasks do not fill servers exactly.
constexpr double headroom = 1.15;

/// A forecast is at most this multiple of the present rate.
constexpr double most_growth = 2.0;

/// Servers that a pool keeps without any work.
constexpr std::int64_t least_servers = 2;

/// Servers beyond its need that a pool keeps before it gives one away.
constexpr std::int64_t spare_servers = 1;

/// A VM that no pool needs is moved to the standby pool after this time: by then keeping it has
/// cost about as much as the two moves.
constexpr duration idle_time = milliseconds(2500);

/// Between a move that was not answered and its repetition.
constexpr duration repeat_pause = milliseconds(700);

/// A move that has not begun after this time is given up.
constexpr duration closing_limit = milliseconds(3000);

/// A VM that has not arrived after this time is not counted on any more.
constexpr duration arrival_limit = seconds(8);

const backend_load* find_load(std::span<const backend_load> loads, const backend_id& id) {
    const auto found = std::ranges::find(loads, id, &backend_load::backend);
    return found == loads.end() ? nullptr : &*found;
}

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
    follow_moves(view, now, orders);
    pool_counts counts = count(view);
    estimate_needs(view, counts, now);
    if (view.may_order) {
        fill_deficits(view, counts, now);
        store_surplus(view, counts, now);
    }
    closing_.clear();
    for (const auto& [id, move] : moves_) {
        const fleet_vm* vm = find_vm(view.vms, id);
        if (vm != nullptr && !vm->backend.empty() && !cycle_.is(move.item, "away")) {
            closing_.push_back(vm->backend);
        }
    }
    return orders;
}

void capacity_planner::answer(const vm_id& vm, vm_order_result result, instant now) {
    const auto found = moves_.find(vm);
    if (found != moves_.end()) {
        cycle_.step(found->second.item, event_of(result), now);
    }
}

void capacity_planner::follow_moves(const capacity_view& view, instant now,
                                    std::vector<move_vm>& orders) {
    for (auto& [id, move] : moves_) {
        vm_under_order& item = move.item;
        const fleet_vm* vm = find_vm(view.vms, id);
        const bool newer_list = view.listed_at > item.since;
        if (vm == nullptr) {
            if (newer_list) {
                cycle_.step(item, vm_absent{}, now);
            }
            continue;
        }
        if (cycle_.is(item, "away")) {
            const bool arrived = vm->pool == move.target && vm->state == fleet_vm::condition::up &&
                                 view.listed_at >= item.since + options_.move_time;
            if (arrived) {
                cycle_.step(item, vm_back{}, now);
            } else if (now >= item.since + arrival_limit) {
                cycle_.step(item, vm_absent{}, now);
            }
        } else if (cycle_.is(item, "doubtful") && now >= item.since + repeat_pause &&
                   view.may_order) {
            if (cycle_.step(item, vm_repeat_due{}, now)) {
                orders.push_back({id, move.target});
            }
        } else if (cycle_.is(item, "closing")) {
            const backend_load* load = find_load(view.loads, vm->backend);
            const catalog_pool* pool = view.catalog.pool(vm->pool);
            const bool off = vm->backend.empty() || (pool != nullptr && pool->standby);
            const bool empty = off || (load != nullptr && load->runs == 0);
            // The server takes no task since the plan in which it was closed.
            if (empty && now > item.since && view.may_order &&
                vm->state == fleet_vm::condition::up) {
                if (cycle_.step(item, vm_clear{}, now)) {
                    orders.push_back({id, move.target});
                }
            } else if (now >= item.since + closing_limit) {
                cycle_.step(item, vm_released{}, now);
            }
        }
    }
    std::erase_if(moves_, [this](const auto& entry) {
        return cycle_.closed(entry.second.item) || cycle_.is(entry.second.item, "waiting");
    });
}

capacity_planner::pool_counts capacity_planner::count(const capacity_view& view) const {
    pool_counts counts;
    for (const auto& [name, pool] : view.catalog.pools()) {
        counts[name].standby = pool.standby;
    }
    for (const fleet_vm& vm : view.vms) {
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
        const backend_load* load = find_load(view.loads, vm.backend);
        if (load == nullptr) {
            // On its way, in maintenance, or just back: it will serve before long.
            pool.incoming += pool.standby ? 0 : 1;
            pool.present += pool.standby ? 1 : 0;
            continue;
        }
        // The tasks of a closed server need room on others, or it never becomes empty.
        pool.present += load->unschedulable ? 0 : 1;
        ++pool.measured;
        pool.capacity_millicores += load->capacity.millicores;
        pool.hosts += load->long_running > 0 ? 1 : 0;
        pool.long_running_millicores += load->long_running_millicores;
        pool.used_millicores += load->used.millicores - load->long_running_millicores;
    }
    return counts;
}

double capacity_planner::expected_cores(const pool_outlook& outlook, instant now) const {
    const auto arrived_at = [&](instant at) {
        const sample* last = nullptr;
        for (const sample& item : outlook.samples) {
            if (item.at <= at) {
                last = &item;
            }
        }
        return last == nullptr ? outlook.samples.front().arrived_core_s : last->arrived_core_s;
    };
    const double window_s = std::chrono::duration<double>(rate_window).count();
    const double rate = (arrived_at(now) - arrived_at(now - rate_window)) / window_s;
    const double earlier =
        (arrived_at(now - rate_window) - arrived_at(now - 2 * rate_window)) / window_s;
    const double lead_s = std::chrono::duration<double>(options_.move_time).count();
    const double growth = std::max(0.0, rate - earlier) / window_s * lead_s;
    return std::min(rate + growth, rate * most_growth);
}

void capacity_planner::estimate_needs(const capacity_view& view, pool_counts& counts, instant now) {
    for (const pool_workload& demand : view.demands) {
        pool_outlook& outlook = outlooks_[demand.pool];
        outlook.samples.push_back({now, demand.arrived_core_s});
        while (outlook.samples.size() > 2 && outlook.samples[1].at <= now - 2 * rate_window) {
            outlook.samples.pop_front();
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
            std::max(expected_cores(outlook, now) * headroom, used) +
            demand.waiting_cores * waiting_share +
            static_cast<double>(pool.long_running_millicores) / millicores_per_core;
        const auto servers = static_cast<std::int64_t>(std::ceil(cores / server_cores));
        outlook.needs.push_back({now, servers});
        while (outlook.needs.front().at < now - hold_time) {
            outlook.needs.pop_front();
        }
        const std::int64_t held =
            std::ranges::max_element(outlook.needs, {}, &need_sample::servers)->servers;
        pool.needed = std::max({held, pool.hosts + demand.waiting_long_running, least_servers});
    }
}

std::optional<std::size_t> capacity_planner::runs_to_wait_for(const fleet_vm& vm,
                                                              const capacity_view& view) const {
    if (vm.state != fleet_vm::condition::up || moves_.contains(vm.id) ||
        view.removed_zones.contains(vm.zone) ||
        std::ranges::find(view.taken, vm.id) != view.taken.end()) {
        return std::nullopt;
    }
    const catalog_pool* pool = view.catalog.pool(vm.pool);
    if (pool != nullptr && pool->standby) {
        return 0;
    }
    const backend_load* load = find_load(view.loads, vm.backend);
    if (load == nullptr || load->long_running > 0) {
        return std::nullopt;
    }
    return load->runs;
}

const fleet_vm* capacity_planner::donor(const capacity_view& view, const pool_counts& counts,
                                        const pool_id& target) const {
    const fleet_vm* best = nullptr;
    std::tuple<bool, std::int64_t, std::int64_t> best_score;
    for (const fleet_vm& vm : view.vms) {
        const auto found = counts.find(vm.pool);
        const std::optional<std::size_t> runs = runs_to_wait_for(vm, view);
        if (vm.pool == target || found == counts.end() || !runs) {
            continue;
        }
        const pool_count& pool = found->second;
        const std::int64_t kept = pool.standby ? 0 : spare_servers;
        if (pool.surplus() <= kept || pool.present <= pool.hosts) {
            continue;
        }
        // A VM that is paid for comes before one that must be switched on, an empty one before one
        // whose tasks must end first.
        const std::tuple score(!pool.standby, -static_cast<std::int64_t>(*runs), pool.surplus());
        if (best == nullptr || score > best_score) {
            best = &vm;
            best_score = score;
        }
    }
    return best;
}

void capacity_planner::begin_move(const fleet_vm& vm, const pool_id& target, pool_counts& counts,
                                  instant now) {
    vm_move move{cycle_.begin(vm.id, now), target};
    cycle_.step(move.item, vm_chosen{}, now);
    moves_.emplace(vm.id, std::move(move));
    --counts[vm.pool].present;
    ++counts[target].incoming;
}

void capacity_planner::fill_deficits(const capacity_view& view, pool_counts& counts, instant now) {
    while (true) {
        const pool_id* neediest = nullptr;
        std::int64_t least = 0;
        for (const auto& [name, pool] : counts) {
            if (!pool.standby && pool.surplus() < least) {
                least = pool.surplus();
                neediest = &name;
            }
        }
        if (neediest == nullptr) {
            return;
        }
        const pool_id target = *neediest;
        const fleet_vm* vm = donor(view, counts, target);
        if (vm == nullptr) {
            return;
        }
        begin_move(*vm, target, counts, now);
    }
}

void capacity_planner::store_surplus(const capacity_view& view, pool_counts& counts, instant now) {
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
        instant& since = outlooks_[name].surplus_since;
        if (pool.surplus() <= spare_servers) {
            since = instant::max();
            continue;
        }
        since = std::min(since, now);
        if (now - since < idle_time) {
            continue;
        }
        for (const fleet_vm& vm : view.vms) {
            if (vm.pool == name && pool.surplus() > spare_servers && pool.present > pool.hosts &&
                runs_to_wait_for(vm, view) == 0U) {
                begin_move(vm, target, counts, now);
            }
        }
    }
}

} // namespace citronford
