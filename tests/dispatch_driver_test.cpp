#include "mocks.h"

#include "citronford/workflow_rows.h"
#include "io/progress_codec.h"
#include "io/workflow_codec.h"
#include "node/fleet/dispatch_driver.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace citronford;
using trompeloeil::_;

namespace {

const job_id job("0123456789abcdef");

accepted_workflow stored_workflow() {
    accepted_workflow row;
    row.id = job;
    row.queue = queue_id("queue");
    row.pool = pool_id("pool");
    workflow_step step;
    step.tasks = 1;
    row.spec.steps = {step};
    return row;
}

/// The driver of a new owner in a fleet without servers. The test answers reads by their prefix;
/// all writes are committed.
struct driver_fixture {
    manual_timer_service timers;
    mock_table_service table;
    mock_backend_link backends;
    mock_fleet_rows rows;
    std::map<std::string, table_service::scan_callback> scans;
    std::vector<table_write> written;
    owner_authority authority{timers.now() + seconds(60), timers.now() + seconds(60)};
    std::unique_ptr<trompeloeil::expectation> allow_scans =
        NAMED_ALLOW_CALL(table, scan(_, _, _)).LR_SIDE_EFFECT(scans[std::string(_1)] = _3);
    std::unique_ptr<trompeloeil::expectation> allow_commits =
        NAMED_ALLOW_CALL(table, commit(_, _, _))
            .LR_SIDE_EFFECT(written.insert(written.end(), _2.begin(), _2.end()))
            .SIDE_EFFECT(_3(table_commit{true, 2, {}, {}, {}}));
    std::unique_ptr<trompeloeil::expectation> allow_prefix =
        NAMED_ALLOW_CALL(rows, backends_prefix()).RETURN("servers//");
    std::unique_ptr<dispatch_driver> driver = make_driver();

    driver_fixture() {
        driver->start();
        answer("servers//", {});
        answer(progress_fence_key, {});
        answer(progress_rows_prefix, {});
        for (std::uint32_t part = 0; part < work_part_count; ++part) {
            answer(work_part_prefix(part), {});
        }
    }

    std::unique_ptr<dispatch_driver> make_driver() {
        static const chart workflow = installed_chart("workflow");
        static const chart run = installed_chart("task_run");
        static const chart contact = installed_chart("backend_contact");
        auto created = dispatch_driver::create(
            {workflow, run, contact}, {}, {timers, table, backends, rows},
            {[this] { return authority; }, [] { return std::int64_t{1}; }, [] {}});
        cr_assert(created.ok(), "%s", created.status().ToString().c_str());
        return *std::move(created);
    }

    void answer(std::string_view prefix, const std::vector<table_row>& result) {
        const auto found = scans.extract(std::string(prefix));
        cr_assert(!found.empty(), "no read of %s is under way", std::string(prefix).c_str());
        found.mapped()(table_scan{result, 1});
    }

    /// Delivers changes of the rows of work.
    void deliver(const std::vector<table_row>& changes) { answer(work_rows_prefix, changes); }

    /// The state that was saved last; `pending` when none was.
    [[nodiscard]] workflow_state saved_state() const {
        const auto last =
            std::find_if(written.rbegin(), written.rend(), [](const table_write& write) {
                return write.key == progress_row_key(job);
            });
        return last == written.rend() ? workflow_state::pending
                                      : *decode_progress_state(*last->value);
    }
};

} // namespace

// Guards against tasks of a cancelled workflow: while the lease of the owner was not renewed, the
// row of the workflow was kept for later, and the order to cancel it was processed before it
// (kettunen-lavat trouble-3, UNASKED).
Test(dispatch_driver, processes_changes_in_order_after_its_lease_was_late) {
    driver_fixture fixture;
    fixture.authority.accepts_work_until = fixture.timers.now();
    fixture.deliver({{work_row_key(job), encode_workflow(stored_workflow()), 5}});
    // The watch begins anew after its pause, and the lease is renewed before the next tick.
    constexpr duration pause = milliseconds(20);
    while (!fixture.scans.contains(std::string(work_rows_prefix))) {
        fixture.timers.advance(pause);
    }
    fixture.authority.accepts_work_until = fixture.timers.now() + seconds(60);
    fixture.deliver({{cancel_row_key(job), "cancel", 6}});
    fixture.timers.advance(seconds(1));
    cr_assert(fixture.saved_state() == workflow_state::cancelled);
}
