#include "test_support.h"

#include "io/workflow_codec.h"

using namespace citronford;

// Guards against a task that is started with requirements that differ from those of its caller.
Test(workflow_codec, keeps_every_member_of_a_workflow) {
    accepted_workflow row;
    row.id = job_id("0123456789abcdef");
    row.queue = queue_id("q");
    row.pool = pool_id("p");
    row.team = team_id("t");
    row.accepted_unix_ms = 1234567890123;
    row.spec.payload = "text with \"quotes\" and \xc3\xa4";
    row.spec.occurrences = 3;
    row.spec.first_due_unix_ms = 99;
    row.spec.interval_ms = 1000;
    workflow_step step;
    step.tasks = 4;
    step.size = {500, 256, 1};
    step.estimate = milliseconds(900);
    step.required_label = "a";
    step.data_rack = "r1";
    step.max_per_server = 2;
    step.max_unavailable = 1;
    step.image = "i";
    step.response_target = milliseconds(50);
    step.checkpointing = true;
    step.gang = true;
    step.same_rack = true;
    step.speculative = true;
    step.long_running = true;
    step.best_effort_cpu = true;
    row.spec.steps = {step, {.tasks = 1, .after = {0}}};
    const auto decoded = decode_workflow(row.id, encode_workflow(row));
    cr_assert(decoded.ok(), "%s", decoded.status().ToString().c_str());
    cr_assert(decoded->spec == row.spec);
    cr_assert(decoded->id == row.id && decoded->queue == row.queue && decoded->pool == row.pool);
    cr_assert(decoded->team == row.team && decoded->accepted_unix_ms == row.accepted_unix_ms);
}

// Guards against a process that crashes on a malformed row.
Test(workflow_codec, rejects_malformed_rows) {
    for (const char* text : {"", "{", "[]", "7", R"({"queue":1})", R"({"state":7})", "\xff"}) {
        cr_assert(!decode_workflow(job_id("j"), text).ok(), "%s", text);
        cr_assert(!decode_owner(text).ok(), "%s", text);
        cr_assert(!decode_wave(text).ok(), "%s", text);
    }
    const char* later =
        R"({"queue":"q","pool":"p","at":1,"text":"","steps":[{"n":1,"after":[0]}]})";
    cr_assert(!decode_workflow(job_id("j"), later).ok(), "accepted a step that depends on itself");
}
