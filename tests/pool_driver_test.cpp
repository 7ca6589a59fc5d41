#include "mocks.h"

#include "citronford/manual_timer_service.h"
#include "citronford/result_code.h"
#include "io/vm_codec.h"
#include "node/pool_driver.h"

#include <algorithm>
#include <map>

using namespace citronford;
using trompeloeil::_;

namespace {

const pool_id quote("quote");
const pool_id ledger("ledger");
const vm_id first("v0");

/// A driver with mocks of its interfaces; the mock table stores rows and checks versions.
struct driver_fixture {
    manual_timer_service timers;
    mock_table_service table;
    mock_vm_list vms;
    mock_vm_control vm_controls;
    std::map<std::string, table_row> rows;
    table_version version = 0;
    bool outage = false;
    std::vector<std::vector<table_check>> checked;
    std::size_t rows_read = 0;
    std::vector<std::unique_ptr<trompeloeil::expectation>> expectations;
    std::unique_ptr<pool_driver> driver;

    driver_fixture() {
        expectations.push_back(
            NAMED_ALLOW_CALL(table, scan(_, _, _)).SIDE_EFFECT(scan(_1, _2, _3)));
        expectations.push_back(
            NAMED_ALLOW_CALL(table, commit(_, _, _)).SIDE_EFFECT(commit(_1, _2, _3)));
        expectations.push_back(NAMED_ALLOW_CALL(vms, list(_)).SIDE_EFFECT(_1(listing())));
        expectations.push_back(
            NAMED_ALLOW_CALL(vm_controls, query_status(_, _))
                .SIDE_EFFECT(_2(make_status(result_code::table_unavailable, ""))));
        settings own;
        own.node = node_id("n");
        own.charts = CITRONFORD_CHARTS;
        auto created = pool_driver::create(own, {timers, table, vms, vm_controls});
        cr_assert(created.ok());
        driver = *std::move(created);
        fleet_configuration fleet;
        fleet.defaults.pools = {{quote, 2, 1, ledger}, {ledger, 0, 1, pool_id()}};
        driver->configure(fleet);
        driver->start();
        const node_id self("n");
        driver->set_members(std::span(&self, 1));
        timers.advance(seconds(4));
    }

    static std::vector<vm_listing> listing() {
        return {{first, zone_id("a"), rack_id("r"), quote, {}, false},
                {vm_id("v1"), zone_id("b"), rack_id("s"), quote, {}, false}};
    }

    void scan(std::string_view prefix, table_version since,
              const table_service::scan_callback& done) {
        if (outage) {
            done(make_status(result_code::table_unavailable, "outage"));
            return;
        }
        table_scan result{{}, version};
        for (const auto& [key, row] : rows) {
            if (key.starts_with(prefix) && row.version > since) {
                result.rows.push_back(row);
            }
        }
        rows_read += result.rows.size();
        done(result);
    }

    void commit(std::span<const table_check> checks, std::span<const table_write> writes,
                const table_service::commit_callback& done) {
        if (outage) {
            done(make_status(result_code::table_unavailable, "outage"));
            return;
        }
        checked.emplace_back(checks.begin(), checks.end());
        for (const table_check& check : checks) {
            const table_version present = rows[check.key].version;
            if (present != check.version) {
                done(table_commit{false, 0, check.key, present});
                return;
            }
        }
        ++version;
        for (const table_write& write : writes) {
            rows[write.key] = {write.key, write.value, version};
        }
        done(table_commit{true, version, {}, 0});
    }

    absl::StatusOr<table_version> move(const vm_id& vm, const pool_id& target) {
        absl::StatusOr<table_version> result = absl::UnknownError("the callback was not called");
        driver->move(vm, target, "load",
                     [&](absl::StatusOr<table_version> answer) { result = std::move(answer); });
        return result;
    }
};

} // namespace

// Guards against a write of a VM row that does not check both the lease and the version of the row.
Test(pool_driver, checks_the_lease_and_every_row_it_writes) {
    driver_fixture fixture;
    cr_assert(fixture.driver->pool_of(first) == quote);
    const auto expectation = NAMED_ALLOW_CALL(fixture.vm_controls, drain(first, _, _));
    cr_assert(fixture.move(first, ledger).ok());
    fixture.checked.clear();
    fixture.timers.advance(seconds(1));
    const auto writes_first = std::ranges::find_if(fixture.checked, [](const auto& checks) {
        return checks.size() == 2 && checks[1].key == "vm/v0";
    });
    cr_assert(writes_first != fixture.checked.end());
    cr_assert((*writes_first)[0].key == "lease/pool/quote" && (*writes_first)[0].version != 0);
    cr_assert((*writes_first)[1].version != absent_row);
    cr_assert(!fixture.driver->in_service(first));
}

// Guards against reporting success to both of two operators who order conflicting moves.
Test(pool_driver, rejects_a_conflicting_move_with_the_committed_version) {
    driver_fixture fixture;
    // Another node has committed a move that this node has not read yet.
    pool_rows_read read;
    cr_assert(add_row(fixture.rows.at("vm/v0"), read).ok());
    vm_record winner = read.vms.at(0).row;
    winner.target = ledger;
    const table_write write = vm_row_write(winner);
    fixture.rows[write.key] = {write.key, write.value, ++fixture.version};
    const auto answer = fixture.move(first, ledger);
    cr_assert(code_of(answer.status()) == result_code::conflict);
    cr_assert(message_of(answer.status()).find(std::to_string(fixture.version)) !=
              std::string_view::npos);
}

// Guards against polls that read unchanged rows again.
Test(pool_driver, reads_only_the_rows_that_changed) {
    driver_fixture fixture;
    const table_version version = fixture.version;
    fixture.rows_read = 0;
    fixture.timers.advance(seconds(60));
    // Each transaction within this minute renewed one lease, whose row is read once.
    cr_assert(fixture.rows_read > 0 && fixture.rows_read <= fixture.version - version);
}

// Guards against orders that are sent although their row could not be written.
Test(pool_driver, orders_nothing_during_a_platform_outage) {
    driver_fixture fixture;
    cr_assert(fixture.move(first, ledger).ok());
    fixture.outage = true;
    cr_assert(code_of(fixture.move(vm_id("v1"), ledger).status()) ==
              result_code::table_unavailable);
    FORBID_CALL(fixture.vm_controls, drain(_, _, _));
    fixture.timers.advance(seconds(30));
}

// Guards against a field of a VM row that is lost when the row is stored and parsed.
Test(pool_driver, keeps_every_field_of_a_vm_row) {
    vm_record row;
    row.id = first;
    row.pool = quote;
    row.zone = zone_id("a");
    row.rack = rack_id("r");
    row.state = vm_states::moving;
    row.step = vm_step::lend;
    row.target = ledger;
    row.home = pool_id("home");
    row.reason = "load";
    row.maintained = 7;
    row.order = 8;
    row.epoch = 9;
    const table_write write = vm_row_write(row);
    pool_rows_read read;
    cr_assert(add_row({write.key, write.value, 3}, read).ok());
    const vm_record& copy = read.vms.at(0).row;
    expect_equal(*vm_row_write(copy).value, *write.value);
    cr_assert(copy.id == first && copy.step == vm_step::lend && copy.order == 8);
    cr_assert(code_of(add_row({"vm/v0", "{", 3}, read)) == result_code::malformed_body);
}
