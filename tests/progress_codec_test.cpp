#include "test_support.h"

#include "io/compact_numbers.h"
#include "io/progress_codec.h"

#include <limits>
#include <numeric>
#include <rapidcheck.h>

using namespace citronford;

namespace {

workflow_spec spec_of(std::vector<std::uint32_t> tasks, std::uint32_t occurrences = 0) {
    workflow_spec spec;
    spec.occurrences = occurrences;
    for (const std::uint32_t count : tasks) {
        workflow_step step;
        step.tasks = count;
        spec.steps.push_back(step);
    }
    return spec;
}

/// Failures of each of `tasks` tasks in `attempts` runs, with `gap` numbers from one to the next.
std::vector<task_failures> failures_of(std::uint32_t tasks, std::uint32_t attempts,
                                       std::uint32_t gap) {
    std::vector<task_failures> failures;
    for (task_number task = 0; task < tasks; ++task) {
        task_failures item{task, {}};
        for (std::uint32_t run = 1; run <= attempts; ++run) {
            item.runs.push_back(run * gap);
        }
        failures.push_back(item);
    }
    return failures;
}

workflow_progress decoded(std::string_view text, const workflow_spec& spec) {
    const auto progress = decode_progress(text, spec);
    cr_assert(progress.ok(), "%s", progress.status().ToString().c_str());
    return *progress;
}

} // namespace

Test(compact_numbers, keeps_numbers_of_any_size) {
    const std::vector<std::uint32_t> numbers = {
        0, 31, 32, 1023, 1024, 5, std::numeric_limits<std::uint32_t>::max()};
    const auto read = decode_compact(encode_compact(numbers));
    cr_assert(read.ok() && *read == numbers);
    for (const char* text : {"g", "!", "ggggggggA", "______________B", "_______"}) {
        cr_assert(!decode_compact(text).ok(), "%s", text);
    }
}

// Guards against a completed task or failure that is lost or invented when an owner takes over.
Test(progress_codec, keeps_progress) {
    const workflow_spec spec = spec_of({2, 9}, 3);
    workflow_progress progress;
    progress.state = workflow_state::running;
    progress.done = {true, false, true, true, false, false, true};
    progress.failures = {{4, {2, 9}}, {17, {1}}, {32, {70000}}};
    cr_assert(decoded(encode_progress(progress), spec) == progress);
}

// Guards against progress that is forgotten when an owner of this version takes over from an
// earlier one.
Test(progress_codec, reads_rows_of_earlier_versions) {
    const workflow_spec spec = spec_of({2, 8}, 2);
    const workflow_progress progress = decoded(
        R"({"state":"running","done":[[0,1,"d0"],[1,0,"2"],[7,0,"f"]],"failed":[[1,1,4,[2,9]],[0,0,0,[1]],[0,9,0,[1]]]})",
        spec);
    const task_numbering numbering(spec);
    workflow_progress expected;
    expected.state = workflow_state::running;
    expected.done.resize(numbering.number_of({1, 0, 1}) + 1);
    for (const task_place place : {task_place{0, 1, 0}, {0, 1, 2}, {0, 1, 3}, {1, 0, 1}}) {
        expected.done[numbering.number_of(place)] = true;
    }
    expected.failures = {{0, {1}}, {numbering.number_of({1, 1, 4}), {2, 9}}};
    cr_assert(progress == expected);
}

// Guards against a process that crashes on a malformed row.
Test(progress_codec, rejects_malformed_rows) {
    const workflow_spec spec = spec_of({1});
    for (const char* text :
         {"", "{", "[]", "7", R"({"state":7})", "\xff", R"({"state":"running","runs":"!"})",
          R"({"state":"running","runs":"AB"})", R"({"state":"running","tasks":7})"}) {
        cr_assert(!decode_progress(text, spec).ok(), "%s", text);
    }
    cr_assert(!decode_progress_state("{").ok());
}

// Guards against a row that the table refuses: all tasks of a job of 5000 failed once, and the row
// exceeded 65536 bytes (review/2).
Test(progress_codec, rows_of_wide_workflows_fit) {
    constexpr std::size_t row_bytes = 65536;
    workflow_progress progress;
    progress.state = workflow_state::running;
    progress.failures = failures_of(5000, 3, 9);
    const bounded_progress row = encode_progress_within(progress, max_progress_text(row_bytes));
    cr_assert(row.detail == failure_detail::run_numbers && row.text.size() < row_bytes / 2,
              "%zu bytes", row.text.size());
}

// Guards against rows that grow with the number of occurrences: each one that had begun took 15
// bytes or more.
Test(progress_codec, rows_of_long_schedules_fit) {
    const workflow_spec spec = spec_of({1, 1, 1}, 6000);
    workflow_progress progress;
    progress.state = workflow_state::running;
    progress.done.assign(18000, true);
    progress.done[1] = false;
    const std::string text = encode_progress(progress);
    cr_assert(text.size() < 5000, "%zu bytes", text.size());
    cr_assert(decoded(text, spec) == progress);
}

// Guards against a workflow that is accepted although its progress can exceed a row: with the
// counts of failures, any progress is within the bound that the admission uses.
Test(progress_codec, progress_stays_within_its_bound) {
    const bool holds = rc::check([] {
        const auto tasks = *rc::gen::container<std::vector<std::uint32_t>>(
            *rc::gen::inRange<std::size_t>(1, 5), rc::gen::inRange<std::uint32_t>(1, 400));
        const auto attempts = *rc::gen::inRange<std::uint32_t>(1, 80);
        const workflow_spec spec = spec_of(tasks, *rc::gen::inRange<std::uint32_t>(0, 4));
        const std::uint32_t all = std::accumulate(tasks.begin(), tasks.end(), 0U) * spec.runs();
        workflow_progress progress;
        progress.state = workflow_state::cancelled;
        progress.done.assign(all, true);
        const auto stride = *rc::gen::inRange<std::uint32_t>(1, 70);
        for (task_failures& item : failures_of(all, attempts, 5000)) {
            if (item.task % stride == 0) {
                progress.failures.push_back(std::move(item));
            }
        }
        const std::string text = encode_progress(progress, failure_detail::counts);
        RC_ASSERT(text.size() <= max_progress_bytes(spec, attempts));
    });
    cr_assert(holds);
}

// Guards against an attempt too many: where the numbers of the failed runs do not fit, their count
// is still stored.
Test(progress_codec, keeps_the_counts_of_failures_where_their_numbers_do_not_fit) {
    const workflow_spec spec = spec_of({100});
    workflow_progress progress;
    progress.state = workflow_state::running;
    progress.failures = failures_of(100, 3, 100000);
    const bounded_progress row = encode_progress_within(progress, max_progress_bytes(spec, 4));
    cr_assert(row.detail == failure_detail::counts);
    const workflow_progress read = decoded(row.text, spec);
    cr_assert(read.failures.size() == 100 && read.failures[99].runs.size() == 3);
    cr_assert(encode_progress_within(progress, 30).detail == failure_detail::none);
}
