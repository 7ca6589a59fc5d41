#pragma once

#include "citronford/backend.h"
#include "citronford/backend_link.h"
#include "citronford/chart.h"
#include "citronford/instant.h"
#include "citronford/load_report.h"
#include "citronford/overload_order.h"
#include "citronford/pool_workload.h"
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

/// Identifies one run within a dispatcher; never reused.
enum class run_id : std::uint64_t {};

// Inputs.

struct catalog_applied {
    std::shared_ptr<const queue_catalog> catalog;
};
struct orders_applied {
    operator_orders orders;
};
/// A stored workflow. One that was stored before the ownership began may already have runs.
struct workflow_found {
    accepted_workflow row;
    workflow_progress progress;
    bool stored_before = false;
};
/// All workflows that were stored before the ownership began have been passed in.
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
/// A backend server that runs on a listed VM, in the pool of that VM.
struct present_backend {
    backend_id id;
    pool_id pool;
    resources capacity;
};
/// A listed VM on which no backend server runs: it is in a standby pool or on its way to its pool.
struct idle_vm {
    pool_id pool;
    zone_id zone;
    resources capacity;
};
/// The backend servers in the platform's list of VMs. A server that has been replaced stays
/// registered for some seconds, but is missing from the list. One whose registration expired in a
/// partition is only in the list, and may run tasks under leases of an earlier owner.
struct present_backends {
    std::vector<present_backend> backends;
    std::vector<idle_vm> without_backend{}; ///< VMs of which the list names no backend server.
};
/// All backend servers that were registered when the ownership began have been passed in.
struct backends_loaded {};
/// The owner has renewed its lease.
struct ownership_extended {
    instant lease_until{};          ///< No other node can become the owner before.
    instant sends_commands_until{}; ///< The owner may send commands until then.
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
/// The rows of the last `save_progress` are stored, but for those that the table rejects.
struct progress_saved {
    std::vector<job_id> rejected;
};
/// Backend servers whose VMs are to be maintained or moved. Replaces the earlier sets.
struct backends_to_drain {
    std::vector<backend_id> now;   ///< No new tasks; long-running tasks move to other servers.
    std::vector<backend_id> later; ///< Avoided for new long-running tasks.
};
struct dispatch_tick {
    std::int64_t unix_ms = 0; ///< Time of day, for scheduled occurrences.
    duration late_by{};       ///< Time by which the loop delayed the tick.
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
    start_command command;
};
/// `run` is zero for a run that the dispatcher does not track.
struct send_stop {
    run_id run{};
    backend_address to;
    stop_command command;
};
struct send_poll {
    backend_address to;
    poll_request request;
};
struct progress_row {
    job_id job;
    workflow_progress progress;
};
/// Write all rows, then report `progress_saved`. At most one save is under way.
struct save_progress {
    std::vector<progress_row> rows;
};
/// A backend server has seen a higher fencing token: another node is the owner.
struct fenced_out {};
/// Write an event to the log.
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
    duration lease = milliseconds(4200);     ///< Of the runs on a server; renewed by polls.
    duration max_lease = milliseconds(6000); ///< Servers shorten longer leases to this.
    /// How long an earlier owner may send commands after its lease has expired.
    duration previous_owner_grace = milliseconds(3000);
    duration stop_time = milliseconds(900); ///< A server stops a run within this time.
    /// Timeout of a command to a backend server; its connection is reset then. Servers answer
    /// within milliseconds. A command that is lost holds up its task until then; one that is only
    /// late costs a poll.
    duration command_timeout = milliseconds(300);
    /// After the beginning of the ownership, servers may be missing from the registrations for this
    /// long because the store was unavailable.
    duration registration_delay{};
    /// VM lists are passed in; a new owner waits for the first one before it starts tasks.
    bool has_vm_lists = false;
    bool overload_order = false; ///< As in `load_switches`.
    bool fair_shares = false;    ///< As in `load_switches`.
    bool admission = false;      ///< As in `load_switches`; the load is published.
    bool slow_servers = false;   ///< As in `load_switches`.
};

/// Resource use of one backend server.
struct backend_load {
    backend_id backend;
    pool_id pool;
    resources capacity;
    resources used;
    std::size_t runs = 0;
    std::size_t long_running = 0; ///< Runs of long-running tasks; these must not simply be ended.
    std::int64_t long_running_millicores = 0;
    bool unschedulable = false; ///< Accepts no new task: it is being drained or is leaving.
};

/// Waiting work of one pool after the last pass, without long-running tasks.
struct pool_waiting {
    pool_id pool;
    rank_table ranks{};
};

/// Use and share of one team, for metrics.
struct team_share_figure {
    team_id team;
    std::int64_t used_millicores = 0;
    double part_millicores = 0; ///< Zero while nothing waits.
};

/// With more teams, `dispatch_counts` names none, so that the metrics stay short.
inline constexpr std::size_t max_team_figures = 64;

/// Counters of a dispatcher for metrics and the state page.
struct dispatch_counts {
    std::size_t workflows = 0; ///< Not ended, or ended with runs that are being stopped.
    std::size_t stalled = 0;   ///< Workflows that could run, but have had no run for 2 s.
    std::size_t runs = 0;
    std::size_t backends = 0;
    std::size_t quarantined = 0; ///< Servers, because of failed runs.
    std::size_t slow = 0;        ///< Servers that get tasks only where no other has room.
    std::uint64_t starts = 0;
    std::uint64_t runs_done = 0;
    std::uint64_t runs_failed = 0;
    std::uint64_t runs_lost = 0;      ///< Runs that ended without a reported completion.
    std::uint64_t starts_refused = 0; ///< Starts that were refused or not delivered.
    std::size_t start_limit = 0;      ///< Starts that may wait for an answer at a time.
    bool starts_held_back = false;    ///< Within the last second, since the owner is behind.
    std::uint64_t copies_started = 0; ///< Second runs of tasks that were held up.
    std::uint64_t copies_won = 0;     ///< Of these, those that ended as done before the first run.
    /// Servers that were considered for a task. With `starts`, shows the cost of placement.
    std::uint64_t servers_examined = 0;
    std::vector<pool_waiting> waiting; ///< All pools; empty without `overload_order`.
    std::size_t teams_over_share = 0;
    std::vector<team_share_figure> team_shares; ///< Of the teams that had work.
};

/// Decides on which backend servers the tasks of all workflows run, on the one node that owns the
/// scheduler. A dispatcher lasts for one ownership; the next owner rebuilds the state from the
/// store and from polls of the servers.
class dispatcher {
  public:
    struct charts {
        const chart& workflow;
        const chart& task_run;
        const chart& backend_contact;
        const chart* server_pace = nullptr; ///< Required with the switch `slow_servers` only.
    };

    static absl::StatusOr<std::unique_ptr<dispatcher>>
    create(const charts& life_cycles, dispatch_options options, instant now);

    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
    dispatcher(dispatcher&&) = delete;
    dispatcher& operator=(dispatcher&&) = delete;
    ~dispatcher();

    std::vector<dispatch_effect> handle(const dispatch_input& input, instant now);

    /// Number of workflows in each queue of which no task has started.
    [[nodiscard]] std::map<queue_id, std::uint64_t> waiting_workflows() const;

    /// Load of the servers that are in contact. Pools that are still being recovered are left out.
    [[nodiscard]] std::vector<backend_load> backend_loads() const;

    [[nodiscard]] std::vector<pool_workload> pool_workloads() const;

    [[nodiscard]] dispatch_counts counts() const;

    /// Teams that use more than their part of the fleet while another team waits below its own.
    /// Empty without `dispatch_options::fair_shares`.
    [[nodiscard]] std::vector<team_id> teams_over_share() const;
    /// The pools under pressure. Also measures their pace and the begin of their pressure, so it is
    /// called about twice a second. The caller sets the sequence.
    [[nodiscard]] load_report report_load(instant now);

    class implementation;

  private:
    explicit dispatcher(std::unique_ptr<implementation> body);

    std::unique_ptr<implementation> body_;
};

} // namespace citronford
