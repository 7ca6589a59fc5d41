#include "decide/dispatch/dispatcher_state.h"

#include "citronford/planted_fault.h"

#include <algorithm>
#include <utility>

namespace citronford {

using namespace dispatch;

namespace {

/// Estimated work of `tasks` tasks of a step; zero for long-running tasks, which do not end.
double core_seconds(const workflow_step& step, std::size_t tasks) {
    constexpr double millicore_ms_per_core_s = 1e6;
    if (step.long_running) {
        return 0;
    }
    return static_cast<double>(tasks) * static_cast<double>(step.size.millicores) *
           static_cast<double>(step.estimate.count()) / millicore_ms_per_core_s;
}

} // namespace

absl::StatusOr<std::unique_ptr<dispatcher::implementation>>
dispatcher::implementation::create(const charts& life_cycles, dispatch_options options,
                                   instant now) {
    auto runs = bind_runs(life_cycles.task_run);
    if (!runs.ok()) {
        return runs.status();
    }
    auto workflows = bind_workflows(life_cycles.workflow);
    if (!workflows.ok()) {
        return workflows.status();
    }
    auto contacts = bind_contacts(life_cycles.backend_contact);
    if (!contacts.ok()) {
        return contacts.status();
    }
    auto pace = create_pace(life_cycles, options);
    if (!pace.ok()) {
        return pace.status();
    }
    std::unique_ptr<implementation> created(new implementation(
        *std::move(runs), *std::move(workflows), *std::move(contacts), options, now));
    created->pace_ = *std::move(pace);
    return created;
}

absl::StatusOr<dispatcher::implementation::workflow_machine>
dispatcher::implementation::bind_workflows(const chart& life_cycle) {
    static constexpr workflow_machine::action actions[] = {
        {"finish", [](workflow_context& context,
                      const workflow_event&) { context.impl.finish_workflow(context.entry); }},
    };
    return workflow_machine::create(life_cycle, {}, actions);
}

std::vector<dispatch_effect> dispatcher::implementation::handle(const dispatch_input& input,
                                                                instant now) {
    now_ = now;
    std::visit([this](const auto& item) { process(item); }, input);
    return std::exchange(effects_, {});
}

void dispatcher::implementation::process(const catalog_applied& input) {
    catalog_ = input.catalog;
    catalog_received_ = true;
    for (const auto& [id, entry] : workflows_) {
        update_terms(*entry);
    }
    for (const auto& [name, team] : catalog_->teams()) {
        team_limits_.insert_or_assign(name, team.limit);
    }
    apply_team_weights();
    for (auto& [name, pool] : pools_) {
        pool.placement_due = true;
    }
}

void dispatcher::implementation::update_terms(workflow_entry& entry) const {
    if (const queue_definition* queue = catalog_->queue(entry.row.queue)) {
        entry.terms = terms_of(*queue);
    }
}

void dispatcher::implementation::process(const orders_applied& input) {
    orders_ = input.orders;
    for (auto& [name, pool] : pools_) {
        pool.placement_due = true;
    }
}

void dispatcher::implementation::process(const workflow_found& input) {
    if (workflows_.contains(input.row.id) || recently_ended_.contains(input.row.id)) {
        return;
    }
    if (ended(input.progress.state)) {
        note_submission(input.row);
        recently_ended_.emplace(input.row.id, now_);
        return;
    }
    auto added = std::make_unique<workflow_entry>();
    workflow_entry& entry = *added;
    entry.row = input.row;
    entry.position = workflow_machine_.initial();
    entry.stored_before = input.stored_before;
    entry.critical_path = critical_path_length(entry.row.spec);
    entry.terms = entry.row.terms;
    update_terms(entry);
    if (!entry.row.team.empty()) {
        team_limits_.try_emplace(entry.row.team, entry.row.team_limit);
    }
    entry.objective =
        std::chrono::duration_cast<duration>(entry.critical_path * entry.terms.stretch) +
        entry.terms.objective_slack;
    constexpr std::int64_t max_age_ms = 600000;
    const std::int64_t age_ms =
        unix_ms_ == 0
            ? 0
            : std::clamp<std::int64_t>(unix_ms_ - entry.row.accepted_unix_ms, 0, max_age_ms);
    entry.accepted_at = now_ - milliseconds(age_ms);
    entry.over_quota = exceeds_rate(input);
    entry.share = share_of(entry.row.team);
    // Until the next division, new work comes after what waits of its team.
    entry.ahead_millicores = entry.share == nullptr ? 0 : entry.share->waiting_millicores;
    note_ready_work(entry);
    entry.restore(input.progress, now_);
    entry.idle_since = now_;
    workflows_.emplace(entry.row.id, std::move(added));
    pool_state& pool = pool_named(entry.row.pool);
    pool.active_workflows.insert(&entry);
    pool.placement_due = true;
    if (!input.stored_before && !entry.over_quota) {
        for (const workflow_step& step : entry.row.spec.steps) {
            pool.arrived_core_s += core_seconds(step, step.tasks);
        }
    }
    note_arrival(pool, entry);
    if (entry.row.spec.occurrences == 0) {
        entry.add_occurrence(0, entry.accepted_at);
        entry.next_occurrence = 1;
    } else {
        scheduled_.push_back(&entry);
        begin_due_occurrences(entry);
    }
}

bool dispatcher::implementation::consume_quota(const team_id& team) {
    const catalog_team* known = catalog_->team(team);
    if (known == nullptr || known->weight <= 0) {
        return true;
    }
    token_bucket& bucket = team_buckets_[team];
    const std::chrono::duration<double> passed = now_ - std::exchange(bucket.refilled_at, now_);
    // The burst size is the rate of one second.
    bucket.tokens = std::min(bucket.tokens + passed.count() * known->weight, known->weight);
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void dispatcher::implementation::begin_due_occurrences(workflow_entry& entry) {
    const workflow_spec& spec = entry.row.spec;
    while (unix_ms_ != 0 && entry.next_occurrence < spec.runs()) {
        const std::int64_t due_unix_ms =
            spec.first_due_unix_ms + entry.next_occurrence * spec.interval_ms;
        if (due_unix_ms > unix_ms_) {
            return;
        }
        entry.add_occurrence(entry.next_occurrence, now_ - milliseconds(unix_ms_ - due_unix_ms));
        if (entry.runs == 0) {
            entry.idle_since = now_;
        }
        ++entry.next_occurrence;
        pool_named(entry.row.pool).placement_due = true;
    }
}

void dispatcher::implementation::process(const workflows_loaded& /*input*/) {
    workflows_loaded_ = true;
}

void dispatcher::implementation::process(const workflow_cancelled& input) {
    const auto found = workflows_.find(input.job);
    if (found != workflows_.end() && !fault_planted("workflow-cancel")) {
        log("workflow_cancelled", input.job, {}, std::to_string(found->second->runs) + " runs");
        process_workflow_event(*found->second, cancel_requested{});
    }
}

void dispatcher::implementation::process_workflow_event(workflow_entry& entry,
                                                        const workflow_event& event) {
    workflow_context context{*this, entry};
    workflow_machine_.step(entry.position, context, event);
}

void dispatcher::implementation::finish_workflow(workflow_entry& entry) {
    constexpr std::pair<std::string_view, workflow_state> states[] = {
        {"completed", workflow_state::completed},
        {"failed", workflow_state::failed},
        {"cancelled", workflow_state::cancelled}};
    const std::string_view name = workflow_machine_.name_of(entry.position);
    for (const auto& [text, state] : states) {
        if (text == name) {
            entry.state = state;
        }
    }
    log("workflow_ended", entry.row.id, {},
        std::string(name) + " after_ms=" + std::to_string(to_ms(now_ - entry.accepted_at)) +
            " allowance_ms=" + std::to_string(to_ms(entry.objective)));
    mark_changed(entry);
    recently_ended_.emplace(entry.row.id, now_);
    awaiting_removal_.push_back(entry.row.id);
    std::erase(scheduled_, &entry);
    pool_named(entry.row.pool).active_workflows.erase(&entry);
    for_each_run(entry, [this](task_run& run) { process_run_event(run, stop_requested{}); });
}

void dispatcher::implementation::for_each_run(workflow_entry& entry,
                                              const std::function<void(task_run&)>& visit) {
    if (entry.runs == 0) {
        return;
    }
    for (auto& [number, occurrence] : entry.occurrences) {
        for (step_state& step : occurrence.steps) {
            for (task_record& record : step.tasks) {
                for (task_run* run : {record.run, record.copy}) {
                    if (run != nullptr) {
                        visit(*run);
                    }
                }
            }
        }
    }
}

void dispatcher::implementation::process(const ownership_extended& input) {
    lease_until_ = std::max(lease_until_, input.lease_until);
    commands_until_ = std::max(commands_until_, input.sends_commands_until);
}

void dispatcher::implementation::log_start_limit(duration late_by) {
    const bool limited = start_window_.limits_work(now_);
    if (std::exchange(starts_limited_, limited) != limited) {
        log(limited ? "starts_limited" : "starts_unlimited", {}, {},
            "limit=" + std::to_string(start_window_.limit()) +
                " tick_late_ms=" + std::to_string(to_ms(late_by)));
    }
}

void dispatcher::implementation::process(const dispatch_tick& input) {
    unix_ms_ = input.unix_ms;
    pace_of_passes_.begin_tick(now_, input.late_by);
    log_start_limit(input.late_by);
    for (std::size_t index = 0; index < scheduled_.size(); ++index) {
        begin_due_occurrences(*scheduled_[index]);
    }
    std::erase_if(scheduled_, [](const workflow_entry* entry) {
        return entry->next_occurrence >= entry->row.spec.runs();
    });
    update_contacts();
    retry_stops();
    recover_pools();
    drain_servers();
    update_shares();
    review_pace();
    place_tasks();
    start_copies();
    save_changes();
    send_polls();
    remove_ended();
    prune_recently_ended();
}

dispatcher::dispatcher(std::unique_ptr<implementation> body) : body_(std::move(body)) {}

dispatcher::~dispatcher() = default;

absl::StatusOr<std::unique_ptr<dispatcher>>
dispatcher::create(const charts& life_cycles, dispatch_options options, instant now) {
    auto body = implementation::create(life_cycles, options, now);
    if (!body.ok()) {
        return body.status();
    }
    return std::unique_ptr<dispatcher>(new dispatcher(*std::move(body)));
}

std::vector<dispatch_effect> dispatcher::handle(const dispatch_input& input, instant now) {
    return body_->handle(input, now);
}

std::map<queue_id, std::uint64_t> dispatcher::waiting_workflows() const {
    return body_->waiting_workflows();
}

std::vector<pool_workload> dispatcher::pool_workloads() const {
    return body_->pool_workloads();
}

std::vector<backend_load> dispatcher::backend_loads() const {
    return body_->backend_loads();
}

load_report dispatcher::report_load(instant now) {
    return body_->report_load(now);
}

dispatch_counts dispatcher::counts() const {
    return body_->counts();
}

std::vector<team_id> dispatcher::teams_over_share() const {
    return body_->teams_over_share();
}

} // namespace citronford
