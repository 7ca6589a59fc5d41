#include "test_support.h"

#include "citronford/overloaded.h"
#include "citronford/request_router.h"

using namespace citronford;

namespace {

constexpr duration timeout = milliseconds(1000);
const team_id sales("sales");

/// A router with one idempotent service `quote` and one other, `booking`, on one executor each.
struct router_fixture {
    team_limits limits;
    std::unique_ptr<request_router> router;
    instant now{};

    router_fixture() {
        auto created = request_router::create(installed_chart("request"), {}, limits);
        cr_assert(created.ok(), "%s", created.status().ToString().c_str());
        router = *std::move(created);
        limits.set_units(sales, 2);
        fleet_configuration fleet;
        fleet.defaults.services = {{.name = service_id("quote"), .pool = {}, .idempotent = true},
                                   {.name = service_id("booking"), .pool = {}}};
        router->configure(fleet);
        handle(listing(false));
    }

    static executor_listing listing(bool leaving) {
        return {
            {{executor_id("q"), service_id("quote"), zone_id("a"), {"127.0.0.1", 1}, leaving},
             {executor_id("b"), service_id("booking"), zone_id("a"), {"127.0.0.1", 2}, leaving}}};
    }

    std::vector<router_effect> handle(const router_input& input) {
        return router->handle(input, now);
    }

    std::vector<router_effect> submit(std::uint64_t caller, const std::string& service) {
        return handle(request_submission{static_cast<caller_id>(caller),
                                         request_id("r" + std::to_string(caller)), sales,
                                         service_id(service), "body", timeout});
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

// Guards against sending a non-idempotent request before its id is claimed.
Test(request_router, claims_before_sending) {
    router_fixture fixture;
    const auto effects = fixture.submit(1, "booking");
    cr_assert(effect_of<commit_claim>(effects) != nullptr);
    cr_assert(effect_of<send_attempt>(effects) == nullptr);
    const auto granted = fixture.handle(claim_granted{static_cast<caller_id>(1)});
    cr_assert(effect_of<send_attempt>(granted) != nullptr);
}

// Guards against a second execution of a non-idempotent request whose answer was lost.
Test(request_router, asks_for_the_outcome_of_a_lost_attempt) {
    router_fixture fixture;
    fixture.submit(1, "booking");
    const auto sent = fixture.handle(claim_granted{static_cast<caller_id>(1)});
    const attempt_id attempt = effect_of<send_attempt>(sent)->work.id;
    const auto lost =
        fixture.handle(attempt_report{static_cast<caller_id>(1), attempt, attempt_lost{}});
    cr_assert(effect_of<send_attempt>(lost) == nullptr);
    cr_assert(effect_of<ask_outcome>(lost) != nullptr);
    const auto known =
        fixture.handle(outcome_report{static_cast<caller_id>(1), outcome_done{200, "booked"}});
    expect_equal(effect_of<answer_caller>(known)->body, "booked");
}

// Guards against a false "not run" when the outcome of a request cannot be learned.
Test(request_router, answers_unknown_when_the_outcome_cannot_be_learned) {
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

// Guards against more running requests of a team than its units.
Test(request_router, stays_within_the_units_of_a_team) {
    router_fixture fixture;
    cr_assert(effect_of<send_attempt>(fixture.submit(1, "quote")) != nullptr);
    cr_assert(effect_of<send_attempt>(fixture.submit(2, "quote")) != nullptr);
    cr_assert(effect_of<send_attempt>(fixture.submit(3, "quote")) == nullptr);
    fixture.now += timeout;
    const auto refused = fixture.handle(router_tick{});
    cr_assert(effect_of<answer_caller>(refused)->code == result_code::team_limit_reached);
}

// Guards against new work for an executor that leaves.
Test(request_router, sends_nothing_to_a_leaving_executor) {
    router_fixture fixture;
    fixture.handle(router_fixture::listing(true));
    cr_assert(effect_of<send_attempt>(fixture.submit(1, "quote")) == nullptr);
}
