#pragma once

#include "citronford/authorization.h"
#include "citronford/invariant.h"
#include "citronford/overloaded.h"
#include "citronford/placement.h"
#include "citronford/planted_fault.h"
#include "citronford/share_ledger.h"
#include "citronford/task_scheduler.h"
#include "decide/job_events.h"
#include "decide/lease_events.h"
#include "decide/waiting_jobs.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace citronford {

/// Bound on the ratio of usage to declared size that is learned, in either direction.
inline constexpr double max_usage_factor = 4;

struct job_entry {
    job_row row;
    chart_position position{};
    caller_id caller{};
    bool cancel_requested = false;

    // The row in the table.
    table_version version = absent_row;
    std::uint64_t pending_write = 0; ///< Number of the write in flight; zero for none.
    std::uint64_t awaited_write = 0; ///< Write whose result is an event of the chart `job`.
    bool write_needed = false;       ///< The row changed since the pending write was sent.
    bool await_next_write = false;
    std::optional<instant> retry_write_at;
    std::optional<live_member> next_owner; ///< Owner that the row is to name next.
    node_id former_owner;                  ///< Previous owner of a job being adopted.
    std::uint64_t former_epoch = 0;

    // The slot on a worker.
    std::optional<std::size_t> worker;
    resources allocation; ///< Resources counted as taken on the worker.
    /// Last reported usage, which is charged to the team; the expected size before the first
    /// report.
    resources reported_usage;
    int throttle_percent = 100;       ///< Throttle last sent to the worker.
    int usage_throttle_percent = 100; ///< Throttle when `reported_usage` was reported.
    bool has_allocation = false;
    bool has_unit = false;
    bool usage_reported = false;
    /// Sequence of the message that carried the start; zero before.
    std::uint64_t start_sequence = 0;
    std::uint32_t failures = 0;
    instant entered_state_at{};

    // The service level.
    /// When the job was first queued here; none after a start.
    std::optional<instant> queued_since;
    bool sli_reported = false;

    // The wait for a slot.
    std::uint64_t order = 0;
    std::optional<instant> first_unplaced_at; ///< When no worker was first found for the job.
    /// Retry time after a failed write: no start or planned handover before it.
    instant not_before{};
    instant reserved_at{};
    std::optional<std::size_t> reserved_worker;
    resources reservation;
};

struct worker_entry {
    worker_listing::worker listing;
    bool listed = true;
    chart_position position{};
    instant reacquire_at{};
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0;
    bool leaving = false; ///< As reported by the worker.
    bool capacity_reported = false;
    resources capacity;
    resources allocated;
    resources reserved;
    instant capacity_awaited_since{};

    std::uint64_t pending_sync = 0; ///< Sequence of the message in flight; zero for none.
    instant sync_sent_at{};
    instant next_sync{};
    instant open_renewal{};          ///< When the message in flight was sent.
    instant answered_sync_sent_at{}; ///< When the latest message that was answered was sent.
    instant lease_renewed_at{};      ///< When the latest message that renewed the lease was sent.

    std::set<job_id> jobs;
    std::vector<job_id> to_start;
    std::set<job_id> to_stop;
    std::set<job_id> to_checkpoint;
    std::set<task_id> to_remove;
    bool saturated = false; ///< Its tasks use all processors and might use more.
    /// Tasks that belong to no job of this node, and when each was first reported.
    std::map<task_id, instant> unclaimed;
    std::optional<job_id> probe;
};

inline task_id task_id_of(const job_row& row) {
    return task_id(row.job.id.str() + "~" + std::to_string(row.attempt));
}

/// A job that another node owns.
struct foreign_job {
    job_row row;
    table_version version = absent_row;
};

inline std::int64_t scaled(std::int64_t amount, double factor) {
    return static_cast<std::int64_t>(static_cast<double>(amount) * factor);
}

/// State and decisions of the task scheduler; the member functions are defined by topic in
/// task_scheduler_*.cpp.
class task_scheduler::implementation {
  public:
    /// Context of the guards and actions of one step of the chart `job`.
    struct job_context {
        implementation& scheduler;
        job_entry& job;
        instant now;
        std::vector<scheduler_effect>& effects;
    };
    /// Context of the actions of one step of the chart `worker_lease`.
    struct lease_context {
        implementation& scheduler;
        std::size_t worker;
        instant now;
        std::vector<scheduler_effect>& effects;
    };
    using job_machine = chart_machine<job_context, job_event>;
    using lease_machine = chart_machine<lease_context, lease_event>;

    implementation(job_machine jobs, lease_machine leases, worker_health health,
                   scheduler_options options, team_limits& limits)
        : job_machine_(std::move(jobs)), lease_machine_(std::move(leases)),
          health_(std::move(health)), options_(std::move(options)), limits_(limits),
          ledger_(options_.half_life), held_(lease_machine_.position_of("held")),
          queued_(job_machine_.position_of("queued")),
          attached_(job_machine_.position_of("attached")),
          handing_over_(job_machine_.position_of("handing_over")),
          starting_(job_machine_.position_of("starting")),
          evicting_(job_machine_.position_of("evicting")),
          running_(job_machine_.position_of("running")) {}

    static std::span<const job_machine::guard> job_guards();
    static std::span<const job_machine::action> job_actions();
    static std::span<const lease_machine::action> lease_actions();

    void configure(const fleet_configuration& fleet) {
        fleet_ = fleet;
        ledger_.set_shares(fleet.defaults.teams);
        for (std::size_t index = 0; index < workers_.size(); ++index) {
            update_offer(index);
        }
        placement_due_ = true;
    }

    std::vector<scheduler_effect> handle(const scheduler_input& input, instant now) {
        std::vector<scheduler_effect> effects;
        std::visit([&](const auto& item) { on_input(item, now, effects); }, input);
        return effects;
    }

    [[nodiscard]] const job_row* find(const job_id& job) const {
        const auto found = jobs_.find(job);
        return found == jobs_.end() ? nullptr : &found->second.row;
    }
    [[nodiscard]] std::size_t open_jobs() const {
        return static_cast<std::size_t>(std::ranges::count_if(
            jobs_, [&](const auto& item) { return !job_machine_.is_final(item.second.position); }));
    }
    [[nodiscard]] std::size_t queued_jobs() const {
        std::size_t total = urgent_.size();
        for (const auto& [team, queue] : queues_) {
            total += queue.size();
        }
        return total;
    }
    [[nodiscard]] worker_activity workers() const {
        worker_activity activity;
        for (const worker_entry& worker : workers_) {
            activity.leases += worker.position == held_ ? 1 : 0;
        }
        activity.quarantined = quarantined_workers().size();
        return activity;
    }
    [[nodiscard]] std::vector<worker_id> quarantined_workers() const {
        std::vector<worker_id> found;
        for (std::size_t index = 0; index < workers_.size(); ++index) {
            if (workers_[index].position == held_ && health_.quarantined(index)) {
                found.push_back(workers_[index].listing.id);
            }
        }
        return found;
    }
    [[nodiscard]] team_activity activity(const team_id& team) const {
        const auto queue = queues_.find(team);
        const auto urgent = std::ranges::count_if(
            urgent_, [&](const auto& item) { return item.second->row.job.team == team; });
        return {(queue == queues_.end() ? 0 : queue->second.size()) +
                    static_cast<std::size_t>(urgent),
                ledger_.used_fraction(team)};
    }
    [[nodiscard]] double workers_wanted() const {
        resources capacity;
        std::int64_t workers = 0;
        for (const worker_entry& worker : workers_) {
            if (worker.capacity_reported && worker.position == held_) {
                capacity += worker.capacity;
                ++workers;
            }
        }
        resources wanted;
        for (const auto& [id, entry] : jobs_) {
            if (!job_machine_.is_final(entry.position)) {
                wanted += entry.has_allocation ? entry.allocation : expected_size(entry);
            }
        }
        return static_cast<double>(workers) * dominant_fraction(wanted, capacity);
    }
    [[nodiscard]] std::size_t open_handovers() const;
    [[nodiscard]] bool holds_lease(const worker_id& worker) const {
        const auto found = worker_index_.find(worker);
        return found != worker_index_.end() && workers_[found->second].position == held_;
    }
    [[nodiscard]] bool quarantined(const worker_id& worker) const {
        const auto found = worker_index_.find(worker);
        return found != worker_index_.end() && health_.quarantined(found->second);
    }
    [[nodiscard]] const scheduler_counts& counts() const {
        counts_.operations = operations_ + placement_.operations();
        return counts_;
    }

  private:
    using effects_out = std::vector<scheduler_effect>&;
    using job_queue = std::map<std::uint64_t, job_entry*>;

    // Inputs.

    void on_input(const job_submission& submission, instant now, effects_out effects);

    void on_input(const job_cancellation& input, instant /*now*/, effects_out /*effects*/);

    void on_input(const job_write_result& input, instant now, effects_out effects);

    void on_input(const versioned_job_row& input, instant now, effects_out effects);

    void on_input(const worker_listing& input, instant now, effects_out effects);

    void on_input(const member_listing& input, instant now, effects_out effects);

    void on_input(const worker_lease_granted& input, instant now, effects_out effects);
    void on_input(const worker_lease_refused& input, instant now, effects_out effects);

    void on_input(const sync_report& report, instant now, effects_out effects);

    void on_input(const scheduler_stop& input, instant now, effects_out effects);

    void on_input(const handover_received& input, instant now, effects_out effects);

    void on_input(const scheduler_tick& tick, instant now, effects_out effects);

    // Jobs.

    job_entry& new_job(const job_id& id);

    void step(job_entry& entry, const job_event& event, instant now, effects_out effects);

    /// Steps the life cycle of a job, then flushes it.
    void step_and_flush(const job_id& id, const job_event& event, instant now, effects_out effects);

    /// Sends the next write of the row if one is due; removes a job that has ended and whose row is
    /// written, or that another node owns.
    void flush_job(const job_id& id, instant now, effects_out effects);

    /// Whether the job left this node at this version of its row or a later one.
    [[nodiscard]] bool has_departed(const job_id& id, table_version version) const;

    void write_row(job_entry& entry, bool awaited, effects_out effects);

    void send_write(job_entry& entry, effects_out effects);

    void apply_cancellations(instant now, effects_out effects);

    void adopt_orphans(instant now, effects_out effects);

    /// The node that takes over a job: the owner of its worker if the job has started, otherwise
    /// the rendezvous owner of the job id.
    [[nodiscard]] const live_member* successor_of(const job_row& row) const;

    // Workers.

    std::size_t find_or_add_worker(const worker_listing::worker& item, instant now);

    void step_lease(std::size_t index, const lease_event& event, instant now, effects_out effects);

    void step_lease_of(const worker_id& id, const lease_event& event, instant now,
                       effects_out effects);

    void update_ownership(instant now, effects_out effects);

    /// Handles leases that have expired by the clock. A worker that did not answer within the lease
    /// gets no task before it answers again.
    void check_leases(instant now, effects_out effects);

    /// Whether this node holds the worker and it answered a message sent less than a lease ago.
    [[nodiscard]] bool lease_valid(const worker_entry& worker, instant now) const;

    [[nodiscard]] bool zone_active(const zone_id& zone) const;

    /// Whether the configuration stays confirmed for as long as a start sent at `now` may be in
    /// flight.
    [[nodiscard]] bool starts_confirmed(instant now) const;

    [[nodiscard]] bool usable(const worker_entry& worker) const;

    /// Whether the worker accepts only urgent and restartable jobs.
    [[nodiscard]] bool is_restricted(std::size_t index) const;

    [[nodiscard]] bool accepts(std::size_t index, const job_entry& entry, instant now) const;

    /// Resources available to further tasks. Processors are overcommitted a little, since tasks
    /// that demand more than the worker has share them; memory is not.
    [[nodiscard]] resources free_resources(const worker_entry& worker) const;

    void update_offer(std::size_t index);

    void process_sync_reply(std::size_t index, std::uint64_t sequence, const sync_accepted& result,
                            instant now, effects_out effects);

    void process_task_report(std::size_t index, const job_id& id, const task_report& report,
                             instant now, effects_out effects);

    /// Tracks reported tasks that belong to no job of this node. Their jobs may be on the way here,
    /// so the tasks are stopped only after `unclaimed_grace`.
    void track_unclaimed_tasks(std::size_t index,
                               const std::map<task_id, const task_report*>& reports, instant now);

    /// Whether the tasks use nearly all processors of the worker, so that the reported usage does
    /// not show their demand.
    static bool is_saturated(const sync_accepted& result);

    /// Adds to `message` the throttles of the worker's tasks that have changed.
    void add_throttles(const worker_entry& worker, sync_request& message);

    /// Under full load, sets throttles for the running tasks of teams above their share, so that
    /// the tasks of other teams on the same workers get the processors.
    void update_throttles();

    void requeue_starts(std::size_t index, std::uint64_t sequence);

    void step_jobs_on(std::size_t index, const job_event& event, instant now, effects_out effects);

    void send_syncs(instant now, effects_out effects);

    /// Whether tasks on the worker hold units that will soon be given to other nodes, because this
    /// node lost its registration.
    [[nodiscard]] bool units_expiring(const worker_entry& worker) const;

    void send_sync(worker_entry& worker, bool may_start, instant now, effects_out effects);

    // Planned stop.

    /// Updates the nodes that own jobs and workers: the live ones that are not stopping.
    void update_members();

    /// Whether a stopping node still renews the lease of the worker.
    [[nodiscard]] bool renewed_by_stopping_node(const worker_entry& worker) const;

    void confirm_handover(const member_id& from, const job_handover& offered, effects_out effects);

    /// Hands over the jobs and workers that are ready, and resends unconfirmed handovers.
    void hand_over(instant now, effects_out effects);

    void hand_over_jobs(std::size_t index, instant now, effects_out effects);

    /// Whether the lease may be released: the worker has no jobs here, and the rows of the started
    /// ones name their next owners.
    [[nodiscard]] bool may_release(const worker_entry& worker) const;

    void send_handovers(instant now, effects_out effects);

    // Placement.

    /// Expected usage of a task of the job, estimated from the past usage of tasks of its team.
    [[nodiscard]] resources expected_size(const job_entry& entry) const;

    void update_usage_ratio(const job_entry& entry, const resources& usage);

    /// Counts `wanted` as taken on the job's worker and charges `used` to its team, replacing the
    /// previous amounts.
    void set_allocation(job_entry& entry, const resources& wanted, const resources& used);

    void record_usage(job_entry& entry, const resources& usage);

    /// Frees the slot of a task that certainly no longer runs, and releases its unit.
    void free_slot(job_entry& entry, instant now);

    /// Frees the slot of a task that may continue to run under another owner. The unit is released
    /// after `unit_release_delay`; by then the new owner counts it.
    void hand_over_slot(job_entry& entry, instant now);

    void clear_slot(job_entry& entry, instant now);

    void cancel_reservation(job_entry& entry);

    void reserve(job_entry& entry, std::size_t index, const resources& size, instant now);

    void schedule(instant now, effects_out effects);

    void update_capacity();

    void start_urgent(instant now, effects_out effects);

    void start_reserved(instant now, effects_out effects);

    /// Starts a job if its reservation now fits on the worker. Cancels the reservation if the
    /// worker is not usable.
    bool start_on_reservation(job_entry& entry, instant now, effects_out effects);

    bool try_start(job_entry& entry, instant now, effects_out effects);

    bool start_on(job_entry& entry, std::size_t index, instant now, effects_out effects);

    /// Evicts restartable tasks from one worker so that the urgent job fits there, and reserves the
    /// room for it.
    void evict_for(job_entry& entry, instant now, effects_out effects);

    /// The tasks to evict from a worker to free `size`; empty if that is impossible.
    std::vector<job_id> select_victims(std::size_t index, const resources& size);

    /// Starts jobs of the team with the lowest priority value first, until nothing more fits.
    void start_by_share(instant now, effects_out effects);

    /// Whether so few processors are free that a start of one team is at the expense of another.
    [[nodiscard]] bool fully_loaded() const;

    /// Upper bound on the priority value of a team that starts a job under full load. A team far
    /// above its share starts nothing, even where the jobs of teams below their share do not fit:
    /// the room is kept until they do.
    [[nodiscard]] double max_start_priority() const;

    [[nodiscard]] std::vector<team_id> waiting_teams() const;

    bool start_one_job_of(const team_id& team, instant now, effects_out effects);

    /// How long a job waits before a worker is reserved for it. The delay is shorter for a team
    /// below its share under full load, whose jobs may all be too large for the room left by other
    /// teams.
    [[nodiscard]] duration reservation_delay_for(const team_id& team) const;

    /// Reserves room for a job that has waited long, on the worker with the most free processors.
    void reserve_most_free_worker(job_entry& entry, instant now);

    /// First come, first served, without shares: the baseline of measurements.
    void start_in_submission_order(instant now, effects_out effects);

    // Periodic review.

    void review(instant now, effects_out effects);

    void review_worker(std::size_t index, instant now, effects_out effects);

    /// Whether this node knows its workers: no handover to it is expected, and every worker has
    /// reported its capacity or has had `capacity_report_grace` to do so.
    [[nodiscard]] bool worker_capacities_settled(instant now) const;

    void review_queued(instant now, effects_out effects);

    [[nodiscard]] std::vector<job_entry*> unplaced_jobs() const;

    /// Emits the `job_sli_event` of the job unless it was emitted before.
    static void report_sli_event(job_entry& entry, bool bad, effects_out effects);

    /// Emits a bad event for a job that has waited for its first start longer than the fleet
    /// defaults allow.
    void report_late_start(job_entry& entry, instant now, effects_out effects) const;

    /// Under full load, balances the queued jobs of each team between the nodes whose zone is not
    /// removed: a node can give a team its share only while jobs of the team are queued there.
    void balance_queues(instant now, effects_out effects);

    /// Hands over at most `allowed` queued jobs of `team` to nodes with short queues; `elsewhere`
    /// has the queue lengths of the other nodes. Every node with a surplus gives a proportional
    /// part, so that the nodes need no agreement. Returns the number of jobs handed over.
    std::size_t rebalance_team(const team_id& team, const std::map<node_id, std::size_t>& elsewhere,
                               std::size_t allowed, instant now, effects_out effects);

    /// The queued jobs of `team` that may move to any node, in the order of submission.
    [[nodiscard]] std::vector<job_entry*> movable_jobs(const team_id& team) const;

    void reassign(job_entry& entry, const job_event& event, const live_member* to, instant now,
                  effects_out effects);

    static std::string describe(const resources& size);

    /// A member that has not yet found the job too large for its workers; null if there is none.
    [[nodiscard]] const live_member* unvisited_member(const job_entry& entry) const;

    [[nodiscard]] const live_member* member_in_active_zone(const job_id& id) const;

    /// Hands over attached jobs whose worker another node owns to that node. An attached job whose
    /// worker is delisted counts as lost after a lease plus the time-out of a message.
    void review_attached(instant now, effects_out effects);

    void retry_writes(instant now, effects_out effects);

    void release_delayed_units(instant now);

    void prune_departed_jobs(instant now);

    /// Delay before retrying a write that certainly did not happen.
    static constexpr duration write_retry_delay = milliseconds(500);
    /// Interval between two reviews of ownership, queued jobs and evictions.
    static constexpr duration review_interval = milliseconds(500);
    /// Interval between two runs of `balance_queues`; within it, the table scans of all nodes show
    /// the moves of the previous run.
    static constexpr duration balance_interval = seconds(2);
    /// Limit on the jobs that a node hands over in one run of `balance_queues`. Each costs one
    /// table write, and the table takes several hundred writes a second.
    static constexpr std::size_t max_jobs_moved = 128;
    /// Shortest interval between two messages to the same worker.
    static constexpr duration min_sync_interval = milliseconds(20);
    /// A worker that has not answered a message for longer than this gets no new task until it
    /// does.
    static constexpr duration slow_reply_threshold = milliseconds(200);
    /// How long an urgent job waits for evictions on one worker before it tries another.
    static constexpr duration eviction_timeout = milliseconds(600);
    /// How long the row versions of departed jobs are kept; a table scan takes less time.
    static constexpr duration departed_job_retention = seconds(120);

    struct usage_ratio {
        double processors = 1;
        double memory = 1;
    };

    job_machine job_machine_;
    lease_machine lease_machine_;
    worker_health health_;
    scheduler_options options_;
    team_limits& limits_;
    share_ledger ledger_;
    chart_position held_;
    chart_position queued_;
    chart_position attached_;
    chart_position handing_over_;
    chart_position starting_;
    chart_position evicting_;
    chart_position running_;
    placement placement_;
    fleet_configuration fleet_;
    instant confirmed_at_{};
    std::vector<live_member> live_members_;   ///< The live nodes, including this one.
    std::vector<live_member> owning_members_; ///< Live nodes that own jobs and workers.
    std::set<member_id> stopping_members_;    ///< Live nodes that are stopping.
    std::map<worker_id, member_id>
        released_workers_; ///< Workers released by a stopping node, with that node.
    std::optional<instant> stopping_since_;
    instant next_handover_send_{};
    std::set<member_id> informed_peers_; ///< Peers that know that this node is stopping.
    std::map<job_id, member_id>
        unconfirmed_jobs_; ///< Jobs handed over but not confirmed, with their new owners.
    std::set<worker_id> unconfirmed_workers_;
    std::map<job_id, job_entry> jobs_;
    std::map<job_id, foreign_job> foreign_jobs_; ///< Open jobs of other nodes.
    std::map<job_id, std::pair<table_version, instant>>
        departed_jobs_; ///< Row version and time at which a job left this node.
    std::map<team_id, waiting_jobs<job_entry>> queues_;
    job_queue urgent_;
    std::deque<std::pair<instant, team_id>>
        delayed_unit_releases_; ///< Team of each unit, with the time of its release.
    std::set<job_id> pending_cancellations_;
    std::set<job_id> delayed_writes_;
    std::set<job_id> reserved_jobs_;
    std::map<team_id, double>
        throttle_fractions_; ///< Fraction of processors that the tasks of a team may use.
    std::map<team_id, usage_ratio> usage_ratios_; ///< Usage as a fraction of the declared size.
    std::vector<worker_entry> workers_;
    std::map<worker_id, std::size_t> worker_index_;
    resources largest_capacity_; ///< Largest amount of each resource on any usable worker.
    double priority_limit_ =
        0; ///< Limit on the team's priority plus half the weight of the job to start.
    std::size_t usable_workers_ = 0;
    std::size_t reservations_ = 0;
    std::size_t next_eviction_ = 0;
    std::uint64_t next_order_ = 1;
    std::uint64_t last_write_ = 0;
    std::uint64_t operations_ = 0;
    mutable scheduler_counts counts_;
    instant next_review_{};
    instant next_balance_{};
    bool placement_due_ = false;
    bool worker_restarted_ = false; ///< The worker of the report being processed has restarted.
};

} // namespace citronford
