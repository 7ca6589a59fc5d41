#include "decide/dispatch/dispatcher_state.h"

#include "citronford/planted_fault.h"

#include <algorithm>
#include <utility>

namespace citronford {

using namespace dispatch;

namespace {

/// Work of some tasks of a step, by estimate; long-running ones have no end.
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
    return std::unique_ptr<implementation>(new implementation(
        *std::move(runs), *std::move(workflows), *std::move(contacts), options, now));
}

absl::StatusOr<dispatcher::implementation::workflow_machine>
dispatcher::implementation::bind_workflows(const chart& life_cycle) {
    static constexpr workflow_machine::action actions[] = {
        {"close", [](workflow_context& context,
                     const workflow_event&) { context.board.close_workflow(context.entry); }},
    };
    return workflow_machine::create(life_cycle, {}, actions);
}

std::vector<dispatch_effect> dispatcher::implementation::handle(const dispatch_input& input,
                                                                instant now) {
    now_ = now;
    std::visit([this](const auto& item) { take(item); }, input);
    erase_ended();
    return std::exchange(effects_, {});
}

void dispatcher::implementation::take(const catalog_applied& input) {
    catalog_ = input.catalog;
    for (auto& [name, pool] : pools_) {
        pool.due = true;
    }
}

void dispatcher::implementation::take(const orders_applied& input) {
    orders_ = input.orders;
    for (auto& [name, pool] : pools_) {
        pool.due = true;
    }
}

void dispatcher::implementation::take(const workflow_found& input) {
    if (workflows_.contains(input.row.id) || past_.contains(input.row.id)) {
        return;
    }
    if (ended(input.progress.state)) {
        past_.emplace(input.row.id, now_);
        return;
    }
    auto added = std::make_unique<workflow_entry>();
    workflow_entry& entry = *added;
    entry.row = input.row;
    entry.position = workflow_machine_.initial();
    entry.stored_before = input.stored_before;
    entry.chain = longest_chain(entry.row.spec);
    const queue_definition* queue = catalog_->queue(entry.row.queue);
    // A queue that operators have removed meanwhile leaves its workflows with a plain objective.
    constexpr double default_stretch = 2;
    constexpr duration default_slack = seconds(1);
    entry.allowance = std::chrono::duration_cast<duration>(
                          entry.chain * (queue == nullptr ? default_stretch : queue->stretch)) +
                      (queue == nullptr ? default_slack : duration(queue->objective_slack));
    constexpr std::int64_t oldest_ms = 600000;
    const std::int64_t age_ms =
        unix_ms_ == 0
            ? 0
            : std::clamp<std::int64_t>(unix_ms_ - entry.row.accepted_unix_ms, 0, oldest_ms);
    entry.accepted_at = now_ - milliseconds(age_ms);
    entry.surplus = !input.stored_before && !takes_from_owed(entry.row.team);
    entry.restore(input.progress, now_);
    workflows_.emplace(entry.row.id, std::move(added));
    pool_state& pool = pools_[entry.row.pool];
    pool.open.insert(&entry);
    pool.due = true;
    if (!input.stored_before && !entry.surplus) {
        for (const workflow_step& step : entry.row.spec.steps) {
            pool.arrived_core_s += core_seconds(step, step.tasks);
        }
    }
    if (entry.row.spec.occurrences == 0) {
        entry.begin_occurrence(0, entry.accepted_at);
        entry.next_occurrence = 1;
    } else {
        scheduled_.push_back(&entry);
        begin_due_occurrences(entry);
    }
}

bool dispatcher::implementation::takes_from_owed(const team_id& team) {
    const catalog_team* known = catalog_->team(team);
    if (known == nullptr || known->weight <= 0) {
        return true;
    }
    owed_rate& rate = owed_[team];
    const std::chrono::duration<double> passed = now_ - std::exchange(rate.at, now_);
    // A team may save up the workflows of one second.
    rate.saved = std::min(rate.saved + passed.count() * known->weight, known->weight);
    if (rate.saved < 1) {
        return false;
    }
    rate.saved -= 1;
    return true;
}

void dispatcher::implementation::begin_due_occurrences(workflow_entry& entry) {
    const workflow_spec& spec = entry.row.spec;
    while (unix_ms_ != 0 && entry.next_occurrence < spec.runs()) {
        const std::int64_t due = spec.first_due_unix_ms + entry.next_occurrence * spec.interval_ms;
        if (due > unix_ms_) {
            return;
        }
        entry.begin_occurrence(entry.next_occurrence, now_ - milliseconds(unix_ms_ - due));
        ++entry.next_occurrence;
        pools_[entry.row.pool].due = true;
    }
}

void dispatcher::implementation::take(const workflows_loaded& /*input*/) {
    workflows_loaded_ = true;
}

void dispatcher::implementation::take(const workflow_cancelled& input) {
    const auto found = workflows_.find(input.job);
    if (found != workflows_.end() && !fault_planted("workflow-cancel")) {
        note("workflow_cancelled", input.job, {}, std::to_string(found->second->runs) + " runs");
        step_workflow(*found->second, cancel_ordered{});
    }
}

void dispatcher::implementation::step_workflow(workflow_entry& entry, const workflow_event& event) {
    workflow_context context{*this, entry};
    workflow_machine_.step(entry.position, context, event);
}

void dispatcher::implementation::close_workflow(workflow_entry& entry) {
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
    note("workflow_ended", entry.row.id, {},
         std::string(name) + " after_ms=" + std::to_string(to_ms(now_ - entry.accepted_at)) +
             " allowance_ms=" + std::to_string(to_ms(entry.allowance)));
    mark_changed(entry);
    past_.emplace(entry.row.id, now_);
    ended_.push_back(entry.row.id);
    std::erase(scheduled_, &entry);
    pools_[entry.row.pool].open.erase(&entry);
    for_each_run(entry, [this](task_run& run) { step_run(run, stop_wanted{}); });
}

void dispatcher::implementation::for_each_run(workflow_entry& entry,
                                              const std::function<void(task_run&)>& visit) {
    if (entry.runs == 0) {
        return;
    }
    for (auto& [number, occurrence] : entry.occurrences) {
        for (step_state& step : occurrence.steps) {
            for (task_slot& slot : step.tasks) {
                if (slot.run != nullptr) {
                    visit(*slot.run);
                }
            }
        }
    }
}

void dispatcher::implementation::mark_changed(workflow_entry& entry) {
    entry.changed = true;
    if (std::ranges::find(changed_, &entry) == changed_.end()) {
        changed_.push_back(&entry);
    }
}

void dispatcher::implementation::erase_ended() {
    std::erase_if(ended_, [this](const job_id& id) {
        const auto found = workflows_.find(id);
        if (found == workflows_.end()) {
            return true;
        }
        if (found->second->changed || found->second->runs > 0) {
            return false;
        }
        workflows_.erase(found);
        return true;
    });
}

void dispatcher::implementation::forget_past() {
    // The rows of ended workflows are marked as such long before.
    constexpr duration retention = seconds(180);
    constexpr duration period = seconds(10);
    if (now_ < past_reviewed_at_ + period) {
        return;
    }
    past_reviewed_at_ = now_;
    std::erase_if(past_, [&](const auto& item) { return now_ >= item.second + retention; });
}

void dispatcher::implementation::save_changes() {
    if (saving_) {
        return;
    }
    // Rows of one transaction of the table.
    constexpr std::size_t most_rows = 90;
    const std::size_t rows = std::min(most_rows, changed_.size());
    if (rows == changed_.size()) {
        for (auto& [id, server] : servers_) {
            server->ends_saving = server->ends_taken;
        }
    }
    if (rows == 0) {
        take(progress_saved{});
        return;
    }
    save_progress save;
    for (std::size_t index = 0; index < rows; ++index) {
        workflow_entry& entry = *changed_[index];
        entry.changed = false;
        save.rows.push_back({entry.row.id, entry.progress()});
    }
    changed_.erase(changed_.begin(), changed_.begin() + static_cast<std::ptrdiff_t>(rows));
    saving_ = true;
    effects_.emplace_back(std::move(save));
}

void dispatcher::implementation::take(const progress_saved& /*input*/) {
    saving_ = false;
    for (auto& [id, server] : servers_) {
        server->ends_saved = server->ends_saving;
    }
}

void dispatcher::implementation::take(const backend_registered& input) {
    const backend_registration& listing = input.registration;
    auto& place = servers_[listing.id];
    if (!place) {
        place = std::make_unique<backend_entry>();
        // Long after the ownership began, no lease of an earlier owner can be left on it.
        place->contact = now_ < earlier_leases_end() ? contact_machine_.initial()
                                                     : contact_machine_.position_of("silent");
        place->next_look_at = now_;
    }
    if (place->listing.leaving != listing.leaving || !place->listed) {
        note("backend_listed", {}, listing.id,
             std::string(listing.pool.view()) + (listing.leaving ? " leaving" : " ready"));
    }
    const bool restarted = place->born_unix_ms != 0 && listing.process_start_unix_ms != 0 &&
                           listing.process_start_unix_ms != place->born_unix_ms;
    if (restarted) {
        // Its clock and its numbers of ends began anew: nothing is started there before a look.
        place->confirmed = false;
        place->clock.reset();
        place->next_look_at = now_;
    }
    place->listing = listing;
    place->listed = true;
    pool_state& pool = pools_[listing.pool];
    pool.servers.insert(listing.id);
    pool.due = true;
}

void dispatcher::implementation::take(const backend_deregistered& input) {
    const auto found = servers_.find(input.id);
    if (found != servers_.end() && found->second->listed) {
        found->second->listed = false;
        note("backend_delisted", {}, input.id,
             std::to_string(found->second->runs.size()) + " runs");
    }
}

void dispatcher::implementation::take(const present_backends& input) {
    // One list may have been made before a new server of a VM was entered.
    constexpr int sure_after = 2;
    const std::set<backend_id> present(input.backends.begin(), input.backends.end());
    for (auto& [id, server] : servers_) {
        server->missing_lists = present.contains(id) ? 0 : server->missing_lists + 1;
        if (server->missing_lists >= sure_after) {
            // Its VM is away or has another server: nothing runs there.
            step_contact(*server, earlier_leases_over{});
        }
    }
}

void dispatcher::implementation::take(const backends_loaded& /*input*/) {
    backends_loaded_ = true;
}

void dispatcher::implementation::take(const authority_extended& input) {
    lease_until_ = std::max(lease_until_, input.lease_until);
    authority_until_ = std::max(authority_until_, input.acts_until);
}

void dispatcher::implementation::take(const backends_to_drain& input) {
    const auto names = [](const std::vector<backend_id>& all, const backend_id& id) {
        return std::ranges::find(all, id) != all.end();
    };
    for (auto& [id, server] : servers_) {
        const bool closing = names(input.now, id);
        if (server->closing && !closing) {
            pools_[server->listing.pool].due = true;
        }
        server->closing = closing;
        server->closing_later = names(input.later, id);
    }
}

void dispatcher::implementation::take(const dispatch_tick& input) {
    unix_ms_ = input.unix_ms;
    for (std::size_t index = 0; index < scheduled_.size(); ++index) {
        begin_due_occurrences(*scheduled_[index]);
    }
    std::erase_if(scheduled_, [](const workflow_entry* entry) {
        return entry->next_occurrence >= entry->row.spec.runs();
    });
    review_contacts();
    repeat_stops();
    settle_pools();
    vacate_servers();
    place_tasks();
    save_changes();
    send_looks();
    forget_past();
}

std::map<queue_id, std::uint64_t> dispatcher::implementation::waiting_workflows() const {
    std::map<queue_id, std::uint64_t> counts;
    for (const auto& [id, entry] : workflows_) {
        if (entry->state == workflow_state::pending) {
            ++counts[entry->row.queue];
        }
    }
    return counts;
}

std::vector<backend_load> dispatcher::implementation::backend_loads() const {
    std::vector<backend_load> all;
    for (const auto& [id, server] : servers_) {
        // Before a pool is settled, the runs of an earlier owner are not known.
        const auto pool = pools_.find(server->listing.pool);
        if (!is(*server, "current") || pool == pools_.end() || !pool->second.settled) {
            continue;
        }
        backend_load load{id, server->listing.pool, server->listing.capacity, server->used,
                          server->runs.size() + (server->has_strays ? 1 : 0)};
        load.unschedulable = server->closing || server->listing.leaving;
        for (const task_run* run : server->runs) {
            if (run->workflow->step(run->step).long_running) {
                ++load.long_running;
                load.long_running_millicores += run->reserved.millicores;
            }
        }
        all.push_back(std::move(load));
    }
    return all;
}

std::vector<pool_workload> dispatcher::implementation::pool_workloads() const {
    std::vector<pool_workload> all;
    for (const auto& [name, pool] : pools_) {
        pool_workload demand{name, pool.arrived_core_s};
        for (const workflow_entry* entry : pool.open) {
            // What is late anyway is no reason for more VMs.
            const bool counts = !entry->surplus && now_ < entry->accepted_at + entry->allowance;
            for (const auto& [number, occurrence] : entry->occurrences) {
                for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                    constexpr double millicores_per_core = 1000;
                    const auto tasks = static_cast<std::int64_t>(occurrence.steps[step].waiting());
                    const workflow_step& definition = entry->step(step);
                    if (definition.long_running) {
                        demand.waiting_long_running += tasks;
                    } else if (counts) {
                        demand.waiting_cores += static_cast<double>(tasks) *
                                                static_cast<double>(definition.size.millicores) /
                                                millicores_per_core;
                    }
                }
            }
        }
        all.push_back(std::move(demand));
    }
    return all;
}

dispatch_counts dispatcher::implementation::counts() const {
    dispatch_counts numbers = counts_;
    numbers.workflows = workflows_.size();
    numbers.runs = runs_.size();
    numbers.backends = servers_.size();
    return numbers;
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

dispatch_counts dispatcher::counts() const {
    return body_->counts();
}

} // namespace citronford
