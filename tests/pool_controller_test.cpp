#include "test_support.h"

#include "citronford/pool_controller.h"
#include "citronford/result_code.h"

#include <algorithm>
#include <map>

using namespace citronford;

namespace {

const pool_id quote("quote");
const pool_id ledger("ledger");
const vm_id spare_vm("v4");

/// Rows in the table, shared by the controllers of several nodes.
struct stored_rows {
    std::map<vm_id, pool_rows_read::vm_row> vms;
    std::map<pool_id, pool_rows_read::pool_row> pools;
    std::map<pool_id, pool_rows_read::lease_row> leases;
    table_version version = 0;

    [[nodiscard]] pool_rows_read read(instant begun_at) const {
        pool_rows_read rows;
        for (const auto& [id, row] : vms) {
            rows.vms.push_back(row);
        }
        for (const auto& [id, row] : pools) {
            rows.pools.push_back(row);
        }
        for (const auto& [id, row] : leases) {
            rows.leases.push_back(row);
        }
        rows.version = version;
        rows.begun_at = begun_at;
        return rows;
    }
};

/// One node with four VMs in pool `quote` (zones a, b, a, b) and two in its spare pool `ledger`.
struct controller_fixture {
    stored_rows& table;
    std::unique_ptr<pool_controller> controller;
    fleet_configuration fleet;
    std::vector<vm_listing> list;
    instant now{seconds(1)};
    pool_commit_report::outcome outcome = pool_commit_report::outcome::committed;
    std::vector<commit_pool_rows> commits;
    std::vector<order_drain> drains;
    std::vector<order_reboot> reboots;

    explicit controller_fixture(stored_rows& rows, const std::string& name = "n") : table(rows) {
        pool_controller_options options;
        options.node = node_id(name);
        auto created =
            pool_controller::create(installed_chart("vm"), installed_chart("zone"), options);
        cr_assert(created.ok(), "%s", created.status().ToString().c_str());
        controller = *std::move(created);
        fleet.defaults.pools = {{quote, 4, 1, ledger}, {ledger, 0, 1, pool_id()}};
        for (int index = 0; index < 6; ++index) {
            const zone_id zone(index % 2 == 0 ? "a" : "b");
            list.push_back({vm_id("v" + std::to_string(index)),
                            zone,
                            rack_id(zone.view()),
                            index < 4 ? quote : ledger,
                            {},
                            false});
        }
        controller->configure(fleet);
        handle(pool_live_nodes{{options.node}});
    }

    void handle(const pool_input& input) {
        for (const pool_effect& effect : controller->handle(input, now)) {
            std::visit([this](const auto& item) { perform(item); }, effect);
        }
    }

    void perform(const commit_pool_rows& effect) {
        commits.push_back(effect);
        pool_commit_report report{effect.lease.pool, effect.number, outcome, 0};
        if (outcome == pool_commit_report::outcome::committed) {
            report.version = ++table.version;
            for (const vm_write& item : effect.writes) {
                table.vms[item.row.id] = {item.row, table.version, false};
            }
            table.leases[effect.lease.pool] = {effect.lease, table.version};
        }
        handle(report);
    }
    void perform(const order_drain& effect) { drains.push_back(effect); }
    void perform(const order_reboot& effect) { reboots.push_back(effect); }
    void perform(const query_vm_status& /*effect*/) {}
    void perform(const read_pool_rows& /*effect*/) {}

    /// Advances the clock by one second, reads the rows and the VM list and sends a tick.
    void pass_second() {
        now += seconds(1);
        handle(table.read(now));
        handle(vms_listed{list, now});
        handle(pools_tick{});
    }

    void pass_seconds(int count) {
        for (int second = 0; second < count; ++second) {
            pass_second();
        }
    }

    void report(const vm_id& vm, vm_status::condition state) {
        handle(vm_status_report{vm, vm_status{state, row(vm).order}});
    }

    [[nodiscard]] const vm_record& row(const vm_id& vm) const { return table.vms.at(vm).row; }

    [[nodiscard]] std::int64_t in_state(std::string_view state) const {
        return std::ranges::count_if(
            table.vms, [&](const auto& item) { return item.second.row.state == state; });
    }

    void start_roll_out(const pool_id& pool) {
        const auto order = controller->maintenance_order(pool, "kernel");
        cr_assert(order.ok());
        table.pools[pool] = {order->row, ++table.version};
    }

    void order_move(const vm_id& vm, const pool_id& target) {
        const auto order = controller->move_order(vm, target, "load");
        cr_assert(order.ok(), "%s", order.status().ToString().c_str());
        table.vms[vm] = {order->row, ++table.version, false};
    }
};

} // namespace

// Guards against writing a second row, or a row in another pool, for a VM that is still listed in
// the pool in which it was started.
Test(pool_controller, writes_one_row_for_each_listed_vm) {
    stored_rows table;
    controller_fixture fixture(table);
    fixture.pass_seconds(5);
    cr_assert(table.vms.size() == 6);
    std::size_t written = 0;
    for (const commit_pool_rows& commit : fixture.commits) {
        written += commit.writes.size();
    }
    cr_assert(written == 6, "%zu rows written", written);
}

// Guards against moves at the start of a fleet: pools without written rows counted as short and
// were filled from the spare pool. Also guards against an immediate retry of a write that the
// platform refused.
Test(pool_controller, moves_nothing_while_rows_are_written) {
    stored_rows table;
    controller_fixture fixture(table);
    fixture.outcome = pool_commit_report::outcome::not_written;
    fixture.pass_seconds(2);
    fixture.outcome = pool_commit_report::outcome::committed;
    fixture.pass_seconds(5);
    cr_assert(fixture.drains.empty());
}

// Guards against a change of the pool before the VM is drained, and against an order for a VM whose
// row is not yet written.
Test(pool_controller, drains_a_vm_before_its_row_names_the_new_pool) {
    stored_rows table;
    controller_fixture fixture(table);
    fixture.pass_seconds(3);
    fixture.order_move(spare_vm, quote);
    fixture.pass_second();
    cr_assert(fixture.row(spare_vm).state == vm_states::draining);
    cr_assert(fixture.row(spare_vm).pool == ledger);
    cr_assert(fixture.drains.size() == 1 && fixture.drains[0].order == fixture.row(spare_vm).order);
    fixture.report(spare_vm, vm_status::condition::drained);
    cr_assert(fixture.row(spare_vm).pool == quote);
    cr_assert(fixture.row(spare_vm).state == vm_states::moving);
    fixture.pass_second();
    cr_assert(fixture.reboots.size() == 1);
    fixture.report(spare_vm, vm_status::condition::serving);
    cr_assert(fixture.row(spare_vm).state == vm_states::serving);
}

// Guards against a delayed status from before the reboot being taken for the return of the VM.
Test(pool_controller, ignores_a_status_from_before_the_order) {
    stored_rows table;
    controller_fixture fixture(table);
    fixture.pass_seconds(3);
    fixture.order_move(spare_vm, quote);
    fixture.pass_second();
    fixture.report(spare_vm, vm_status::condition::drained);
    const vm_order_number order = fixture.row(spare_vm).order;
    fixture.handle(vm_status_report{spare_vm, vm_status{vm_status::condition::serving, order - 1}});
    cr_assert(fixture.row(spare_vm).state == vm_states::moving);
}

// Guards against a second move order that silently replaces the first one.
Test(pool_controller, refuses_a_second_move_with_the_version_of_the_first) {
    stored_rows table;
    controller_fixture fixture(table);
    fixture.pass_seconds(3);
    fixture.order_move(spare_vm, quote);
    fixture.pass_second();
    const auto second = fixture.controller->move_order(spare_vm, quote, "load");
    cr_assert(code_of(second.status()) == result_code::conflict);
    cr_assert(message_of(second.status()).find(std::to_string(table.vms.at(spare_vm).version)) !=
              std::string_view::npos);
}

// Guards against a wave that exceeds the budget, and against a VM that is maintained twice or not
// at all.
Test(pool_controller, maintains_each_vm_once_within_the_budget) {
    stored_rows table;
    controller_fixture fixture(table);
    fixture.pass_seconds(3);
    fixture.start_roll_out(quote);
    for (int round = 0; round < 12; ++round) {
        fixture.pass_second();
        cr_assert(fixture.in_state(vm_states::draining) + fixture.in_state(vm_states::rebooting) <=
                  1);
        for (const auto& [id, stored] : std::map(table.vms)) {
            if (stored.row.state == vm_states::draining) {
                fixture.report(id, vm_status::condition::drained);
            } else if (stored.row.state == vm_states::rebooting) {
                fixture.report(id, vm_status::condition::serving);
            }
        }
    }
    cr_assert(fixture.drains.size() == 4);
    cr_assert(fixture.controller->roll_out(quote).remaining == 0);
}

// Guards against losing a roll-out that is ordered before the rows of its VMs are written: the VMs
// counted as maintained, so no VM was drained and the roll-out ended at once.
Test(pool_controller, maintains_vms_whose_rows_are_written_after_the_order) {
    stored_rows table;
    controller_fixture fixture(table);
    fixture.start_roll_out(quote);
    fixture.pass_seconds(3);
    cr_assert(fixture.drains.size() == 1, "%zu drains", fixture.drains.size());
}

// Guards against rebooting every VM that is added after a roll-out has ended.
Test(pool_controller, does_not_maintain_a_vm_that_arrives_after_the_roll_out) {
    stored_rows table;
    controller_fixture fixture(table);
    fixture.pass_seconds(3);
    fixture.start_roll_out(quote);
    for (auto& [id, item] : table.vms) {
        item.row.maintained = table.version;
        item.version = ++table.version;
    }
    fixture.list.push_back({vm_id("v6"), zone_id("a"), rack_id("a"), quote, {}, false});
    fixture.pass_seconds(3);
    cr_assert(table.vms.contains(vm_id("v6")));
    cr_assert(fixture.drains.empty(), "%zu drains", fixture.drains.size());
}

// Guards against a wave that continues although a VM that did not return from its reboot uses up
// the budget.
Test(pool_controller, stops_the_wave_when_a_vm_does_not_return) {
    stored_rows table;
    controller_fixture fixture(table);
    fixture.pass_seconds(3);
    fixture.start_roll_out(quote);
    fixture.pass_second();
    const vm_id stuck = fixture.drains.at(0).vm;
    fixture.report(stuck, vm_status::condition::drained);
    fixture.pass_seconds(610);
    cr_assert(fixture.row(stuck).state == vm_states::failed);
    cr_assert(fixture.drains.size() == 1);
}

// Guards against a step that is lost, or repeated with a new order number, when its controller
// fails.
Test(pool_controller, resumes_a_drain_from_the_row_after_takeover) {
    stored_rows table;
    controller_fixture dead(table, "dead");
    dead.pass_seconds(3);
    dead.start_roll_out(quote);
    dead.pass_second();
    const order_drain interrupted = dead.drains.at(0);

    controller_fixture successor(table, "successor");
    successor.now = dead.now;
    successor.pass_seconds(12);
    cr_assert(successor.drains.empty(),
              "the successor sent an order while the lease of the failed node may be valid");
    successor.pass_seconds(4);
    cr_assert(successor.drains.size() >= 1);
    cr_assert(successor.drains[0].vm == interrupted.vm &&
              successor.drains[0].order == interrupted.order);
    cr_assert(table.leases.at(quote).row.epoch == 2);
}

// Guards against orders from a controller that was paused for longer than its lease duration.
Test(pool_controller, sends_no_orders_under_an_expired_lease) {
    stored_rows table;
    controller_fixture fixture(table);
    fixture.pass_seconds(3);
    fixture.start_roll_out(quote);
    fixture.pass_second();
    const vm_id vm = fixture.drains.at(0).vm;
    fixture.now += seconds(11);
    fixture.outcome = pool_commit_report::outcome::conflicted;
    fixture.report(vm, vm_status::condition::drained);
    fixture.handle(pools_tick{});
    cr_assert(fixture.row(vm).state == vm_states::draining);
    cr_assert(fixture.reboots.empty());
}

// Guards against orders from before an expired lease that a VM cannot tell from later ones: the
// lease keeps its epoch when its last holder takes it back, so the order numbers tell them apart.
Test(pool_controller, numbers_its_orders_on_when_it_takes_its_expired_lease_back) {
    stored_rows table;
    controller_fixture fixture(table);
    fixture.pass_seconds(3);
    fixture.start_roll_out(quote);
    fixture.pass_second();
    const order_drain before = fixture.drains.at(0);
    fixture.drains.clear();
    fixture.now += seconds(11);
    fixture.pass_seconds(2);
    cr_assert(table.leases.at(quote).row.epoch == 1);
    cr_assert(fixture.drains.size() == 1 && fixture.drains[0].vm == before.vm);
    cr_assert(fixture.drains[0].order == before.order, "the same order, sent again");
    fixture.report(before.vm, vm_status::condition::drained);
    fixture.pass_second();
    cr_assert(fixture.reboots.size() == 1 && fixture.reboots[0].vm == before.vm);
    cr_assert(fixture.reboots[0].order > before.order);
}

// Guards against acting on known rows while a transaction whose reply was lost may have changed
// them.
Test(pool_controller, reads_again_before_acting_after_a_lost_reply) {
    stored_rows table;
    controller_fixture fixture(table);
    fixture.pass_seconds(3);
    fixture.start_roll_out(quote);
    fixture.outcome = pool_commit_report::outcome::in_doubt;
    fixture.pass_second();
    const std::size_t commits = fixture.commits.size();
    fixture.outcome = pool_commit_report::outcome::committed;
    fixture.handle(pools_tick{});
    cr_assert(fixture.commits.size() == commits && fixture.drains.empty());
    fixture.pass_second();
    cr_assert(fixture.drains.size() == 1);
}

// Guards against maintenance during a zone removal, missing replacement VMs, and loans that are not
// returned after the removal.
Test(pool_controller, lends_for_a_removed_zone_and_takes_back) {
    stored_rows table;
    controller_fixture fixture(table);
    fixture.pass_seconds(3);
    fixture.fleet.removals = {{zone_id("a"), "power"}};
    fixture.controller->configure(fixture.fleet);
    fixture.start_roll_out(quote);
    fixture.pass_seconds(2);
    // The VM of the spare pool in zone b replaces one of the two lost VMs; no VM of `quote` is
    // maintained.
    cr_assert(fixture.drains.size() == 1 && fixture.drains[0].vm == vm_id("v5"));
    fixture.report(vm_id("v5"), vm_status::condition::drained);
    fixture.pass_second();
    fixture.report(vm_id("v5"), vm_status::condition::serving);
    cr_assert(fixture.row(vm_id("v5")).pool == quote);
    fixture.pass_seconds(3);
    cr_assert(fixture.drains.size() == 1);
    fixture.fleet.removals.clear();
    fixture.controller->configure(fixture.fleet);
    fixture.pass_second();
    cr_assert(fixture.row(vm_id("v5")).step == vm_step::give_back);
    fixture.report(vm_id("v5"), vm_status::condition::drained);
    cr_assert(fixture.row(vm_id("v5")).pool == ledger);
    cr_assert(fixture.row(vm_id("v5")).home.empty());
}

// Guards against a cost per poll that grows with the VMs of the fleet instead of the changed rows.
Test(pool_controller, visits_the_changed_pools_only) {
    stored_rows table;
    controller_fixture fixture(table);
    fixture.pass_seconds(5);
    const auto cost_of_seconds = [&](int count) {
        const std::uint64_t before = fixture.controller->operations();
        fixture.pass_seconds(count);
        return fixture.controller->operations() - before;
    };
    // One visit to each of the two pools per second; renewals of leases visit no VM.
    cr_assert(cost_of_seconds(30) == 60);
    table.vms.at(vm_id("v0")).version = ++table.version;
    // Two pools, the changed row, the demand of two pools, and the four members of its pool twice.
    cr_assert(cost_of_seconds(1) == 2 + 1 + 2 + 8);
    cr_assert(cost_of_seconds(30) == 60);
}

// Guards against a pool that is not planned again until a row changes although its transaction was
// not written.
Test(pool_controller, plans_again_after_a_transaction_that_was_not_written) {
    stored_rows table;
    controller_fixture fixture(table);
    fixture.pass_seconds(3);
    fixture.start_roll_out(quote);
    fixture.outcome = pool_commit_report::outcome::not_written;
    fixture.pass_seconds(2);
    cr_assert(fixture.drains.empty());
    fixture.outcome = pool_commit_report::outcome::committed;
    fixture.pass_second();
    cr_assert(fixture.drains.size() == 1);
}

// Guards against buffer requirements that do not move VMs, and against a requirement that lowers
// the configured number of VMs.
Test(pool_controller, moves_vms_for_a_buffer) {
    stored_rows table;
    controller_fixture fixture(table);
    fixture.pass_seconds(3);
    fixture.handle(buffers_planned{{{quote, 1}}});
    fixture.pass_second();
    cr_assert(fixture.drains.empty());
    fixture.handle(buffers_planned{{{quote, 5}}});
    fixture.pass_second();
    cr_assert(fixture.drains.size() == 1);
    cr_assert(fixture.row(fixture.drains[0].vm).target == quote);
}

// Guards against planned steps based on a VM list from before a platform outage.
Test(pool_controller, begins_no_step_on_an_old_list) {
    stored_rows table;
    controller_fixture fixture(table);
    fixture.pass_seconds(3);
    fixture.start_roll_out(quote);
    for (int second = 0; second < 20; ++second) {
        fixture.now += seconds(1);
        fixture.handle(table.read(fixture.now));
        if (second >= 16) {
            fixture.handle(pools_tick{});
        }
    }
    cr_assert(fixture.drains.empty());
}
