// The capacity planner with `burst_capacity`, on a fleet that carries out its moves.
#include "simulated_fleet.h"

using namespace citronford;

namespace {

constexpr duration burst_time = milliseconds(4500);
/// Cores that arrive at a pool during its burst: 23 VMs of the 50.
constexpr double burst_cores = 640;
constexpr double low_cores = burst_cores / 80;

/// Bursts by turns: each pool has one burst in four.
void run_turns(simulated_fleet& fleet, int bursts) {
    for (int turn = 0; turn < bursts; ++turn) {
        for (std::size_t index = 0; index < simulated_fleet::pool_count; ++index) {
            const bool bursts_now =
                index == static_cast<std::size_t>(turn) % simulated_fleet::pool_count;
            fleet.works[index].rate = bursts_now ? burst_cores : low_cores;
        }
        fleet.run_for(burst_time);
    }
}

} // namespace

// Guards against 3 to 4 s until a pool has the servers for its burst: the demand jumps eighty times
// for 4.5 s in one pool after the other, and the pool has had a burst before.
Test(capacity_division, a_second_burst_has_its_servers_ordered_within_300_ms) {
    simulated_fleet fleet;
    run_turns(fleet, 4);
    fleet.works[3].rate = low_cores;
    fleet.works[0].rate = burst_cores;
    fleet.run_for(milliseconds(300));
    // The VMs of the burst before must end their tasks first; they count as soon as they drain.
    const pool_plan& plan = fleet.planner.pool_plans()[0];
    cr_assert(plan.present + plan.incoming >= 22, "%ld of 23 VMs", plan.present + plan.incoming);
}

// Guards against VMs that go back and forth: each burst needs nearly the whole fleet, so a VM moves
// about once in a burst.
Test(capacity_division, a_day_of_bursts_moves_no_vm_back_and_forth) {
    simulated_fleet fleet;
    constexpr int bursts = 9; // 40 s.
    run_turns(fleet, bursts);
    const double mean =
        static_cast<double>(fleet.total_moves()) / static_cast<double>(fleet.vms.size());
    cr_assert(mean <= 0.9 * bursts, "%f moves of a VM", mean);
    for (const auto& [id, count] : fleet.moves) {
        cr_assert(count <= bursts + 2, "%d moves of %s", count, id.str().c_str());
    }
    // Urgent work of another pool may take a VM sooner.
    cr_assert(fleet.shortest_stay >= milliseconds(1900), "released %ld ms after its arrival",
              to_ms(fleet.shortest_stay));
}

// Guards against a VM that arrives and leaves at once for work of another pool that is not urgent:
// the burst it was ordered for is over when it arrives.
Test(capacity_division, a_vm_that_has_arrived_stays_unless_urgent_work_needs_it) {
    simulated_fleet fleet;
    fleet.works[0].rate = burst_cores;
    fleet.run_for(milliseconds(1800));
    fleet.works[0].rate = 0;
    fleet.works[1].endless = true;
    fleet.works[1].backlog_core_s[static_cast<std::size_t>(work_tier::on_time)] = 900;
    fleet.run_for(seconds(6));
    cr_assert(fleet.shortest_use >= milliseconds(1900), "taken %ld ms after its arrival",
              to_ms(fleet.shortest_use));
    cr_assert(fleet.up_in(simulated_fleet::pool_at(1)) >= 30);
}

// Guards against steady work whose small changes move VMs.
Test(capacity_division, steady_work_moves_no_vm) {
    simulated_fleet fleet;
    const double cores[] = {150, 200, 250, 280};
    const auto set_rates = [&](int round) {
        for (std::size_t index = 0; index < simulated_fleet::pool_count; ++index) {
            constexpr double noise = 12;
            fleet.works[index].rate = cores[index] + (round % 2 == 0 ? noise : -noise);
        }
    };
    int round = 0;
    for (; round < 25; ++round) {
        set_rates(round);
        fleet.run_for(milliseconds(400));
    }
    const int before = fleet.total_moves();
    for (; round < 100; ++round) {
        set_rates(round);
        fleet.run_for(milliseconds(400));
    }
    cr_assert(fleet.total_moves() - before <= 4, "%d moves in 30 s", fleet.total_moves() - before);
}

// Guards against late work that keeps its servers while urgent work of another pool waits: two
// pools that together need twice the fleet.
Test(capacity_division, late_work_gives_its_servers_to_urgent_work) {
    simulated_fleet fleet;
    fleet.works[0].backlog_core_s[static_cast<std::size_t>(work_tier::late)] = 900;
    fleet.works[0].endless = true;
    fleet.run_for(seconds(4));
    const std::int64_t kept = fleet.up_in(simulated_fleet::pool_at(0));
    cr_assert(kept >= 30, "late work gets what nobody else needs: %ld", kept);
    fleet.works[1].rate = 1200;
    fleet.run_for(seconds(5));
    const std::int64_t urgent = fleet.up_in(simulated_fleet::pool_at(1));
    cr_assert(urgent >= 38, "%ld VMs for urgent work", urgent);
    cr_assert(fleet.up_in(simulated_fleet::pool_at(0)) >= 2);
}

// Guards against a drained host of long-running tasks.
Test(capacity_division, hosts_of_long_running_tasks_stay) {
    simulated_fleet fleet;
    for (int index = 0; index < 10; ++index) {
        fleet.long_running[vm_id("m" + std::to_string(index))] = 1;
    }
    fleet.works[1].rate = 3000;
    fleet.run_for(seconds(5));
    cr_assert(fleet.up_in(simulated_fleet::pool_at(0)) == 10);
    cr_assert(fleet.up_in(simulated_fleet::pool_at(1)) == 36, "%ld",
              fleet.up_in(simulated_fleet::pool_at(1)));
}

// Guards against VMs that are paid for 2.5 to 4 s after a burst.
Test(capacity_division, releases_vms_a_second_after_a_burst) {
    simulated_fleet fleet;
    run_turns(fleet, 1);
    const std::int64_t in_burst = fleet.up_in(simulated_fleet::pool_at(0));
    fleet.works[0].rate = low_cores;
    fleet.run_for(milliseconds(1900));
    const std::int64_t after = fleet.up_in(simulated_fleet::pool_at(0));
    cr_assert(in_burst >= 20 && after <= 5, "%ld of %ld VMs left", after, in_burst);
}

// Guards against a release in the middle of a burst because no read of the store is answered for a
// second.
Test(capacity_division, a_slow_store_releases_no_vm) {
    simulated_fleet fleet;
    run_turns(fleet, 1);
    // Until the backlog of the beginning is done and the VMs for it are released.
    fleet.run_for(seconds(6));
    const std::int64_t in_burst = fleet.up_in(simulated_fleet::pool_at(0));
    cr_assert(in_burst >= 20 && in_burst <= 28, "%ld", in_burst);
    fleet.reads = false;
    fleet.run_for(milliseconds(1500));
    cr_assert(fleet.up_in(simulated_fleet::pool_at(0)) == in_burst);
    fleet.reads = true;
    fleet.run_for(milliseconds(1500));
    cr_assert(fleet.up_in(simulated_fleet::pool_at(0)) >= in_burst - 2);
}

// Guards against a cost that grows: the VMs that are paid for on a day of bursts.
Test(capacity_division, pays_for_less_than_without) {
    simulated_fleet with;
    simulated_fleet without(false);
    run_turns(with, 9);
    run_turns(without, 9);
    cr_assert(with.paid_vm_s < without.paid_vm_s, "%f instead of %f VM seconds", with.paid_vm_s,
              without.paid_vm_s);
    cr_assert(without.planner.pool_plans().empty() && with.planner.pool_plans().size() == 4);
}
