#include "shares_fixture.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <vector>

// Shares of teams in the dispatcher: one team fills two pools, and another one has less than its
// part of the fleet.

using namespace citronford;

// Guards against a team that fills all pools and goes on filling them while another team waits with
// less than its part of the fleet: the cores that become free must go to the other team, up to half
// of the fleet and no further.
Test(dispatcher_shares, return_lent_cores_of_two_pools) {
    shares_fixture fixture(true);
    fixture.flood();
    cr_assert(fixture.decisions->teams_over_share() == std::vector{flooding});
    cr_assert(fixture.logged("team_over_share") == 1);
    const dispatch_counts counts = fixture.decisions->counts();
    cr_assert(counts.teams_over_share == 1);
    cr_assert(counts.team_shares.size() == 2);
    cr_assert(counts.team_shares.front().used_millicores == 16000);
    cr_assert(std::abs(counts.team_shares.front().part_millicores - 8000) < 1);

    fixture.end_tasks("server-a", 3);
    fixture.end_tasks("server-b", 3);
    fixture.step();
    fixture.step();
    cr_assert(fixture.running(modest) == 6, "%td", fixture.running(modest));
    fixture.end_tasks("server-a", 2);
    fixture.step();
    fixture.step();
    cr_assert(fixture.running(modest) == 8);
    // Both teams have their part now, so the earliest work goes first again.
    for (int round = 0; round < 6; ++round) {
        fixture.step();
    }
    cr_assert(fixture.decisions->teams_over_share().empty());
    cr_assert(fixture.running(flooding) == 8);
}

// Guards against a change of placement with the switch off: the earliest work goes first.
Test(dispatcher_shares, do_nothing_when_switched_off) {
    shares_fixture fixture(false);
    fixture.flood();
    fixture.end_tasks("server-a", 3);
    fixture.end_tasks("server-b", 3);
    fixture.step();
    fixture.step();
    cr_assert(fixture.running(modest) == 0);
    cr_assert(fixture.decisions->teams_over_share().empty());
    cr_assert(fixture.decisions->counts().team_shares.empty());
    cr_assert(fixture.logged("team_over_share") == 0);
}

// Guards against a team that stays over its share after the work of the other team is done: what is
// not used is lent again, and the log says so.
Test(dispatcher_shares, lend_again_when_nobody_waits) {
    shares_fixture fixture(true);
    fixture.flood(3);
    cr_assert(fixture.decisions->teams_over_share() == std::vector{flooding});
    fixture.end_tasks("server-a", 3);
    fixture.end_tasks("server-b", 3);
    for (int round = 0; round < 60; ++round) {
        fixture.step();
    }
    cr_assert(fixture.running(modest) == 6);
    cr_assert(fixture.running(flooding) == 10);
    cr_assert(fixture.decisions->teams_over_share().empty());
    cr_assert(fixture.logged("team_within_share") == 1);
}

// Guards against work of a modest team that waits for the next division before it goes first: it
// arrives between two divisions, when a task of its team ends.
Test(dispatcher_shares, place_new_work_of_a_modest_team_between_divisions) {
    shares_fixture fixture(true);
    fixture.flood(2);
    fixture.end_tasks("server-a", 2);
    fixture.end_tasks("server-b", 2);
    for (int round = 0; round < 6; ++round) {
        fixture.step();
    }
    cr_assert(fixture.running(modest) == 4);
    for (int number = 0; number < 10; ++number) {
        fixture.add(work_of(modest, "a", "later" + std::to_string(number), 1, 300));
        fixture.end_tasks("server-a", 1, modest);
        fixture.step();
        fixture.step();
        cr_assert(fixture.running(modest) == 4, "%d", number);
    }
}

// Guards against long-running tasks that wait behind the work of other teams, or that do not count
// as use of their team.
Test(dispatcher_shares, count_long_running_tasks_and_place_them_first) {
    shares_fixture fixture(true);
    fixture.finish_loading();
    fixture.step();
    accepted_workflow hosted = work_of(flooding, "a", "hosted", 8, 0);
    hosted.spec.steps.front().long_running = true;
    fixture.add(hosted);
    fixture.step();
    for (int number = 0; number < 4; ++number) {
        fixture.add(work_of(flooding, "b", std::to_string(number), 4, 10));
    }
    fixture.step();
    cr_assert(fixture.running(flooding) == 16);
    fixture.add(work_of(modest, "b", "a", 8, 40));
    hosted.id = job_id("flooding-more");
    hosted.pool = pool_id("b");
    hosted.spec.steps.front().tasks = 1;
    for (int round = 0; round < 6; ++round) {
        fixture.step();
    }
    cr_assert(fixture.decisions->teams_over_share() == std::vector{flooding});
    fixture.add(hosted);
    fixture.end_tasks("server-b", 5);
    fixture.step();
    fixture.step();
    cr_assert(std::ranges::count(fixture.starts, hosted.id, [](const send_start& start) {
                  return start.command.task.job;
              }) == 1);
    cr_assert(fixture.running(modest) == 4);
}

// Guards against a new owner that does not know who uses more than its part: it finds the runs on
// the servers.
Test(dispatcher_shares, hold_after_a_takeover) {
    shares_fixture before(true);
    before.flood();
    shares_fixture after(true);
    after.servers = before.servers;
    after.unix_ms = before.unix_ms;
    for (const accepted_workflow& row : shares_fixture::flood_rows()) {
        after.add(row, true);
    }
    after.add(work_of(modest, "a", "a", 6, 40), true);
    after.add(work_of(modest, "b", "b", 6, 40), true);
    after.finish_loading();
    for (int round = 0; round < 10; ++round) {
        after.step();
    }
    cr_assert(after.running(flooding) == 16);
    cr_assert(after.decisions->teams_over_share() == std::vector{flooding});
    after.end_tasks("server-a", 3);
    after.end_tasks("server-b", 3);
    after.step();
    after.step();
    cr_assert(after.running(modest) == 6);
}

// Guards against a takeover after which all waiting work counts as within the rate of its team: of
// ten workflows of one moment, two are within the rate, so a later one of another team goes before
// the rest.
Test(dispatcher_shares, judge_rates_of_stored_workflows) {
    for (const bool fair : {true, false}) {
        shares_fixture fixture(fair);
        fixture.apply_weights(3, 2, 2);
        fixture.unix_ms += 1000;
        fixture.step();
        for (int number = 0; number < 10; ++number) {
            fixture.add(work_of(flooding, "a", std::to_string(number), 1, 0), true);
        }
        fixture.add(work_of(modest, "a", "0", 1, 500), true);
        fixture.finish_loading();
        for (int round = 0; round < 5; ++round) {
            fixture.step();
        }
        const auto place =
            std::ranges::find(fixture.starts, job_id("modest-0"),
                              [](const auto& item) { return item.command.task.job; });
        const auto earlier = place - fixture.starts.begin();
        cr_assert(fixture.starts.size() == 8);
        cr_assert(earlier == (fair ? 2 : 8), "%td", earlier);
    }
}

// Guards against weights that change during a flood and take effect only for later work.
Test(dispatcher_shares, follow_weights_that_change) {
    shares_fixture fixture(true);
    fixture.flood();
    fixture.apply_weights(3, 300, 100);
    for (int round = 0; round < 6; ++round) {
        fixture.step();
    }
    const dispatch_counts counts = fixture.decisions->counts();
    cr_assert(std::abs(counts.team_shares.front().part_millicores - 12000) < 1);
}

// Guards against work without a team, or with a limit reached, by which other teams are held back
// though it cannot use what they leave.
Test(dispatcher_shares, favour_no_team_that_cannot_start) {
    shares_fixture fixture(true);
    fixture.finish_loading();
    fixture.step();
    catalog_team limited = team_of(modest, 100);
    limited.limit = {1000, 0, 0};
    queue_definition definition;
    definition.name = queue_id("queue-a");
    definition.pool = pool_id("a");
    definition.stretch = 20;
    fixture.handle(catalog_applied{std::make_shared<queue_catalog>(
        3, std::vector{definition}, std::vector{catalog_pool{pool_id("a"), true, false}},
        std::vector{team_of(flooding, 100), limited})});
    fixture.add(work_of(modest, "a", "a", 4, 0));
    fixture.step();
    cr_assert(fixture.running(modest) == 1);
    fixture.add(work_of(flooding, "a", "a", 40, 0));
    fixture.add(work_of({}, "a", "open", 40, 0));
    for (int round = 0; round < 10; ++round) {
        fixture.step();
    }
    cr_assert(fixture.running(modest) == 1);
    cr_assert(fixture.decisions->teams_over_share().empty());
}

// Guards against a log that fills while a team exceeds its share again and again: at most one line
// a second for each team, also when weights change all the time.
Test(dispatcher_shares, log_at_most_once_a_second) {
    shares_fixture fixture(true);
    fixture.flood();
    const auto before = fixture.logged("team_over_share") + fixture.logged("team_within_share");
    cr_assert(before == 1);
    std::size_t changes = 0;
    for (int round = 0; round < 100; ++round) {
        const auto teams = fixture.decisions->teams_over_share();
        fixture.apply_weights(3 + round, 100, round / 6 % 2 == 0 ? 0.001 : 100);
        fixture.step();
        changes += teams == fixture.decisions->teams_over_share() ? 0 : 1;
    }
    cr_assert(changes >= 8, "%zu", changes);
    const auto lines = fixture.logged("team_over_share") + fixture.logged("team_within_share");
    cr_assert(lines - before >= 1 && lines - before <= 3, "%td", lines - before);
}

// Guards against bad weights that stop the owner or are used unnoticed: one line for each team and
// version of the catalogue.
Test(dispatcher_shares, log_replaced_weights_once) {
    shares_fixture fixture(true);
    fixture.apply_weights(3, std::numeric_limits<double>::quiet_NaN(), -4);
    cr_assert(fixture.logged("team_weight_replaced") == 2);
    fixture.apply_weights(3, std::numeric_limits<double>::quiet_NaN(), -4);
    cr_assert(fixture.logged("team_weight_replaced") == 2);
    fixture.apply_weights(4, 0, 1e300);
    cr_assert(fixture.logged("team_weight_replaced") == 4);
    // Weights 1 and 1,000,000: one team gets the 12 cores that it asks for, and the other the rest.
    fixture.flood();
    cr_assert(fixture.decisions->teams_over_share() == std::vector{flooding});
    const dispatch_counts counts = fixture.decisions->counts();
    cr_assert(std::abs(counts.team_shares.front().part_millicores - 4000) < 1);

    shares_fixture off(false);
    off.apply_weights(3, 0, -4);
    cr_assert(off.logged("team_weight_replaced") == 0);
}
