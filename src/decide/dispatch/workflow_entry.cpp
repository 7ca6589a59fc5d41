#include "decide/dispatch/workflow_entry.h"

#include "citronford/planted_fault.h"

#include <algorithm>

namespace citronford::dispatch {

occurrence_state& workflow_entry::add_occurrence(std::uint32_t number, instant due_at) {
    const auto [place, added] = occurrences.try_emplace(number);
    occurrence_state& occurrence = place->second;
    if (added) {
        occurrence.number = number;
        occurrence.due_at = due_at;
        for (const workflow_step& step : row.spec.steps) {
            occurrence.steps.emplace_back().tasks.resize(step.tasks);
        }
        update_ready_steps(occurrence);
    }
    return occurrence;
}

void workflow_entry::update_ready_steps(occurrence_state& occurrence) const {
    for (std::size_t number = 0; number < occurrence.steps.size(); ++number) {
        occurrence.steps[number].ready =
            fault_planted("workflow-order") ||
            std::ranges::all_of(row.spec.steps[number].after, [&](std::uint32_t earlier) {
                return occurrence.steps[earlier].complete();
            });
    }
}

bool workflow_entry::complete_task(occurrence_state& occurrence, std::uint32_t step,
                                   std::uint32_t index) {
    step_state& target = occurrence.steps[step];
    task_record& task = target.tasks[index];
    if (task.done) {
        return false;
    }
    task.done = true;
    if (task.run != nullptr) {
        --target.active;
    }
    task.checkpoint.clear();
    ++target.done;
    if (!target.complete()) {
        return false;
    }
    ++occurrence.steps_done;
    if (occurrence.steps_done < occurrence.steps.size()) {
        update_ready_steps(occurrence);
        return false;
    }
    ++occurrences_done;
    return occurrences_done == row.spec.runs();
}

workflow_progress workflow_entry::progress() const {
    workflow_progress saved;
    saved.state = state;
    if (is_ended()) {
        return saved;
    }
    for (const auto& [number, occurrence] : occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const step_state& source = occurrence.steps[step];
            if (source.done > 0) {
                step_progress& target = saved.steps.emplace_back();
                target.occurrence = number;
                target.step = step;
                std::ranges::transform(source.tasks, std::back_inserter(target.done),
                                       &task_record::done);
            }
            for (std::uint32_t index = 0; index < source.tasks.size(); ++index) {
                const task_record& task = source.tasks[index];
                if (!task.failed_runs.empty() && !task.done) {
                    saved.failures.push_back({number, step, index, task.failed_runs});
                }
            }
        }
    }
    return saved;
}

void workflow_entry::restore(const workflow_progress& saved, instant now) {
    const auto valid = [&](std::uint32_t occurrence, std::uint32_t step) {
        return occurrence < row.spec.runs() && step < row.spec.steps.size();
    };
    for (const step_progress& source : saved.steps) {
        if (!valid(source.occurrence, source.step)) {
            continue;
        }
        occurrence_state& occurrence = add_occurrence(source.occurrence, now);
        const std::size_t tasks =
            std::min<std::size_t>(source.done.size(), step(source.step).tasks);
        for (std::uint32_t index = 0; index < tasks; ++index) {
            if (source.done[index]) {
                complete_task(occurrence, source.step, index);
            }
        }
    }
    for (const task_failures& source : saved.failures) {
        if (valid(source.occurrence, source.step) && source.index < step(source.step).tasks) {
            task_record& task =
                add_occurrence(source.occurrence, now).steps[source.step].tasks[source.index];
            task.failed_runs = source.runs;
            for (const std::uint32_t run : source.runs) {
                task.last_run = std::max(task.last_run, run);
            }
        }
    }
}

duration workflow_entry::remaining_critical_path(const occurrence_state& occurrence) const {
    std::vector<duration> ends(row.spec.steps.size());
    duration longest{};
    for (std::size_t number = 0; number < ends.size(); ++number) {
        if (occurrence.steps[number].complete()) {
            continue;
        }
        duration begin{};
        for (const std::uint32_t earlier : row.spec.steps[number].after) {
            begin = std::max(begin, ends[earlier]);
        }
        ends[number] = begin + row.spec.steps[number].estimate;
        longest = std::max(longest, ends[number]);
    }
    return longest;
}

} // namespace citronford::dispatch
