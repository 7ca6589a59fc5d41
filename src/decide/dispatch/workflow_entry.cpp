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
    const task_numbering numbering(row.spec);
    for (const auto& [number, occurrence] : occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const std::vector<task_record>& tasks = occurrence.steps[step].tasks;
            const task_number first = numbering.number_of({number, step, 0});
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].done) {
                    saved.done.resize(first + index + 1);
                    saved.done.back() = true;
                } else if (!tasks[index].failed_runs.empty()) {
                    saved.failures.push_back({first + index, tasks[index].failed_runs});
                }
            }
        }
    }
    return saved;
}

void workflow_entry::restore(const workflow_progress& saved, instant now) {
    const task_numbering numbering(row.spec);
    for (task_number task = 0; task < saved.done.size(); ++task) {
        const auto place = numbering.place_of(task);
        // Earlier versions stored long-running tasks that ended as done; these are to run again.
        if (place && saved.done[task] && !row.spec.steps[place->step].long_running) {
            complete_task(add_occurrence(place->occurrence, now), place->step, place->index);
        }
    }
    for (const task_failures& source : saved.failures) {
        const auto place = numbering.place_of(source.task);
        if (!place) {
            continue;
        }
        task_record& task =
            add_occurrence(place->occurrence, now).steps[place->step].tasks[place->index];
        task.failed_runs = source.runs;
        for (const std::uint32_t run : source.runs) {
            task.last_run = std::max(task.last_run, run);
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
