#include "test_support.h"

#include "citronford/service_levels.h"

#include <cmath>

using namespace citronford;

namespace {

using std::chrono::hours;
using std::chrono::minutes;

const service_id booking("booking");
const team_id sales("sales");

struct levels_fixture {
    service_levels levels;
    fleet_configuration fleet;
    instant now{hours(1000)};

    levels_fixture() {
        fleet.defaults.services = {
            {.name = booking, .pool = {}, .objective = 0.99, .latency = milliseconds(250)}};
        fleet.defaults.teams = {{.name = sales}};
        levels.configure(fleet);
    }

    void answer(result_code code, duration latency = milliseconds(5), int status = 200) {
        levels.handle(answer_given{booking, sales, code, status, latency}, now);
    }
    std::vector<service_level_effect> tick() { return levels.handle(service_level_tick{}, now); }

    /// `bad` of every 100 answers fail, one answer every 6 s.
    std::vector<service_level_effect> run(duration span, int bad) {
        std::vector<service_level_effect> effects;
        for (int index = 0; index < span / seconds(6); ++index) {
            now += seconds(6);
            answer(index * bad % 100 < bad ? result_code::no_backend_server : result_code::ok);
            const auto more = tick();
            effects.insert(effects.end(), more.begin(), more.end());
        }
        return effects;
    }
};

/// The alert of the rule with this long window, if one was raised.
const alert_raised* raised_in(const std::vector<service_level_effect>& effects, duration window) {
    for (const service_level_effect& effect : effects) {
        const auto* raised = std::get_if<alert_raised>(&effect);
        if (raised != nullptr && raised->window == window) {
            return raised;
        }
    }
    return nullptr;
}

} // namespace

// Guards against a service that is charged for its callers' own errors.
Test(service_levels, leaves_out_errors_of_callers) {
    levels_fixture fixture;
    for (const result_code code :
         {result_code::key_rejected, result_code::key_missing, result_code::missing_request_id,
          result_code::team_limit_reached, result_code::duplicate_request}) {
        fixture.answer(code);
    }
    cr_assert(fixture.levels.reports(fixture.now).empty());
    fixture.answer(result_code::key_unconfirmed);
    fixture.answer(result_code::outcome_unknown);
    const auto reports = fixture.levels.reports(fixture.now);
    cr_assert(reports.size() == 1 && reports[0].answers.total == 2 && reports[0].answers.bad == 2);
}

// Guards against slow answers and server errors of executors that count as good.
Test(service_levels, counts_late_answers_and_server_errors_as_bad) {
    levels_fixture fixture;
    fixture.answer(result_code::ok, milliseconds(250));
    fixture.answer(result_code::ok, milliseconds(251));
    fixture.answer(result_code::ok, milliseconds(5), 500);
    fixture.answer(result_code::ok, milliseconds(5), 404);
    const burn_report report = fixture.levels.reports(fixture.now).front();
    cr_assert(report.answers.total == 4 && report.answers.bad == 2);
    cr_assert(std::abs(report.budget - 0.04) < 1e-9 && std::abs(report.spent_share - 50) < 1e-9);
}

// Guards against an alert for a short burst, and against one that stays after its cause has ended.
Test(service_levels, raises_and_clears_by_both_windows) {
    levels_fixture fixture;
    cr_assert(fixture.run(hours(6), 0).empty());
    // 20% bad is a burn rate of 20, but after three minutes the hour shows a burn rate of 1.
    cr_assert(fixture.run(minutes(3), 20).empty());
    const auto effects = fixture.run(hours(1), 20);
    const alert_raised* raised = raised_in(effects, hours(1));
    cr_assert(raised != nullptr && raised->urgency == alert_urgency::page);
    cr_assert(raised_in(effects, hours(6)) == nullptr, "one hour spends less than 5% of a month");
    cr_assert(!fixture.levels.reports(fixture.now).front().alerts.empty());
    bool cleared = false;
    for (const auto& effect : fixture.run(minutes(6), 0)) {
        const auto* end = std::get_if<alert_cleared>(&effect);
        cleared = cleared || (end != nullptr && end->window == hours(1));
    }
    cr_assert(cleared, "the page of the hour must end five minutes after the failure");
}

// Guards against a slow loss that no page shows, and against a page for it.
Test(service_levels, opens_a_ticket_for_a_slow_burn) {
    levels_fixture fixture;
    const auto effects = fixture.run(hours(24), 2);
    const alert_raised* raised = raised_in(effects, hours(72));
    cr_assert(effects.size() == 1 && raised != nullptr);
    cr_assert(raised->urgency == alert_urgency::ticket);
}

// Guards against a page for one failure among few answers.
Test(service_levels, needs_enough_answers) {
    levels_fixture fixture;
    for (int index = 0; index < 19; ++index) {
        fixture.answer(result_code::no_backend_server);
    }
    cr_assert(fixture.tick().empty());
    fixture.answer(result_code::no_backend_server);
    cr_assert(!fixture.tick().empty());
}

// Guards against objectives of teams that are ignored, and against series of removed teams.
Test(service_levels, follows_exceptions_and_removals) {
    levels_fixture fixture;
    fixture.fleet.exceptions = {
        {exception_id("e1"), "service/booking", "objective", "0.9", "legacy"},
        {exception_id("e2"), "team/sales", "objective", "0.5", "trial"},
        {exception_id("e3"), "service/booking", "latency_ms", "1000", "legacy"},
        {exception_id("e4"), "team/sales", "latency_ms", "soon", "not a number"}};
    fixture.levels.configure(fixture.fleet);
    fixture.answer(result_code::ok, milliseconds(900));
    const burn_report report = fixture.levels.reports(fixture.now).front();
    cr_assert(report.objective == 0.5 && report.latency == milliseconds(1000));
    cr_assert(report.answers.bad == 0);
    fixture.fleet.defaults.teams.clear();
    fixture.levels.configure(fixture.fleet);
    cr_assert(fixture.levels.reports(fixture.now).empty());
}

// Guards against jobs that are served badly and spend no error budget, and against objectives of
// jobs that operators cannot set.
Test(service_levels, counts_jobs_against_the_objective_of_the_defaults) {
    levels_fixture fixture;
    fixture.fleet.defaults.job_objective = 0.9;
    fixture.fleet.defaults.job_wait = seconds(7);
    fixture.levels.configure(fixture.fleet);
    for (int index = 0; index < 40; ++index) {
        fixture.levels.handle(job_served{sales, index % 20 == 0}, fixture.now);
        fixture.levels.handle(job_served{team_id("stranger"), true}, fixture.now);
    }
    fixture.answer(result_code::ok);
    const auto reports = fixture.levels.reports(fixture.now);
    cr_assert_eq(reports.size(), 2,
                 "jobs and requests are counted apart, unknown teams not at all");
    cr_assert(reports[0].service.empty() && reports[0].team == sales);
    cr_assert(reports[0].answers.total == 40 && reports[0].answers.bad == 2);
    cr_assert(reports[0].objective == 0.9 && reports[0].latency == milliseconds(7000));
    cr_assert(std::abs(reports[0].spent_share - 0.5) < 1e-9);
}
