#pragma once

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
struct workflow_entry;

/// One task of one occurrence.
struct task_slot {
    bool done = false;
    bool accounted = false;                 ///< A run of it is or was known under this ownership.
    std::uint32_t last_run = 0;             ///< Highest number of a run that is known.
    std::vector<std::uint32_t> failed_runs; ///< Runs whose failure has been counted.
    task_run* run = nullptr;                ///< The run that may exist now.
    backend_id failed_on;                   ///< Where its last run failed.
    std::string checkpoint;

    [[nodiscard]] bool has_failed_in(std::uint32_t number) const {
        return std::ranges::find(failed_runs, number) != failed_runs.end();
    }
    [[nodiscard]] bool waits() const { return !done && run == nullptr; }
};

struct step_state {
    std::vector<task_slot> tasks;
    std::uint32_t done = 0;
    std::uint32_t active = 0; ///< Tasks that are not done and have a run.
    bool open = false;        ///< All tasks that it depends on are done.

    [[nodiscard]] bool complete() const { return done == tasks.size(); }
    [[nodiscard]] std::size_t waiting() const { return open ? tasks.size() - done - active : 0; }
};

struct occurrence_state {
    std::uint32_t number = 0;
    std::vector<step_state> steps;
    std::size_t steps_done = 0;
    instant due_at{};
};

struct workflow_entry {
    accepted_workflow row;
    chart_position position{};
    workflow_state state = workflow_state::pending;
    bool stored_before = false;
    bool changed = false; ///< Since its progress was saved last.
    bool surplus = false; ///< Beyond the rate that its team is owed.
    duration chain{};     ///< The longest chain of steps, by estimate.
    duration
        allowance{}; ///< From its acceptance, or the due time of an occurrence, to its objective.
    instant accepted_at{};
    std::map<std::uint32_t, occurrence_state> occurrences; ///< Those that are due.
    std::uint32_t occurrences_done = 0;
    std::uint32_t next_occurrence = 0; ///< The first that is not due yet.
    std::size_t runs = 0;              ///< Runs that may exist.

    [[nodiscard]] const workflow_step& step(std::uint32_t number) const {
        return row.spec.steps[number];
    }
    [[nodiscard]] bool is_ended() const { return ended(state); }

    /// Whether a task may have a run of an earlier owner on a server that was not read yet.
    [[nodiscard]] bool unaccounted(const task_slot& slot) const {
        return stored_before && !slot.accounted;
    }

    /// Number of the next run of a task. An earlier owner may have used the numbers behind the last
    /// known one.
    [[nodiscard]] std::uint32_t next_run(const task_slot& slot) const {
        constexpr std::uint32_t reserved_runs = 8;
        return slot.last_run + 1 + (unaccounted(slot) ? reserved_runs : 0);
    }

    /// Adds the occurrence `number`, which is due.
    occurrence_state& begin_occurrence(std::uint32_t number, instant due_at);

    /// Opens the steps of `occurrence` whose earlier steps are complete.
    void open_steps(occurrence_state& occurrence) const;

    /// Marks a task as done; returns whether the whole workflow is done.
    bool complete_task(occurrence_state& occurrence, std::uint32_t step, std::uint32_t index);

    /// What is to be saved of it.
    [[nodiscard]] workflow_progress progress() const;

    /// Takes over what was saved of it.
    void restore(const workflow_progress& saved, instant now);

    /// The chain of steps of `occurrence` that is not complete, by estimate.
    [[nodiscard]] duration remaining_chain(const occurrence_state& occurrence) const;
};

// Events of the life cycle of a workflow.

struct task_begun {
    static constexpr std::string_view event_name = "task_begun";
};
struct tasks_done {
    static constexpr std::string_view event_name = "tasks_done";
};
struct attempts_spent {
    static constexpr std::string_view event_name = "attempts_spent";
};
struct cancel_ordered {
    static constexpr std::string_view event_name = "cancel_ordered";
};

using workflow_event = std::variant<task_begun, tasks_done, attempts_spent, cancel_ordered>;

} // namespace citronford::dispatch
