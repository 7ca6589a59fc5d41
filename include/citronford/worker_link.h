#pragma once

#include "citronford/endpoint.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/resources.h"

#include <cstdint>
#include <functional>
#include <variant>
#include <vector>

namespace citronford {

/// Identifies one start of a job on a worker; every further start of the job has another id.
using task_id = identifier<struct task_tag>;

struct task_start {
    task_id id;
    job_id job;
    team_id team;
    resources size;
    milliseconds run{};
};
struct task_throttle {
    task_id id;
    int percent = 100; ///< Of the processors that the task would use unthrottled.
};

/// One message from the owner of a worker. It renews the lease of all tasks on the worker.
struct sync_request {
    node_id owner;
    std::uint64_t epoch = 0; ///< Fencing token: the worker rejects a lower epoch than it has seen.
    /// Increases within the epoch; the worker rejects a message whose sequence does not.
    std::uint64_t sequence = 0;
    /// The worker stops all tasks this long after receipt; zero does not extend an earlier lease.
    duration lease{};
    std::vector<task_start> start;
    std::vector<task_id> stop; ///< Stops a running task; acknowledges an ended one.
    std::vector<task_id> checkpoint;
    std::vector<task_throttle> throttle;
};

/// `expired`: the worker stopped the task because its lease had expired.
enum class task_state { running, checkpointed, done, failed, expired };

struct task_report {
    task_id id;
    task_state state = task_state::running;
    resources usage; ///< Measured, with a lag.
};

/// The worker accepted the message. An ended task is listed until a message names it in `stop`.
struct sync_accepted {
    std::uint64_t incarnation = 0; ///< Changes when the worker restarts and loses its state.
    bool leaving = false;
    resources capacity;
    std::vector<task_report> tasks;
};
/// The worker has seen a higher epoch or sequence and ignored the message.
struct sync_rejected {
    std::uint64_t epoch = 0;
};
/// The message was not sent.
struct sync_unreachable {};
/// The message may have arrived, but no valid answer was received.
struct sync_unanswered {};

using sync_result = std::variant<sync_accepted, sync_rejected, sync_unreachable, sync_unanswered>;

/// Connections to workers.
class worker_link {
  public:
    using sync_callback = std::function<void(sync_result)>;

    worker_link() = default;
    worker_link(const worker_link&) = delete;
    worker_link& operator=(const worker_link&) = delete;
    worker_link(worker_link&&) = delete;
    worker_link& operator=(worker_link&&) = delete;
    virtual ~worker_link() = default;

    /// Sends one message. `done` is called exactly once, within `timeout`; the message cannot
    /// arrive afterwards.
    virtual void sync(const endpoint& to, const sync_request& message, duration timeout,
                      sync_callback done) = 0;
};

} // namespace citronford
