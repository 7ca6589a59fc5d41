#pragma once

#include "test_support.h"

#include "citronford/dispatcher.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace citronford {

inline const pool_id pool("pool");
inline const queue_id queue("queue");
inline const job_id job("job");
inline const backend_id first("i-1");
inline const backend_id second("i-2");

inline run_completion completion_of(std::uint64_t number, std::uint32_t run, completion_kind kind,
                                    std::uint32_t index = 0) {
    return {number, {job, 0, 0, index}, run, kind, ""};
}

inline running_task reported_run(std::uint32_t run, std::uint32_t index = 0) {
    return {{job, 0, 0, index}, run, "", 100, 0};
}

/// A dispatcher with two servers of four cores and a queue with three attempts.
struct dispatch_fixture {
    std::unique_ptr<dispatcher> decisions;
    instant now{seconds(100)};
    std::vector<send_start> starts;
    std::vector<send_stop> stops;
    std::vector<send_poll> polls;
    std::vector<progress_row> saved;
    std::vector<log_decision> log;
    bool saving = false;

    explicit dispatch_fixture(dispatch_options options = {}) {
        static const chart workflow = installed_chart("workflow");
        static const chart run = installed_chart("task_run");
        static const chart contact = installed_chart("backend_contact");
        static const chart pace = installed_chart("server_pace");
        options.token = 5;
        auto created = dispatcher::create({workflow, run, contact, &pace}, options, now);
        cr_assert(created.ok(), "%s", created.status().ToString().c_str());
        decisions = *std::move(created);
        queue_definition definition;
        definition.name = queue;
        definition.pool = pool;
        definition.max_attempts = 3;
        handle(catalog_applied{std::make_shared<queue_catalog>(
            1, std::vector{definition}, std::vector{catalog_pool{pool, true, false}},
            std::vector<catalog_team>{})});
        renew_ownership();
    }

    void handle(const dispatch_input& input) {
        for (const dispatch_effect& effect : decisions->handle(input, now)) {
            if (const auto* start = std::get_if<send_start>(&effect)) {
                starts.push_back(*start);
            } else if (const auto* stop = std::get_if<send_stop>(&effect)) {
                stops.push_back(*stop);
            } else if (const auto* poll = std::get_if<send_poll>(&effect)) {
                polls.push_back(*poll);
            } else if (const auto* save = std::get_if<save_progress>(&effect)) {
                saved = save->rows;
                saving = true;
            } else if (const auto* line = std::get_if<log_decision>(&effect)) {
                log.push_back(*line);
            }
        }
    }

    void renew_ownership() { handle(ownership_extended{now + seconds(2), now + seconds(5)}); }

    void tick(duration passed = milliseconds(20)) {
        now += passed;
        renew_ownership();
        handle(dispatch_tick{1});
    }

    void register_backend(const backend_id& id) {
        backend_registration registration;
        registration.id = id;
        registration.pool = pool;
        registration.capacity = {4000, 4000, 0};
        handle(backend_registered{registration});
    }

    void add_workflow(const job_id& id, bool stored_before, std::uint32_t tasks = 1,
                      const workflow_progress& progress = {}) {
        accepted_workflow row;
        row.id = id;
        row.queue = queue;
        row.pool = pool;
        row.spec.steps = {{.tasks = tasks, .size = {1000, 10, 0}, .estimate = milliseconds(500)},
                          {.tasks = 1, .size = {1000, 10, 0}, .after = {0}}};
        handle(workflow_found{row, progress, stored_before});
    }

    void finish_loading() {
        handle(workflows_loaded{});
        handle(backends_loaded{});
    }

    void answer_poll(const backend_id& id, std::vector<running_task> running,
                     std::vector<run_completion> ended) {
        handle(poll_answered{id, poll_reply{1000, 7, std::move(running), std::move(ended)}});
    }

    void confirm_save() {
        if (std::exchange(saving, false)) {
            handle(progress_saved{});
        }
    }

    [[nodiscard]] const poll_request& last_poll(const backend_id& id) const {
        const auto found = std::ranges::find(polls.rbegin(), polls.rend(), id,
                                             [](const auto& poll) { return poll.to.id; });
        cr_assert(found != polls.rend());
        return found->request;
    }
};

} // namespace citronford
