#include "mocks.h"
#include "test_support.h"

#include "node/pool_driver.h"
#include "node/request_driver.h"

using namespace citronford;
using trompeloeil::_;

namespace {

struct received_answer {
    result_code code = result_code::ok;
    run_state state = run_state::run;
    std::string body;
};
struct open_commit {
    std::vector<table_write> writes;
    table_service::commit_callback done;
};
struct sent_attempt {
    attempt_id id{};
    executor_link::attempt_callback done;
};

/// A driver with one executor of the service `booking`. Calls to the mocked interfaces are
/// recorded, and the test replies to them.
struct driver_fixture : mock_interfaces {
    team_limits limits;
    std::vector<open_commit> commits;
    std::vector<std::pair<std::string, table_service::scan_callback>> scans;
    std::vector<sent_attempt> sent;
    std::vector<executor_link::outcome_callback> outcome_queries;
    std::vector<executor_link::probe_callback> probes;
    std::vector<received_answer> answers;
    std::vector<std::unique_ptr<trompeloeil::expectation>> expectations;
    std::unique_ptr<pool_driver> pools;
    std::unique_ptr<request_driver> driver;

    driver_fixture() {
        expectations.push_back(
            NAMED_ALLOW_CALL(table, commit(_, _, _))
                .LR_SIDE_EFFECT(commits.push_back({{_2.begin(), _2.end()}, std::move(_3)})));
        expectations.push_back(
            NAMED_ALLOW_CALL(table, scan(_, _, _))
                .LR_SIDE_EFFECT(scans.emplace_back(std::string(_1), std::move(_3))));
        expectations.push_back(NAMED_ALLOW_CALL(executors, send(_, _, _))
                                   .LR_SIDE_EFFECT(sent.push_back({_2.id, std::move(_3)})));
        expectations.push_back(NAMED_ALLOW_CALL(executors, query_outcome(_, _, _))
                                   .LR_SIDE_EFFECT(outcome_queries.push_back(std::move(_3))));
        expectations.push_back(NAMED_ALLOW_CALL(executors, probe(_, _))
                                   .LR_SIDE_EFFECT(probes.push_back(std::move(_2))));
        expectations.push_back(
            NAMED_ALLOW_CALL(callers, answer(_, _))
                .LR_SIDE_EFFECT(answers.push_back({_2.code, _2.state, std::string(_2.body)})));
        const vm_listing vm{vm_id("v1"),     zone_id("a"),        rack_id("r"),
                            pool_id("book"), {"127.0.0.1", 9000}, false};
        expectations.push_back(
            NAMED_ALLOW_CALL(vms, list(_)).SIDE_EFFECT(_1(std::vector<vm_listing>{vm})));
        settings node_settings;
        node_settings.node = node_id("n1");
        node_settings.zone = zone_id("a");
        node_settings.charts = CITRONFORD_CHARTS;
        pools = *pool_driver::create(node_settings, {timers, table, vms, vm_controls});
        driver = *request_driver::create(node_settings, links(), limits, *pools);
        fleet_configuration fleet;
        fleet.defaults.services = {{.name = service_id("booking"), .pool = pool_id("book")}};
        driver->configure(fleet);
        driver->start();
        limits.set_units(team_id("sales"), 4);
    }

    void submit() {
        driver->handle(request_submission{static_cast<caller_id>(1), request_id("r1"),
                                          team_id("sales"), service_id("booking"), "body",
                                          milliseconds(1000)});
    }
    /// Replies to the last transaction.
    void reply(const absl::StatusOr<table_commit>& result) {
        const auto done = commits.back().done;
        done(result);
    }
    void report(const attempt_result& result) {
        const auto done = sent.back().done;
        done(result);
    }
    void submit_and_grant() {
        submit();
        reply(table_commit{true, 7, "", 0});
        cr_assert_eq(sent.size(), 1);
    }
    [[nodiscard]] std::string last_write() const { return *commits.back().writes.front().value; }
};

const std::string claim_r1 = claim_key(request_id("r1"));

absl::Status in_doubt() {
    return make_status(result_code::commit_in_doubt, "lost");
}

} // namespace

// Guards against a request that is refused or sent while the result of its claim is unknown.
Test(request_driver, retries_a_claim_whose_reply_was_lost) {
    driver_fixture fixture;
    fixture.submit();
    const std::string claim = fixture.last_write();
    fixture.reply(in_doubt());
    cr_assert(fixture.sent.empty() && fixture.answers.empty());
    fixture.timers.advance(milliseconds(80));
    cr_assert_eq(fixture.commits.size(), 2);
    expect_equal(fixture.last_write(), claim);
    fixture.reply(table_commit{false, 0, claim_r1, 5});
    cr_assert(fixture.sent.empty() && fixture.answers.empty());
    expect_equal(fixture.scans.back().first, claim_r1);
    fixture.scans.back().second(table_scan{{{claim_r1, claim, 5}, {claim_r1 + "0", "x", 6}}, 6});
    cr_assert_eq(fixture.sent.size(), 1);
}

// Guards against a second execution of a request id that another node claimed.
Test(request_driver, answers_a_duplicate_with_its_recorded_outcome) {
    driver_fixture fixture;
    fixture.submit();
    fixture.reply(table_commit{false, 0, claim_r1, 5});
    fixture.scans.back().second(table_scan{{{claim_r1, "done n2 i 8", 5}}, 6});
    cr_assert(fixture.sent.empty());
    cr_assert(fixture.answers.at(0).code == result_code::duplicate_request);
    expect_equal(fixture.answers.at(0).body, "done");
}

// Guards against an answer that belongs to another request, and against a second execution after
// it.
Test(request_driver, queries_the_outcome_after_a_misrouted_answer) {
    driver_fixture fixture;
    fixture.submit_and_grant();
    fixture.report(
        attempt_answered{200, "of another", false, request_id("r2"), fixture.sent[0].id});
    cr_assert(fixture.answers.empty());
    cr_assert_eq(fixture.sent.size(), 1);
    fixture.outcome_queries.at(0)(outcome_done{200, "booked"});
    expect_equal(fixture.answers.at(0).body, "booked");
    cr_assert(fixture.last_write().starts_with("done n1 "));
    cr_assert_eq(fixture.driver->open_work(), 1, "a planned stop waits for the record");
    fixture.reply(table_commit{true, 8, "", 0});
    cr_assert_eq(fixture.driver->open_work(), 0);
}

// Guards against the answer "not run" to a request whose outcome cannot be determined.
Test(request_driver, answers_unknown_without_an_outcome) {
    driver_fixture fixture;
    fixture.submit_and_grant();
    fixture.report(attempt_lost{});
    fixture.outcome_queries.at(0)(outcome_not_seen{});
    fixture.timers.advance(milliseconds(300));
    cr_assert_eq(fixture.outcome_queries.size(), 2);
    fixture.timers.advance(milliseconds(800));
    cr_assert(fixture.answers.at(0).state == run_state::unknown);
    cr_assert_eq(fixture.sent.size(), 1);
}

// Guards against non-idempotent requests that are sent without a claim while the table is
// unavailable.
Test(request_driver, refuses_non_idempotent_requests_while_the_table_is_unavailable) {
    driver_fixture fixture;
    fixture.submit();
    fixture.reply(make_status(result_code::table_unavailable, "out"));
    cr_assert(fixture.answers.at(0).state == run_state::not_run);
    cr_assert(fixture.sent.empty());
}

// Guards against a claim without an outcome after its caller was answered "not run".
Test(request_driver, records_not_run_for_a_claim_granted_too_late) {
    driver_fixture fixture;
    fixture.submit();
    fixture.timers.advance(milliseconds(1100));
    cr_assert(fixture.answers.at(0).state == run_state::not_run);
    fixture.reply(table_commit{true, 7, "", 0});
    cr_assert(fixture.sent.empty());
    cr_assert(fixture.last_write().starts_with("not_run n1 "));
}
