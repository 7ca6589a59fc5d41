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

/// Usage is expected to be at most this factor away from the declared size.
inline constexpr double max_usage_factor = 4;

struct job_entry {
    job_row row;
    chart_position position{};
    caller_id caller{};
    bool cancel_requested = false;

    // The row in the table.
    table_version version = absent_row;
    std::uint64_t pending_write = 0; ///< Number of the write under way; zero for none.
    std::uint64_t awaited_write = 0; ///< Write whose result is an event of the life cycle.
    bool write_needed = false;       ///< The row changed since the open write was sent.
    bool await_next_write = false;
    std::optional<instant> retry_write_at;
    std::optional<live_member> next_owner; ///< Whom the row is to name.
    node_id former_owner;                  ///< Of a job that is being adopted.
    std::uint64_t former_epoch = 0;

    // The place on a worker.
    std::optional<std::size_t> worker;
    resources allocation;             ///< What the task is taken to use.
    resources usage;                  ///< As last reported; what the team is charged.
    int throttle_percent = 100;       ///< Of its processors, as last told to the worker.
    int usage_throttle_percent = 100; ///< Of the processors, when `use` was reported.
    bool has_allocation = false;
    bool has_unit = false;
    bool usage_reported = false;      ///< The worker reported its usage.
    std::uint64_t start_sequence = 0; ///< Message that carried the start; zero before.
    std::uint32_t failures = 0;
    instant entered_state_at{}; ///< When the present state was entered.

    // The service level.
    std::optional<instant> queued_since; ///< When it was first queued here; none after a start.
    bool sli_reported = false;           ///< `job_sli_event` was reported.

    // The wait for a place.
    std::uint64_t order = 0;
    std::optional<instant> first_unplaced_at; ///< When a place was first looked for in vain.
    instant not_before{};                     ///< No start is tried sooner.
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
    bool leaving = false;           ///< As the worker itself says.
    bool capacity_reported = false; ///< The worker reported its capacity.
    resources capacity;
    resources allocated;
    resources reserved;
    instant capacity_awaited_since{};

    std::uint64_t pending_sync = 0; ///< Sequence of the message under way; zero for none.
    instant sync_sent_at{};
    instant next_sync{};
    instant open_renewal{};          ///< When the message under way was sent.
    instant answered_sync_sent_at{}; ///< When the latest answered message was sent.
    instant lease_renewed_at{};      ///< When the latest message that renewed the lease was sent.

    std::set<job_id> jobs;
    std::vector<job_id> to_start;
    std::set<job_id> to_stop;
    std::set<job_id> to_checkpoint;
    std::set<task_id> to_remove;
    bool saturated = false; ///< Its tasks use all processors, so they may want more.
    std::map<task_id, instant>
        unclaimed; ///< Tasks without a job here, by when they were first seen.
    std::optional<job_id> probe;
};

inline task_id task_id_of(const job_row& row) {
    return task_id(row.job.id.str() + "~" + std::to_string(row.attempt));
}

/// A row of another owner.
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
    /// What the actions of one step of a job work on.
    struct job_context {
        implementation& scheduler;
        job_entry& job;
        instant now;
        std::vector<scheduler_effect>& effects;
    };
    /// What the actions of one step of a worker lease work on.
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

    /// Steps a job of a worker and forgets the job when it has ended.
    void step_and_flush(const job_id& id, const job_event& event, instant now, effects_out effects);

    /// Sends the next write of the row, and forgets a job that has ended and is written.
    void flush_job(const job_id& id, instant now, effects_out effects);

    /// Whether the row version is one that this node has dealt with.
    [[nodiscard]] bool has_departed(const job_id& id, table_version version) const;

    void write_row(job_entry& entry, bool awaited, effects_out effects);

    void send_write(job_entry& entry, effects_out effects);

    void apply_cancellations(instant now, effects_out effects);

    void adopt_orphans(instant now, effects_out effects);

    /// Who takes over a job: the owner of its worker once it has started.
    [[nodiscard]] const live_member* successor_of(const job_row& row) const;

    // Workers.

    std::size_t find_or_add_worker(const worker_listing::worker& item, instant now);

    void step_lease(std::size_t index, const lease_event& event, instant now, effects_out effects);

    void step_lease_of(const worker_id& id, const lease_event& event, instant now,
                       effects_out effects);

    void update_ownership(instant now, effects_out effects);

    /// Leases that ran out by the clock; nothing is started before the worker has answered again.
    void check_leases(instant now, effects_out effects);

    /// Whether this node may act on the worker at `now`.
    [[nodiscard]] bool lease_valid(const worker_entry& worker, instant now) const;

    [[nodiscard]] bool zone_active(const zone_id& zone) const;

    /// Whether the configuration is confirmed for as long as a start may be under way.
    [[nodiscard]] bool starts_confirmed(instant now) const;

    [[nodiscard]] bool usable(const worker_entry& worker) const;

    [[nodiscard]] bool is_restricted(std::size_t index) const;

    [[nodiscard]] bool accepts(std::size_t index, const job_entry& entry, instant now) const;

    /// What more tasks may be taken to use. Processors are shared out when the tasks of a worker
    /// want more than it has, so a little more than all of them is given away; memory is not.
    [[nodiscard]] resources free_resources(const worker_entry& worker) const;

    void update_offer(std::size_t index);

    void process_sync_reply(std::size_t index, std::uint64_t sequence, const sync_accepted& result,
                            instant now, effects_out effects);

    void process_task_report(std::size_t index, const job_id& id, const task_report& report,
                             instant now, effects_out effects);

    /// Tasks that no job of this node claims: their job may be on its way here.
    void track_unclaimed_tasks(std::size_t index,
                               const std::map<task_id, const task_report*>& reports, instant now);

    /// Whether the tasks of the worker use all of its processors, so that the reports do not tell
    /// what they want.
    static bool is_saturated(const sync_accepted& result);

    /// Tells the worker how far to hold the tasks of teams above their share.
    void add_throttles(const worker_entry& worker, sync_request& message);

    /// Holds the running tasks of teams above their share under full load; the tasks of other teams
    /// on the same workers get the processors.
    void update_throttles();

    void requeue_starts(std::size_t index, std::uint64_t sequence);

    void step_jobs_on(std::size_t index, const job_event& event, instant now, effects_out effects);

    void send_syncs(instant now, effects_out effects);

    /// Whether tasks on the worker hold units that soon return to the fleet.
    [[nodiscard]] bool units_expiring(const worker_entry& worker) const;

    void send_sync(worker_entry& worker, bool may_start, instant now, effects_out effects);

    // Planned stop.

    /// Who owns jobs and workers: the live nodes that do not stop.
    void update_members();

    /// Whether a stopping node still renews the lease of the worker.
    [[nodiscard]] bool renewed_by_stopping_node(const worker_entry& worker) const;

    void confirm_handover(const member_id& from, const job_handover& offered, effects_out effects);

    /// Hands over what is ready for it, and repeats what is not confirmed.
    void hand_over(instant now, effects_out effects);

    void hand_over_jobs(std::size_t index, instant now, effects_out effects);

    /// Whether no task of the worker depends on another message of this node.
    [[nodiscard]] bool may_release(const worker_entry& worker) const;

    void send_handovers(instant now, effects_out effects);

    // Placement.

    /// What a task of the job is likely to use, from what tasks of its team used.
    [[nodiscard]] resources expected_size(const job_entry& entry) const;

    void update_usage_ratio(const job_entry& entry, const resources& usage);

    /// Counts `wanted` as taken on the worker and charges `used` to the team.
    void set_allocation(job_entry& entry, const resources& wanted, const resources& used);

    void record_usage(job_entry& entry, const resources& usage);

    /// The task has surely ended.
    void free_slot(job_entry& entry, instant now);

    /// The task may go on under another owner, which counts its unit as soon as it knows the job.
    void hand_over_slot(job_entry& entry, instant now);

    void clear_slot(job_entry& entry, instant now);

    void cancel_reservation(job_entry& entry);

    void reserve(job_entry& entry, std::size_t index, const resources& size, instant now);

    void schedule(instant now, effects_out effects);

    void update_capacity();

    void start_urgent(instant now, effects_out effects);

    void start_reserved(instant now, effects_out effects);

    /// Starts a job whose reserved place has become free; gives the place up when it cannot.
    bool start_on_reservation(job_entry& entry, instant now, effects_out effects);

    bool try_start(job_entry& entry, instant now, effects_out effects);

    bool start_on(job_entry& entry, std::size_t index, instant now, effects_out effects);

    /// Checkpoints tasks of lower priority on one worker until the urgent job fits there.
    void evict_for(job_entry& entry, instant now, effects_out effects);

    /// The tasks to evict from a worker so that `size` becomes free; empty when that is impossible.
    std::vector<job_id> select_victims(std::size_t index, const resources& size);

    /// Serves the team with the lowest weighted use first, until nothing more fits.
    void start_by_share(instant now, effects_out effects);

    /// Whether so little is free that a start of one team is at the cost of another.
    [[nodiscard]] bool fully_loaded() const;

    /// Under full load a team far above its share starts nothing, even where the jobs of the teams
    /// below their share do not fit: the room is kept until they do.
    [[nodiscard]] double max_start_priority() const;

    [[nodiscard]] std::vector<team_id> waiting_teams() const;

    bool start_one_job_of(const team_id& team, instant now, effects_out effects);

    /// A team below its share whose jobs are all too large for the room that others leave gets
    /// room soon.
    [[nodiscard]] duration reservation_delay_for(const team_id& team) const;

    /// Keeps a worker from taking tasks until a job that has waited long fits on it.
    void reserve_most_free_worker(job_entry& entry, instant now);

    /// First come, first served: the order without shares, as a baseline of measurements.
    void start_in_submission_order(instant now, effects_out effects);

    // Periodic review.

    void review(instant now, effects_out effects);

    void review_worker(std::size_t index, instant now, effects_out effects);

    /// Whether every worker of this node has told its capacity or had the time to.
    [[nodiscard]] bool worker_capacities_settled(instant now) const;

    void review_queued(instant now, effects_out effects);

    [[nodiscard]] std::vector<job_entry*> unplaced_jobs() const;

    /// Reports whether the job was served well, unless that was reported before.
    static void report_sli_event(job_entry& entry, bool bad, effects_out effects);

    /// Reports a job that has waited for its first start longer than the fleet defaults allow.
    void report_late_start(job_entry& entry, instant now, effects_out effects) const;

    /// Under full load, evens out the waiting jobs of each team between the nodes with an open
    /// zone: a node can give a team its share only while jobs of the team wait there.
    void balance_queues(instant now, effects_out effects);

    /// Hands over at most `allowed` waiting jobs of `team` to nodes where few wait; `elsewhere`
    /// says how many wait at the others. Every node with too many gives in proportion, so that they
    /// need no agreement. Returns the number of jobs handed over.
    std::size_t rebalance_team(const team_id& team, const std::map<node_id, std::size_t>& elsewhere,
                               std::size_t allowed, instant now, effects_out effects);

    /// The waiting jobs of `team` that any node may run, the newest last.
    [[nodiscard]] std::vector<job_entry*> movable_jobs(const team_id& team) const;

    void reassign(job_entry& entry, const job_event& event, const live_member* to, instant now,
                  effects_out effects);

    static std::string describe(const resources& size);

    /// A member that has not yet been asked to run the job.
    [[nodiscard]] const live_member* unvisited_member(const job_entry& entry) const;

    [[nodiscard]] const live_member* member_in_active_zone(const job_id& id) const;

    /// Started jobs whose worker this node does not hold follow the owner of the worker.
    void review_attached(instant now, effects_out effects);

    void retry_writes(instant now, effects_out effects);

    void release_delayed_units(instant now);

    void prune_departed_jobs(instant now);

    /// Pause before a write that certainly did not happen is tried again.
    static constexpr duration write_retry_delay = milliseconds(500);
    /// Pause between two reviews of ownership, waiting jobs and evictions.
    static constexpr duration review_interval = milliseconds(500);
    /// Pause between two balancings of queues; the scans of all nodes show the moves within it.
    static constexpr duration balance_interval = seconds(2);
    /// Jobs that a node hands over in one balancing; each costs a write of the table, which takes
    /// several hundred a second.
    static constexpr std::size_t max_jobs_moved = 128;
    /// Shortest pause between two messages to a worker.
    static constexpr duration min_sync_interval = milliseconds(20);
    /// A worker whose answer takes longer gets no new task meanwhile.
    static constexpr duration slow_reply_threshold = milliseconds(200);
    /// How long an urgent job waits for room on one worker before it looks for another.
    static constexpr duration eviction_timeout = milliseconds(600);
    /// How long the versions of rows that were left are remembered; a scan takes less.
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
    std::vector<live_member> live_members_;           ///< The live nodes, this one included.
    std::vector<live_member> owning_members_;         ///< Those of them that own jobs and workers.
    std::set<member_id> stopping_members_;            ///< Live nodes that stop.
    std::map<worker_id, member_id> released_workers_; ///< Workers given up, by the node that stops.
    std::optional<instant> stopping_since_;
    instant next_handover_send_{};
    std::set<member_id> informed_peers_;           ///< Peers that know of the stop.
    std::map<job_id, member_id> unconfirmed_jobs_; ///< Handed over, by the new owner.
    std::set<worker_id> unconfirmed_workers_;
    std::map<job_id, job_entry> jobs_;
    std::map<job_id, foreign_job> foreign_jobs_; ///< Jobs of other owners that have not ended.
    std::map<job_id, std::pair<table_version, instant>>
        departed_jobs_; ///< Jobs that left this node.
    std::map<team_id, waiting_jobs<job_entry>> queues_;
    job_queue urgent_;
    std::deque<std::pair<instant, team_id>>
        delayed_unit_releases_; ///< By the time of their release.
    std::set<job_id> pending_cancellations_;
    std::set<job_id> delayed_writes_;
    std::set<job_id> reserved_jobs_;
    std::map<team_id, double>
        throttle_fractions_; ///< Fraction of their processors that tasks may use.
    std::map<team_id, usage_ratio> usage_ratios_; ///< Usage over declared size.
    std::vector<worker_entry> workers_;
    std::map<worker_id, std::size_t> worker_index_;
    resources largest_capacity_; ///< Largest amount of each resource on one worker.
    double priority_limit_ = 0; ///< Priority that no start may exceed by more than half its weight.
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
    bool worker_restarted_ = false; ///< The worker of the present report lost its memory.
};

} // namespace citronford
