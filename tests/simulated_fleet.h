#pragma once

#include "test_support.h"

#include "citronford/capacity_planner.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace citronford {

/// Four pools of ten VMs with 32 cores and a standby pool of ten, under one capacity planner. Moves
/// are carried out after 1.5 s. The work of a pool is fluid: tasks of 0.6 s on one core each, which
/// fill its servers one after the other; a draining server is empty after 0.6 s.
struct simulated_fleet {
    static constexpr duration step = milliseconds(100);
    static constexpr duration task_time = milliseconds(600);
    static constexpr double step_s = 0.1;
    static constexpr double task_s = 0.6;
    static constexpr std::int64_t server_cores = 32;
    static constexpr std::size_t pool_count = 4;
    static constexpr std::size_t vms_per_pool = 10;

    struct work {
        double rate = 0; ///< Cores of arriving urgent work.
        std::array<double, work_tier_count> backlog_core_s{};
        std::vector<instant> unread; ///< Steps whose arrivals the owner has not read.
        bool endless = false;        ///< The running work does not shrink the backlog.
    };
    struct moving {
        pool_id target;
        instant arrives_at{};
    };

    instant now{seconds(100)};
    capacity_planner planner;
    queue_catalog catalog;
    std::array<work, pool_count> works;
    bool reads = true; ///< The owner reads what arrives.
    std::vector<fleet_vm> vms;
    std::map<vm_id, std::size_t> long_running;
    std::map<vm_id, instant> draining_since;
    std::map<vm_id, moving> moves_under_way;
    std::map<vm_id, int> moves;             ///< Of each VM.
    std::map<vm_id, instant> arrived_at;    ///< In its pool.
    duration shortest_stay = seconds(1000); ///< Of a VM, before it was released to standby.
    duration shortest_use = seconds(1000);  ///< Of a VM in a pool, before another pool took it.
    double paid_vm_s = 0;                   ///< VMs that are not in the standby pool.
    std::vector<pool_workload> demands;

    explicit simulated_fleet(bool burst_capacity = true) : planner(make(burst_capacity)) {
        std::vector<catalog_pool> pools = {catalog_pool{standby(), true, true}};
        for (std::size_t index = 0; index < pool_count; ++index) {
            pools.push_back({pool_at(index), true, false});
            demands.push_back({pool_at(index)});
            add(pool_at(index));
        }
        add(standby());
        catalog = queue_catalog(1, {}, pools, {});
    }

    static pool_id standby() { return pool_id("standby"); }
    static pool_id pool_at(std::size_t index) { return pool_id("p" + std::to_string(index)); }

    static capacity_planner make(bool burst_capacity) {
        auto created = capacity_planner::create(installed_chart("vm_order"),
                                                {milliseconds(1500), burst_capacity});
        cr_assert(created.ok(), "%s", created.status().ToString().c_str());
        return *std::move(created);
    }

    void add(const pool_id& pool) {
        for (std::size_t index = 0; index < vms_per_pool; ++index) {
            fleet_vm vm;
            vm.id = vm_id("m" + std::to_string(vms.size()));
            vm.pool = pool;
            vm.state = fleet_vm::condition::up;
            vm.backend = backend_id("i" + std::to_string(vms.size()));
            vms.push_back(vm);
        }
    }

    /// VMs that are up in the pool.
    [[nodiscard]] std::int64_t up_in(const pool_id& pool) const {
        return std::ranges::count_if(vms, [&](const fleet_vm& vm) {
            return vm.pool == pool && vm.state == fleet_vm::condition::up;
        });
    }

    [[nodiscard]] int total_moves() const {
        int total = 0;
        for (const auto& [id, count] : moves) {
            total += count;
        }
        return total;
    }

    void run_for(duration time) {
        for (const instant end = now + time; now < end; now += step) {
            finish_moves();
            std::vector<backend_load> loads;
            for (std::size_t index = 0; index < pool_count; ++index) {
                serve(index, loads);
            }
            const fleet_index fleet(vms, loads);
            const std::set<zone_id> removed;
            const capacity_view view{fleet, now, demands, catalog, removed, {}, true};
            for (const move_vm& move : planner.plan(view, now)) {
                carry_out(move, loads);
            }
            note_draining();
        }
    }

    void finish_moves() {
        for (fleet_vm& vm : vms) {
            const auto found = moves_under_way.find(vm.id);
            if (found != moves_under_way.end() && now >= found->second.arrives_at) {
                vm.state = fleet_vm::condition::up;
                vm.pool = found->second.target;
                arrived_at[vm.id] = now;
                moves_under_way.erase(found);
            }
            paid_vm_s += vm.pool == standby() ? 0 : step_s;
        }
    }

    /// Runs the work of one pool for a step and adds the loads of its servers.
    void serve(std::size_t index, std::vector<backend_load>& loads) {
        work& item = works[index];
        pool_workload& demand = demands[index];
        item.unread.push_back(now);
        for (const instant at :
             std::exchange(item.unread, reads ? std::vector<instant>{} : item.unread)) {
            if (reads) {
                item.backlog_core_s[0] += item.rate * step_s;
                note_accepted(demand, item.rate, at);
            }
        }
        const std::size_t first = loads.size();
        double free = 0;
        for (const fleet_vm& vm : vms) {
            if (vm.pool == pool_at(index) && vm.state == fleet_vm::condition::up) {
                loads.push_back(load_of(vm));
                free += loads.back().unschedulable ? 0 : static_cast<double>(server_cores);
            }
        }
        double running = 0;
        for (std::size_t tier = 0; tier < work_tier_count; ++tier) {
            double& backlog = item.backlog_core_s[tier];
            const double wanted = backlog / task_s;
            const double part = std::min(wanted, free - running);
            demand.tiers[tier] = {part, wanted - part};
            running += part;
            backlog -= item.endless && tier > 0 ? 0 : part * step_s;
        }
        fill(std::span(loads).subspan(first), running);
    }

    [[nodiscard]] backend_load load_of(const fleet_vm& vm) const {
        constexpr std::int64_t millicores_per_core = 1000;
        backend_load load{vm.backend, vm.pool, {server_cores * millicores_per_core, 1000, 0}, {}};
        const auto draining = draining_since.find(vm.id);
        load.unschedulable = draining != draining_since.end();
        load.runs = load.unschedulable && now < draining->second + task_time ? 1 : 0;
        const auto hosted = long_running.find(vm.id);
        if (hosted != long_running.end()) {
            load.long_running = hosted->second;
            load.runs += hosted->second;
        }
        return load;
    }

    /// Puts the running cores on the servers, one after the other.
    static void fill(std::span<backend_load> loads, double running) {
        for (backend_load& load : loads) {
            if (load.unschedulable || running <= 0) {
                continue;
            }
            const double cores = std::min(running, static_cast<double>(server_cores));
            running -= cores;
            load.used.millicores = static_cast<std::int64_t>(cores * 1000);
            load.runs += static_cast<std::size_t>(std::ceil(cores));
        }
    }

    /// The work of a step arrives in workflows of two core-seconds.
    static void note_accepted(pool_workload& demand, double rate, instant at) {
        constexpr double workflow_core_s = 2;
        accepted_work accepted{at - accepted_work::interval, {}};
        accepted.classes[0].core_s = rate * step_s;
        accepted.classes[0].workflows =
            static_cast<std::uint32_t>(std::lround(rate * step_s / workflow_core_s));
        demand.accepted.push_back(accepted);
        demand.workflows_read += rate > 0 ? 1 : 0;
        demand.arrived_core_s += rate * step_s;
    }

    void carry_out(const move_vm& move, std::span<const backend_load> loads) {
        const auto vm = std::ranges::find(vms, move.vm, &fleet_vm::id);
        const auto load = std::ranges::find(loads, vm->backend, &backend_load::backend);
        cr_assert(load == loads.end() || load->runs == 0, "%s runs tasks", move.vm.str().c_str());
        const auto arrived = arrived_at.find(move.vm);
        if (arrived != arrived_at.end() && vm->pool != standby()) {
            duration& shortest = move.target == standby() ? shortest_stay : shortest_use;
            shortest = std::min(shortest, duration(now - arrived->second));
        }
        vm->state = fleet_vm::condition::moving;
        ++moves[move.vm];
        moves_under_way[move.vm] = {move.target, now + milliseconds(1500)};
        planner.handle_result(move.vm, vm_order_result::carried_out, now);
    }

    void note_draining() {
        std::map<vm_id, instant> still;
        for (const backend_id& backend : planner.servers_to_drain()) {
            const auto vm = std::ranges::find(vms, backend, &fleet_vm::backend);
            const auto found = draining_since.find(vm->id);
            still[vm->id] = found == draining_since.end() ? now : found->second;
        }
        draining_since = std::move(still);
    }
};

} // namespace citronford
