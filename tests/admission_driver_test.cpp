#include "table_fixture.h"

#include "citronford/result_code.h"
#include "io/load_codec.h"
#include "io/metrics.h"
#include "io/workflow_codec.h"
#include "node/fleet/admission_driver.h"
#include "node/fleet/dispatch_driver.h"
#include "node/fleet/observed_table.h"
#include "node/fleet/workflow_service.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace citronford;

namespace {

const pool_id pool("pool");
const queue_id queue("queue");

queue_catalog catalog_of_one_queue() {
    queue_definition definition;
    definition.name = queue;
    definition.pool = pool;
    definition.stretch = 1.6;
    definition.objective_slack = milliseconds(600);
    return {1, {definition}, {catalog_pool{pool, true, false}}, {}};
}

accepted_workflow workflow_named(const std::string& id) {
    accepted_workflow row;
    row.id = job_id(id);
    row.queue = queue;
    row.pool = pool;
    row.spec.steps = {{.tasks = 1, .size = {1000, 10, 0}, .estimate = milliseconds(1000)}};
    return row;
}

/// A row with a report of a pool that needs 100 s for its waiting work.
table_row overload_row(std::uint64_t sequence, table_version version) {
    load_report report;
    report.sequence = sequence;
    report.pools = {{pool, 10, 10, 0, {}, {{0, 1000, 0, 0}}}};
    return {std::string(load_row_key), encode_fenced_value({token, encode_load_report(report)}),
            version};
}

/// An entry VM with admission: its service of callers and its follower of the report.
struct entry_fixture : table_fixture {
    metrics registry;
    observed_table observed{table, timers, registry};
    queue_catalog catalog = catalog_of_one_queue();
    admission_driver admission{*load_admission::create(installed_chart("load_admission"), {}),
                               observed, timers, registry, [this] { return &catalog; }};
    workflow_service service{*submission_batcher::create(installed_chart("submission")), observed,
                             timers, registry};

    entry_fixture() {
        service.set_admission_check(
            [this](const accepted_workflow& row) { return admission.refuse(row); });
        service.start();
        admission.start();
    }

    std::optional<workflow_answer> submit(const std::string& id) {
        auto answer = std::make_shared<std::optional<workflow_answer>>();
        service.submit(workflow_named(id), 3, seconds(3),
                       [answer](const workflow_answer& content) { *answer = content; });
        return *answer;
    }

    bool refuses(const std::string& id) {
        const auto answer = submit(id);
        const auto* refused = answer ? std::get_if<workflow_refused>(&*answer) : nullptr;
        return refused != nullptr && refused->code == result_code::queue_full &&
               refused->retry_after >= seconds(1);
    }
};

/// The driver of an owner in a fleet without servers, whose writes the test counts by key.
struct owner_fixture {
    manual_timer_service timers;
    mock_table_service table;
    mock_backend_link backends;
    mock_fleet_rows rows;
    std::map<std::string, table_service::scan_callback> scans;
    std::vector<std::string> reports; ///< Values written to the row of the load.
    bool fails = false;               ///< The table refuses writes of that row.
    std::unique_ptr<trompeloeil::expectation> allow_scans =
        NAMED_ALLOW_CALL(table, scan(_, _, _)).LR_SIDE_EFFECT(keep_scan(_1, _3));
    std::unique_ptr<trompeloeil::expectation> allow_commits =
        NAMED_ALLOW_CALL(table, commit(_, _, _)).LR_SIDE_EFFECT(_3(commit(_2)));
    std::unique_ptr<trompeloeil::expectation> allow_prefix =
        NAMED_ALLOW_CALL(rows, backends_prefix()).RETURN("servers//");
    std::unique_ptr<dispatch_driver> driver;

    explicit owner_fixture(bool admission) {
        static const chart workflow = installed_chart("workflow");
        static const chart run = installed_chart("task_run");
        static const chart contact = installed_chart("backend_contact");
        dispatch_options options;
        options.token = token;
        options.admission = admission;
        driver = *dispatch_driver::create(
            {workflow, run, contact}, options, {timers, table, backends, rows},
            {[this] {
                 return owner_authority{timers.now() + seconds(9), timers.now() + seconds(9)};
             },
             [] { return std::int64_t{1}; }, [] {}});
        driver->apply(std::make_shared<queue_catalog>(catalog_of_one_queue()));
        driver->start();
        answer("servers//", {});
        answer(progress_fence_key, {});
        answer(progress_rows_prefix, {});
        for (std::uint32_t part = 0; part < work_part_count; ++part) {
            answer(work_part_prefix(part), {});
        }
        timers.advance(seconds(10)); // Until leases of earlier owners are over.
    }

    void keep_scan(std::string_view prefix, const table_service::scan_callback& done) {
        if (prefix == load_row_key || prefix == waiting_row_key) {
            done(table_scan{{}, 1});
        } else {
            scans[std::string(prefix)] = done;
        }
    }
    absl::StatusOr<table_commit> commit(std::span<const table_write> writes) {
        if (writes[0].key == load_row_key) {
            if (fails) {
                return make_status(result_code::table_unavailable, "out");
            }
            reports.push_back(*writes[0].value);
        }
        return committed(2);
    }
    void answer(std::string_view prefix, const std::vector<table_row>& result) {
        const auto found = scans.extract(std::string(prefix));
        cr_assert(!found.empty(), "no read of %s is under way", std::string(prefix).c_str());
        found.mapped()(table_scan{result, 1});
    }
    /// Delivers changes of the rows of work; the watch is sent again after a pause.
    void deliver(const std::vector<table_row>& changes) {
        while (!scans.contains(std::string(work_rows_prefix))) {
            timers.advance(milliseconds(20));
        }
        answer(work_rows_prefix, changes);
    }
    [[nodiscard]] load_report last_report() const {
        cr_assert(!reports.empty());
        return *decode_load_report(decode_fenced_value(reports.back())->text);
    }
};

const std::string first_job = "0123456789abcdef";

} // namespace

// Guards against a refusal that is not true: nothing of a refused workflow may be written.
Test(admission_driver, refuses_before_anything_is_written) {
    entry_fixture fixture;
    fixture.answer_scan(table_scan{{}, 1});
    fixture.answer_scan(table_scan{{overload_row(1, 2)}, 2});
    cr_assert(fixture.refuses("a"));
    fixture.timers.advance(seconds(1));
    cr_assert(fixture.commits.empty() && fixture.written.empty(), "a refused workflow is written");
    cr_assert(fixture.registry.text().find(
                  "citronford_submissions_refused_by_load_total{queue=\"queue\",reason="
                  "\"useless\"} 1") != std::string::npos,
              "%s", fixture.registry.text().c_str());
}

// Guards against a caller that is told "never runs" when it repeats a submission that is stored, or
// whose write was not answered.
Test(admission_driver, does_not_refuse_a_repeated_submission) {
    entry_fixture fixture;
    fixture.answer_scan(table_scan{{}, 1});
    fixture.submit("doubt");
    fixture.answer_commit(in_doubt());
    fixture.submit("stored");
    fixture.answer_commit(committed(3));
    fixture.answer_scan(table_scan{{overload_row(1, 2)}, 2});
    cr_assert(fixture.refuses("new"));
    cr_assert(!fixture.refuses("doubt") && !fixture.refuses("stored"));
}

// Guards against refusals on a report of unknown age: one that a VM reads when it starts, and one
// that was stored while its link was cut.
Test(admission_driver, uses_only_reports_of_known_age) {
    entry_fixture fixture;
    fixture.answer_scan(table_scan{{overload_row(1, 1)}, 1});
    cr_assert(!fixture.refuses("a"), "the row is of unknown age");
    fixture.timers.advance(milliseconds(500));
    fixture.answer_scan(in_doubt());
    fixture.timers.advance(seconds(4));
    fixture.answer_scan(table_scan{{overload_row(2, 2)}, 2});
    cr_assert(!fixture.refuses("b"), "the report may have been stored 4 s ago");
    fixture.timers.advance(milliseconds(100));
    fixture.answer_scan(table_scan{{overload_row(3, 3)}, 3});
    fixture.timers.advance(milliseconds(100));
    fixture.answer_scan(table_scan{{overload_row(4, 4)}, 4});
    cr_assert(fixture.refuses("c"));
    fixture.timers.advance(seconds(3));
    cr_assert(!fixture.refuses("d"), "the report is 3 s old");
}

// Guards against a follower that ends, or a report that is lost for good, because of an unreadable
// row.
Test(admission_driver, continues_after_an_unreadable_row) {
    entry_fixture fixture;
    fixture.answer_scan(table_scan{{}, 1});
    fixture.answer_scan(table_scan{{{std::string(load_row_key), "5 {\"sequence\":", 2}}, 2});
    cr_assert(!fixture.refuses("a"));
    fixture.timers.advance(milliseconds(10));
    fixture.answer_scan(table_scan{{overload_row(1, 3)}, 3});
    cr_assert(fixture.refuses("b"));
}

// Guards against a first report after a quiet time that is taken as old: the table answers a watch
// without changes after 2 s.
Test(admission_driver, uses_the_first_report_after_a_quiet_time) {
    entry_fixture fixture;
    fixture.answer_scan(table_scan{{}, 1});
    for (int watch = 0; watch < 3; ++watch) {
        fixture.timers.advance(seconds(2));
        fixture.answer_scan(table_scan{{}, 1});
        fixture.timers.advance(milliseconds(1));
    }
    fixture.timers.advance(milliseconds(1900));
    fixture.answer_scan(table_scan{{overload_row(1, 2)}, 2});
    cr_assert(fixture.refuses("a"));
}

// Guards against writes of a fleet without pressure, more than two writes a second under pressure,
// and an end of the pressure that entry VMs do not learn because a write failed.
Test(dispatch_driver, publishes_the_load_under_pressure_only) {
    owner_fixture fixture(true);
    cr_assert(fixture.reports.empty(), "a quiet fleet writes %zu reports", fixture.reports.size());
    fixture.deliver(
        {{work_row_key(job_id(first_job)), encode_workflow(workflow_named(first_job)), 5}});
    fixture.timers.advance(seconds(2));
    cr_assert(fixture.reports.size() >= 3 && fixture.reports.size() <= 5, "%zu reports in 2 s",
              fixture.reports.size());
    cr_assert(fixture.last_report().pools.size() == 1);
    fixture.fails = true;
    fixture.deliver({{cancel_row_key(job_id(first_job)), "cancel", 6}});
    fixture.timers.advance(seconds(1));
    cr_assert(fixture.last_report().pools.size() == 1);
    fixture.fails = false;
    fixture.timers.advance(milliseconds(1100));
    cr_assert(fixture.last_report().pools.empty(), "the end is not written");
    const std::size_t written = fixture.reports.size();
    fixture.timers.advance(seconds(5));
    cr_assert(fixture.reports.size() == written, "the end is written again");
}

// Guards against a change of behaviour while admission is switched off.
Test(dispatch_driver, publishes_no_load_when_admission_is_off) {
    owner_fixture fixture(false);
    fixture.deliver(
        {{work_row_key(job_id(first_job)), encode_workflow(workflow_named(first_job)), 5}});
    fixture.timers.advance(seconds(2));
    cr_assert(fixture.reports.empty());
}
