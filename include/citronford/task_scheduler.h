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

/// A caller submits a job; the caller has been authorized.
struct job_submission {
    caller_id caller{};
    job_definition job;
};
/// Cancels jobs; all cancellations are applied together at the next tick.
struct job_cancellation {
    std::vector<job_id> jobs;
};
/// Result of a write of a job row. `conflict`: another node owns the job. `unavailable`: the write
/// certainly did not happen.
struct job_write_result {
    enum class outcome { written, conflict, unavailable };
    job_id job;
    std::uint64_t write = 0; ///< Number of the write.
    outcome result = outcome::unavailable;
    table_version version = 0; ///< Version of the row if it was written.
};
/// A job row as read from the table.
struct versioned_job_row {
    job_row row;
    table_version version = 0;
};
/// All known workers, in any order; replaces the previous list.
struct worker_listing {
    struct worker {
        worker_id id;
        zone_id zone;
        endpoint address;
        bool leaving = false;
    };
    std::vector<worker> workers;
};
/// All live entry VMs, including this one; replaces the previous list.
struct member_listing {
    std::vector<live_member> members;
};
/// The row `lease/worker/{id}` was written with this node as the holder, under `epoch`.
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
/// This node shuts down as planned: it starts no more tasks and hands over its jobs and workers.
struct scheduler_stop {};
/// Another node hands over its jobs and workers, or confirms a handover from this node.
struct handover_received {
    member_id from;
    job_handover message;
};
/// Periodic tick: places jobs and sends the messages that are due.
struct scheduler_tick {
    instant confirmed_at{}; ///< When the node's configuration was last confirmed.
};

using scheduler_input =
    std::variant<job_submission, job_cancellation, job_write_result, versioned_job_row,
                 worker_listing, member_listing, worker_lease_granted, worker_lease_refused,
                 sync_report, scheduler_stop, handover_received, scheduler_tick>;

// Effects of the scheduler.

/// Write a job row if its version is `expected`; `absent_row` inserts it. The write also applies to
/// another version if that names this node as the owner under `generation`, since then only a
/// cancellation request or an earlier write of this node can have come in between.
struct write_job {
    job_row row;
    table_version expected = absent_row;
    std::optional<std::uint64_t> generation; ///< Generation under which this node owns the job.
    std::uint64_t write = 0;
};
/// Acquire the lease of a worker: write the row `lease/worker/{id}` with a higher epoch.
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
/// Read the job rows that have changed.
struct read_jobs {};

/// A good or bad event for the service level of a team's jobs. Emitted once for each job, by its
/// owner at that time: when the job has waited too long for its first start, or else when it ends.
/// A cancelled job and a job that cannot run emit none at their end.
struct job_sli_event {
    job_id job;
    team_id team;     ///< Empty on an open queue.
    bool bad = false; ///< Late start, outcome unknown, or failure on a quarantined worker.
};

using scheduler_effect = std::variant<write_job, acquire_worker_lease, sync_worker, answer_job,
                                      job_sli_event, send_peer, read_jobs>;

struct scheduler_options {
    live_member self;
    duration half_life{30000000};         ///< Decay of the usage charged to teams.
    duration sync_interval{500000};       ///< Between two messages to the same worker.
    duration sync_timeout{1000000};       ///< For the answer to a message to a worker.
    duration lease{5000000};              ///< Lease of a worker, renewed by each message.
    duration checkpoint_timeout{3000000}; ///< After this time the task continues to run.
    duration reservation_delay{10000000}; ///< Wait of a job before capacity is reserved for it.
    duration reservation_delay_below_share{500000}; ///< The same if its team is below its share.
    /// How long the unit of a task handed over is kept, until the new owner counts it.
    duration unit_release_delay{15000000};
    duration handover_resend_interval{200000}; ///< Between two handover messages to the same peer.
    /// How long a stopping node waits for its peers to learn of the stop before it hands over.
    duration handover_notice_delay{2000000};
    /// How long to wait for workers to report their capacity.
    duration capacity_report_grace{5000000};
    /// After this time a task that belongs to no job of this node is stopped.
    duration unclaimed_grace{60000000};
    /// Every n-th worker accepts only urgent and restartable jobs; 0 for none.
    std::size_t restricted_worker_interval = 16;
    double overcommitment = 0.08; ///< Fraction of a worker's processors.
    /// Relative excess over the share that is allowed under full load.
    double share_tolerance = 0.01;
    std::uint32_t max_attempts = 3; ///< Starts of a restartable job whose task fails.
    bool fair_share = true;         ///< If false, jobs start in the order of submission.
    bool allow_eviction = true;     ///< Checkpoint and stop tasks to make room for urgent jobs.
    /// After this time without a registration, the restartable tasks of teams are evicted.
    duration checkpoint_after_lapse{5000000};
    /// After this time without a registration, the leases of workers that run tasks of teams are
    /// not renewed. The sum of this, `lease` and `sync_timeout` must be below the 30 s
    /// (`escrow_options`) after which the units of this node are given to other nodes.
    duration stop_renewal_after_lapse{15000000};
    health_options health;
};

/// State charts that the scheduler runs.
struct scheduler_charts {
    chart job;
    chart worker_lease;
    chart worker_health;
};

/// Counters of one node since its start.
struct scheduler_counts {
    std::uint64_t started = 0;
    std::uint64_t failed = 0;
    std::uint64_t evicted = 0;
    std::uint64_t lost = 0;
    std::uint64_t placement_passes = 0; ///< Passes over the queued jobs to place them.
    std::uint64_t operations = 0;       ///< Workers and jobs examined: the cost of the decisions.
};

/// Current state of the workers of this node.
struct worker_activity {
    std::size_t leases = 0;      ///< Worker leases held by this node.
    std::size_t quarantined = 0; ///< Quarantined workers among them.
};

/// Current state of the jobs of one team at this node.
struct team_activity {
    std::size_t queued = 0;
    double used = 0; ///< Largest fraction used of any resource of the node's workers.
};

/// Decides when each job of this node runs, and on which of the workers that this node owns.
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

    /// Processes one input. The caller must perform the returned effects in order.
    std::vector<scheduler_effect> handle(const scheduler_input& input, instant now);

    /// The row of the job as this node knows it; null if this node does not own the job.
    [[nodiscard]] const job_row* find(const job_id& job) const;

    /// Jobs owned by this node that have not ended.
    [[nodiscard]] std::size_t open_jobs() const;
    [[nodiscard]] std::size_t queued_jobs() const;
    [[nodiscard]] worker_activity workers() const;
    [[nodiscard]] team_activity activity(const team_id& team) const;
    [[nodiscard]] std::vector<worker_id> quarantined_workers() const;
    /// Number of workers that the open jobs of this node need, in terms of the mean size of the
    /// workers that it holds; zero until one of them has reported its capacity.
    [[nodiscard]] double workers_wanted() const;
    /// Jobs and workers that this node has yet to hand over; zero unless it is stopping.
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
