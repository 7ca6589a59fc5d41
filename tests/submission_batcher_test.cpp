#include "test_support.h"

#include "citronford/submission.h"

using namespace citronford;

namespace {

constexpr instant start{seconds(100)};
constexpr duration deadline = seconds(3);

struct batcher_fixture {
    submission_batcher batcher = make();
    std::vector<std::vector<std::string>> batches;
    std::map<std::uint64_t, submission_result> answers;

    static submission_batcher make() {
        auto created = submission_batcher::create(installed_chart("submission"));
        cr_assert(created.ok(), "%s", created.status().ToString().c_str());
        return *std::move(created);
    }

    void handle(const submission_input& input, instant now = start) {
        for (const submission_effect& effect : batcher.handle(input, now)) {
            if (const auto* batch = std::get_if<write_batch>(&effect)) {
                std::vector<std::string> jobs;
                for (const accepted_workflow* row : batch->rows) {
                    jobs.push_back(row->id.str());
                }
                batches.push_back(jobs);
            } else {
                const auto& answer = std::get<answer_submission>(effect);
                answers[static_cast<std::uint64_t>(answer.id)] = answer.result;
            }
        }
    }

    void submit(std::uint64_t number, const std::string& job, std::uint32_t part = 0) {
        accepted_workflow row;
        row.id = job_id(job);
        handle(workflow_submitted{static_cast<submission_id>(number), row, part, start + deadline});
    }
};

} // namespace

// Guards against one transaction for each workflow, which a slow table cannot keep up with.
Test(submission_batcher, batches_workflows_that_arrive_during_a_write) {
    batcher_fixture fixture;
    fixture.submit(1, "a");
    fixture.submit(2, "b");
    fixture.submit(3, "c");
    cr_assert(fixture.batches.size() == 1);
    fixture.handle(batch_stored{0});
    cr_assert(fixture.answers.at(1) == submission_result::accepted);
    cr_assert(fixture.batches.size() == 2 && fixture.batches[1].size() == 2);
}

// Guards against a repeated submission that is refused or stored twice.
Test(submission_batcher, accepts_a_workflow_that_is_stored_already) {
    batcher_fixture fixture;
    fixture.submit(1, "a");
    fixture.submit(2, "b");
    fixture.submit(3, "a");
    fixture.handle(batch_stored{0});
    cr_assert(fixture.batches[1].size() == 2, "a job must be written once in a batch");
    fixture.handle(batch_conflict{0, {job_id("a")}});
    cr_assert(fixture.answers.at(3) == submission_result::accepted);
    cr_assert(!fixture.answers.contains(2), "the other row must be written again");
    cr_assert(fixture.batches.back() == std::vector<std::string>{"b"});
}

// Guards against a final refusal of a workflow whose row may still be written.
Test(submission_batcher, never_refuses_after_a_write_in_doubt) {
    batcher_fixture fixture;
    fixture.submit(1, "a");
    fixture.handle(batch_in_doubt{0});
    fixture.handle(submission_tick{}, start + milliseconds(200));
    cr_assert(fixture.batches.size() == 2, "the row must be written again");
    fixture.handle(batch_refused{0}, start + milliseconds(300));
    fixture.handle(submission_tick{}, start + milliseconds(500));
    fixture.handle(batch_refused{0}, start + milliseconds(600));
    cr_assert(fixture.answers.empty());
    fixture.handle(submission_tick{}, start + deadline);
    cr_assert(fixture.answers.at(1) == submission_result::unknown);
}

// Guards against a caller that waits until its deadline while the table refuses all writes.
Test(submission_batcher, refuses_soon_when_nothing_was_written) {
    batcher_fixture fixture;
    fixture.submit(1, "a");
    fixture.handle(batch_refused{0});
    fixture.handle(submission_tick{}, start + milliseconds(150));
    fixture.handle(batch_refused{0}, start + milliseconds(160));
    cr_assert(fixture.answers.at(1) == submission_result::refused);
    cr_assert(fixture.batcher.unanswered() == 0);
}

// Guards against an answer that arrives after the caller's deadline, and against a refusal while a
// write is under way.
Test(submission_batcher, answers_before_the_deadline) {
    batcher_fixture fixture;
    fixture.submit(1, "a");
    fixture.handle(submission_tick{}, start + deadline - milliseconds(200));
    cr_assert(fixture.answers.at(1) == submission_result::unknown,
              "wrong answer while a write is under way");
}

// Guards against a caller that is told that its workflow is not stored, while an unanswered write
// of it may still be carried out.
Test(submission_batcher, answers_unknown_when_a_row_is_rejected_after_an_unanswered_write) {
    batcher_fixture fixture;
    fixture.submit(1, "a");
    fixture.handle(batch_in_doubt{0});
    fixture.handle(submission_tick{}, start + milliseconds(200));
    cr_assert(fixture.batches.size() == 2);
    fixture.handle(batch_rejected{0}, start + milliseconds(210));
    cr_assert(fixture.answers.at(1) == submission_result::unknown);
    fixture.submit(2, "b");
    fixture.handle(batch_rejected{0});
    cr_assert(fixture.answers.at(2) == submission_result::rejected);
}
