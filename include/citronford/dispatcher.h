#pragma once

#include "citronford/backend.h"
#include "citronford/backend_link.h"
#include "citronford/chart.h"
#include "citronford/instant.h"
#include "citronford/queue_catalog.h"
#include "citronford/workflow.h"
#include "citronford/workflow_progress.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citronford {

/// Names one run within a dispatcher; never reused.
enum class run_id : std::uint64_t {};

// Inputs.

struct catalog_applied {
    std::shared_ptr<const queue_catalog> catalog;
};
struct orders_applied {
    operator_orders orders;
};
/// A stored workflow. One that was stored before the ownership began may have runs already.
struct workflow_found {
    accepted_workflow row;
    workflow_progress progress;
    bool stored_before = false;
};
/// All workflows that were stored before the ownership began have been found.
struct workflows_loaded {};
struct workflow_cancelled {
    job_id job;
};
struct backend_registered {
    backend_registration registration;
};
struct backend_deregistered {
    backend_id id;
};
/// The platform's list of VMs names these servers as the present ones. A server that has been
/// replaced stays registered for some seconds, but is in no list any more.
struct present_backends {
    std::vector<backend_id> backends;
};
/// All backend servers that were registered when the ownership began have been listed.
struct backends_loaded {};
/// What the owner may do, by the time up to which it holds its lease.
struct ownership_extended {
    instant lease_until{};          ///< No other node can be the owner before.
    instant sends_commands_until{}; ///< It may give orders to backend servers.
};
struct start_answered {
    run_id run{};
    command_result result;
};
struct stop_answered {
    run_id run{};
    command_result result;
};
struct poll_answered {
    backend_id backend;
    poll_result result;
};
/// The store has the progress of all workflows up to a `save_progress`.
struct progress_saved {};
/// Backend servers whose VMs are to be maintained or moved.
struct backends_to_drain {
    std::vector<backend_id> now;   ///< Take no new tasks and give up those that can go elsewhere.
    std::vector<backend_id> later; ///< Long-running tasks should not be placed there.
};
struct dispatch_tick {
    std::int64_t unix_ms = 0; ///< Time of day, for scheduled occurrences.
};

using dispatch_input =
    std::variant<catalog_applied, orders_applied, workflow_found, workflows_loaded,
                 workflow_cancelled, backend_registered, backend_deregistered, present_backends,
                 backends_loaded, ownership_extended, start_answered, stop_answered, poll_answered,
                 progress_saved, backends_to_drain, dispatch_tick>;

// Effects. Views are valid until the next input.

struct send_start {
    run_id run{};
    backend_address to;
    start_command order;
};
/// A stop of a run that the dispatcher does not follow has no `run`.
struct send_stop {
    run_id run{};
    backend_address to;
    stop_command order;
};
struct send_poll {
    backend_address to;
    poll_request order;
};
struct progress_row {
    job_id job;
    workflow_progress progress;
};
/// Write all rows, then report `progress_saved`; none other is asked for before.
struct save_progress {
    std::vector<progress_row> rows;
};
/// A backend server has seen a higher token: another node is the owner.
struct fenced_out {};
/// A decision for the log.
struct log_decision {
    std::string_view event;
    job_id job;
    backend_id backend;
    std::string detail;
};

using dispatch_effect =
    std::variant<send_start, send_stop, send_poll, save_progress, fenced_out, log_decision>;

struct dispatch_options {
    fencing_token token = 0;
    duration lease = milliseconds(4200);     ///< Of the runs on a server.
    duration max_lease = milliseconds(6000); ///< Servers shorten longer leases to this.
    duration previous_owner_grace =
        milliseconds(3000); ///< An earlier owner may act so long after losing its lease.
    duration stop_time = milliseconds(900); ///< A server stops a run within this time.
    /// How long registrations may be missing after the ownership began, when the store was away.
    duration registration_delay{};
};

/// What runs on one backend server.
struct backend_load {
    backend_id backend;
    pool_id pool;
    resources capacity;
    resources used;
    std::size_t runs = 0;
    std::size_t long_running = 0; ///< Those of them that must not simply be ended.
    std::int64_t long_running_millicores = 0;
    bool unschedulable =
        false; ///< Takes no new task: its VM is about to be ordered away, or it leaves.
};

/// The work that callers ask of one pool.
struct pool_workload {
    pool_id pool;
    double arrived_core_s =
        0; ///< By estimate, since the ownership began; without long-running tasks.
    double waiting_cores = 0; ///< Of tasks that could start and may still meet their objective.
    std::int64_t waiting_long_running = 0; ///< Tasks; each may need a server of its own.
};

/// Numbers of a dispatcher, for figures and for the state page.
struct dispatch_counts {
    std::size_t workflows = 0; ///< Not ended, or ended with runs that are being stopped.
    std::size_t runs = 0;
    std::size_t backends = 0;
    std::uint64_t starts = 0;
    std::uint64_t runs_done = 0;
    std::uint64_t runs_failed = 0;
    std::uint64_t runs_lost = 0;      ///< Runs that ended without an end being listed.
    std::uint64_t starts_refused = 0; ///< Starts that were refused.
};

/// Runs the tasks of all workflows on the backend servers: the decisions of the one node that owns
/// the scheduler. One dispatcher serves one ownership; the next owner builds its own from the store
/// and from the lists of the servers.
class dispatcher {
  public:
    struct charts {
        const chart& workflow;
        const chart& task_run;
        const chart& backend_contact;
    };

    static absl::StatusOr<std::unique_ptr<dispatcher>>
    create(const charts& life_cycles, dispatch_options options, instant now);

    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
    dispatcher(dispatcher&&) = delete;
    dispatcher& operator=(dispatcher&&) = delete;
    ~dispatcher();

    std::vector<dispatch_effect> handle(const dispatch_input& input, instant now);

    /// Workflows of each queue none of whose tasks has started.
    [[nodiscard]] std::map<queue_id, std::uint64_t> waiting_workflows() const;

    /// The servers that are in contact, and what runs there.
    [[nodiscard]] std::vector<backend_load> backend_loads() const;

    [[nodiscard]] std::vector<pool_workload> pool_workloads() const;

    [[nodiscard]] dispatch_counts counts() const;

    class implementation;

  private:
    explicit dispatcher(std::unique_ptr<implementation> body);

    std::unique_ptr<implementation> body_;
};

} // namespace citronford
