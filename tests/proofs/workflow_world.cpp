#include "proofs/workflow_world.h"

#include "citronford/chart.h"

#include <algorithm>

namespace citronford {
namespace {

constexpr duration step_time = milliseconds(20);
constexpr duration ownership_lease = milliseconds(1600);
constexpr duration command_grace = milliseconds(3400);
constexpr duration command_timeout = milliseconds(1000);
constexpr duration stop_time = milliseconds(200);
constexpr duration max_lease = milliseconds(6000);
constexpr std::uint32_t attempts = 3;
const pool_id pool("pool");
const queue_id queue("queue");
const team_id team("team");
const resources team_limit{60000, 0, 0};

chart loaded(std::string_view name) {
    return *chart::load(std::string(CITRONFORD_CHARTS) + "/" + std::string(name) + ".scxml");
}

dispatcher::charts life_cycles() {
    static const chart workflow = loaded("workflow");
    static const chart task_run = loaded("task_run");
    static const chart contact = loaded("backend_contact");
    return {workflow, task_run, contact};
}

std::string text_of(const task_key& task) {
    return task.job.str() + '.' + std::to_string(task.step) + '.' + std::to_string(task.index);
}

} // namespace

workflow_world::workflow_world(std::uint64_t seed, workflow_faults faults)
    : random_(seed * 7919 + 1), faults_(faults) {
    queue_definition definition;
    definition.name = queue;
    definition.pool = pool;
    definition.max_attempts = attempts;
    definition.stretch = 2;
    definition.objective_slack = milliseconds(600);
    catalog_pool serving{pool, true, false};
    catalog_team owner_team{team, 1000, team_limit, {}};
    catalog_ = std::make_shared<queue_catalog>(1, std::vector{definition}, std::vector{serving},
                                               std::vector{owner_team});
    for (int index = 0; index < 6; ++index) {
        model_backend server;
        server.registration.id = backend_id("i-" + std::to_string(index));
        server.registration.pool = pool;
        server.registration.zone = zone_id("a");
        server.registration.capacity = {16000, 64000, 0};
        server.clock_rate = index % 2 == 0 ? 1.0 : 0.98;
        server.process_start = now_ - seconds(10 + index);
        server.registration.process_start_unix_ms = to_ms(server.process_start.time_since_epoch());
        backends_.emplace(server.registration.id, std::move(server));
    }
}

bool workflow_world::chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

std::uint64_t workflow_world::random_below(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random_);
}

void workflow_world::report_violation(std::string_view promise, const std::string& detail) {
    const auto found = results_.find(promise);
    if (found == results_.end()) {
        return;
    }
    proof_result& result = found->second;
    ++result.violations;
    if (result.detail.empty()) {
        result.detail = detail + " at " + std::to_string(to_ms(now_.time_since_epoch())) + " ms";
    }
}

workflow_world::results workflow_world::run(std::span<const std::string_view> promises) {
    for (const std::string_view promise : promises) {
        results_.emplace(promise, proof_result{});
    }
    constexpr int faulty_steps = 2000;
    constexpr int fault_free_steps = 2000;
    for (int number = 0; number < faulty_steps + fault_free_steps; ++number) {
        fault_free_ = number >= faulty_steps;
        step();
    }
    check_final_state();
    for (auto& [promise, result] : results_) {
        result.steps = faulty_steps + fault_free_steps;
    }
    return results_;
}

void workflow_world::step() {
    now_ += step_time;
    if (!fault_free_) {
        submit_work();
        cancel_work();
        inject_faults();
    }
    for (auto& [id, server] : backends_) {
        advance(server);
    }
    update_ownership();
    register_restarted();
    const std::vector<owner_ref> present = owners_;
    for (const owner_ref& instance : present) {
        if (instance->alive && now_ >= instance->frozen_until) {
            tick_owner(instance);
        }
    }
    deliver_messages();
    std::erase_if(owners_, [&](const owner_ref& instance) {
        return instance != owners_.back() &&
               (!instance->alive || now_ >= instance->sends_commands_until);
    });
}

void workflow_world::submit_work() {
    if (!chance(0.03)) {
        return;
    }
    accepted_workflow row;
    row.id = job_id("job" + std::to_string(++last_job_));
    row.queue = queue;
    row.pool = pool;
    row.team = team;
    row.spec.payload = "work";
    const std::uint32_t steps = static_cast<std::uint32_t>(1 + random_below(3));
    for (std::uint32_t number = 0; number < steps; ++number) {
        workflow_step item;
        item.tasks = static_cast<std::uint32_t>(1 + random_below(4));
        item.size = {static_cast<std::int64_t>(1000 * (1 + random_below(4))), 1000, 0};
        item.estimate = milliseconds(100 + random_below(1500));
        item.max_per_server = chance(0.2) ? 1 : 0;
        if (number > 0) {
            item.after = {number - 1};
        }
        row.spec.steps.push_back(item);
    }
    stored_workflow stored{row, {}, false, {}, now_};
    store_.emplace(row.id, stored);
    for (const owner_ref& instance : owners_) {
        if (instance == owners_.back() && store_reachable(*instance) &&
            now_ < instance->lease_until) {
            handle_input(instance, workflow_found{row, {}, false});
        }
    }
}

void workflow_world::cancel_work() {
    for (auto& [id, stored] : store_) {
        if (!stored.cancelled && chance(faults_.cancelled / 200)) {
            stored.cancelled = true;
            stored.cancelled_at = now_;
            const owner_ref instance = owners_.empty() ? nullptr : owners_.back();
            if (instance && store_reachable(*instance)) {
                handle_input(instance, workflow_cancelled{id});
            }
        }
    }
}

void workflow_world::inject_faults() {
    constexpr double steps_per_second = 50;
    for (auto& [id, server] : backends_) {
        if (server.up && chance(faults_.backend_crash / steps_per_second)) {
            server.up = false;
            server.running.clear();
            server.down_until = now_ + milliseconds(500 + random_below(6000));
        }
        if (chance(faults_.backend_partitioned / steps_per_second)) {
            server.partitioned_until = now_ + milliseconds(500 + random_below(8000));
        }
    }
    if (owners_.empty()) {
        return;
    }
    owner& instance = *owners_.back();
    if (chance(faults_.owner_killed / steps_per_second)) {
        instance.alive = false;
    }
    if (chance(faults_.owner_store_partitioned / steps_per_second)) {
        instance.store_partitioned_until = now_ + milliseconds(500 + random_below(8000));
    }
    if (chance(faults_.owner_frozen / steps_per_second)) {
        instance.frozen_until = now_ + milliseconds(500 + random_below(6000));
    }
}

bool workflow_world::store_reachable(const owner& instance) const {
    return instance.alive && now_ >= instance.store_partitioned_until &&
           now_ >= instance.frozen_until;
}

void workflow_world::update_ownership() {
    if (owners_.empty()) {
        start_owner();
        return;
    }
    owner& instance = *owners_.back();
    if (store_reachable(instance)) {
        instance.lease_until = now_ + ownership_lease;
        instance.sends_commands_until = instance.lease_until + command_grace;
    } else if (now_ >= instance.lease_until + milliseconds(100)) {
        start_owner();
    }
    for (const owner_ref& earlier : owners_) {
        // An earlier owner that reaches the store again learns that it was superseded.
        if (earlier != owners_.back() && store_reachable(*earlier)) {
            earlier->alive = false;
        }
    }
}

void workflow_world::start_owner() {
    dispatch_options options;
    options.token = owners_.empty() ? 1 : owners_.back()->token + 1;
    options.previous_owner_grace = command_grace;
    options.max_lease = max_lease;
    options.stop_time = stop_time;
    auto instance = std::make_shared<owner>();
    instance->decisions = *dispatcher::create(life_cycles(), options, now_);
    instance->token = options.token;
    instance->begun_at = now_;
    instance->lease_until = now_ + ownership_lease;
    instance->sends_commands_until = instance->lease_until + command_grace;
    owners_.push_back(instance);
    handle_input(instance, catalog_applied{catalog_});
    handle_input(instance,
                 ownership_extended{instance->lease_until, instance->sends_commands_until});
    for (const auto& [id, server] : backends_) {
        handle_input(instance, backend_registered{server.registration});
    }
    handle_input(instance, backends_loaded{});
    for (const auto& [id, stored] : store_) {
        handle_input(instance, workflow_found{stored.row, stored.progress, true});
        if (stored.cancelled) {
            handle_input(instance, workflow_cancelled{id});
        }
    }
    handle_input(instance, workflows_loaded{});
}

void workflow_world::register_restarted() {
    for (auto& [id, server] : backends_) {
        if (server.up && server.registers_at && now_ >= *server.registers_at) {
            server.registers_at.reset();
            for (const owner_ref& instance : owners_) {
                if (store_reachable(*instance)) {
                    handle_input(instance, backend_registered{server.registration});
                }
            }
        }
    }
}

void workflow_world::tick_owner(const owner_ref& instance) {
    if (instance == owners_.back() && store_reachable(*instance)) {
        // Work and cancellations that it missed while it was partitioned from the store.
        for (const auto& [id, stored] : store_) {
            if (!ended(stored.progress.state)) {
                handle_input(instance, workflow_found{stored.row, stored.progress, false});
                if (stored.cancelled) {
                    handle_input(instance, workflow_cancelled{id});
                }
            }
        }
    }
    handle_input(instance,
                 ownership_extended{instance->lease_until, instance->sends_commands_until});
    handle_input(instance, dispatch_tick{to_ms(now_.time_since_epoch())});
}

void workflow_world::handle_input(const owner_ref& instance, const dispatch_input& input) {
    if (!instance->alive) {
        return;
    }
    for (const dispatch_effect& effect : instance->decisions->handle(input, now_)) {
        std::visit([&](const auto& item) { perform(instance, item); }, effect);
    }
}

void workflow_world::perform(const owner_ref& instance, const send_start& effect) {
    start_message body{effect.run, effect.command, std::string(effect.command.checkpoint)};
    body.command.payload = {};
    body.command.checkpoint = {};
    send(instance, effect.to, std::move(body), {});
}

void workflow_world::perform(const owner_ref& instance, const send_stop& effect) {
    send(instance, effect.to, stop_message{effect.run, effect.command}, {});
}

void workflow_world::perform(const owner_ref& instance, const send_poll& effect) {
    send(instance, effect.to, poll_message{effect.request}, effect.request.max_wait);
}

void workflow_world::perform(const owner_ref& instance, const save_progress& effect) {
    instance->unsaved = effect.rows;
}

void workflow_world::perform(const owner_ref& instance, const fenced_out& /*effect*/) {
    instance->alive = instance == owners_.back();
}

void workflow_world::send(const owner_ref& instance, const backend_address& to, request_body body,
                          duration wait) {
    message item{instance, to.id, std::move(body)};
    item.sent_at = now_;
    item.deliver_at = now_ + step_time;
    item.times_out_at = now_ + wait + command_timeout;
    item.reply_by = now_ + wait;
    item.connected_incarnation = backends_.at(to.id).process_start;
    if (!fault_free_) {
        item.lost = chance(faults_.request_lost);
        item.reply_lost = chance(faults_.reply_lost);
        if (!std::holds_alternative<poll_message>(item.body) && chance(faults_.request_delayed)) {
            item.deliver_at = now_ + seconds(2 + random_below(10));
            item.reply_lost = true;
        }
    }
    messages_.push_back(std::move(item));
}

void workflow_world::deliver_messages() {
    for (const owner_ref& instance : owners_) {
        // An owner retries its write until it is committed; a write of an earlier owner is refused.
        if (instance == owners_.back() && !instance->unsaved.empty() &&
            store_reachable(*instance)) {
            for (const progress_row& row : std::exchange(instance->unsaved, {})) {
                store_.at(row.job).progress = row.progress;
            }
            handle_input(instance, progress_saved{});
        }
    }
    for (std::size_t index = 0; index < messages_.size(); ++index) {
        message item = std::move(messages_[index]);
        const model_backend& server = backends_.at(item.to);
        const bool reachable = server.up && now_ >= server.partitioned_until;
        // A restart of the server closes its connections.
        item.lost = item.lost || item.connected_incarnation != server.process_start;
        if (!item.delivered && now_ >= item.deliver_at && reachable && !item.lost) {
            answer(item);
        }
        if (!item.answered && now_ >= item.times_out_at) {
            item.answered = true;
            time_out(item);
        }
        messages_[index] = std::move(item);
    }
    std::erase_if(messages_, [&](const message& item) {
        const bool too_old = now_ >= item.deliver_at + seconds(20);
        return item.answered && (item.delivered || item.lost || too_old);
    });
}

void workflow_world::answer(message& item) {
    const request_body body = item.body;
    std::visit([&](const auto& content) { answer(item, content); }, body);
}

void workflow_world::answer(message& item, const start_message& body) {
    item.delivered = true;
    // A delayed start, or one from an owner without the latest state, may come after a
    // cancellation.
    constexpr duration on_time_limit = milliseconds(200);
    constexpr duration recovery_time = milliseconds(3000);
    const owner& instance = *item.from;
    sender_up_to_date_ = item.from == owners_.back() && now_ <= item.sent_at + on_time_limit &&
                         now_ >= instance.begun_at + recovery_time &&
                         now_ >= instance.store_partitioned_until + recovery_time &&
                         now_ >= instance.frozen_until + recovery_time;
    const command_result result = start_task(backends_.at(item.to), body.command);
    if (!item.reply_lost && !item.answered) {
        item.answered = true;
        handle_input(item.from, start_answered{body.run, result});
    }
}

void workflow_world::answer(message& item, const stop_message& body) {
    item.delivered = true;
    const command_result result = stop_run(backends_.at(item.to), body.command);
    if (!item.reply_lost && !item.answered) {
        item.answered = true;
        handle_input(item.from, stop_answered{body.run, result});
    }
}

void workflow_world::answer(message& item, const poll_message& body) {
    model_backend& server = backends_.at(item.to);
    if (body.request.token < server.fence) {
        item.delivered = true;
        item.answered = true;
        handle_input(item.from, poll_answered{item.to, command_refused{command_refusal::fenced}});
        return;
    }
    const poll_reply reply = answer_poll(server, body.request);
    if (reply.completions.empty() && now_ < item.reply_by) {
        return;
    }
    item.delivered = true;
    if (!item.reply_lost && !item.answered) {
        item.answered = true;
        handle_input(item.from, poll_answered{item.to, reply});
    }
}

void workflow_world::time_out(message& item) {
    if (const auto* start = std::get_if<start_message>(&item.body)) {
        handle_input(item.from, start_answered{start->run, command_in_doubt{}});
    } else if (const auto* stop = std::get_if<stop_message>(&item.body)) {
        handle_input(item.from, stop_answered{stop->run, command_in_doubt{}});
    } else {
        handle_input(item.from, poll_answered{item.to, command_in_doubt{}});
    }
}

backend_clock_ms workflow_world::clock_of(const model_backend& server) const {
    const double elapsed_ms =
        static_cast<double>(to_ms(now_ - server.process_start)) * server.clock_rate;
    return static_cast<backend_clock_ms>(elapsed_ms);
}

const workflow_step& workflow_world::step_of(const task_key& task) const {
    return store_.at(task.job).row.spec.steps[task.step];
}

command_result workflow_world::start_task(model_backend& server, const start_command& command) {
    if (command.token < server.fence) {
        return command_refused{command_refusal::fenced};
    }
    server.fence = command.token;
    const backend_clock_ms clock = clock_of(server);
    const backend_clock_ms lease =
        std::min<backend_clock_ms>(command.lease_until, clock + to_ms(max_lease));
    for (const model_run& run : server.running) {
        if (run.task == command.task && run.run == command.run) {
            return command_accepted{clock};
        }
    }
    if (lease <= clock) {
        return command_refused{command_refusal::lease_expired};
    }
    server.lease_until = std::max(server.lease_until, lease);
    const auto barred = server.highest_barred_run.find(command.task);
    if (barred != server.highest_barred_run.end() && command.run <= barred->second) {
        return command_refused{command_refusal::superseded_run};
    }
    const workflow_step& step = step_of(command.task);
    resources used;
    for (const model_run& run : server.running) {
        used += run.size;
    }
    if (!(server.registration.capacity - used).holds(step.size)) {
        return command_refused{command_refusal::insufficient_capacity};
    }
    check_start(server, command);
    const bool fails = !fault_free_ && chance(faults_.task_fails);
    const duration time =
        milliseconds(to_ms(step.estimate) / 2 + random_below(1 + to_ms(step.estimate)));
    server.running.push_back({command.task, command.run, now_ + time,
                              fails ? completion_kind::failed : completion_kind::done, step.size});
    return command_accepted{clock};
}

void workflow_world::check_start(const model_backend& server, const start_command& command) {
    const workflow_step& step = step_of(command.task);
    const stored_workflow& stored = store_.at(command.task.job);
    if (acknowledged_done_.contains(command.task)) {
        report_violation("workflow-once",
                         text_of(command.task) +
                             " starts again after its completion was acknowledged");
    }
    resources team_use = step.size;
    std::uint32_t on_server = 1;
    for (const auto& [id, other] : backends_) {
        for (const model_run& run : other.running) {
            team_use += run.size;
            if (other.up && run.task == command.task) {
                report_violation("workflow-once", text_of(command.task) + " runs on " + id.str() +
                                                      " and " + server.registration.id.str());
            }
            on_server += &other == &server && run.task.job == command.task.job &&
                                 run.task.step == command.task.step
                             ? 1
                             : 0;
        }
    }
    if (step.max_per_server != 0 && on_server > step.max_per_server) {
        report_violation("workflow-limits",
                         text_of(command.task) + " exceeds the limit of its server");
    }
    // Allows 10% and one task more, since no dispatcher observes that a run ends when its lease
    // expires.
    if (team_use.millicores > team_limit.millicores + team_limit.millicores / 10 + 4000) {
        report_violation("workflow-limits", "the team has " + std::to_string(team_use.millicores) +
                                                " millicores running");
    }
    if (acknowledged_failures_[command.task] >= attempts) {
        report_violation("workflow-attempts",
                         text_of(command.task) + " starts again after all attempts have failed");
    }
    for (const std::uint32_t earlier : step.after) {
        for (std::uint32_t index = 0; index < stored.row.spec.steps[earlier].tasks; ++index) {
            if (!done_tasks_.contains({command.task.job, 0, earlier, index})) {
                report_violation("workflow-order",
                                 text_of(command.task) + " starts before an earlier step");
            }
        }
    }
    constexpr duration cancel_time = milliseconds(3000);
    if (stored.cancelled && now_ > stored.cancelled_at + cancel_time && sender_up_to_date_) {
        report_violation("workflow-cancel",
                         text_of(command.task) + " starts after it was cancelled");
    }
}

command_result workflow_world::stop_run(model_backend& server, const stop_command& command) {
    if (command.token < server.fence) {
        return command_refused{command_refusal::fenced};
    }
    server.fence = command.token;
    std::uint32_t& barred = server.highest_barred_run[command.task];
    barred = std::max(barred, command.run);
    for (model_run& run : server.running) {
        if (run.task == command.task && run.run == command.run) {
            run.kind = completion_kind::stopped;
            run.ends_at =
                std::min(run.ends_at, now_ + milliseconds(random_below(to_ms(stop_time))));
        }
    }
    return command_accepted{clock_of(server)};
}

poll_reply workflow_world::answer_poll(model_backend& server, const poll_request& request) {
    server.fence = request.token;
    poll_reply reply;
    reply.clock = clock_of(server);
    reply.process_start_unix_ms = to_ms(server.process_start.time_since_epoch());
    if (request.lease_until) {
        server.lease_until = std::max(
            server.lease_until,
            std::min<backend_clock_ms>(*request.lease_until, reply.clock + to_ms(max_lease)));
    }
    for (model_completion& item : server.completions) {
        if (item.completion.number <= request.acknowledged_completion && !item.acknowledged) {
            item.acknowledged = true;
            // A completion does not count when the lease expired before the acknowledgement: the
            // task may have been started elsewhere.
            if (item.completion.kind == completion_kind::done && !item.lease_expired_since) {
                acknowledged_done_.insert(item.completion.task);
            } else if (item.completion.kind == completion_kind::failed) {
                ++acknowledged_failures_[item.completion.task];
            }
        }
    }
    std::erase_if(server.completions,
                  [](const model_completion& item) { return item.acknowledged; });
    for (const model_completion& item : server.completions) {
        reply.completions.push_back(item.completion);
    }
    for (const model_run& run : server.running) {
        reply.running.push_back({run.task, run.run, "", 100, 0});
    }
    return reply;
}

void workflow_world::end_run(model_backend& server, const model_run& run, completion_kind kind) {
    server.completions.push_back(
        {{++server.last_completion, run.task, run.run, kind, ""}, false, false});
    std::uint32_t& barred = server.highest_barred_run[run.task];
    barred = std::max(barred, run.run);
    if (kind == completion_kind::done) {
        done_tasks_.insert(run.task);
    }
}

void workflow_world::advance(model_backend& server) {
    if (!server.up) {
        if (now_ >= server.down_until || fault_free_) {
            // The VM restarts under the same identifier without its earlier state.
            const backend_registration registration = server.registration;
            const double rate = server.clock_rate;
            server = {};
            server.registration = registration;
            server.clock_rate = rate;
            server.process_start = now_;
            server.registration.process_start_unix_ms =
                to_ms(server.process_start.time_since_epoch());
            server.registers_at = now_ + milliseconds(100);
        }
        return;
    }
    if (fault_free_) {
        server.partitioned_until = std::min(server.partitioned_until, now_);
    }
    const bool lapsed = clock_of(server) >= server.lease_until;
    for (model_completion& item : server.completions) {
        item.lease_expired_since = item.lease_expired_since || lapsed;
    }
    const std::vector<model_run> running = std::exchange(server.running, {});
    for (const model_run& run : running) {
        if (now_ >= run.ends_at) {
            end_run(server, run, run.kind);
        } else if (lapsed) {
            end_run(server, run, completion_kind::lapsed);
        } else {
            server.running.push_back(run);
        }
    }
}

void workflow_world::check_final_state() {
    for (const auto& [id, stored] : store_) {
        const bool late = now_ - stored.stored_at > seconds(30);
        if (late && !ended(stored.progress.state)) {
            report_violation("workflow-finishes", id.str() + " has not ended");
        }
        if (stored.progress.state != workflow_state::completed) {
            continue;
        }
        for (std::uint32_t step = 0; step < stored.row.spec.steps.size(); ++step) {
            for (std::uint32_t index = 0; index < stored.row.spec.steps[step].tasks; ++index) {
                if (!done_tasks_.contains({id, 0, step, index})) {
                    report_violation("workflow-truth",
                                     id.str() + " is completed although a task is not done");
                }
            }
        }
    }
}

} // namespace citronford
