#include "decide/task_scheduler_state.h"

namespace citronford {

std::span<const task_scheduler::implementation::job_machine::guard>
task_scheduler::implementation::job_guards() {
    static constexpr job_machine::guard table[] = {
        {"is_restartable",
         [](const job_context& context, const job_event&) {
             return context.job.row.job.restartable || fault_planted("task-once");
         }},
        {"has_started",
         [](const job_context& context, const job_event&) {
             return context.job.row.state == job_state::started;
         }},
        {"cancel_requested",
         [](const job_context& context, const job_event&) { return context.job.cancel_requested; }},
        {"may_retry",
         [](const job_context& context, const job_event&) {
             return context.job.row.job.restartable &&
                    context.job.failures + 1 < context.scheduler.options_.max_attempts;
         }},
        {"start_not_sent", [](const job_context& context,
                              const job_event&) { return context.job.start_sequence == 0; }},
        // The worker has not restarted and accepted a later message, so it rejects the start if
        // that still arrives.
        {"never_started", [](const job_context& context,
                             const job_event&) { return !context.scheduler.worker_restarted_; }},
        {"all_nodes_visited",
         [](const job_context& context, const job_event&) { return !context.job.next_owner; }},
    };
    return table;
}

std::span<const task_scheduler::implementation::job_machine::action>
task_scheduler::implementation::job_actions() {
    static constexpr auto end = [](job_context& context, job_state state) {
        context.job.row.state = state;
        context.scheduler.write_row(context.job, false, context.effects);
    };
    static constexpr job_machine::action table[] = {
        {"insert_row",
         [](job_context& context, const job_event&) {
             context.scheduler.write_row(context.job, true, context.effects);
         }},
        {"answer_accepted",
         [](job_context& context, const job_event&) {
             context.effects.emplace_back(
                 answer_job{context.job.caller, result_code::ok, context.job.row});
         }},
        {"answer_duplicate",
         [](job_context& context, const job_event&) {
             context.effects.emplace_back(
                 answer_job{context.job.caller, result_code::duplicate_request, context.job.row});
         }},
        {"answer_unavailable",
         [](job_context& context, const job_event&) {
             context.effects.emplace_back(
                 answer_job{context.job.caller, result_code::table_unavailable, context.job.row});
         }},
        {"write_adoption",
         [](job_context& context, const job_event&) {
             context.job.row.owner = context.scheduler.options_.self.id;
             context.job.row.epoch = context.scheduler.options_.self.incarnation;
             ++context.job.row.generation;
             context.scheduler.write_row(context.job, true, context.effects);
         }},
        {"write_new_owner",
         [](job_context& context, const job_event&) {
             context.scheduler.write_row(context.job, true, context.effects);
         }},
        {"enqueue",
         [](job_context& context, const job_event&) {
             auto& scheduler = context.scheduler;
             context.job.row.state = job_state::queued;
             context.job.next_owner.reset();
             if (context.job.cancel_requested) {
                 scheduler.pending_cancellations_.insert(context.job.row.job.id);
             }
             const job_definition& job = context.job.row.job;
             if (job.urgent) {
                 scheduler.urgent_.emplace(context.job.order, &context.job);
             } else {
                 scheduler.queues_[job.team].insert(context.job.order, job.size, &context.job);
             }
             context.job.first_unplaced_at.reset();
             if (context.job.row.attempt == 0 && !context.job.queued_since) {
                 context.job.queued_since = context.now;
             }
             scheduler.placement_due_ = true;
         }},
        {"dequeue",
         [](job_context& context, const job_event&) {
             auto& scheduler = context.scheduler;
             const job_definition& job = context.job.row.job;
             if (job.urgent) {
                 scheduler.urgent_.erase(context.job.order);
             } else {
                 scheduler.queues_[job.team].erase(context.job.order, job.size);
             }
             scheduler.cancel_reservation(context.job);
         }},
        {"occupy_slot",
         [](job_context& context, const job_event&) {
             auto& scheduler = context.scheduler;
             scheduler.report_late_start(context.job, context.now, context.effects);
             context.job.queued_since.reset();
             worker_entry& worker = scheduler.workers_[*context.job.worker];
             worker.jobs.insert(context.job.row.job.id);
             const resources size = scheduler.expected_size(context.job);
             scheduler.set_allocation(context.job, size, size);
             context.job.start_sequence = 0;
             context.job.row.worker = worker.listing.id;
             ++context.job.row.attempt;
             context.job.row.state = job_state::started;
             if (scheduler.health_.quarantined(*context.job.worker)) {
                 worker.probe = context.job.row.job.id;
             }
             scheduler.health_.handle(*context.job.worker, attempt_started{}, context.now);
         }},
        {"attach_to_worker",
         [](job_context& context, const job_event&) {
             auto& scheduler = context.scheduler;
             worker_listing::worker listing;
             listing.id = context.job.row.worker;
             const bool listed = scheduler.worker_index_.contains(listing.id);
             const std::size_t index = scheduler.find_or_add_worker(listing, context.now);
             scheduler.workers_[index].listed = scheduler.workers_[index].listed && listed;
             scheduler.workers_[index].jobs.insert(context.job.row.job.id);
             context.job.worker = index;
             context.job.next_owner.reset();
             scheduler.limits_.adopt(context.job.row.job.team);
             context.job.has_unit = true;
             scheduler.set_allocation(context.job, context.job.row.job.size,
                                      context.job.row.job.size);
         }},
        {"record_start",
         [](job_context& context, const job_event&) {
             const bool must_precede = !context.job.row.job.restartable;
             context.scheduler.write_row(context.job, must_precede, context.effects);
         }},
        {"request_start",
         [](job_context& context, const job_event&) {
             context.scheduler.workers_[*context.job.worker].to_start.push_back(
                 context.job.row.job.id);
         }},
        {"request_checkpoint",
         [](job_context& context, const job_event&) {
             context.scheduler.workers_[*context.job.worker].to_checkpoint.insert(
                 context.job.row.job.id);
         }},
        {"cancel_checkpoint",
         [](job_context& context, const job_event&) {
             context.scheduler.workers_[*context.job.worker].to_checkpoint.erase(
                 context.job.row.job.id);
         }},
        {"request_stop",
         [](job_context& context, const job_event&) {
             worker_entry& worker = context.scheduler.workers_[*context.job.worker];
             worker.to_checkpoint.erase(context.job.row.job.id);
             worker.to_stop.insert(context.job.row.job.id);
         }},
        {"record_usage",
         [](job_context& context, const job_event& event) {
             const resources& usage = std::get<task_running>(event).usage;
             if (usage == resources{}) {
                 return;
             }
             context.scheduler.record_usage(context.job, usage);
         }},
        {"record_cancel_request",
         [](job_context& context, const job_event&) {
             context.job.cancel_requested = true;
             context.job.row.cancel = true;
         }},
        {"free_slot",
         [](job_context& context, const job_event& event) {
             if (std::holds_alternative<task_failed>(event)) {
                 ++context.job.failures;
             }
             context.scheduler.free_slot(context.job, context.now);
         }},
        {"hand_over_slot",
         [](job_context& context, const job_event&) {
             context.scheduler.hand_over_slot(context.job, context.now);
         }},
        {"record_done",
         [](job_context& context, const job_event&) {
             report_sli_event(context.job, false, context.effects);
             end(context, job_state::done);
         }},
        {"record_failed",
         [](job_context& context, const job_event&) {
             context.job.row.reason = "the task failed on worker " + context.job.row.worker.str();
             // Failures on a worker that fails far more often than its peers are the fault of the
             // fleet, not of the job.
             report_sli_event(context.job, context.scheduler.quarantined(context.job.row.worker),
                              context.effects);
             end(context, job_state::failed);
         }},
        {"record_cancelled",
         [](job_context& context, const job_event&) { end(context, job_state::cancelled); }},
        {"record_unknown",
         [](job_context& context, const job_event&) {
             context.job.row.reason = "worker " + context.job.row.worker.str() + " was lost";
             report_sli_event(context.job, true, context.effects);
             end(context, job_state::unknown);
         }},
        {"record_cannot_run",
         [](job_context& context, const job_event&) { end(context, job_state::cannot_run); }},
    };
    return table;
}

std::span<const task_scheduler::implementation::lease_machine::action>
task_scheduler::implementation::lease_actions() {
    static constexpr lease_machine::action table[] = {
        {"acquire_lease",
         [](lease_context& context, const lease_event&) {
             worker_entry& worker = context.scheduler.workers_[context.worker];
             worker.epoch = 0;
             worker.reacquire_at = context.now + context.scheduler.options_.sync_timeout;
             context.effects.emplace_back(acquire_worker_lease{worker.listing.id});
         }},
        {"record_epoch",
         [](lease_context& context, const lease_event& event) {
             worker_entry& worker = context.scheduler.workers_[context.worker];
             worker.epoch = std::get<lease_granted>(event).epoch;
             worker.sequence = 0;
             worker.pending_sync = 0;
             worker.incarnation = 0;
             worker.lease_renewed_at = context.now;
             worker.next_sync = context.now;
             worker.capacity_awaited_since = context.now;
         }},
        {"withdraw",
         [](lease_context& context, const lease_event&) {
             context.scheduler.placement_.withdraw(context.worker);
         }},
        {"mark_tasks_lost",
         [](lease_context& context, const lease_event&) {
             context.scheduler.counts_.lost +=
                 context.scheduler.workers_[context.worker].jobs.size();
             context.scheduler.step_jobs_on(context.worker, worker_lost{}, context.now,
                                            context.effects);
         }},
        {"detach_tasks",
         [](lease_context& context, const lease_event&) {
             worker_entry& worker = context.scheduler.workers_[context.worker];
             worker.epoch = 0;
             worker.pending_sync = 0;
             worker.to_checkpoint.clear();
             worker.to_stop.clear();
             context.scheduler.step_jobs_on(context.worker, worker_detached{}, context.now,
                                            context.effects);
         }},
    };
    return table;
}

absl::StatusOr<std::unique_ptr<task_scheduler>>
task_scheduler::create(const scheduler_charts& charts, scheduler_options options,
                       team_limits& limits) {
    auto jobs = implementation::job_machine::create(charts.job, implementation::job_guards(),
                                                    implementation::job_actions());
    if (!jobs.ok()) {
        return jobs.status();
    }
    auto leases = implementation::lease_machine::create(charts.worker_lease, {},
                                                        implementation::lease_actions());
    if (!leases.ok()) {
        return leases.status();
    }
    auto health = worker_health::create(charts.worker_health, options.health);
    if (!health.ok()) {
        return health.status();
    }
    auto body = std::make_unique<implementation>(*std::move(jobs), *std::move(leases),
                                                 *std::move(health), std::move(options), limits);
    return std::unique_ptr<task_scheduler>(new task_scheduler(std::move(body)));
}

task_scheduler::task_scheduler(std::unique_ptr<implementation> body) : body_(std::move(body)) {}
task_scheduler::~task_scheduler() = default;

void task_scheduler::configure(const fleet_configuration& fleet) {
    body_->configure(fleet);
}
std::vector<scheduler_effect> task_scheduler::handle(const scheduler_input& input, instant now) {
    return body_->handle(input, now);
}
const job_row* task_scheduler::find(const job_id& job) const {
    return body_->find(job);
}
std::size_t task_scheduler::open_jobs() const {
    return body_->open_jobs();
}
std::size_t task_scheduler::open_handovers() const {
    return body_->open_handovers();
}
std::size_t task_scheduler::queued_jobs() const {
    return body_->queued_jobs();
}
worker_activity task_scheduler::workers() const {
    return body_->workers();
}
team_activity task_scheduler::activity(const team_id& team) const {
    return body_->activity(team);
}
std::vector<worker_id> task_scheduler::quarantined_workers() const {
    return body_->quarantined_workers();
}
double task_scheduler::workers_wanted() const {
    return body_->workers_wanted();
}
bool task_scheduler::holds_lease(const worker_id& worker) const {
    return body_->holds_lease(worker);
}
bool task_scheduler::quarantined(const worker_id& worker) const {
    return body_->quarantined(worker);
}
const scheduler_counts& task_scheduler::counts() const {
    return body_->counts();
}

} // namespace citronford
