#pragma once

#include "decide/dispatch/backend_entry.h"
#include "decide/dispatch/held_up_run.h"
#include "decide/dispatch/open_servers.h"
#include "decide/dispatch/pace_state.h"
#include "decide/dispatch/pool_state.h"
#include "decide/dispatch/start_window.h"
#include "decide/dispatch/task_location.h"
#include "decide/dispatch/task_run.h"
#include "decide/dispatch/team_share.h"
#include "decide/dispatch/workflow_entry.h"

#include "citronford/dispatcher.h"
#include "citronford/submission_rates.h"
#include "citronford/work_pace.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace citronford {

/// State of a dispatcher. The files of its functions, by subject:
/// - dispatcher.cpp: workflows and the tick
/// - dispatcher_saving.cpp: the saving of workflows, and the removal of ended ones
/// - dispatcher_servers.cpp: which servers there are
/// - dispatcher_polling.cpp: the contact with servers
/// - dispatcher_leases.cpp: clocks, leases and restarts of servers
/// - dispatcher_takeover.cpp: the recovery when an ownership begins
/// - dispatcher_placement.cpp: which tasks to start where
/// - dispatcher_order.cpp: in which order, with `dispatch_options::overload_order`
/// - dispatcher_runs.cpp: the life cycle of runs
/// - dispatcher_pace.cpp: which servers are slow
/// - dispatcher_copies.cpp: second runs of tasks that are held up
/// - dispatcher_stops.cpp: stops of runs, and moves off leaving servers
/// - dispatcher_shares.cpp: the shares and rates of teams
/// - dispatcher_figures.cpp: sums for planners and reports
/// - dispatcher_demand.cpp: running, waiting and arriving work of pools by tier
/// - dispatcher_load.cpp: the load that admission goes by
class dispatcher::implementation {
  public:
    using workflow_entry = dispatch::workflow_entry;
    using occurrence_state = dispatch::occurrence_state;
    using task_record = dispatch::task_record;
    using task_run = dispatch::task_run;
    using backend_entry = dispatch::backend_entry;
    using pool_state = dispatch::pool_state;
    using server_availability = dispatch::server_availability;
    using token_bucket = dispatch::token_bucket;
    using unknown_state = dispatch::unknown_state;

    struct run_context {
        implementation& impl;
        task_run& run;
    };
    struct workflow_context {
        implementation& impl;
        workflow_entry& entry;
    };
    struct contact_context {
        implementation& impl;
        backend_entry& server;
    };
    using run_machine = chart_machine<run_context, dispatch::run_event>;
    using workflow_machine = chart_machine<workflow_context, dispatch::workflow_event>;
    using contact_machine = chart_machine<contact_context, dispatch::contact_event>;

    static absl::StatusOr<std::unique_ptr<implementation>>
    create(const charts& life_cycles, dispatch_options options, instant now);

    std::vector<dispatch_effect> handle(const dispatch_input& input, instant now);

    // Figures.
    [[nodiscard]] std::map<queue_id, std::uint64_t> waiting_workflows() const;
    [[nodiscard]] std::vector<backend_load> backend_loads() const;
    [[nodiscard]] std::vector<pool_workload> pool_workloads() const;
    [[nodiscard]] dispatch_counts counts() const;
    [[nodiscard]] std::vector<team_id> teams_over_share() const;
    [[nodiscard]] load_report report_load(instant now);

  private:
    using task_location = dispatch::task_location;
    struct candidate;
    struct placement_pass;
    using pace_state = dispatch::pace_state;

    implementation(run_machine runs, workflow_machine workflows, contact_machine contacts,
                   dispatch_options options, instant now)
        : run_machine_(std::move(runs)), workflow_machine_(std::move(workflows)),
          contact_machine_(std::move(contacts)), options_(options), ownership_began_at_(now),
          now_(now), in_work_at_(now) {}

    static absl::StatusOr<run_machine> bind_runs(const chart& life_cycle);
    static absl::StatusOr<workflow_machine> bind_workflows(const chart& life_cycle);
    static absl::StatusOr<contact_machine> bind_contacts(const chart& life_cycle);
    static absl::StatusOr<std::optional<pace_state>> create_pace(const charts& life_cycles,
                                                                 const dispatch_options& options);

    void process(const catalog_applied& input);
    void process(const orders_applied& input);
    void process(const workflow_found& input);
    void process(const workflows_loaded& input);
    void process(const workflow_cancelled& input);
    void process(const backend_registered& input);
    void process(const backend_deregistered& input);
    void process(const present_backends& input);
    void process(const backends_loaded& input);
    void process(const ownership_extended& input);
    void process(const start_answered& input);
    void process(const stop_answered& input);
    void process(const poll_answered& input);
    void process(const progress_saved& input);
    void process(const backends_to_drain& input);
    void process(const dispatch_tick& input);

    /// The state of the pool `name`, which is created when it is new.
    pool_state& pool_named(const pool_id& name);
    void note_unregistered(const present_backends& input);

    // Sums for planners.
    void note_arrival(pool_state& pool, const workflow_entry& entry);
    /// The tier of the work of one occurrence at present.
    [[nodiscard]] work_tier tier_of(const workflow_entry& entry,
                                    const occurrence_state& occurrence) const;
    [[nodiscard]] bool is_urgent(const workflow_entry& entry) const;
    /// Adds the running and waiting cores of one occurrence. `waiting_tasks` has an item for each
    /// step, as far as the limit of the team allows the tasks.
    void add_tier_cores(const workflow_entry& entry, const occurrence_state& occurrence,
                        std::span<const std::int64_t> waiting_tasks, pool_workload& demand) const;

    // Workflows.
    void begin_due_occurrences(workflow_entry& entry);
    /// Takes the terms of the queue over, if the catalogue still has it.
    void update_terms(workflow_entry& entry) const;
    [[nodiscard]] bool consume_quota(const team_id& team);
    void process_workflow_event(workflow_entry& entry, const dispatch::workflow_event& event);
    void finish_workflow(workflow_entry& entry);
    void mark_changed(workflow_entry& entry);
    /// Advances the completions of servers that wait for a save.
    void note_saved_completions();
    /// Keeps the completion from being acknowledged until its workflow is saved.
    void track_completion(backend_entry& server, const run_completion& completion);
    void log_start_limit(duration late_by);
    void remove_ended();
    void prune_recently_ended();
    void save_changes();
    [[nodiscard]] task_location find_task(const task_key& key);
    void for_each_run(workflow_entry& entry, const std::function<void(task_run&)>& visit);

    // Shares of teams.
    void apply_team_weights();
    void log_replaced_weight(const team_id& team, std::string_view weight, double used);
    /// The share of `team`, which is created when it is new; null without fair shares or a team.
    dispatch::team_share* share_of(const team_id& team);
    void note_submission(const accepted_workflow& row);
    /// Tasks of the workflow became ready after the last division.
    void note_ready_work(const workflow_entry& entry);
    /// Counts a workflow against the rate of its team; returns whether it exceeds the rate.
    [[nodiscard]] bool exceeds_rate(const workflow_found& input);
    void apply_rate_verdicts();
    void update_shares();
    void divide_fleet();
    bool add_waiting_work(const pool_state& pool);
    bool add_waiting_work(workflow_entry& entry);
    static void sort_waiting(dispatch::team_share& share);
    [[nodiscard]] std::int64_t usable_millicores(const pool_state& pool, bool tasks_wait) const;
    [[nodiscard]] team_demand demand_of(dispatch::team_share& share);
    [[nodiscard]] std::int64_t used_millicores(const team_id& team) const;
    void log_share(dispatch::team_share& share);
    [[nodiscard]] std::vector<team_share_figure> team_shares() const;
    /// Whether the workflow comes after those of other teams: its team uses its part of the fleet,
    /// or will with the work placed before this workflow, and another team waits.
    [[nodiscard]] static bool is_over_share(const workflow_entry& entry);

    // Runs.
    /// Adds a run that is to be started or that a server has reported; the second one of a task
    /// becomes its copy.
    task_run& add_run(workflow_entry& entry, occurrence_state& occurrence, std::uint32_t step,
                      std::uint32_t index, std::uint32_t number, backend_entry& server);
    void process_run_event(task_run& run, const dispatch::run_event& event);
    void remove_run(task_run& run);
    /// Adds `change` to the numbers of the server's runs by kind.
    static void count_run(const task_run& run, int change);
    void apply_outcome(const task_location& place, const task_key& key, std::uint32_t number,
                       backend_entry& server, const dispatch::run_outcome& outcome);
    void apply_completion(const task_location& place, const task_key& key, std::uint32_t number,
                          backend_entry& server, const dispatch::run_ended& end);
    void complete(const task_location& place, const task_key& key);
    void count_failure(const task_location& place, const task_key& key, std::uint32_t number,
                       backend_entry& server);
    void stop_gang(const task_location& place, std::uint32_t step);
    void emit_start(task_run& run);
    void emit_stop(const task_run& run);
    void stop_stray(backend_entry& server, const running_task& reported);
    void retry_stops();
    void drain_servers();
    [[nodiscard]] bool may_disrupt(const task_run& run) const;
    [[nodiscard]] bool fits_elsewhere(const task_run& run) const;

    // The load report.
    void count_finished_work(const workflow_entry& entry, std::uint32_t step);
    void add_waiting_work(const workflow_entry& entry, reported_pool& load,
                          std::set<team_id>& teams_beyond_share) const;
    void add_server_load(const backend_entry& server, reported_pool& load) const;
    /// Tasks of all workflows that have no run and are not done, without long-running ones.
    [[nodiscard]] std::size_t unstarted_tasks() const;
    /// Whether at least half of the registered servers are in contact.
    [[nodiscard]] bool reaches_most_servers() const;
    /// For how long the owner has been reading the rows, or has not reached most servers.
    [[nodiscard]] milliseconds time_out_of_work(instant now);
    /// As in `load_report`. Measures the pace of the starts as well.
    [[nodiscard]] milliseconds owner_backlog(instant now);
    /// Cores that other pools can spare for `name`, or that are in no pool.
    [[nodiscard]] double spare_cores(const pool_id& name,
                                     std::span<const reported_pool> loads) const;
    void add_arriving_cores(reported_pool& load, std::span<const reported_pool> loads,
                            double share) const;

    // Slow servers. All do nothing while the switch `slow_servers` is off.
    [[nodiscard]] bool has_pace(const task_run& run) const;
    [[nodiscard]] static paced_run paced(task_run& run);
    /// Looks up the run time of the kind of the run while it is not known.
    void update_expected(task_run& run);
    void note_start(task_run& run, bool resumed);
    void note_report(task_run& run, int percent);
    void note_done(task_run& run);
    void review_pace();
    void review_pace(pool_state& pool);
    void mark_slow_servers(pool_state& pool);

    // Copies: second runs of tasks that are held up, where the step allows them.
    using held_up_run = dispatch::held_up_run;
    [[nodiscard]] bool allows_copies(const workflow_step& step) const;
    /// The run of the task with this number on the server; null when there is none.
    [[nodiscard]] static task_run* tracked_run(const task_record& record,
                                               const backend_entry& server, std::uint32_t number);
    [[nodiscard]] static task_record& record_of(const task_run& run);
    /// Whether a run that a server reports may be a copy that an earlier owner started.
    [[nodiscard]] bool may_adopt_copy(const task_location& location,
                                      const running_task& reported) const;
    /// Whether the completion is to be applied later: the start of the copy of its task may still
    /// be executed, and no task may start after its end was recorded.
    [[nodiscard]] bool awaits_copy(const backend_entry& server, const run_completion& completion);
    /// Stops what still runs of a task that is done.
    void stop_runs(const task_record& record);
    void start_copies();
    void start_copies(pool_state& pool);
    [[nodiscard]] bool may_copy(const task_run& run) const;
    [[nodiscard]] delay_cause delay_of(task_run& run) const;
    backend_entry* select_copy_server(const task_run& run) const;
    void start_copy(const held_up_run& item, backend_entry& server);

    // Contact with servers.
    void process_contact_event(backend_entry& server, const dispatch::contact_event& event);
    void mark_contact_failed(backend_entry& server);
    void expire_runs(backend_entry& server);
    void log_restart(const backend_entry& server, std::string_view noticed_by);
    void log_contact(const backend_entry& server);
    /// Updates the clock by the answer to a command, unless another process than the one that was
    /// polled last may have given it.
    void process_command_clock(backend_entry& server, backend_clock_ms clock);
    /// The server may have restarted: nothing is started on it until a poll has been answered.
    void forget_process(backend_entry& server);
    /// The server has accepted a lease until `lease_until` when its clock was `clock`.
    void note_lease(backend_entry& server, backend_clock_ms lease_until,
                    backend_clock_ms clock) const;
    /// A process may have received a lease that was computed for an earlier one.
    void assume_longest_lease(backend_entry& server) const;
    /// Logs that a task is started although a server that was never read may have run it under an
    /// earlier owner.
    void log_unseen_runs(const task_run& run);
    [[nodiscard]] backend_clock_ms extend_lease(backend_entry& server) const;
    void process_poll_reply(backend_entry& server, poll_reply view);
    /// Ends the runs that the first reply of a new process does not name.
    void end_runs_of_earlier_process(backend_entry& server, const poll_reply& reply);
    /// Returns false when some completions of the reply are to be applied later.
    bool reconcile_runs(backend_entry& server, const poll_reply& view);
    void process_completion(backend_entry& server, const run_completion& end);
    void process_running_task(backend_entry& server, const running_task& reported);
    void send_polls();
    [[nodiscard]] bool needs_poll(const backend_entry& server) const;
    void emit_poll(backend_entry& server);
    [[nodiscard]] duration longest_poll(const backend_entry& server) const;
    void update_contacts();
    /// Keeps `unsettled_` and `leaving_` in line with the state of `server`.
    void update_watch_lists(backend_entry& server);
    /// Whether a server that is not used any more may still run tasks or hold their completions.
    [[nodiscard]] bool may_hold_work(const backend_entry& server) const;
    void remove_server(const backend_entry& server);
    void record_run_result(backend_entry& server, bool failed);
    [[nodiscard]] bool contact_is(const backend_entry& server, std::string_view state) const {
        return contact_machine_.name_of(server.contact) == state;
    }

    // Recovery when an ownership begins.
    void recover_pools();
    void recover(pool_state& pool);
    void adopt_running(const pool_state& pool);
    void apply_initial_completions(const pool_state& pool);
    [[nodiscard]] bool may_have_unknown_runs(const pool_state& pool) const;
    [[nodiscard]] bool may_have_unread_completions(const pool_state& pool) const;
    [[nodiscard]] bool on_last_attempt(const workflow_entry& entry, const workflow_step& step,
                                       const task_record& record) const;
    void estimate_unknown_usage();
    /// When all leases have ended that an earlier owner may have given.
    [[nodiscard]] instant previous_leases_end() const;
    /// How long a lease may last that was computed for an earlier process of its server, from the
    /// sending of the command.
    [[nodiscard]] duration longest_lease() const;

    // Placement.
    void place_tasks();
    /// Returns false if the limit of starts has ended the pass.
    bool place_pool(pool_state& pool);
    void collect_candidates(workflow_entry& entry, std::vector<candidate>& candidates);
    /// Gives the candidates their places by `order_waiting_work`; `servers` accept tasks.
    void order_by_cost(pool_state& pool, std::span<backend_entry* const> servers,
                       std::vector<candidate>& candidates);
    [[nodiscard]] waiting_work waiting_work_of(const candidate& item,
                                               const dispatch::pool_order& order) const;
    [[nodiscard]] pool_room room_of(const pool_state& pool,
                                    std::span<backend_entry* const> servers) const;
    /// Updates the aging account and the figures of `pool` after a pass, and logs deferred work.
    void note_order(pool_state& pool, std::span<const candidate> candidates);
    void log_deferred(pool_state& pool, std::span<const candidate> candidates);
    bool place_step(const candidate& item, placement_pass& pass);
    backend_entry* select_server(const candidate& item, const task_record& record,
                                 placement_pass& pass);
    [[nodiscard]] bool accepts_tasks(const backend_entry& server) const;
    [[nodiscard]] bool is_quarantined(const backend_entry& server) const {
        return now_ < server.quarantined_until;
    }
    void update_quarantine(pool_state& pool);
    [[nodiscard]] bool is_withdrawn(const backend_entry& server) const;
    /// Whether a workflow with ready tasks has had no run for long.
    [[nodiscard]] bool is_stalled(const workflow_entry& entry) const;
    void report_stalled(pool_state& pool, const unknown_state& unread,
                        std::span<const workflow_entry* const> stalled);
    [[nodiscard]] server_availability availability_in(const pool_state& pool) const;
    [[nodiscard]] bool meets_constraints(const backend_entry& server, const workflow_entry& entry,
                                         std::uint32_t occurrence, std::uint32_t step) const;
    void reserve_server(const candidate& item, placement_pass& pass);
    /// How many of `tasks` more tasks of `size` the limit of `team` allows beside `planned`.
    [[nodiscard]] std::int64_t tasks_within_limit(const team_id& team, const resources& size,
                                                  std::int64_t tasks,
                                                  const resources& planned) const;
    [[nodiscard]] bool within_team_limit(const team_id& team, const resources& size) const;

    void log(std::string_view event, const job_id& job, const backend_id& backend,
             std::string detail) {
        effects_.emplace_back(log_decision{event, job, backend, std::move(detail)});
    }

    run_machine run_machine_;
    workflow_machine workflow_machine_;
    contact_machine contact_machine_;
    dispatch_options options_;
    instant ownership_began_at_;
    instant now_;
    instant lease_until_ = instant::min();
    instant commands_until_ = instant::min();
    std::int64_t unix_ms_ = 0;
    bool workflows_loaded_ = false;
    bool backends_loaded_ = false;
    bool saving_ = false;
    dispatch::save_ticket last_ticket_ = 0;   ///< Of the latest change of a workflow.
    dispatch::save_ticket saving_ticket_ = 0; ///< Of the last change in the save under way.
    dispatch::save_ticket saved_ticket_ = 0;

    std::shared_ptr<const queue_catalog> catalog_ = std::make_shared<queue_catalog>();
    bool catalog_received_ = false;            ///< Limits of teams are not known before.
    std::map<team_id, resources> team_limits_; ///< As in the last catalogue with the team.
    operator_orders orders_;
    std::unordered_map<job_id, std::unique_ptr<workflow_entry>> workflows_;
    std::map<backend_id, std::unique_ptr<backend_entry>> servers_;
    // Servers that need attention at each tick.
    std::map<backend_id, backend_entry*> unsettled_; ///< Not registered, or not in contact.
    std::map<backend_id, backend_entry*> leaving_;   ///< Leaving, or to be drained.
    std::map<backend_id, backend_entry*> unsaved_;   ///< With completions that are not stored.
    std::set<run_id> stop_retries_;                  ///< Runs whose stop is to be sent again.
    std::map<pool_id, pool_state> pools_;
    /// Bounds for the leases of servers that were removed, as they may register again.
    std::map<backend_id, instant> forgotten_leases_;
    /// Servers of the first VM list that are not registered.
    std::map<backend_id, present_backend> unregistered_;
    bool vm_list_received_ = false;
    std::vector<idle_vm> idle_vms_; ///< Of the last VM list.
    dispatch::start_window start_window_;
    bool starts_limited_ = false; ///< As last logged.
    std::deque<dispatch::pace_sample> start_samples_;
    instant in_work_at_;       ///< Last load report with the rows read and most servers in contact.
    work_pace pace_of_passes_; ///< Of placement and of the division of the fleet.
    pool_id first_pool_;       ///< The next pass begins with it, or with the next one by name.
    std::unordered_map<std::uint64_t, std::unique_ptr<task_run>> runs_;
    std::map<team_id, resources> team_usage_;    ///< Charged by all runs that may exist.
    std::map<team_id, resources> unknown_usage_; ///< Upper bound for unread servers.
    std::map<team_id, token_bucket> team_buckets_;
    submission_rates rates_;
    std::map<team_id, dispatch::team_share> shares_;
    std::optional<std::int64_t> weights_version_; ///< Of the catalogue whose weights are applied.
    instant next_division_at_ = instant::min();
    std::vector<workflow_entry*> changed_; ///< To be saved.
    std::vector<job_id> awaiting_removal_; ///< Ended, but unsaved or with runs left.
    /// Ended workflows, kept for a while because their rows can be delivered again.
    std::unordered_map<job_id, instant> recently_ended_;
    instant recently_ended_pruned_at_{};
    std::vector<workflow_entry*> scheduled_; ///< With future occurrences.
    std::uint64_t last_run_id_ = 0;
    bool copies_due_ = false; ///< The pace of runs was reviewed since copies were considered.
    std::optional<pace_state> pace_; ///< Nothing while the switch `slow_servers` is off.
    dispatch_counts counts_;
    std::vector<dispatch_effect> effects_;
};

} // namespace citronford
