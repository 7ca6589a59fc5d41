#pragma once

#include "citronford/worker_link.h"

#include <string_view>
#include <variant>

namespace citronford {

// Events of the chart `job`.

/// The job came from a caller.
struct job_submitted {
    static constexpr std::string_view event_name = "submitted";
};
/// The row names this node as the owner.
struct job_adopted {
    static constexpr std::string_view event_name = "adopted";
};
/// The row names an owner that is not live.
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
/// The job is not to run any more.
struct job_cancelled {
    static constexpr std::string_view event_name = "cancel";
};
/// A worker has been chosen.
struct job_placed {
    static constexpr std::string_view event_name = "placed";
};
/// No worker of this node is large enough.
struct no_worker_fits {
    static constexpr std::string_view event_name = "no_worker_fits";
};
/// No worker of this node may take tasks; those of other nodes may.
struct job_reassigned {
    static constexpr std::string_view event_name = "reassigned";
};
/// The row names another owner.
struct job_taken_over {
    static constexpr std::string_view event_name = "taken_over";
};
/// The lease of the task has surely expired.
struct worker_lost {
    static constexpr std::string_view event_name = "worker_lost";
};
/// This node does not hold the worker any more.
struct worker_detached {
    static constexpr std::string_view event_name = "worker_detached";
};
/// Another node owns the worker of the task.
struct worker_reassigned {
    static constexpr std::string_view event_name = "worker_reassigned";
};
/// The task has to make room.
struct eviction_requested {
    static constexpr std::string_view event_name = "evict";
};
/// The worker did not report a checkpoint in time.
struct checkpoint_timeout {
    static constexpr std::string_view event_name = "checkpoint_timeout";
};
/// The progress of the task is saved.
struct task_checkpointed {
    static constexpr std::string_view event_name = "task_checkpointed";
};
/// The task ended well.
struct task_done {
    static constexpr std::string_view event_name = "task_done";
};
/// The task ended with a failure.
struct task_failed {
    static constexpr std::string_view event_name = "task_failed";
};
/// The worker does not list the task.
struct task_absent {
    static constexpr std::string_view event_name = "task_absent";
};
/// The worker runs the task.
struct task_running {
    static constexpr std::string_view event_name = "task_running";
    resources usage; ///< Zero until the worker has measured it.
};

using job_event =
    std::variant<job_submitted, job_adopted, job_orphaned, row_written, row_conflict,
                 row_unavailable, job_cancelled, job_placed, no_worker_fits, job_reassigned,
                 job_taken_over, worker_lost, worker_detached, worker_reassigned,
                 eviction_requested, checkpoint_timeout, task_checkpointed, task_done, task_failed,
                 task_absent, task_running>;

} // namespace citronford
