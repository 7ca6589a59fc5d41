#include "citronford/workflow_progress.h"

namespace citronford {

std::size_t max_progress_bytes(const workflow_spec& spec, std::uint32_t max_attempts) {
    // The state, the names of the members, and the longer gaps between the tasks that failed.
    constexpr std::size_t fixed_bytes = 200;
    // A bit that says whether the task is done, as hexadecimal digits of four tasks each, and the
    // part of its failures that does not depend on their number, rounded up.
    constexpr std::size_t bytes_per_task = 3;
    std::size_t bytes = fixed_bytes;
    for (const workflow_step& step : spec.steps) {
        // Long-running tasks store their last failure only.
        const std::size_t failures = step.long_running ? 1 : max_attempts;
        bytes += std::size_t{step.tasks} * spec.runs() * (bytes_per_task + failures);
    }
    return bytes;
}

} // namespace citronford
