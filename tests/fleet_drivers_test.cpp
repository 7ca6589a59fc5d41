#include "table_fixture.h"

#include "citronford/result_code.h"
#include "citronford/workflow_rows.h"
#include "io/progress_codec.h"
#include "io/workflow_codec.h"
#include "node/fleet/ended_work_marker.h"
#include "node/fleet/owner_row_writer.h"
#include "node/fleet/progress_writer.h"
#include "node/fleet/table_follower.h"

#include <set>
#include <span>
#include <string>
#include <vector>

using namespace citronford;

namespace {

/// A progress writer that has claimed the fence row and has one write under way.
struct writer_fixture : table_fixture {
    bool superseded = false;
    bool done = false;
    progress_writer writer{table, timers, {token}, [this] { superseded = true; }};

    writer_fixture() {
        writer.acquire_fence([] {});
        answer_scan(table_scan{{{std::string(progress_fence_key), "4 17", 30}}, 31});
        answer_commit(committed(32));
        const std::vector<progress_row> rows = {{job_id("j"), {}}};
        writer.write(rows, [this](std::span<const job_id>) { done = true; });
    }
};

} // namespace

// Guards against progress that is written twice, or an ownership that ends, because the reply to a
// committed write was lost.
Test(progress_writer, recognises_its_own_write_by_the_fence) {
    writer_fixture fixture;
    fixture.answer_commit(in_doubt());
    cr_assert(!fixture.done);
    fixture.timers.advance(milliseconds(200));
    fixture.answer_commit(conflict("5 1", 40));
    cr_assert(fixture.done && !fixture.superseded);
}

// Guards against an earlier owner that overwrites the progress of the present owner.
Test(progress_writer, stops_when_another_owner_has_the_fence) {
    writer_fixture fixture;
    fixture.answer_commit(conflict("6 0", 40));
    cr_assert(fixture.superseded && !fixture.done);
}

// Guards against a new owner that ends its ownership: a write of the previous owner that was under
// way at its release reached the table between the new owner's read of the fence and its first
// write.
Test(progress_writer, acquires_the_fence_after_a_delayed_write_of_the_previous_owner) {
    table_fixture fixture;
    bool superseded = false;
    bool acquired = false;
    progress_writer writer(fixture.table, fixture.timers, {token}, [&] { superseded = true; });
    writer.acquire_fence([&] { acquired = true; });
    fixture.answer_scan(table_scan{{{std::string(progress_fence_key), "4 17", 30}}, 31});
    fixture.answer_commit(conflict("4 18", 33));
    cr_assert(!superseded && !acquired);
    fixture.answer_scan(table_scan{{{std::string(progress_fence_key), "4 18", 33}}, 34});
    cr_assert(fixture.checked.back()[0].version == 33);
    fixture.answer_commit(committed(35));
    cr_assert(acquired && !superseded);
}

// Guards against an unanswered write that is carried out after a newer one: each write must change
// the row whose version it requires.
Test(progress_writer, changes_the_fence_with_each_write) {
    writer_fixture fixture;
    cr_assert(fixture.written.back().back().key == std::string(progress_fence_key));
    expect_equal(*fixture.written.back().back().value, "5 1");
    fixture.answer_commit(committed(33));
    fixture.writer.write(std::vector<progress_row>{{job_id("j"), {}}},
                         [](std::span<const job_id>) {});
    expect_equal(*fixture.written.back().back().value, "5 2");
}

// Guards against a delayed write of an earlier owner: after a zone cut, callers read that no
// workflow waits (kettunen-lavat trouble-3, MIXED).
Test(owner_row_writer, requires_the_row_as_it_was_last_seen) {
    table_fixture fixture;
    owner_row_writer writer(fixture.table, token, "shown/queues/waiting");
    writer.write("1");
    fixture.answer_scan(table_scan{{{"shown/queues/waiting", "4 0", 30}}, 31});
    cr_assert(fixture.checked.back().size() == 1 && fixture.checked.back()[0].version == 30);
    expect_equal(*fixture.written.back()[0].value, "5 1");
    fixture.answer_commit(committed(32));
    writer.write("2");
    cr_assert(fixture.checked.back()[0].version == 32);
    fixture.answer_commit(in_doubt());
    writer.write("3");
    fixture.answer_scan(table_scan{{{"shown/queues/waiting", "5 2", 40}}, 41});
    cr_assert(fixture.checked.back()[0].version == 40);
}

// Guards against an owner that overwrites the row before it learns that its ownership has ended.
Test(owner_row_writer, leaves_the_row_to_a_later_owner) {
    table_fixture fixture;
    owner_row_writer writer(fixture.table, token, "shown/queues/waiting");
    writer.write("1");
    fixture.answer_scan(table_scan{{}, 31});
    cr_assert(fixture.checked.back()[0].version == absent_row);
    fixture.answer_commit(conflict("6 7", 40));
    writer.write("1");
    fixture.answer_scan(table_scan{{{"shown/queues/waiting", "6 7", 40}}, 41});
    writer.write("2");
    cr_assert(fixture.written.size() == 1 && fixture.commits.empty() && fixture.scans.empty());
}

// Guards against a row that is no longer updated after one failed read or write, and against writes
// that change nothing.
Test(owner_row_writer, continues_after_failures_and_writes_changes_only) {
    table_fixture fixture;
    owner_row_writer writer(fixture.table, token, "shown/queues/waiting");
    writer.write("1");
    fixture.answer_scan(in_doubt());
    writer.write("1");
    fixture.answer_scan(table_scan{{{"shown/queues/waiting", "unreadable", 30}}, 31});
    fixture.answer_commit(committed(32));
    writer.write("1");
    cr_assert(fixture.written.size() == 1 && fixture.commits.empty());
}

// Guards against a backlog of unmarked rows of ended workflows, which the next owner reads for
// seconds (kettunen-lavat-grown trouble-3: 45 rows a second were marked while 250 workflows a
// second ended).
Test(ended_work_marker, keep_up_with_any_rate) {
    table_fixture fixture;
    ended_work_marker rows(fixture.table);
    const instant begin = fixture.timers.now();
    constexpr int jobs = 3000;
    for (int job = 0; job < jobs; ++job) {
        rows.add(job_id("job-" + std::to_string(job)), begin);
    }
    for (instant now = begin; now < begin + seconds(1); now += milliseconds(20)) {
        rows.tick(now);
        cr_assert(fixture.commits.size() <= work_part_count,
                  "more than one transaction for a part");
        while (!fixture.commits.empty()) {
            fixture.answer_commit(committed(1));
        }
    }
    std::size_t marked = 0;
    for (const std::vector<table_write>& batch : fixture.written) {
        marked += batch.size();
    }
    cr_assert(marked <= jobs && marked + work_part_count * 90 > jobs, "%zu marked", marked);
}

// Guards against one transaction for each workflow, and against rows that are never marked when few
// workflows end or after a failure.
Test(ended_work_marker, are_marked_in_batches_after_a_delay) {
    table_fixture fixture;
    ended_work_marker rows(fixture.table);
    const instant begin = fixture.timers.now();
    rows.add(job_id("a"), begin);
    rows.tick(begin + seconds(7));
    cr_assert(fixture.commits.empty());
    rows.tick(begin + seconds(8));
    fixture.answer_commit(in_doubt());
    rows.tick(begin + seconds(8) + milliseconds(20));
    cr_assert(fixture.commits.empty(), "retried without a delay");
    rows.tick(begin + seconds(9));
    fixture.answer_commit(committed(2));
    rows.tick(begin + seconds(60));
    cr_assert(fixture.written.size() == 2 && fixture.commits.empty());
}

// Guards against changes that are missed when the table has dropped its history.
Test(table_follower, reads_everything_again_when_history_is_lost) {
    table_fixture fixture;
    int snapshots = 0;
    int changes = 0;
    table_follower follower(
        fixture.table, fixture.timers, {{"t/"}, "t/", milliseconds(2000), {}},
        [&](std::span<const table_row> /*rows*/) { ++snapshots; },
        [&](std::span<const table_row> rows) { changes += static_cast<int>(rows.size()); });
    follower.start();
    fixture.answer_scan(table_scan{{{"t//a", "1", 3}}, 7});
    cr_assert(snapshots == 1 && fixture.scanned_since.back() == 7);
    fixture.answer_scan(table_scan{{{"t//b", "1", 8}}, 8});
    fixture.timers.advance(milliseconds(1));
    cr_assert(changes == 1 && fixture.scanned_since.back() == 8);
    fixture.answer_scan(make_status(result_code::history_lost, "dropped"));
    fixture.timers.advance(milliseconds(1));
    cr_assert(fixture.scanned_since.back() == 0, "all rows must be read again");
    fixture.answer_scan(table_scan{{}, 20});
    cr_assert(snapshots == 2);
}

// Guards against a follower that stops, or retries without a delay, while the table is unavailable.
Test(table_follower, continues_from_its_last_version_after_an_outage) {
    table_fixture fixture;
    table_follower follower(
        fixture.table, fixture.timers, {{"t/"}, "t/", milliseconds(2000), {}},
        [](std::span<const table_row>) {}, [](std::span<const table_row>) {});
    follower.start();
    fixture.answer_scan(table_scan{{}, 7});
    fixture.answer_scan(make_status(result_code::table_unavailable, "out"));
    cr_assert(fixture.scans.empty());
    fixture.timers.advance(milliseconds(250));
    cr_assert(fixture.scans.size() == 1 && fixture.scanned_since.back() == 7);
}
