#include "test_support.h"

#include "citronford/escrow.h"
#include "citronford/overloaded.h"
#include "citronford/request_router.h"

using namespace citronford;

namespace {

constexpr duration timeout = milliseconds(1000);
const team_id sales("sales");

/// A router with the idempotent service `quote` and the non-idempotent service `booking`, on one
/// executor each.
struct router_fixture {
    team_limits limits;
    std::unique_ptr<request_router> router;
    instant now{};

    router_fixture() {
        router_options options;
        options.executors.zone = zone_id("a");
        auto created = request_router::create(
            {installed_chart("request"), installed_chart("connection")}, options, limits);
        cr_assert(created.ok(), "%s", created.status().ToString().c_str());
        router = *std::move(created);
        limits.set_units(sales, 2);
        remove_zones({});
        handle(listing(false));
    }

    void remove_zones(std::vector<zone_removal> removals) {
        fleet_configuration fleet;
        fleet.removals = std::move(removals);
        fleet.defaults.services = {{.name = service_id("quote"), .pool = {}, .idempotent = true},
                                   {.name = service_id("booking"), .pool = {}}};
        router->configure(fleet);
    }

    static executor_listing listing(bool leaving) {
        return {
            {{executor_id("q"), service_id("quote"), zone_id("a"), {"127.0.0.1", 1}, leaving},
             {executor_id("b"), service_id("booking"), zone_id("a"), {"127.0.0.1", 2}, leaving}}};
    }

    std::vector<router_effect> handle(const router_input& input) {
        return router->handle(input, now);
    }

    std::vector<router_effect> submit(std::uint64_t caller, const std::string& service,
                                      const team_id& team = sales) {
        return handle(request_submission{static_cast<caller_id>(caller),
                                         request_id("r" + std::to_string(caller)), team,
                                         service_id(service), "body", timeout});
    }

    /// Reports a successful answer to the attempt in `sent`.
    std::vector<router_effect> answer(std::uint64_t caller, const send_attempt& sent) {
        return handle(
            attempt_report{static_cast<caller_id>(caller), sent.work.id,
                           attempt_answered{200, "fine", false, sent.work.request, sent.work.id}});
    }
};

template <class Effect> const Effect* effect_of(const std::vector<router_effect>& effects) {
    for (const router_effect& effect : effects) {
        if (const auto* found = std::get_if<Effect>(&effect)) {
            return found;
        }
    }
    return nullptr;
}

} // namespace

// Guards against a false "not run" answer to an id that was run through another entry VM: a request
// that is marked as repeated may have run as long as its id was not checked in the table.
Test(request_router, refuses_a_repetition_as_unknown_before_its_claim) {
    for (const bool repeated : {false, true}) {
        router_fixture fixture;
        const auto code =
            repeated ? result_code::repetition_refused : result_code::table_unavailable;
        const auto late = repeated ? result_code::repetition_refused : result_code::deadline_passed;
        const auto submit = [&](std::uint64_t caller) {
            fixture.handle(request_submission{static_cast<caller_id>(caller), request_id("r"),
                                              sales, service_id("booking"), "body", timeout,
                                              repeated});
        };
        submit(1);
        const auto out = fixture.handle(claim_unavailable{static_cast<caller_id>(1)});
        cr_assert(effect_of<answer_caller>(out)->code == code);
        submit(2);
        fixture.now += timeout;
        const auto passed = fixture.handle(router_tick{});
        cr_assert(effect_of<answer_caller>(passed)->code == late);
        fixture.handle(router_fixture::listing(true));
        const auto refused =
            fixture.handle(request_submission{static_cast<caller_id>(3), request_id("r"), sales,
                                              service_id("booking"), "body", timeout, repeated});
        cr_assert((entry_of(effect_of<answer_caller>(refused)->code).state == run_state::unknown) ==
                  repeated);
    }
}

// Guards against the answer "unknown" to a repeated request whose granted claim shows that it did
// not run before.
Test(request_router, refuses_a_claimed_repetition_as_not_run) {
    router_fixture fixture;
    fixture.limits.set_units(sales, 0);
    fixture.handle(request_submission{static_cast<caller_id>(1), request_id("r"), sales,
                                      service_id("booking"), "body", timeout, true});
    fixture.handle(claim_granted{static_cast<caller_id>(1)});
    fixture.now += timeout;
    const auto refused = fixture.handle(router_tick{});
    cr_assert(effect_of<answer_caller>(refused)->code == result_code::team_limit_reached);
}

// Guards against sending a non-idempotent request before its id is claimed.
Test(request_router, claims_before_sending) {
    router_fixture fixture;
    const auto effects = fixture.submit(1, "booking");
    cr_assert(effect_of<commit_claim>(effects) != nullptr);
    cr_assert(effect_of<send_attempt>(effects) == nullptr);
    const auto granted = fixture.handle(claim_granted{static_cast<caller_id>(1)});
    cr_assert(effect_of<send_attempt>(granted) != nullptr);
}

// Guards against requests that wait or are refused in a removed zone while other zones have free
// slots, and against traffic between zones after the zone was restored.
Test(request_router, uses_other_zones_while_own_zone_is_removed) {
    router_fixture fixture;
    executor_listing both = router_fixture::listing(false);
    both.executors.push_back(
        {executor_id("qb"), service_id("quote"), zone_id("b"), {"127.0.0.1", 3}, false});
    fixture.handle(both);
    fixture.remove_zones({zone_removal{zone_id("a"), "power work"}});
    const auto during = fixture.submit(1, "quote");
    const auto* remote = effect_of<send_attempt>(during);
    cr_assert(remote != nullptr);
    cr_assert_eq(remote->to.port, 3);
    fixture.answer(1, *remote);
    fixture.remove_zones({});
    const auto after = fixture.submit(2, "quote");
    cr_assert_eq(effect_of<send_attempt>(after)->to.port, 1);
}

// Guards against a request that still runs after the units of its node, which lost its
// registration, have returned to the fleet.
Test(request_router, shortens_a_timeout_beyond_the_return_of_units) {
    router_fixture fixture;
    const auto effects = fixture.handle(request_submission{
        static_cast<caller_id>(1), request_id("r1"), sales, service_id("quote"), "", seconds(60)});
    cr_assert(effect_of<send_attempt>(effects)->work.timeout == escrow_options().backend_lease);
}

// Guards against a second execution of a non-idempotent request whose answer was lost.
Test(request_router, queries_the_outcome_of_a_lost_attempt) {
    router_fixture fixture;
    fixture.submit(1, "booking");
    const auto sent = fixture.handle(claim_granted{static_cast<caller_id>(1)});
    const attempt_id attempt = effect_of<send_attempt>(sent)->work.id;
    const auto lost =
        fixture.handle(attempt_report{static_cast<caller_id>(1), attempt, attempt_lost{}});
    cr_assert(effect_of<send_attempt>(lost) == nullptr);
    cr_assert(effect_of<query_outcome>(lost) != nullptr);
    const auto known =
        fixture.handle(outcome_report{static_cast<caller_id>(1), outcome_done{200, "booked"}});
    expect_equal(effect_of<answer_caller>(known)->body, "booked");
}

// Guards against a false "not run" answer if the outcome of a request cannot be determined.
Test(request_router, answers_unknown_when_the_outcome_cannot_be_determined) {
    router_fixture fixture;
    fixture.submit(1, "booking");
    const auto sent = fixture.handle(claim_granted{static_cast<caller_id>(1)});
    const attempt_id attempt = effect_of<send_attempt>(sent)->work.id;
    fixture.handle(attempt_report{static_cast<caller_id>(1), attempt, attempt_lost{}});
    fixture.handle(outcome_report{static_cast<caller_id>(1), outcome_unavailable{}});
    fixture.now += timeout;
    const auto answer = fixture.handle(router_tick{});
    cr_assert(effect_of<answer_caller>(answer)->code == result_code::outcome_unknown);
}

// Guards against a team that runs more requests than it has units.
Test(request_router, stays_within_the_units_of_a_team) {
    router_fixture fixture;
    cr_assert(effect_of<send_attempt>(fixture.submit(1, "quote")) != nullptr);
    cr_assert(effect_of<send_attempt>(fixture.submit(2, "quote")) != nullptr);
    cr_assert(effect_of<send_attempt>(fixture.submit(3, "quote")) == nullptr);
    fixture.now += timeout;
    const auto refused = fixture.handle(router_tick{});
    cr_assert(effect_of<answer_caller>(refused)->code == result_code::team_limit_reached);
}

// Guards against demand that is missed because the requests end between two readings.
Test(request_router, counts_the_peak_slots_since_the_last_reading) {
    router_fixture fixture;
    const service_id quote("quote");
    fixture.limits.set_units(sales, 8);
    const auto first = fixture.submit(1, "quote");
    const auto second = fixture.submit(2, "quote");
    fixture.answer(1, *effect_of<send_attempt>(first));
    fixture.answer(2, *effect_of<send_attempt>(second));
    cr_assert(fixture.router->open_requests() == 0);
    cr_assert(fixture.router->take_peak_slots().at(quote) == 2);
    cr_assert(fixture.router->take_peak_slots().at(quote) == 0);
}

// Guards against a reading that resets the demand to zero while requests run or wait.
Test(request_router, counts_open_and_waiting_requests_at_every_reading) {
    router_fixture fixture;
    const service_id quote("quote");
    fixture.limits.set_units(sales, 1);
    const auto sent = fixture.submit(1, "quote");
    fixture.submit(2, "quote");
    cr_assert(fixture.router->take_peak_slots().at(quote) == 2);
    cr_assert(fixture.router->take_peak_slots().at(quote) == 2);
    fixture.answer(1, *effect_of<send_attempt>(sent));
    fixture.router->take_peak_slots();
    cr_assert(fixture.router->take_peak_slots().at(quote) == 1);
}

// Guards against new requests to an executor that is leaving.
Test(request_router, sends_nothing_to_a_leaving_executor) {
    router_fixture fixture;
    fixture.handle(router_fixture::listing(true));
    cr_assert(effect_of<send_attempt>(fixture.submit(1, "quote")) == nullptr);
}

// Guards against a false "not run" answer to a request that was lost and then queued for a retry.
Test(request_router, a_lost_request_is_never_refused_as_not_run) {
    router_fixture fixture;
    const auto sent = fixture.submit(1, "quote");
    const attempt_id attempt = effect_of<send_attempt>(sent)->work.id;
    fixture.handle(attempt_report{static_cast<caller_id>(1), attempt, attempt_lost{}});
    fixture.now += timeout;
    const auto answer = fixture.handle(router_tick{});
    cr_assert(effect_of<answer_caller>(answer)->code == result_code::outcome_unknown);
}

// Guards against the answer to another request that arrives on the connection of this one.
Test(request_router, a_misrouted_answer_counts_as_lost) {
    router_fixture fixture;
    fixture.submit(1, "booking");
    const auto sent = fixture.handle(claim_granted{static_cast<caller_id>(1)});
    const attempt_id attempt = effect_of<send_attempt>(sent)->work.id;
    const auto misrouted = fixture.handle(
        attempt_report{static_cast<caller_id>(1), attempt,
                       attempt_answered{200, "other", false, request_id("r9"), attempt}});
    cr_assert(effect_of<answer_caller>(misrouted) == nullptr);
    cr_assert(effect_of<query_outcome>(misrouted) != nullptr);
}

// Guards against a team at its limit that delays the requests of other teams.
Test(request_router, a_team_at_its_limit_blocks_no_other) {
    router_fixture fixture;
    fixture.limits.set_units(sales, 1);
    const team_id stock("stock");
    fixture.limits.set_units(stock, 1);
    const auto first = fixture.submit(1, "quote");
    cr_assert(effect_of<send_attempt>(fixture.submit(2, "quote")) == nullptr);
    cr_assert(effect_of<send_attempt>(fixture.submit(3, "quote", stock)) != nullptr);
    const auto next = fixture.answer(1, *effect_of<send_attempt>(first));
    cr_assert(effect_of<send_attempt>(next)->caller == static_cast<caller_id>(2));
}

// Guards against a stale listing that brings back an executor after it announced its departure.
Test(request_router, a_stale_listing_does_not_restore_a_leaving_executor) {
    router_fixture fixture;
    fixture.handle(probe_report{executor_id("q"), true, true});
    fixture.handle(router_fixture::listing(false));
    fixture.now += milliseconds(50000);
    fixture.handle(router_tick{});
    fixture.handle(probe_report{executor_id("q"), true, false});
    const auto refused = fixture.submit(1, "quote");
    cr_assert(effect_of<answer_caller>(refused)->code == result_code::no_backend_server);
    fixture.now += milliseconds(11000);
    cr_assert(effect_of<probe_executor>(fixture.handle(router_tick{})) != nullptr);
    fixture.handle(probe_report{executor_id("q"), true, false});
    cr_assert(effect_of<send_attempt>(fixture.submit(2, "quote")) != nullptr);
}

// Guards against the ejection of an executor because of one unresponsive connection, and against
// requests to an executor that has failed.
Test(request_router, a_probe_tells_an_unresponsive_connection_from_a_failed_executor) {
    for (const bool alive : {true, false}) {
        router_fixture fixture;
        const auto sent = fixture.submit(1, "quote");
        const attempt_id attempt = effect_of<send_attempt>(sent)->work.id;
        const auto lost =
            fixture.handle(attempt_report{static_cast<caller_id>(1), attempt, attempt_lost{}});
        cr_assert(effect_of<probe_executor>(lost) != nullptr);
        cr_assert(effect_of<send_attempt>(lost) == nullptr);
        const auto probed = fixture.handle(probe_report{executor_id("q"), alive, false});
        cr_assert((effect_of<send_attempt>(probed) != nullptr) == alive);
    }
}

// Guards against requests that wait in the queue although they cannot meet their deadline.
Test(request_router, refuses_early_what_cannot_meet_its_deadline) {
    router_fixture fixture;
    fixture.limits.set_units(sales, 1000);
    const auto first = fixture.submit(1, "quote");
    fixture.now += milliseconds(600);
    fixture.answer(1, *effect_of<send_attempt>(first));
    for (std::uint64_t caller = 2; caller < 10; ++caller) {
        cr_assert(effect_of<send_attempt>(fixture.submit(caller, "quote")) != nullptr);
    }
    std::uint64_t waiting = 10;
    while (effect_of<answer_caller>(fixture.submit(waiting, "quote")) == nullptr) {
        ++waiting;
    }
    // 8 slots of 600 ms finish a request every 75 ms, and the last start in time is after 400 ms.
    cr_assert(waiting >= 14 && waiting <= 17, "%llu requests until the first refusal",
              static_cast<unsigned long long>(waiting));
    cr_assert_eq(fixture.router->counters().shed, 1);
}

// Guards against a hedge that exceeds the units of its team, and against two answers to a hedged
// request.
Test(request_router, hedges_a_slow_idempotent_request_once) {
    router_fixture fixture;
    executor_listing two = router_fixture::listing(false);
    two.executors.push_back(
        {executor_id("q2"), service_id("quote"), zone_id("a"), {"127.0.0.1", 3}, false});
    fixture.handle(two);
    const auto first = fixture.submit(1, "quote");
    fixture.now += milliseconds(50);
    fixture.answer(1, *effect_of<send_attempt>(first));
    const auto slow = fixture.submit(2, "quote");
    fixture.now += milliseconds(60);
    const auto hedged = fixture.handle(router_tick{});
    const auto* hedge = effect_of<send_attempt>(hedged);
    cr_assert(hedge != nullptr && hedge->to != effect_of<send_attempt>(slow)->to);
    cr_assert(effect_of<send_attempt>(fixture.submit(3, "quote")) == nullptr,
              "the hedge uses a unit of the team");
    cr_assert(effect_of<answer_caller>(fixture.answer(2, *hedge)) != nullptr);
    const auto late = fixture.answer(2, *effect_of<send_attempt>(slow));
    cr_assert(effect_of<answer_caller>(late) == nullptr);
    cr_assert_eq(fixture.router->counters().hedges, 1);
}
