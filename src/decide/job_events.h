#pragma once

#include "citronford/worker_link.h"

#include <string_view>
#include <variant>

namespace citronford {

// Events of the chart `job`.

/// A caller submitted the job.
struct job_submitted {
    static constexpr std::string_view event_name = "submitted";
};
/// A row read from the table names this node as the owner.
struct job_adopted {
    static constexpr std::string_view event_name = "adopted";
};
/// The row names an owner that is not live, and this node is to take the job over.
struct job_orphaned {
    static constexpr std::string_view event_name = "orphaned";
};
/// The awaited write of the row succeeded.
struct row_written {
    static constexpr std::string_view event_name = "row_written";
};
/// Another node owns the job.
struct row_conflict {
    static constexpr std::string_view event_name = "row_conflict";
};
/// The awaited write of the row certainly did not happen.
struct row_unavailable {
    static constexpr std::string_view event_name = "row_unavailable";
};
/// Cancellation of the job was requested.
struct job_cancelled {
    static constexpr std::string_view event_name = "cancel";
};
/// A worker has been chosen for the job.
struct job_placed {
    static constexpr std::string_view event_name = "placed";
};
/// No worker of this node is large enough for the job.
struct no_worker_fits {
    static constexpr std::string_view event_name = "no_worker_fits";
};
/// The queued job is to be moved to another node.
struct job_reassigned {
    static constexpr std::string_view event_name = "reassigned";
};
/// A newer row names another owner or another generation.
struct job_taken_over {
    static constexpr std::string_view event_name = "taken_over";
};
/// The lease of the task has certainly expired, so the task no longer runs.
struct worker_lost {
    static constexpr std::string_view event_name = "worker_lost";
};
/// This node no longer holds the worker.
struct worker_detached {
    static constexpr std::string_view event_name = "worker_detached";
};
/// Another node owns the worker of the task; the job follows the worker.
struct worker_reassigned {
    static constexpr std::string_view event_name = "worker_reassigned";
};
/// The task is to be checkpointed and stopped.
struct eviction_requested {
    static constexpr std::string_view event_name = "evict";
};
/// The worker did not report a checkpoint within `checkpoint_timeout`.
struct checkpoint_timeout {
    static constexpr std::string_view event_name = "checkpoint_timeout";
};
/// The task has saved its progress.
struct task_checkpointed {
    static constexpr std::string_view event_name = "task_checkpointed";
};
/// The task succeeded.
struct task_done {
    static constexpr std::string_view event_name = "task_done";
};
/// The task failed.
struct task_failed {
    static constexpr std::string_view event_name = "task_failed";
};
/// An answer of the worker does not list the task.
struct task_absent {
    static constexpr std::string_view event_name = "task_absent";
};
/// The worker runs the task.
struct task_running {
    static constexpr std::string_view event_name = "task_running";
    resources usage; ///< All zero until the worker has measured it.
};

using job_event =
    std::variant<job_submitted, job_adopted, job_orphaned, row_written, row_conflict,
                 row_unavailable, job_cancelled, job_placed, no_worker_fits, job_reassigned,
                 job_taken_over, worker_lost, worker_detached, worker_reassigned,
                 eviction_requested, checkpoint_timeout, task_checkpointed, task_done, task_failed,
                 task_absent, task_running>;

} // namespace citronford
