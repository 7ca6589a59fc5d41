#include "dispatch_fixture.h"

#include "citronford/load_report.h"

#include <cmath>
#include <string>

using namespace citronford;

namespace {

const pool_id standby("standby");
const pool_id other_pool("other");
const team_id large("large");

/// A dispatcher with two servers of four cores in one pool, whose queue has the objective 1.6 times
/// the critical path plus 600 ms, and a standby pool.
struct load_fixture : dispatch_fixture {
    load_fixture() {
        queue_definition definition;
        definition.name = queue;
        definition.pool = pool;
        definition.priority = 1;
        definition.stretch = 1.6;
        definition.objective_slack = milliseconds(600);
        catalog_team team;
        team.name = large;
        team.weight = 1;
        handle(catalog_applied{std::make_shared<queue_catalog>(
            2, std::vector{definition},
            std::vector{catalog_pool{pool, true, false}, catalog_pool{standby, true, true},
                        catalog_pool{other_pool, true, false}},
            std::vector{team})});
        register_backend(first);
        register_backend(second);
        finish_loading();
        tick();
        answer_poll(first, {}, {});
        answer_poll(second, {}, {});
        tick();
    }

    /// Submits workflows of 8 tasks of a core and a second each.
    void submit(const std::string& id, int count, const team_id& team = {}) {
        for (int number = 0; number < count; ++number) {
            accepted_workflow row;
            row.id = job_id(id + std::to_string(number));
            row.queue = queue;
            row.pool = pool;
            row.team = team;
            row.spec.steps = {{.tasks = 8, .size = {1000, 10, 0}, .estimate = milliseconds(1000)}};
            handle(workflow_found{row, {}, false});
        }
    }

    load_report report() { return decisions->report_load(now); }
};

bool near(double actual, double expected) {
    return std::abs(actual - expected) < 0.01;
}

} // namespace

// Guards against admission that goes by wrong figures: cores, running work and waiting work of a
// pool whose 8 cores got 24 core-seconds.
Test(load_report, shows_the_work_of_a_pool) {
    load_fixture fixture;
    cr_assert(fixture.report().pools.empty(), "a fleet without pressure is reported");
    fixture.submit("a", 3);
    fixture.tick();
    cr_assert(fixture.starts.size() == 8, "%zu starts", fixture.starts.size());
    fixture.tick(milliseconds(250));
    const load_report report = fixture.report();
    cr_assert(report.pools.size() == 1);
    const reported_pool& load = report.pools[0];
    cr_assert(load.pool == pool && near(load.cores, 8));
    cr_assert(near(load.running_core_s, 6), "%f left", load.running_core_s);
    cr_assert(load.waiting.size() == 1 && load.waiting[0].priority == 1);
    cr_assert(near(load.waiting[0].on_time_core_s, 16), "%f", load.waiting[0].on_time_core_s);
    cr_assert(load.waiting[0].late_core_s == 0 && load.waiting[0].beyond_share_core_s == 0);
}

// Guards against late work that is counted as on time, and against expired work for which
// submissions would be refused though nobody waits for it: the objective is 2.2 s.
Test(load_report, tells_late_work_and_leaves_out_expired_work) {
    load_fixture fixture;
    fixture.submit("a", 3);
    fixture.tick();
    fixture.tick(milliseconds(1400));
    load_report report = fixture.report();
    cr_assert(report.pools.size() == 1 && report.pools[0].waiting.size() == 1);
    cr_assert(near(report.pools[0].waiting[0].late_core_s, 16));
    cr_assert(report.pools[0].waiting[0].on_time_core_s == 0);
    fixture.tick(milliseconds(4400));
    report = fixture.report();
    cr_assert(report.pools.empty(), "expired work is reported");
}

// Guards against a team that delays others: its work beyond its share is counted separately.
Test(load_report, separates_work_beyond_a_share) {
    load_fixture fixture;
    fixture.submit("a", 3, large);
    fixture.tick();
    const load_report report = fixture.report();
    cr_assert(report.teams_beyond_share == std::vector{large});
    const priority_backlog& work = report.pools[0].waiting[0];
    cr_assert(near(work.beyond_share_core_s + work.on_time_core_s, 16));
    cr_assert(near(work.beyond_share_core_s, 16), "%f", work.beyond_share_core_s);
}

// Guards against refusals of a burst that the fleet can serve: VMs on their way and those that a
// planner may bring are expected, the latter for 4 s of pressure only.
Test(load_report, expects_the_cores_that_may_arrive) {
    load_fixture fixture;
    const present_backends present{
        {{first, pool, {}}, {second, pool, {}}},
        {{standby, zone_id("z1"), {32000, 0, 0}}, {pool, zone_id("z1"), {16000, 0, 0}}}};
    fixture.handle(present);
    fixture.submit("a", 3);
    fixture.tick();
    const load_report begin = fixture.report();
    cr_assert(begin.pools.size() == 1);
    const std::vector<arriving_cores> expected = {{16, milliseconds(1500)},
                                                  {32, milliseconds(2000)}};
    cr_assert(begin.pools[0].arriving == expected);
    fixture.tick(milliseconds(3900));
    fixture.submit("b", 3);
    fixture.tick(milliseconds(100));
    const load_report later = fixture.report();
    cr_assert(later.pools.size() == 1);
    cr_assert(later.pools[0].arriving == std::vector{expected[0]},
              "VMs are expected that did not come");
}

// Guards against an estimate of the wait that ignores slow tasks: the pace is what ended within the
// last second.
Test(load_report, measures_the_pace) {
    load_fixture fixture;
    fixture.submit("a", 3);
    fixture.tick();
    fixture.report();
    fixture.tick(milliseconds(500));
    std::vector<run_completion> ends;
    for (const send_start& start : fixture.starts) {
        if (start.to.id == first) {
            ends.push_back({ends.size() + 1, start.command.task, start.command.run,
                            completion_kind::done, ""});
        }
    }
    cr_assert(ends.size() == 4);
    fixture.answer_poll(first, {}, ends);
    fixture.tick(milliseconds(500));
    const load_report report = fixture.report();
    cr_assert(report.pools.size() == 1);
    cr_assert(near(report.pools[0].pace_cores, 4), "%f", report.pools[0].pace_cores);
}
