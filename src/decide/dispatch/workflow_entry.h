#pragma once

#include "decide/dispatch/unsaved_completions.h"

#include "citronford/chart_machine.h"
#include "citronford/dispatcher.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronford::dispatch {

struct task_run;
struct team_share;
struct workflow_entry;

/// One task of one occurrence.
struct task_record {
    bool done = false;
    bool run_seen = false;                  ///< A run was seen under this ownership.
    std::uint32_t last_run = 0;             ///< Highest known run number.
    std::vector<std::uint32_t> failed_runs; ///< Numbers of the counted failures.
    task_run* run = nullptr;                ///< The run that may exist now.
    /// A second run that may exist now; only with `run`, and only where the step allows copies.
    task_run* copy = nullptr;
    backend_id failed_on; ///< Server of the last failed run.
    std::string checkpoint;

    [[nodiscard]] bool has_failed_in(std::uint32_t number) const {
        return std::ranges::find(failed_runs, number) != failed_runs.end();
    }
    [[nodiscard]] bool is_waiting() const { return !done && run == nullptr; }
};

struct step_state {
    std::vector<task_record> tasks;
    std::uint32_t done = 0;
    std::uint32_t active = 0; ///< Tasks that are not done and have a run.
    bool ready = false;       ///< All steps that it depends on are done.

    [[nodiscard]] bool complete() const { return done == tasks.size(); }
    [[nodiscard]] std::size_t waiting_tasks() const {
        return ready ? tasks.size() - done - active : 0;
    }
};

struct occurrence_state {
    std::uint32_t number = 0;
    std::vector<step_state> steps;
    std::size_t steps_done = 0;
    instant due_at{};
};

struct workflow_entry {
    accepted_workflow row;
    queue_terms terms; ///< Of the queue in the last catalogue that had it.
    chart_position position{};
    workflow_state state = workflow_state::pending;
    bool stored_before = false;
    bool changed = false;        ///< Waits to be saved.
    save_ticket ticket = 0;      ///< Of the change that waits to be saved.
    instant save_not_before{};   ///< After the table has rejected the row.
    bool over_quota = false;     ///< Exceeded the submission rate of its team.
    team_share* share = nullptr; ///< Of its team; null without fair shares or a team.
    /// Of waiting tasks of its team that are placed before, as of the last division.
    std::int64_t ahead_millicores = 0;
    duration critical_path{}; ///< Estimated time of the longest chain of steps.
    /// Time within which an occurrence should end: from the acceptance of the workflow, or from the
    /// due time of a scheduled occurrence.
    duration objective{};
    instant accepted_at{};
    std::map<std::uint32_t, occurrence_state> occurrences; ///< Due ones, by number.
    std::uint32_t occurrences_done = 0;
    std::uint32_t next_occurrence = 0; ///< First one that is not due yet.
    std::size_t runs = 0;              ///< Runs that may exist.
    instant idle_since{};          ///< Since when it has had no run, though an occurrence is due.
    bool waits_for_server = false; ///< A server is kept clear for a long-running task.
    double core_s = 0;             ///< Of one occurrence; zero until its pool is first ordered.

    [[nodiscard]] const workflow_step& step(std::uint32_t number) const {
        return row.spec.steps[number];
    }
    [[nodiscard]] bool is_ended() const { return ended(state); }

    /// Whether an earlier owner may have started a run of the task on a server that has not
    /// answered.
    [[nodiscard]] bool may_have_unknown_run(const task_record& record) const {
        return stored_before && !record.run_seen;
    }

    /// Number of the next run of a task. When an earlier owner may have started runs unseen, skips
    /// 8 numbers that it may have used.
    [[nodiscard]] std::uint32_t next_run_number(const task_record& record) const {
        constexpr std::uint32_t reserved_runs = 8;
        return record.last_run + 1 + (may_have_unknown_run(record) ? reserved_runs : 0);
    }

    /// Adds the due occurrence `number`, or returns it if it exists.
    occurrence_state& add_occurrence(std::uint32_t number, instant due_at);

    /// Marks the steps of `occurrence` whose dependencies are complete as ready.
    void update_ready_steps(occurrence_state& occurrence) const;

    /// Marks a task as done; returns whether the whole workflow is done.
    bool complete_task(occurrence_state& occurrence, std::uint32_t step, std::uint32_t index);

    /// The progress to be stored.
    [[nodiscard]] workflow_progress progress() const;

    /// Restores stored progress.
    void restore(const workflow_progress& saved, instant now);

    /// Estimated time of the longest chain of incomplete steps of `occurrence`.
    [[nodiscard]] duration remaining_critical_path(const occurrence_state& occurrence) const;
};

// Events of the life cycle of a workflow.

struct task_started {
    static constexpr std::string_view event_name = "task_started";
};
struct all_tasks_done {
    static constexpr std::string_view event_name = "all_tasks_done";
};
struct attempts_exhausted {
    static constexpr std::string_view event_name = "attempts_exhausted";
};
struct cancel_requested {
    static constexpr std::string_view event_name = "cancel_requested";
};

using workflow_event =
    std::variant<task_started, all_tasks_done, attempts_exhausted, cancel_requested>;

} // namespace citronford::dispatch
