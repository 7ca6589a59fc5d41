#include "table_fixture.h"

#include "citronford/result_code.h"
#include "citronford/workflow_rows.h"
#include "io/metrics.h"
#include "io/progress_codec.h"
#include "node/fleet/observed_table.h"
#include "node/fleet/workflow_service.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace citronford;

// Guards against the answer "unknown" for a workflow that is stored and has not started.
Test(workflow_service, shows_a_workflow_without_progress_as_pending) {
    table_fixture fixture;
    metrics registry;
    observed_table table(fixture.table, fixture.timers, registry);
    workflow_service service(*submission_batcher::create(installed_chart("submission")), table,
                             fixture.timers, registry);
    std::optional<workflow_answer> answer;
    const auto keep = [&](const workflow_answer& content) { answer = content; };
    service.get_status(job_id("j"), seconds(3), keep);
    fixture.answer_scan(table_scan{});
    fixture.answer_scan(table_scan{{{work_row_key(job_id("j")), "{}", 1}}, 2});
    cr_assert(std::get<workflow_status>(*answer).state == workflow_state::pending);
    service.get_status(job_id("k"), seconds(3), keep);
    fixture.answer_scan(table_scan{});
    fixture.answer_scan(table_scan{});
    cr_assert(std::holds_alternative<workflow_unknown>(*answer));
    service.get_status(job_id("k"), seconds(3), keep);
    fixture.answer_scan(make_status(result_code::table_unavailable, "out"));
    cr_assert(std::holds_alternative<answer_unavailable>(*answer));
}

// Guards against a second read for each question about a waiting workflow, which is billed.
Test(workflow_service, reads_only_the_progress_of_a_known_workflow) {
    table_fixture fixture;
    metrics registry;
    observed_table table(fixture.table, fixture.timers, registry);
    workflow_service service(*submission_batcher::create(installed_chart("submission")), table,
                             fixture.timers, registry);
    int accepted = 0;
    accepted_workflow row;
    row.id = job_id("j");
    row.spec.steps = {{.tasks = 1}};
    service.submit(row, 3, seconds(3), [&](const workflow_answer& content) {
        accepted += std::holds_alternative<workflow_accepted>(content) ? 1 : 0;
    });
    fixture.answer_commit(committed(5));
    cr_assert(accepted == 1);
    std::optional<workflow_answer> answer;
    service.get_status(job_id("j"), seconds(3),
                       [&](const workflow_answer& content) { answer = content; });
    fixture.answer_scan(table_scan{});
    cr_assert(fixture.scans.empty(), "the row of the workflow is read again");
    cr_assert(std::get<workflow_status>(*answer).state == workflow_state::pending);
}

// Guards against callers that wait in vain because the table is silent for longer than they wait.
Test(workflow_service, answers_reads_before_the_deadline_of_the_caller) {
    table_fixture fixture;
    metrics registry;
    observed_table table(fixture.table, fixture.timers, registry);
    workflow_service service(*submission_batcher::create(installed_chart("submission")), table,
                             fixture.timers, registry);
    service.start();
    std::vector<workflow_answer> answers;
    const auto keep = [&](const workflow_answer& content) { answers.push_back(content); };
    service.get_status(job_id("j"), seconds(3), keep);
    service.cancel(job_id("j"), seconds(3), keep);
    service.get_queue_status(queue_id("q"), seconds(3), keep);
    fixture.timers.advance(milliseconds(2500));
    cr_assert(answers.empty(), "the table may still answer in time");
    fixture.timers.advance(milliseconds(400));
    cr_assert(answers.size() == 3, "%zu answers", answers.size());
    for (const workflow_answer& answer : answers) {
        cr_assert(std::holds_alternative<answer_unavailable>(answer));
    }
    fixture.answer_scan(make_status(result_code::table_unavailable, "out"));
    cr_assert(answers.size() == 3, "a caller was answered twice");
    cr_assert(service.unanswered() == 0);
}

// Guards against requests that a process which ends leaves without an answer, and against telling a
// caller that a job was refused whose write is under way.
Test(workflow_service, answers_every_caller_when_the_process_ends) {
    table_fixture fixture;
    metrics registry;
    observed_table table(fixture.table, fixture.timers, registry);
    workflow_service service(*submission_batcher::create(installed_chart("submission")), table,
                             fixture.timers, registry);
    std::map<std::string, workflow_answer> answers;
    const auto keep = [&](const std::string& name) {
        return [&, name](const workflow_answer& content) { answers[name] = content; };
    };
    accepted_workflow row;
    row.spec.steps = {{.tasks = 1}};
    row.id = job_id("written");
    service.submit(row, 3, seconds(3), keep("written"));
    row.id = job_id("waiting");
    while (work_part(row.id) != work_part(job_id("written"))) {
        row.id = job_id(std::string(row.id.view()) + "+");
    }
    service.submit(row, 3, seconds(3), keep("waiting"));
    service.get_status(job_id("j"), seconds(3), keep("read"));
    service.stop();
    service.submit(row, 3, seconds(3), keep("late"));
    const std::size_t reads = fixture.scans.size();
    service.cancel(job_id("j"), seconds(3), keep("late cancel"));
    cr_assert(fixture.scans.size() == reads, "a refused cancel is carried out");
    cr_assert(std::holds_alternative<workflow_in_doubt>(answers.at("written")));
    cr_assert(std::get<workflow_refused>(answers.at("waiting")).retry_after > duration::zero());
    cr_assert(std::holds_alternative<answer_unavailable>(answers.at("read")));
    cr_assert(std::get<workflow_refused>(answers.at("late")).code == result_code::node_stopping);
    cr_assert(std::holds_alternative<answer_unavailable>(answers.at("late cancel")));
    fixture.answer_commit(committed(5));
    cr_assert(fixture.commits.empty(), "a refused job is written");
    cr_assert(service.unanswered() == 0);
}

// Guards against repeated reads of a final state, which are billed.
Test(workflow_service, caches_final_states) {
    table_fixture fixture;
    metrics registry;
    observed_table table(fixture.table, fixture.timers, registry);
    workflow_service service(*submission_batcher::create(installed_chart("submission")), table,
                             fixture.timers, registry);
    int shown = 0;
    const auto count = [&](const workflow_answer& content) {
        shown += std::get<workflow_status>(content).state == workflow_state::completed ? 1 : 0;
    };
    workflow_progress progress;
    progress.state = workflow_state::completed;
    service.get_status(job_id("j"), seconds(3), count);
    fixture.answer_scan(
        table_scan{{{progress_row_key(job_id("j")), encode_progress(progress), 1}}, 2});
    service.get_status(job_id("j"), seconds(3), count);
    cr_assert(shown == 2 && fixture.scans.empty());
}
