#pragma once

#include "citronford/caller_link.h"
#include "citronford/chart.h"
#include "citronford/fleet_configuration.h"
#include "citronford/instant.h"
#include "citronford/job.h"
#include "citronford/peer_link.h"
#include "citronford/result_code.h"
#include "citronford/table_service.h"
#include "citronford/team_limits.h"
#include "citronford/worker_health.h"
#include "citronford/worker_link.h"
#include "citronford/worker_ownership.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace citronford {

// Inputs of the scheduler.

/// An authorized job of a caller.
struct job_submission {
    caller_id caller{};
    job_definition job;
};
/// Jobs that are not to run any more; applied together at the next tick.
struct job_cancellation {
    std::vector<job_id> jobs;
};
/// Result of a write of a job row. `conflict` says that another node owns the job.
struct job_write_result {
    enum class outcome { written, conflict, unavailable };
    job_id job;
    std::uint64_t write = 0; ///< Number of the write.
    outcome result = outcome::unavailable;
    table_version version = 0; ///< Version of the row, when written.
};
/// A row of the table as last scanned.
struct versioned_job_row {
    job_row row;
    table_version version = 0;
};
/// The workers known at present, in any order; replaces the list before.
struct worker_listing {
    struct worker {
        worker_id id;
        zone_id zone;
        endpoint address;
        bool leaving = false;
    };
    std::vector<worker> workers;
};
/// The live entry VMs, this one included; replaces the list before.
struct member_listing {
    std::vector<live_member> members;
};
/// The row `lease/worker/{id}` names this node under `epoch`.
struct worker_lease_granted {
    worker_id worker;
    std::uint64_t epoch = 0;
};
struct worker_lease_refused {
    worker_id worker;
};
struct sync_report {
    worker_id worker;
    std::uint64_t sequence = 0;
    sync_result result;
};
/// This node stops as planned: it starts nothing more and hands over its jobs and workers.
struct scheduler_stop {};
/// Another node hands over its jobs and workers, or confirms what it has taken over.
struct handover_received {
    member_id from;
    job_handover message;
};
/// Time passed; places tasks and sends what is due.
struct scheduler_tick {
    instant confirmed_at{}; ///< Of the node's copy of the configuration.
};

using scheduler_input =
    std::variant<job_submission, job_cancellation, job_write_result, versioned_job_row,
                 worker_listing, member_listing, worker_lease_granted, worker_lease_refused,
                 sync_report, scheduler_stop, handover_received, scheduler_tick>;

// Effects of the scheduler.

/// Write a job row if it still has `expected`; `absent_row` inserts it. The write also holds over
/// another version that names this node under `generation`: only a request to cancel or an earlier
/// write of this node came in between.
struct write_job {
    job_row row;
    table_version expected = absent_row;
    std::optional<std::uint64_t> generation; ///< Under which this node owns the job.
    std::uint64_t write = 0;
};
/// Write the row `lease/worker/{id}` with a higher epoch.
struct acquire_worker_lease {
    worker_id worker;
};
struct sync_worker {
    worker_id worker;
    endpoint to;
    duration timeout{};
    sync_request message;
};
struct answer_job {
    caller_id caller{};
    result_code code = result_code::ok;
    job_row row;
};
/// Read the rows of jobs that have changed.
struct read_jobs {};

/// Whether a job was served well. Reported once a job by the node that owns it then: when its first
/// start comes too late, or when it ends.
struct job_sli_event {
    job_id job;
    team_id team;     ///< Empty on an open queue.
    bool bad = false; ///< Started late, ended as unknown, or failed on a quarantined worker.
};

using scheduler_effect = std::variant<write_job, acquire_worker_lease, sync_worker, answer_job,
                                      job_sli_event, send_peer, read_jobs>;

struct scheduler_options {
    live_member self;
    duration half_life{30000000};         ///< Of the usage that teams are charged.
    duration sync_interval{500000};       ///< Between two messages to a worker.
    duration sync_timeout{1000000};       ///< Of a message to a worker.
    duration lease{5000000};              ///< Of a worker, from each message.
    duration checkpoint_timeout{3000000}; ///< After it the task goes on.
    duration reservation_delay{10000000}; ///< Wait of a job before capacity is kept free for it.
    duration reservation_delay_below_share{500000}; ///< The same for a team below its share.
    duration unit_release_delay{
        15000000}; ///< Of a task handed over, until its new owner counts the unit.
    duration handover_resend_interval{
        200000}; ///< Between two messages of a stopping node to a peer.
    /// Wait of a stopping node for its peers to learn of the stop, before it hands over.
    duration handover_notice_delay{2000000};
    duration capacity_report_grace{5000000}; ///< Wait for workers to report their capacity.
    duration unclaimed_grace{60000000};      ///< Before a task without a job is stopped.
    std::size_t restricted_worker_interval =
        16;                         ///< One worker in so many takes no task that must not stop.
    double overcommitment = 0.08;   ///< Of the processors of a worker.
    double share_tolerance = 0.01;  ///< Use above the share that is allowed under full load.
    std::uint32_t max_attempts = 3; ///< Starts of a restartable task that fails.
    bool fair_share = true;         ///< Otherwise jobs start in the order of submission.
    bool allow_eviction = true;     ///< Checkpoint tasks for urgent jobs.
    /// After this time without a registration, restartable tasks of teams are checkpointed.
    duration checkpoint_after_lapse{5000000};
    /// After this time without a registration, leases of workers with tasks of teams are not
    /// renewed. With `lease` and `sync_timeout` it stays below the 30 s (`escrow_options`) after
    /// which the units of this node are given to others.
    duration stop_renewal_after_lapse{15000000};
    health_options health;
};

/// Charts of the life cycles that the scheduler steps.
struct scheduler_charts {
    chart job;
    chart worker_lease;
    chart worker_health;
};

/// Counts of one node since its start.
struct scheduler_counts {
    std::uint64_t started = 0;
    std::uint64_t failed = 0;
    std::uint64_t evicted = 0;
    std::uint64_t lost = 0;
    std::uint64_t placement_passes = 0; ///< Placements of the waiting jobs.
    std::uint64_t operations = 0;       ///< Workers and jobs examined; the cost of the decisions.
};

/// What the workers that this node knows do at present.
struct worker_activity {
    std::size_t leases = 0;      ///< Workers whose lease this node holds.
    std::size_t quarantined = 0; ///< Of the leases held.
};

/// What the jobs of one team do at this node.
struct team_activity {
    std::size_t queued = 0;
    double used = 0; ///< Largest fraction of any resource of the node's workers.
};

/// Decides which job runs on which worker owned by this node, and when.
class task_scheduler {
  public:
    /// `limits` must outlive the scheduler.
    static absl::StatusOr<std::unique_ptr<task_scheduler>>
    create(const scheduler_charts& charts, scheduler_options options, team_limits& limits);

    task_scheduler(const task_scheduler&) = delete;
    task_scheduler& operator=(const task_scheduler&) = delete;
    task_scheduler(task_scheduler&&) = delete;
    task_scheduler& operator=(task_scheduler&&) = delete;
    ~task_scheduler();

    void configure(const fleet_configuration& fleet);

    /// Decides on one input. The effects are to be performed in order.
    std::vector<scheduler_effect> handle(const scheduler_input& input, instant now);

    /// The job as this node knows it; none when it does not own the job.
    [[nodiscard]] const job_row* find(const job_id& job) const;

    /// Jobs owned by this node that have not ended.
    [[nodiscard]] std::size_t open_jobs() const;
    [[nodiscard]] std::size_t queued_jobs() const;
    [[nodiscard]] worker_activity workers() const;
    [[nodiscard]] team_activity activity(const team_id& team) const;
    [[nodiscard]] std::vector<worker_id> quarantined_workers() const;
    /// Workers that the open jobs of this node need, by the mean size of the workers that it
    /// holds; zero while it holds none that has reported its capacity.
    [[nodiscard]] double workers_wanted() const;
    /// Jobs and workers that a stopping node has not handed over yet.
    [[nodiscard]] std::size_t open_handovers() const;
    [[nodiscard]] bool holds_lease(const worker_id& worker) const;
    [[nodiscard]] bool quarantined(const worker_id& worker) const;
    [[nodiscard]] const scheduler_counts& counts() const;

  private:
    class implementation;
    explicit task_scheduler(std::unique_ptr<implementation> body);

    std::unique_ptr<implementation> body_;
};

} // namespace citronford
