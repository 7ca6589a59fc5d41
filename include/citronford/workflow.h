#pragma once

#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/resources.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronford {

using queue_id = identifier<struct queue_tag>;

/// One step of a workflow: a number of identical tasks.
struct workflow_step {
    std::uint32_t tasks = 0;
    resources size;                   ///< Of each task.
    milliseconds estimate{};          ///< Estimated run time of a task; zero when unknown.
    std::vector<std::uint32_t> after; ///< Steps that must be done before this one starts.
    std::string required_label;       ///< Label that a backend server must have.
    std::string data_rack;            ///< Rack with the data; tasks take longer on any other.
    std::uint32_t max_per_server = 0; ///< Most tasks on one backend server; zero: no limit.
    /// Most tasks interrupted at once by planned work; zero: no limit.
    std::uint32_t max_unavailable = 0;
    std::string image;              ///< Program of the tasks; tasks of one image behave alike.
    milliseconds response_target{}; ///< Target for the tail latency of serving tasks.
    bool checkpointing = false;
    bool gang = false;            ///< Tasks make progress only while all of them run.
    bool same_rack = false;       ///< Tasks take longer on more than one rack.
    bool speculative = false;     ///< Copies of a task may run in parallel.
    bool long_running = false;    ///< Tasks run until the workflow is cancelled.
    bool best_effort_cpu = false; ///< No CPU is reserved for the tasks.

    friend bool operator==(const workflow_step&, const workflow_step&) = default;
};

/// What a caller submits.
struct workflow_spec {
    std::string payload; ///< Passed unchanged to each task.
    std::vector<workflow_step> steps;
    std::uint32_t occurrences = 0;      ///< Of a schedule; zero: the steps run once, immediately.
    std::int64_t first_due_unix_ms = 0; ///< When the first occurrence is due.
    std::int64_t interval_ms = 0;       ///< Between the due times of two occurrences.

    /// How often the steps run: at least once.
    [[nodiscard]] std::uint32_t runs() const { return occurrences == 0 ? 1 : occurrences; }

    friend bool operator==(const workflow_spec&, const workflow_spec&) = default;
};

/// What the definition of a queue says about its workflows. The defaults are for rows that an
/// earlier version stored without terms, and whose queue is gone.
struct queue_terms {
    int priority = 0;               ///< Zero is the highest.
    std::uint32_t max_attempts = 3; ///< Failed runs of a task after which its workflow fails.
    double stretch = 2;
    milliseconds objective_slack{1000};

    friend bool operator==(const queue_terms&, const queue_terms&) = default;
};

/// A workflow whose row is stored.
struct accepted_workflow {
    job_id id;
    queue_id queue;
    pool_id pool; ///< Pool of the queue when the workflow was accepted; runs its tasks.
    team_id team; ///< Empty for a queue that is open to all teams.
    std::int64_t accepted_unix_ms = 0; ///< By the clock of the accepting node.
    workflow_spec spec;
    // As configured when the workflow was accepted. They hold once the operators have removed the
    // queue or the team, also after a change of the owner.
    queue_terms terms;
    resources team_limit; ///< Zero: no limit.
};

enum class workflow_state { pending, running, completed, failed, cancelled };

constexpr bool ended(workflow_state state) {
    return state != workflow_state::pending && state != workflow_state::running;
}

/// Identifies one task of a workflow.
struct task_key {
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_key&, const task_key&) = default;
};

/// Numbers the tasks of all occurrences of a workflow, in the order of occurrences, steps and
/// indices.
using task_number = std::uint32_t;

/// The place of a task within its workflow.
struct task_place {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend bool operator==(const task_place&, const task_place&) = default;
};

/// Converts between places and numbers of the tasks of one workflow.
class task_numbering {
  public:
    explicit task_numbering(const workflow_spec& spec);

    [[nodiscard]] task_number number_of(const task_place& place) const;

    /// Nothing when the workflow has fewer tasks.
    [[nodiscard]] std::optional<task_place> place_of(task_number number) const;

  private:
    std::vector<task_number> step_begins_; ///< Within an occurrence; ends with the number of tasks.
    task_number end_ = 0;                  ///< Number of tasks of all occurrences.
};

/// Estimated run time of the longest chain of dependent steps of one occurrence.
duration critical_path_length(const workflow_spec& spec);

/// Most tasks of a workflow, over all steps and occurrences, so that a small entry VM holds it in
/// memory.
inline constexpr std::uint64_t max_workflow_tasks = 20000;

/// Latest time at which an occurrence may be due, in Unix milliseconds; far beyond any plan, and
/// its conversion to microseconds fits 64 bits.
constexpr std::int64_t max_due_unix_ms = 20'000'000'000'000;

/// Whether the workflow has steps, each with tasks and with dependencies on earlier steps only, and
/// no more than `max_workflow_tasks`.
bool well_formed(const workflow_spec& spec);

} // namespace citronford
