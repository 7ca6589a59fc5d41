#include "table_fixture.h"

#include "io/metrics.h"
#include "node/fleet/vm_driver.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace citronford;
using trompeloeil::_;

namespace {

/// The driver of a new owner with two VMs in a standby pool, while it has contact to no backend
/// server.
struct vm_fixture : table_fixture {
    static constexpr duration interval = seconds(3);
    static constexpr duration absence = milliseconds(1500);

    mock_vm_fleet fleet;
    mock_fleet_rows rows;
    capacity_options capacity;
    metrics registry;
    std::vector<fleet_vm> vms;
    std::vector<vm_id> moved;
    queue_catalog catalog{
        1,
        {},
        {catalog_pool{pool_id("busy"), true, false}, catalog_pool{pool_id("standby"), true, true}},
        {}};
    std::unique_ptr<dispatcher> decisions = make_dispatcher();
    std::unique_ptr<trompeloeil::expectation> allow_lists =
        NAMED_ALLOW_CALL(fleet, list(_)).LR_SIDE_EFFECT(_1(vms));
    std::unique_ptr<trompeloeil::expectation> allow_moves =
        NAMED_ALLOW_CALL(fleet, move(_, _, _, _))
            .LR_SIDE_EFFECT(moved.push_back(_1))
            .LR_SIDE_EFFECT(_4(vm_order_result::carried_out));
    std::unique_ptr<vm_driver> driver = make_driver();

    explicit vm_fixture(capacity_options options = {}) : capacity(options) {
        for (const char* name : {"m0", "m1"}) {
            fleet_vm vm;
            vm.id = vm_id(name);
            vm.pool = pool_id("standby");
            vm.state = fleet_vm::condition::up;
            vms.push_back(vm);
        }
        driver->start();
        answer_scan(table_scan{});
    }

    std::unique_ptr<dispatcher> make_dispatcher() {
        static const chart workflow = installed_chart("workflow");
        static const chart run = installed_chart("task_run");
        static const chart contact = installed_chart("backend_contact");
        auto created = dispatcher::create({workflow, run, contact}, {}, timers.now());
        cr_assert(created.ok(), "%s", created.status().ToString().c_str());
        (*created)->handle(catalog_applied{std::make_shared<queue_catalog>(catalog)}, timers.now());
        backend_registration unreachable;
        unreachable.id = backend_id("i-1");
        unreachable.pool = pool_id("busy");
        (*created)->handle(backend_registered{unreachable}, timers.now());
        return *std::move(created);
    }

    std::unique_ptr<vm_driver> make_driver() {
        static const std::set<zone_id> none;
        const chart order = installed_chart("vm_order");
        return std::make_unique<vm_driver>(
            *wave_planner::create(order, {seconds(2)}), *capacity_planner::create(order, capacity),
            vm_order_origin{node_id("self"), token},
            vm_links{timers, table, fleet, rows, &registry},
            vm_order_timing{timers.now(), interval, absence},
            vm_driver::callbacks{[] { return true; }, [] { return std::int64_t{0}; },
                                 [this]() -> const dispatcher& { return *decisions; },
                                 [this]() -> const queue_catalog& { return catalog; },
                                 []() -> const std::set<zone_id>& { return none; },
                                 [](const backends_to_drain&) {}, [](const present_backends&) {}});
    }
};

} // namespace

// Guards against a burst that waits for VMs while a zone is cut off (pf-citron trouble-3): a VM
// that is up when the ownership begins has had no recent order, also if no backend server can be
// reached.
Test(vm_driver, orders_initially_up_vms_earlier) {
    vm_fixture fixture;
    fixture.vms[1].state = fleet_vm::condition::moving;
    fixture.timers.advance(seconds(1));
    fixture.vms[1].state = fleet_vm::condition::up;
    fixture.timers.advance(milliseconds(400));
    cr_assert(fixture.moved.empty(), "the earlier owner may have ordered the VM just before");
    fixture.timers.advance(milliseconds(500));
    cr_assert(fixture.moved == std::vector{vm_id("m0")}, "%zu moves", fixture.moved.size());
    fixture.timers.advance(milliseconds(1000));
    cr_assert(fixture.moved.size() == 1, "m1 was not up when the ownership began");
    fixture.timers.advance(milliseconds(500));
    cr_assert(fixture.moved.size() == 2, "%zu moves", fixture.moved.size());
}

// Guards against orders of two owners to one VM within the interval: an order that was under way
// when the previous owner stopped was carried out after the new owner's first list.
Test(vm_driver, waits_after_a_delayed_order_of_the_previous_owner) {
    vm_fixture fixture;
    fixture.timers.advance(milliseconds(900));
    fixture.vms[1].state = fleet_vm::condition::moving;
    fixture.timers.advance(milliseconds(500));
    fixture.vms[1].state = fleet_vm::condition::up;
    fixture.timers.advance(milliseconds(1400));
    cr_assert(fixture.moved == std::vector{vm_id("m0")}, "%zu moves", fixture.moved.size());
    fixture.timers.advance(milliseconds(600));
    cr_assert(fixture.moved.size() == 2, "%zu moves", fixture.moved.size());
}

// Guards against figures of an ownership that is over, which look like those of the present owner.
Test(vm_driver, shows_needs_and_division_while_it_runs) {
    vm_fixture fixture({milliseconds(1500), true});
    fixture.timers.advance(seconds(1));
    const auto shows = [&](std::string_view line) {
        return fixture.registry.text().find(line) != std::string::npos;
    };
    cr_assert(shows("citronford_pool_need_vms{pool=\"busy\",tier=\"base\"} 2"), "%s",
              fixture.registry.text().c_str());
    cr_assert(shows("citronford_pool_division_vms{pool=\"busy\"} 2"));
    fixture.driver->stop();
    cr_assert(!shows("citronford_pool"));
    vm_fixture off;
    off.timers.advance(seconds(1));
    cr_assert(off.registry.text().find("citronford_pool") == std::string::npos);
}

// Guards against rows of a wave that are written again and again although the table rejects them.
Test(vm_driver, does_not_repeat_a_row_that_the_table_rejects) {
    vm_fixture fixture;
    ALLOW_CALL(fixture.rows, wave_status_write(_, _))
        .RETURN(table_write{"status//1", _2 ? "completed" : "running"});
    ALLOW_CALL(fixture.fleet, maintain(_, _, _, _)).SIDE_EFFECT(_4(vm_order_result::carried_out));
    fixture.driver->set_wave(wave_order{1, {vm_id("m0")}, seconds(60), 1});
    for (int round = 0; round < 100; ++round) {
        fixture.timers.advance(milliseconds(100));
        while (!fixture.commits.empty()) {
            fixture.answer_commit(rejected());
        }
    }
    cr_assert(!fixture.written.empty(), "nothing was written");
    std::set<std::string> seen;
    for (const std::vector<table_write>& writes : fixture.written) {
        cr_assert(seen.insert(writes[0].key + '=' + *writes[0].value).second, "%s is repeated",
                  writes[0].key.c_str());
    }
}
