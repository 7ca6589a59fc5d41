#include "citronford/workflow.h"

#include <algorithm>

namespace citronford {

duration critical_path_length(const workflow_spec& spec) {
    std::vector<duration> ends;
    ends.reserve(spec.steps.size());
    duration longest{};
    for (const workflow_step& step : spec.steps) {
        duration begin{};
        for (const std::uint32_t earlier : step.after) {
            begin = std::max(begin, ends[earlier]);
        }
        ends.push_back(begin + step.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

bool well_formed(const workflow_spec& spec) {
    std::uint64_t tasks = 0;
    for (std::size_t number = 0; number < spec.steps.size(); ++number) {
        const workflow_step& step = spec.steps[number];
        const bool only_earlier = std::ranges::all_of(
            step.after, [&](std::uint32_t earlier) { return earlier < number; });
        if (step.tasks == 0 || !only_earlier) {
            return false;
        }
        tasks += step.tasks;
    }
    if (spec.steps.empty() || tasks > max_workflow_tasks / spec.runs()) {
        return false;
    }
    // Division, since the products of both checks can exceed 64 bits.
    const std::int64_t latest_begin = max_due_unix_ms - spec.first_due_unix_ms;
    return latest_begin >= 0 && spec.interval_ms <= latest_begin / spec.runs();
}

} // namespace citronford
