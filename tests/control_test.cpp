#include "test_support.h"

#include "citronford/configuration.h"
#include "citronford/manual_timer_service.h"
#include "io/control_codec.h"
#include "mocks.h"
#include "node/control_driver.h"

using namespace citronford;
using trompeloeil::_;

namespace {

const team_id sales("sales");

membership_options options_of(const std::string& name) {
    membership_options options;
    options.self = {node_id(name), 1};
    options.zone = zone_id("z");
    options.address = {"127.0.0.1", 1};
    return options;
}

/// The decisions of node `a`, registered, beside node `b`.
struct control_fixture {
    std::unique_ptr<membership> members;
    team_limits limits;
    std::unique_ptr<escrow> units;
    std::unique_ptr<configuration> fleet;
    instant now{seconds(1000)};
    const member_id b{node_id("b"), 1};

    control_fixture() {
        members = *membership::create(installed_chart("lease"), installed_chart("member"),
                                      options_of("a"));
        units = std::make_unique<escrow>(*members, limits, escrow_options{});
        fleet = *configuration::create(installed_chart("configuration_change"),
                                       installed_chart("key"), *members, *units, {});
        read(1);
        members->handle(membership_tick{}, now);
        members->handle(registration_written{now, write_outcome::committed, 2}, now);
        fleet->handle(configuration_read{now, {}, 0, {}}, now);
    }

    void read(table_version version) {
        now += milliseconds(1);
        registrations_read rows{now, {{{b, zone_id("z"), {"127.0.0.1", 2}}, 1}}, version};
        if (members->registered()) {
            rows.rows.push_back({{members->self(), zone_id("z"), {"127.0.0.1", 1}}, 2});
        }
        members->handle(rows, now);
    }

    void answer_probe(bool in_doubt = false) {
        now += seconds(1);
        members->handle(membership_tick{}, now);
        peer_heartbeat answer;
        answer.echo_us = now.time_since_epoch().count();
        answer.commit_in_doubt = in_doubt;
        answer.confirmation_age = seconds(60);
        members->handle(heartbeat_heard{b, answer}, now);
        fleet->handle(peers_changed{}, now);
    }
};

escrow_row row_of(std::int64_t limit, std::map<member_id, std::int64_t> units,
                  table_version version) {
    escrow_row row;
    row.limit = limit;
    row.units = std::move(units);
    row.version = version;
    return row;
}

} // namespace

// Guards against a change by a node that another node does not know and so cannot ask about.
Test(configuration, refuses_a_change_until_every_member_knows_the_node) {
    control_fixture fixture;
    const change_asked asked{change_id{1}, remove_zone{{zone_id("z"), "test"}}, false};
    const auto refused = fixture.fleet->handle(asked, fixture.now);
    cr_assert(code_of(std::get<answer_change>(refused.at(0)).status) == result_code::node_joining);
    fixture.answer_probe();
    const auto accepted = fixture.fleet->handle(asked, fixture.now);
    cr_assert(std::holds_alternative<commit_change>(accepted.at(0)));
}

// Guards against an exception without effect: a zone that may go on for a minute without
// confirmation, but whose units of the teams' limits end with a registration of ten seconds.
Test(membership, holds_the_registration_as_long_as_the_confirmation_limit) {
    control_fixture fixture;
    const auto effects = fixture.members->handle(confirmation_limit_set{seconds(60)}, fixture.now);
    const auto& write = std::get<write_registration>(effects.at(0));
    cr_assert(write.registration.lease == seconds(60));
    // The longer lease counts from the write that was confirmed.
    cr_assert(fixture.members->held_until() <= fixture.now + seconds(10));
    fixture.members->handle(registration_written{write.sent_at, write_outcome::committed, 3},
                            fixture.now);
    cr_assert(fixture.members->held_until() == fixture.now + seconds(60));
    // A write without reply may have shortened it.
    fixture.members->handle(confirmation_limit_set{seconds(3)}, fixture.now);
    cr_assert(fixture.members->held_until() == fixture.now + seconds(10));
}

// Guards against the deletion of a registration whose holder relies on a longer lease than others.
Test(membership, deletes_no_registration_within_its_lease) {
    control_fixture fixture;
    fixture.answer_probe();
    const auto read = [&](duration lease) {
        fixture.members->handle(
            registrations_read{fixture.now,
                               {{{fixture.b, zone_id("z"), {"127.0.0.1", 2}, lease}, 3},
                                {{fixture.members->self(), zone_id("z"), {"127.0.0.1", 1}}, 2}},
                               3},
            fixture.now);
    };
    const auto erased_within = [&](duration span) {
        bool erased = false;
        for (const instant end = fixture.now + span; fixture.now < end;) {
            fixture.now += milliseconds(500);
            fixture.members->handle(peer_refused{fixture.b.node, fixture.now}, fixture.now);
            for (const auto& effect : fixture.members->handle(membership_tick{}, fixture.now)) {
                erased = erased || std::holds_alternative<erase_registration>(effect);
            }
        }
        return erased;
    };
    read(seconds(60));
    cr_assert(!erased_within(seconds(60)));
    cr_assert(erased_within(seconds(10)));
}

// Guards against a confirmation limit below the time for which a refused connection is trusted.
Test(configuration, refuses_a_confirmation_limit_that_is_too_short) {
    fleet_defaults defaults;
    defaults.key_confirmation_limit = milliseconds(1999);
    cr_assert(!validated(set_defaults{defaults}, {}).ok());
    exception_rule rule{exception_id("e"), "zone/z", "key_confirmation_limit_ms", "1999", "test"};
    cr_assert(!validated(add_exception{rule}, {}).ok());
    rule.value = "2000";
    cr_assert(validated(add_exception{rule}, {}).ok());
}

// Guards against a confirmation by unanimity while a member may have committed a change.
Test(configuration, is_confirmed_by_all_members_unless_one_is_in_doubt) {
    control_fixture fixture;
    fixture.answer_probe(true);
    const instant before = fixture.fleet->confirmed_at();
    fixture.answer_probe(false);
    cr_assert(fixture.fleet->confirmed_at() == fixture.now);
    cr_assert(before < fixture.now - seconds(1));
}

// Guards against an older first scan that replaces a version received from a peer.
Test(configuration, keeps_a_pushed_version_over_an_older_scan) {
    control_fixture fixture;
    fleet_configuration newer;
    newer.version = 3;
    fixture.fleet->handle(configuration_pushed{fixture.b, newer, 9}, fixture.now);
    fixture.fleet->handle(configuration_read{fixture.now, {}, 0, {}}, fixture.now);
    cr_assert(fixture.fleet->fleet().version == 3);
}

// Guards against a deleted registration that goes unnoticed while a renewal is under way.
Test(membership, loses_its_registration_during_a_renewal) {
    control_fixture fixture;
    fixture.now += seconds(5);
    fixture.members->handle(membership_tick{}, fixture.now);
    fixture.members->handle(registrations_read{fixture.now, {}, 9}, fixture.now);
    cr_assert(!fixture.members->registered());
    cr_assert(fixture.members->self().incarnation == 2);
}

// Guards against an answer that promises to keep a registration which may just have been deleted.
Test(membership, does_not_answer_a_probe_after_it_deleted_the_sender) {
    control_fixture fixture;
    fixture.answer_probe();
    fixture.now += seconds(20);
    fixture.members->handle(membership_tick{}, fixture.now);
    fixture.now += seconds(2);
    fixture.members->handle(membership_tick{}, fixture.now);
    peer_heartbeat probe;
    probe.probe_us = 1;
    cr_assert(fixture.members->handle(heartbeat_heard{fixture.b, probe}, fixture.now).empty());
}

// Guards against a transfer message that adds its units twice.
Test(escrow, applies_a_transfer_once) {
    control_fixture fixture;
    fixture.answer_probe();
    fixture.units->handle(escrow_limits{1, {{sales, 10}}}, fixture.now);
    fixture.units->handle(escrow_read{{{sales, row_of(10, {{fixture.b, 10}}, 5)}}}, fixture.now);
    const unit_transfer_heard heard{fixture.b, {sales, 4, fixture.now.time_since_epoch().count()}};
    fixture.units->handle(heard, fixture.now);
    fixture.units->handle(heard, fixture.now);
    cr_assert(fixture.limits.units(sales) == 4);
    cr_assert(fixture.units->unrecorded().size() == 1);
}

// Guards against units that are used again while the write that gave them up may still arrive.
Test(escrow, holds_back_released_units_after_a_conflict) {
    control_fixture fixture;
    fixture.answer_probe();
    const member_id a = fixture.members->self();
    fixture.units->handle(escrow_limits{1, {{sales, 10}}}, fixture.now);
    fixture.units->handle(escrow_read{{{sales, row_of(10, {{a, 10}}, 5)}}}, fixture.now);
    fixture.units->handle(escrow_limits{2, {{sales, 4}}}, fixture.now);
    fixture.units->handle(escrow_tick{}, fixture.now);
    fixture.units->handle(escrow_written{1, write_outcome::conflict, 0}, fixture.now);
    fixture.units->handle(escrow_limits{3, {{sales, 10}}}, fixture.now);
    cr_assert(fixture.limits.units(sales) == 4);
}

// Guards against a node without units that can run nothing for long when the one that has all is
// lost.
Test(escrow, gives_idle_units_back_for_a_member_without_any) {
    control_fixture fixture;
    fixture.answer_probe();
    const member_id a = fixture.members->self();
    fixture.units->handle(escrow_limits{1, {{sales, 10}}}, fixture.now);
    fixture.units->handle(escrow_read{{{sales, row_of(10, {{a, 10}}, 5)}}}, fixture.now);
    for (int count = 0; count < 7; ++count) {
        fixture.limits.acquire(sales);
    }
    const auto written = [&] {
        fixture.now += seconds(1);
        const auto effects = fixture.units->handle(escrow_tick{}, fixture.now);
        return effects.empty() ? -1
                               : std::get<write_escrow>(effects.at(0)).rows.at(sales).units.at(a);
    };
    cr_assert(written() == 7);
    // The write may have arrived or may still arrive.
    cr_assert(fixture.limits.units(sales) == 7);
}

// Guards against table writes without end: a member that gives its units away on request gets them
// back.
Test(escrow, gives_nothing_back_for_a_member_that_gave_its_units_away) {
    control_fixture fixture;
    fixture.answer_probe();
    const member_id a = fixture.members->self();
    escrow_row row = row_of(10, {{a, 10}}, 5);
    row.moved[{fixture.b, a}] = 5;
    fixture.units->handle(escrow_limits{1, {{sales, 10}}}, fixture.now);
    fixture.units->handle(escrow_read{{{sales, row}}}, fixture.now);
    cr_assert(fixture.units->handle(escrow_tick{}, fixture.now).empty());
}

// Guards against a node with waiting work that takes the units which a member is about to take.
Test(escrow, leaves_each_member_its_even_part) {
    control_fixture fixture;
    fixture.answer_probe();
    const member_id a = fixture.members->self();
    fixture.units->handle(escrow_limits{1, {{sales, 10}}}, fixture.now);
    fixture.units->handle(escrow_read{{{sales, row_of(10, {{a, 5}}, 5)}}}, fixture.now);
    while (fixture.limits.acquire(sales)) {
    }
    cr_assert(fixture.units->handle(escrow_tick{}, fixture.now).empty());
}

// Guards against units that move back and forth while the node has work waiting for them.
Test(escrow, keeps_its_units_while_work_waits) {
    control_fixture fixture;
    fixture.answer_probe();
    const member_id a = fixture.members->self();
    fixture.units->handle(escrow_limits{1, {{sales, 10}}}, fixture.now);
    fixture.units->handle(escrow_read{{{sales, row_of(10, {{a, 10}}, 5)}}}, fixture.now);
    for (int count = 0; count < 11; ++count) {
        fixture.limits.acquire(sales);
    }
    for (int count = 0; count < 10; ++count) {
        fixture.limits.release(sales);
    }
    cr_assert(fixture.units->handle(escrow_tick{}, fixture.now).empty());
    fixture.now += seconds(2);
    cr_assert(!fixture.units->handle(escrow_tick{}, fixture.now).empty());
}

// Guards against a paused node that starts work with units it lost meanwhile.
Test(team_limits, acquires_nothing_after_the_registration_ended) {
    team_limits limits;
    limits.set_units(sales, 1);
    limits.set_held_until(instant(seconds(10)));
    limits.set_now(instant(seconds(11)));
    cr_assert(!limits.acquire(sales));
    cr_assert(limits.renewable(sales) == 0);
}

// Guards against a node that goes on without having read the table, or registers before it did.
Test(control_driver, reads_the_table_before_it_registers) {
    manual_timer_service timers;
    mock_table_service table;
    mock_peer_link peers;
    settings own;
    own.node = node_id("a");
    own.charts = CITRONFORD_CHARTS;
    team_limits limits;
    std::vector<std::pair<std::string, table_service::scan_callback>> scans;
    ALLOW_CALL(table, scan(_, _, _)).LR_SIDE_EFFECT(scans.emplace_back(std::string(_1), _3));
    ALLOW_CALL(peers, on_receive(_, _));
    auto driver = control_driver::create(own, {timers, table, peers}, limits);
    cr_assert(driver.ok());
    (*driver)->start();
    timers.advance(seconds(1));
    cr_assert(scans.size() == 1 && !(*driver)->loaded());
    REQUIRE_CALL(table, commit(_, _, _)).WITH(_1[0].key == "node/a" && _1[0].version == 0);
    for (std::size_t index = 0; index < 3; ++index) {
        const auto done = scans.at(index).second;
        done(table_scan{{}, 1});
    }
    cr_assert((*driver)->loaded());
    timers.advance(milliseconds(200));
}
