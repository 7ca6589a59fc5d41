#pragma once

namespace citronford::dispatch {

struct occurrence_state;
struct task_record;
struct workflow_entry;

/// Where a task is kept. All null when the task is unknown.
struct task_location {
    workflow_entry* workflow = nullptr;
    occurrence_state* occurrence = nullptr;
    task_record* record = nullptr;
};

} // namespace citronford::dispatch
