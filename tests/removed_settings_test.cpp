#include "dispatch_fixture.h"

#include "io/workflow_codec.h"

using namespace citronford;

namespace {

const team_id team("team");
const queue_id other_queue("other");

std::shared_ptr<const queue_catalog> catalog_with(std::int64_t version, const queue_id& name,
                                                  std::uint32_t max_attempts,
                                                  std::optional<resources> limit = {}) {
    queue_definition definition;
    definition.name = name;
    definition.pool = pool;
    definition.max_attempts = max_attempts;
    std::vector<catalog_team> teams;
    if (limit) {
        teams.push_back({team, 1, *limit, {}});
    }
    return std::make_shared<queue_catalog>(version, std::vector{definition},
                                           std::vector{catalog_pool{pool, true, false}}, teams);
}

/// One server, and a queue whose catalogue the test replaces.
struct settings_fixture : dispatch_fixture {
    std::uint64_t ended = 0;

    settings_fixture() {
        register_backend(first);
        finish_loading();
        tick();
        answer_poll(first, {}, {});
    }

    void add(std::uint32_t stored_attempts, std::uint32_t tasks = 1, resources limit = {},
             bool stored_before = false) {
        accepted_workflow row;
        row.id = job;
        row.queue = queue;
        row.pool = pool;
        row.team = team;
        row.terms.max_attempts = stored_attempts;
        row.team_limit = limit;
        row.spec.steps = {{.tasks = tasks, .size = {1000, 10, 0}, .estimate = milliseconds(500)}};
        handle(workflow_found{row, {}, stored_before});
    }

    /// Lets runs fail until the dispatcher starts no more, at most `most` times; returns how many
    /// there were.
    std::size_t fail_runs(std::size_t most) {
        std::size_t failed = 0;
        tick();
        while (failed < most && !starts.empty()) {
            const send_start start = std::exchange(starts, {}).front();
            handle(start_answered{start.run, command_accepted{1000}});
            now += milliseconds(20);
            answer_poll(
                first, {},
                {{++ended, start.command.task, start.command.run, completion_kind::failed, ""}});
            ++failed;
            tick();
            confirm_save();
            answer_poll(first, {}, {});
            tick(seconds(5)); // Longer than any quarantine.
            answer_poll(first, {}, {});
            tick();
        }
        return failed;
    }
};

} // namespace

// Guards against a task that always fails and is started without end once its queue is removed
// (review/10).
Test(removed_settings, attempts_are_limited_after_the_queue_is_removed) {
    settings_fixture fixture;
    fixture.add(3);
    cr_assert(fixture.fail_runs(1) == 1);
    fixture.handle(catalog_applied{catalog_with(2, other_queue, 9)});
    cr_assert(fixture.fail_runs(10) == 2, "more attempts than the queue allowed");
    cr_assert(fixture.saved.size() == 1 &&
              fixture.saved[0].progress.state == workflow_state::failed);
}

// Guards against the same under the next owner, which never had a catalogue with the queue.
Test(removed_settings, the_stored_limit_survives_a_takeover) {
    settings_fixture fixture;
    fixture.handle(catalog_applied{catalog_with(2, other_queue, 9)});
    fixture.add(2);
    cr_assert(fixture.fail_runs(10) == 2);
}

// Guards against a copy of the limit that hides later changes of the queue, up and down, also if it
// is removed after them or comes back.
Test(removed_settings, the_last_known_limit_of_the_queue_holds) {
    const auto attempts = [](std::uint32_t changed_to, bool removed, bool back) {
        settings_fixture fixture;
        fixture.add(3);
        fixture.handle(catalog_applied{catalog_with(2, queue, changed_to)});
        if (removed) {
            fixture.handle(catalog_applied{catalog_with(3, other_queue, 9)});
        }
        if (back) {
            fixture.handle(catalog_applied{catalog_with(4, queue, 4)});
        }
        return fixture.fail_runs(10);
    };
    cr_assert(attempts(5, false, false) == 5);
    cr_assert(attempts(2, false, false) == 2);
    cr_assert(attempts(5, true, false) == 5);
    cr_assert(attempts(2, true, false) == 2);
    cr_assert(attempts(2, true, true) == 4);
}

// Guards against a team that may use the whole fleet once it is removed from the configuration.
Test(removed_settings, the_limit_of_a_removed_team_holds) {
    settings_fixture fixture;
    fixture.handle(catalog_applied{catalog_with(2, queue, 3, resources{2000, 0, 0})});
    fixture.handle(catalog_applied{catalog_with(3, queue, 3)});
    fixture.add(3, 4);
    fixture.tick();
    cr_assert(fixture.starts.size() == 2, "%zu starts", fixture.starts.size());
    // The next owner never had a catalogue with the team.
    settings_fixture next;
    next.add(3, 4, {1000, 0, 0});
    next.tick();
    cr_assert(next.starts.size() == 1, "%zu starts", next.starts.size());
}

// Guards against work that loses its priority and its objective once its queue is removed.
Test(removed_settings, the_order_of_the_work_of_a_removed_queue_holds) {
    settings_fixture fixture;
    fixture.handle(catalog_applied{catalog_with(2, other_queue, 3)});
    fixture.add(3, 3); // Leaves room for one task.
    fixture.tick();
    cr_assert(fixture.starts.size() == 3);
    const auto add_with = [&](const job_id& id, const queue_terms& terms) {
        accepted_workflow row;
        row.id = id;
        row.queue = queue;
        row.pool = pool;
        row.terms = terms;
        row.spec.steps = {{.tasks = 1, .size = {1000, 10, 0}, .estimate = milliseconds(500)}};
        fixture.handle(workflow_found{row, {}, false});
    };
    const job_id urgent("urgent");
    add_with(job_id("ordinary"), {1, 3, 2, milliseconds(1000)});
    add_with(urgent, {0, 3, 4, milliseconds(250)});
    fixture.tick();
    cr_assert(fixture.starts.size() == 4 && fixture.starts.back().command.task.job == urgent);
    const send_start start = fixture.starts.back();
    fixture.handle(start_answered{start.run, command_accepted{1000}});
    fixture.now += milliseconds(20);
    fixture.answer_poll(first, {},
                        {{1, start.command.task, start.command.run, completion_kind::done, ""}});
    const auto end = std::ranges::find(fixture.log, "workflow_ended", &log_decision::event);
    cr_assert(end != fixture.log.end() && end->job == urgent);
    cr_assert(end->detail.find("allowance_ms=2250") != std::string::npos);
}

// Guards against starts beyond the limits of teams by an owner that has no configuration yet
// (note/restart-without-configuration).
Test(removed_settings, nothing_starts_before_the_first_catalogue) {
    static const chart workflow = installed_chart("workflow");
    static const chart run = installed_chart("task_run");
    static const chart contact = installed_chart("backend_contact");
    settings_fixture fixture;
    dispatch_options options;
    options.token = 6;
    fixture.decisions = *dispatcher::create({workflow, run, contact}, options, fixture.now);
    fixture.renew_ownership();
    fixture.register_backend(first);
    fixture.add(3, 4, {}, true);
    fixture.finish_loading();
    fixture.tick();
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    fixture.tick();
    cr_assert(fixture.starts.empty(), "the limits of the team are not known");
    fixture.handle(catalog_applied{catalog_with(1, queue, 3, resources{2000, 0, 0})});
    fixture.tick();
    cr_assert(fixture.starts.size() == 2, "%zu starts", fixture.starts.size());
}

// Guards against terms that are lost with the owner, and against rows of an earlier version.
Test(removed_settings, rows_keep_the_terms) {
    accepted_workflow row;
    row.id = job;
    row.queue = queue;
    row.pool = pool;
    row.spec.steps = {{.tasks = 1}};
    row.terms = {2, 7, 1.5, milliseconds(250)};
    row.team_limit = {4000, 2048, 1};
    const auto decoded = decode_workflow(job, encode_workflow(row));
    cr_assert(decoded.ok() && decoded->terms == row.terms && decoded->team_limit == row.team_limit);
    const auto earlier =
        decode_workflow(job, R"({"queue":"q","pool":"p","at":1,"text":"","steps":[{"n":1}]})");
    cr_assert(earlier.ok() && earlier->terms == queue_terms{} &&
              earlier->team_limit == resources{});
    cr_assert(!decode_workflow(job, R"({"queue":"q","pool":"p","at":1,"text":"","steps":[{"n":1}],)"
                                    R"("terms":[1,2]})")
                   .ok());
}
