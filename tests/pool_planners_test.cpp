#include "test_support.h"

#include "citronford/availability_budget.h"
#include "citronford/buffer_planner.h"
#include "citronford/maintenance_planner.h"
#include "citronford/order_preview.h"
#include "citronford/pool_owner.h"
#include "citronford/rebalancer.h"
#include "citronford/spare_lending.h"

#include <map>
#include <rapidcheck.h>
#include <set>

using namespace citronford;

namespace {

placed_vm vm_at(const std::string& id, const std::string& zone, const std::string& rack) {
    return {vm_id(id), zone_id(zone), rack_id(rack)};
}

vm_entry entry_in(std::string_view state, bool listed) {
    vm_entry entry;
    entry.row.zone = zone_id("a");
    entry.row.state = state;
    entry.listed = listed;
    return entry;
}

} // namespace

// Guards against counting a VM as available although the VM list or the configuration says
// otherwise.
Test(pool_planners, counts_a_vm_as_available_only_if_all_sources_agree) {
    fleet_configuration fleet;
    cr_assert(availability_of(entry_in("serving", true), fleet) == vm_availability::available);
    cr_assert(availability_of(entry_in("serving", false), fleet) == vm_availability::declared);
    cr_assert(availability_of(entry_in("failed", true), fleet) == vm_availability::failed);
    cr_assert(availability_of(entry_in("rebooting", true), fleet) == vm_availability::draining);
    fleet.removals = {{zone_id("a"), "power"}};
    cr_assert(availability_of(entry_in("serving", true), fleet) == vm_availability::removed_zone);
}

// Guards against ignoring a configured exception for the budget.
Test(pool_planners, takes_the_budget_from_the_exception) {
    fleet_configuration fleet;
    fleet.defaults.pools = {{pool_id("quote"), 4, 2, pool_id()}};
    cr_assert(budget_of(fleet, pool_id("quote")) == 2);
    fleet.exceptions = {{exception_id("e"), "pool/quote", "unavailable", "0", "sale"}};
    cr_assert(budget_of(fleet, pool_id("quote")) == 0);
}

// Guards against a preview that shows more first steps than the availability budget permits.
Test(pool_planners, previews_a_roll_out_within_the_budget) {
    const pool_id quote("quote");
    fleet_configuration fleet;
    fleet.defaults.pools = {{quote, 4, 2, pool_id()}};
    vm_table vms;
    std::vector<vm_listing> list;
    for (const char* id : {"1", "2", "3", "4"}) {
        vm_record row;
        row.id = vm_id(id);
        row.pool = quote;
        row.zone = zone_id(*id < '3' ? "a" : "b");
        row.state = *id == '4' ? vm_states::failed : vm_states::serving;
        vms.apply(row, 1);
        list.push_back({row.id, row.zone, rack_id(), quote, {}, false});
    }
    vms.apply_list(list, instant(seconds(1)));
    const order_preview wave = preview_of_maintenance(vms, fleet, quote);
    cr_assert(wave.drained.size() == 4 && wave.first.size() == 1);
    cr_assert(wave.pools.at(0).left == 1 && wave.pools.at(0).left_after == 0);
    cr_assert(wave.zones.at(0).drained == 2 && wave.zones.at(0).left == 1);
    cr_assert(wave.zones.at(0).left_after == 0);
    vm_write move{vms.find(vm_id("3"))->row, 1};
    move.row.target = pool_id("other");
    const order_preview moved = preview_of_move(vms, fleet, move);
    cr_assert(moved.first == std::vector({vm_id("3")}) && moved.pools.size() == 2);
    cr_assert(moved.zones.at(1).drained == 1);
    fleet.removals = {{zone_id("a"), "power"}};
    cr_assert(preview_of_maintenance(vms, fleet, quote).first.empty());
}

// Guards against a wave spread over racks, in which the loss of one rack makes many more VMs
// unavailable.
Test(pool_planners, packs_a_wave_into_the_rack_in_progress) {
    const placed_vm due[] = {vm_at("1", "a", "a1"), vm_at("2", "b", "b1"), vm_at("3", "b", "b1"),
                             vm_at("4", "b", "b1"), vm_at("5", "a", "a1")};
    const auto wave = next_wave(due, {}, 3);
    cr_assert(wave == std::vector({vm_id("2"), vm_id("3"), vm_id("4")}));
    const placed_vm in_progress[] = {vm_at("6", "a", "a1")};
    cr_assert(next_wave(due, in_progress, 1) == std::vector({vm_id("1")}));
}

// Guards against more moves than the demand needs, and against plans that change when a part of
// them is carried out: two controllers would then fill the same shortage.
Test(pool_planners, rebalances_with_the_fewest_moves) {
    const bool held = rc::check([](const std::vector<std::uint8_t>& sizes) {
        std::vector<pool_demand> demands;
        std::int64_t lacking = 0;
        std::int64_t surplus = 0;
        for (const std::uint8_t size : sizes) {
            const std::int64_t wanted = size % 16;
            const std::int64_t members = size / 16;
            demands.push_back({pool_id("p" + std::to_string(demands.size())), wanted, members});
            lacking += std::max<std::int64_t>(0, wanted - members);
            surplus += std::max<std::int64_t>(0, members - wanted);
        }
        const auto plan = planned_transfers(demands);
        std::int64_t moves = 0;
        std::map<std::pair<pool_id, pool_id>, std::int64_t> counts;
        for (const pool_transfer& transfer : plan) {
            moves += transfer.count;
            counts[{transfer.from, transfer.to}] += transfer.count;
        }
        RC_ASSERT(moves == std::min(lacking, surplus));
        if (plan.empty()) {
            return;
        }
        // One move of the last transfer is carried out first.
        for (pool_demand& demand : demands) {
            demand.members += demand.pool == plan.back().to ? 1 : 0;
            demand.members -= demand.pool == plan.back().from ? 1 : 0;
        }
        --counts[{plan.back().from, plan.back().to}];
        for (const pool_transfer& transfer : planned_transfers(demands)) {
            counts[{transfer.from, transfer.to}] -= transfer.count;
        }
        for (const auto& [pools, count] : counts) {
            RC_ASSERT(count == 0);
        }
    });
    cr_assert(held);
}

// Guards against loans beyond the wanted size of a pool, and against one pool receiving all VMs
// while another has a larger shortage.
Test(pool_planners, lends_to_the_pool_with_the_lowest_ratio_first) {
    const pool_shortage shortages[] = {
        {pool_id("a"), 12, 8}, {pool_id("b"), 4, 2}, {pool_id("c"), 3, 3}};
    const auto loans = planned_loans(pool_id("spare"), 3, shortages);
    cr_assert(loans.size() == 2);
    cr_assert(loans[0].to == pool_id("a") && loans[0].count == 2);
    cr_assert(loans[1].to == pool_id("b") && loans[1].count == 1);
    std::int64_t lent = 0;
    for (const pool_transfer& loan : planned_loans(pool_id("spare"), 100, shortages)) {
        lent += loan.count;
    }
    cr_assert(lent == 6);
}

// Guards against reassigning the pools of the remaining nodes when a node leaves.
Test(pool_planners, keeps_the_other_owners_when_a_node_leaves) {
    const std::vector<node_id> all = {node_id("a"), node_id("b"), node_id("c")};
    const std::vector<node_id> rest = {node_id("a"), node_id("c")};
    std::set<node_id> owners;
    for (int index = 0; index < 60; ++index) {
        const pool_id pool("p" + std::to_string(index));
        const node_id before = pool_owner(pool, all);
        owners.insert(before);
        cr_assert(before == node_id("b") || pool_owner(pool, rest) == before);
    }
    cr_assert(owners.size() == 3);
}

// Guards against a buffer that does not cover the loss of a zone, or that adds up bursts that do
// not coincide.
Test(pool_planners, shares_the_buffer_of_queues_that_peak_at_different_times) {
    const std::vector<double> early = {10, 0, 0, 0};
    const std::vector<double> late = {0, 0, 0, 10};
    const queue_demand apart[] = {{early}, {late}};
    const queue_demand together[] = {{early}, {early}};
    const vm_placement placement;
    const buffer_plan shared = planned_buffer(apart, placement, {1, 0});
    cr_assert(shared.burst == 10 && shared.total == 15 && shared.largest_loss == 5);
    cr_assert(planned_buffer(together, placement, {1, 0}).burst == 20);
    cr_assert(largest_single_loss(6, placement) == 4,
              "a rack of 4 VMs is larger than a third of 6 VMs");
}
