#include "test_support.h"

#include "mocks.h"

#include "io/job_codec.h"
#include "node/task_driver.h"

#include <vector>

using namespace citronford;
using trompeloeil::_;

namespace {

/// A driver with a mock table; `written` keeps the row that a test captures.
struct driver_fixture : mock_interfaces {
    team_limits limits;
    std::unique_ptr<task_driver> driver;
    std::vector<table_write> written;

    driver_fixture() {
        settings own;
        own.node = node_id("n1");
        own.zone = zone_id("a");
        own.charts = CITRONFORD_CHARTS;
        auto created = task_driver::create(own, links(), limits, 1, [] { return instant(); });
        cr_assert(created.ok());
        driver = *std::move(created);
    }

    void submit() {
        job_definition job;
        job.id = job_id("j");
        job.team = team_id("sales");
        job.size = {1000, 1, 0};
        driver->handle(job_submission{static_cast<caller_id>(1), job});
    }

    /// The row of the job as last written, with the generation `generation`.
    table_scan stored(std::uint64_t generation) const {
        job_row row = *parse_job_row(*written.back().value);
        row.generation = generation;
        return {{{"job/j", job_row_json(row), 5}}, 5};
    }
};

} // namespace

// Guards against a job id that is accepted twice.
Test(task_driver, refuses_a_job_whose_row_exists) {
    driver_fixture fixture;
    job_row other;
    other.job.id = job_id("j");
    other.owner = node_id("n2");
    REQUIRE_CALL(fixture.table, commit(_, _, _))
        .WITH(_1.size() == 1 && _1[0].key == "job/j" && _1[0].version == absent_row)
        .LR_SIDE_EFFECT(_3(table_commit{false, 0, "job/j", 4}));
    REQUIRE_CALL(fixture.table, scan(std::string_view("job/j"), 0U, _))
        .LR_SIDE_EFFECT(_3(table_scan{{{"job/j", job_row_json(other), 4}}, 4}));
    REQUIRE_CALL(fixture.callers, answer(static_cast<caller_id>(1), _))
        .WITH(_2.code == result_code::duplicate_request);
    fixture.submit();
}

// Guards against a refused or lost job when the reply to the insertion of its row is lost.
Test(task_driver, reads_the_row_again_when_the_reply_is_lost) {
    driver_fixture fixture;
    REQUIRE_CALL(fixture.table, commit(_, _, _))
        .LR_SIDE_EFFECT(fixture.written.assign(_2.begin(), _2.end()))
        .LR_SIDE_EFFECT(_3(make_status(result_code::commit_in_doubt, "")));
    trompeloeil::sequence order;
    REQUIRE_CALL(fixture.table, scan(_, _, _))
        .IN_SEQUENCE(order)
        .LR_SIDE_EFFECT(_3(make_status(result_code::table_unavailable, "")));
    fixture.submit();
    REQUIRE_CALL(fixture.table, scan(_, _, _))
        .IN_SEQUENCE(order)
        .LR_SIDE_EFFECT(_3(fixture.stored(0)));
    REQUIRE_CALL(fixture.callers, answer(_, _)).WITH(_2.code == result_code::ok);
    fixture.timers.advance(milliseconds(500));
}

// Guards against a paused owner that overwrites a row that it owns under a later generation.
Test(task_driver, does_not_write_over_a_later_generation) {
    driver_fixture fixture;
    {
        REQUIRE_CALL(fixture.table, commit(_, _, _))
            .LR_SIDE_EFFECT(fixture.written.assign(_2.begin(), _2.end()))
            .LR_SIDE_EFFECT(_3(table_commit{true, 3, "", 0}));
        REQUIRE_CALL(fixture.callers, answer(_, _));
        fixture.submit();
    }
    REQUIRE_CALL(fixture.table, commit(_, _, _))
        .LR_SIDE_EFFECT(_3(table_commit{false, 0, "job/j", 5}));
    REQUIRE_CALL(fixture.table, scan(_, _, _)).LR_SIDE_EFFECT(_3(fixture.stored(2)));
    fixture.driver->handle(job_cancellation{{job_id("j")}});
    fixture.driver->handle(scheduler_tick{});
    cr_assert(fixture.driver->scheduler().find(job_id("j")) == nullptr);
}
