#pragma once

#include "citronford/workflow.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace citronford {

/// The failed runs of a task.
struct task_failures {
    task_number task = 0;
    std::vector<std::uint32_t> runs; ///< Numbers of the runs.

    friend bool operator==(const task_failures&, const task_failures&) = default;
};

/// The stored progress of a workflow. Backend servers keep runs, leases and unacknowledged
/// completions, so only completions that were acknowledged to them must be stored here.
struct workflow_progress {
    workflow_state state = workflow_state::pending;
    std::vector<bool> done; ///< By number of the task, up to the last one that is done.
    std::vector<task_failures> failures; ///< In rising order of tasks.

    friend bool operator==(const workflow_progress&, const workflow_progress&) = default;
};

/// Largest encoded progress in a table whose values may have `row_bytes`. The limit may count the
/// characters of the base64 text, of which there are four for three bytes.
constexpr std::size_t max_progress_text(std::size_t row_bytes) {
    return row_bytes / 4 * 3;
}

/// Upper bound for the bytes of the stored progress of a workflow whose tasks have up to
/// `max_attempts` runs that fail, with any run numbers.
std::size_t max_progress_bytes(const workflow_spec& spec, std::uint32_t max_attempts);

} // namespace citronford
