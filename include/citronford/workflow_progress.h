#pragma once

#include "citronford/workflow.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronford {

/// Tasks of one step of one occurrence that are done.
struct step_progress {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<bool> done; ///< By index of the task.

    friend bool operator==(const step_progress&, const step_progress&) = default;
};

/// A task whose runs have failed.
struct task_failures {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::vector<std::uint32_t> runs; ///< Numbers of the runs that have failed.

    friend bool operator==(const task_failures&, const task_failures&) = default;
};

/// What the store keeps of the course of a workflow. Runs and their leases are kept by the backend
/// servers; only ends that were acknowledged to them must be found here.
struct workflow_progress {
    workflow_state state = workflow_state::pending;
    std::vector<step_progress> steps; ///< Only steps with a task that is done.
    std::vector<task_failures> failures;

    friend bool operator==(const workflow_progress&, const workflow_progress&) = default;
};

} // namespace citronford
