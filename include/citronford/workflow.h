#pragma once

#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/resources.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronford {

using queue_id = identifier<struct queue_tag>;

/// One step of a workflow: a number of equal tasks.
struct workflow_step {
    std::uint32_t tasks = 0;
    resources size;                    ///< Of each task.
    milliseconds estimate{};           ///< Rough run time of a task; zero when not known.
    std::vector<std::uint32_t> after;  ///< Steps whose tasks must all be done first.
    std::string required_label;        ///< Label that a backend server must have.
    std::string data_rack;             ///< Tasks take longer on any other rack.
    std::uint32_t max_per_server = 0;  ///< Most tasks on one backend server; zero: no limit.
    std::uint32_t max_unavailable = 0; ///< Tasks that planned work may take away at once.
    std::string image;                 ///< What the tasks run; one image behaves alike.
    milliseconds response_target{};    ///< Tail of the response times of tasks that serve.
    bool checkpointing = false;
    bool gang = false;            ///< Tasks work only while all of one run are present.
    bool same_rack = false;       ///< Tasks take longer on more than one rack.
    bool speculative = false;     ///< Copies of a task may run in parallel.
    bool long_running = false;    ///< Tasks run until the workflow is cancelled.
    bool best_effort_cpu = false; ///< Processors of the tasks are not reserved.

    friend bool operator==(const workflow_step&, const workflow_step&) = default;
};

/// What a caller submits.
struct workflow_spec {
    std::string payload; ///< Passed to each task as it is.
    std::vector<workflow_step> steps;
    std::uint32_t occurrences = 0;      ///< Times that the steps run; zero: once, at once.
    std::int64_t first_due_unix_ms = 0; ///< When the first occurrence is due.
    std::int64_t interval_ms = 0;       ///< Between two occurrences.

    /// Occurrences including the only one of a workflow without a schedule.
    [[nodiscard]] std::uint32_t runs() const { return occurrences == 0 ? 1 : occurrences; }

    friend bool operator==(const workflow_spec&, const workflow_spec&) = default;
};

/// A workflow that was accepted: its row is stored.
struct accepted_workflow {
    job_id id;
    queue_id queue;
    pool_id pool; ///< Whose backend servers run the tasks, by the configuration at acceptance.
    team_id team; ///< Empty on a queue that is open to all.
    std::int64_t accepted_unix_ms = 0; ///< By the clock of the accepting node.
    workflow_spec spec;
};

enum class workflow_state { pending, running, completed, failed, cancelled };

constexpr bool ended(workflow_state state) {
    return state != workflow_state::pending && state != workflow_state::running;
}

/// Names one task of a workflow.
struct task_key {
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_key&, const task_key&) = default;
};

/// The longest chain of steps of one occurrence, by the estimates.
duration critical_path_length(const workflow_spec& spec);

/// Whether every step has tasks and depends only on earlier steps.
bool well_formed(const workflow_spec& spec);

} // namespace citronford
