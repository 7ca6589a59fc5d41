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

task_numbering::task_numbering(const workflow_spec& spec) {
    step_begins_.reserve(spec.steps.size() + 1);
    task_number begin = 0;
    for (const workflow_step& step : spec.steps) {
        step_begins_.push_back(begin);
        begin += step.tasks;
    }
    step_begins_.push_back(begin);
    end_ = begin * spec.runs();
}

task_number task_numbering::number_of(const task_place& place) const {
    return place.occurrence * step_begins_.back() + step_begins_[place.step] + place.index;
}

std::optional<task_place> task_numbering::place_of(task_number number) const {
    if (number >= end_) {
        return std::nullopt;
    }
    const task_number within = number % step_begins_.back();
    const auto next = std::ranges::upper_bound(step_begins_, within);
    const auto step = static_cast<std::uint32_t>(next - step_begins_.begin() - 1);
    return task_place{number / step_begins_.back(), step, within - step_begins_[step]};
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
