#pragma once

#include "test_support.h"

#include "citronford/load_admission.h"

#include <string>

namespace citronford {

inline const pool_id pool("pool");
inline const queue_id urgent_queue("urgent");
inline const queue_id other_queue("other");
inline const team_id small_team("small");
inline const team_id large_team("large");

/// A queue with the objective of deployment A.
inline queue_definition queue_named(const queue_id& name, int priority) {
    queue_definition queue;
    queue.name = name;
    queue.pool = pool;
    queue.priority = priority;
    queue.stretch = 1.6;
    queue.objective_slack = milliseconds(600);
    return queue;
}

/// A workflow of 8 tasks of a core and a second: objective 2.2 s, useful time 6.6 s.
inline accepted_workflow workflow_of(const queue_id& queue, const team_id& team,
                                     const std::string& id) {
    accepted_workflow row;
    row.id = job_id(id);
    row.queue = queue;
    row.pool = pool;
    row.team = team;
    row.spec.steps = {{.tasks = 8, .size = {1000, 10, 0}, .estimate = milliseconds(1000)}};
    return row;
}
inline constexpr double workflow_core_s = 8;
inline constexpr duration objective = milliseconds(2200);
inline constexpr duration useful_time = 3 * objective;

inline load_admission make_admission() {
    auto created = load_admission::create(installed_chart("load_admission"), {});
    cr_assert(created.ok(), "%s", created.status().ToString().c_str());
    return *std::move(created);
}

inline const submission_refused_by_load* refusal_in(const load_decision& decision) {
    return std::get_if<submission_refused_by_load>(&decision);
}

} // namespace citronford
