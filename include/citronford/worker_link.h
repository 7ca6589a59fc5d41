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

/// Names one start of a job on a worker; a further start of the job has another id.
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
    int percent = 100; ///< Of the processors that the task would use.
};

/// One message of the owner of a worker. It renews the lease of all tasks of the worker.
struct sync_request {
    node_id owner;
    std::uint64_t epoch = 0;    ///< The worker rejects an epoch lower than one seen before.
    std::uint64_t sequence = 0; ///< Rises within the epoch; the worker rejects one that does not.
    duration lease{};           ///< The worker stops all tasks this long after the message.
    std::vector<task_start> start;
    std::vector<task_id> stop; ///< Stops a running task and forgets an ended one.
    std::vector<task_id> checkpoint;
    std::vector<task_throttle> throttle;
};

/// `expired` is a task that the worker stopped because its lease had expired.
enum class task_state { running, checkpointed, done, failed, expired };

struct task_report {
    task_id id;
    task_state state = task_state::running;
    resources usage; ///< Measured, with a lag.
};

/// The worker accepted the message. Ended tasks are listed until a message stops them.
struct sync_accepted {
    std::uint64_t incarnation = 0; ///< Another number says that the worker lost its memory.
    bool leaving = false;
    resources capacity;
    std::vector<task_report> tasks;
};
/// The worker has seen a higher epoch or sequence and did nothing.
struct sync_rejected {
    std::uint64_t epoch = 0;
};
/// Nothing was sent.
struct sync_unreachable {};
/// The message may have arrived; no answer came.
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

    /// Sends one message. `done` is called exactly once, within `timeout`; after it the message
    /// does not arrive any more.
    virtual void sync(const endpoint& to, const sync_request& message, duration timeout,
                      sync_callback done) = 0;
};

} // namespace citronford
