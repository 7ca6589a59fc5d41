#pragma once

#include "citronford/workflow.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronford {

/// Which tasks of one step of one occurrence are done.
struct step_progress {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<bool> done; ///< By index of the task.

    friend bool operator==(const step_progress&, const step_progress&) = default;
};

/// The failed runs of a task.
struct task_failures {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::vector<std::uint32_t> runs; ///< Numbers of the runs.

    friend bool operator==(const task_failures&, const task_failures&) = default;
};

/// The stored progress of a workflow. Backend servers keep runs, leases and unacknowledged
/// completions, so only completions that were acknowledged to them must be stored here.
struct workflow_progress {
    workflow_state state = workflow_state::pending;
    std::vector<step_progress> steps; ///< Steps with at least one task that is done.
    std::vector<task_failures> failures;

    friend bool operator==(const workflow_progress&, const workflow_progress&) = default;
};

} // namespace citronford
