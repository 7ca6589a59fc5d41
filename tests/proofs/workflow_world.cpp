#include "proofs/workflow_world.h"

#include "citronford/chart.h"

#include <algorithm>

namespace citronford {
namespace {

constexpr duration step_time = milliseconds(20);
constexpr duration ownership_lease = milliseconds(1600);
constexpr duration grace = milliseconds(3400);
constexpr duration order_timeout = milliseconds(1000);
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
    definition.attempts = attempts;
    definition.stretch = 2;
    definition.objective_slack = milliseconds(600);
    catalog_pool serving{pool, true, false};
    catalog_team owner_team{team, 1000, team_limit, {}};
    catalog_ = std::make_shared<queue_catalog>(1, std::vector{definition}, std::vector{serving},
                                               std::vector{owner_team});
    for (int index = 0; index < 6; ++index) {
        model_backend server;
        server.listing.id = backend_id("i-" + std::to_string(index));
        server.listing.pool = pool;
        server.listing.zone = zone_id("a");
        server.listing.capacity = {16000, 64000, 0};
        server.clock_rate = index % 2 == 0 ? 1.0 : 0.98;
        server.born = now_ - seconds(10 + index);
        server.listing.process_start_unix_ms = to_ms(server.born.time_since_epoch());
        backends_.emplace(server.listing.id, std::move(server));
    }
}

bool workflow_world::chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

std::uint64_t workflow_world::below(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random_);
}

void workflow_world::violate(std::string_view promise, const std::string& detail) {
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
    constexpr int calm_steps = 2000;
    for (int number = 0; number < faulty_steps + calm_steps; ++number) {
        calm_ = number >= faulty_steps;
        step();
    }
    judge_end();
    for (auto& [promise, result] : results_) {
        result.steps = faulty_steps + calm_steps;
    }
    return results_;
}

void workflow_world::step() {
    now_ += step_time;
    if (!calm_) {
        submit_work();
        cancel_work();
        fail_something();
    }
    for (auto& [id, server] : backends_) {
        advance(server);
    }
    follow_ownership();
    register_restarted();
    const std::vector<owner_ref> present = owners_;
    for (const owner_ref& who : present) {
        if (who->alive && now_ >= who->frozen_until) {
            tick_owner(who);
        }
    }
    carry_messages();
    std::erase_if(owners_, [&](const owner_ref& who) {
        return who != owners_.back() && (!who->alive || now_ >= who->acts_until);
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
    const std::uint32_t steps = static_cast<std::uint32_t>(1 + below(3));
    for (std::uint32_t number = 0; number < steps; ++number) {
        workflow_step item;
        item.tasks = static_cast<std::uint32_t>(1 + below(4));
        item.size = {static_cast<std::int64_t>(1000 * (1 + below(4))), 1000, 0};
        item.estimate = milliseconds(100 + below(1500));
        item.max_per_server = chance(0.2) ? 1 : 0;
        if (number > 0) {
            item.after = {number - 1};
        }
        row.spec.steps.push_back(item);
    }
    stored_workflow stored{row, {}, false, {}, now_};
    store_.emplace(row.id, stored);
    for (const owner_ref& who : owners_) {
        if (who == owners_.back() && store_reachable(*who) && now_ < who->lease_until) {
            deliver(who, workflow_found{row, {}, false});
        }
    }
}

void workflow_world::cancel_work() {
    for (auto& [id, stored] : store_) {
        if (!stored.cancelled && chance(faults_.cancelled / 200)) {
            stored.cancelled = true;
            stored.cancelled_at = now_;
            const owner_ref who = owners_.empty() ? nullptr : owners_.back();
            if (who && store_reachable(*who)) {
                deliver(who, workflow_cancelled{id});
            }
        }
    }
}

void workflow_world::fail_something() {
    constexpr double steps_per_second = 50;
    for (auto& [id, server] : backends_) {
        if (server.up && chance(faults_.backend_crash / steps_per_second)) {
            server.up = false;
            server.running.clear();
            server.down_until = now_ + milliseconds(500 + below(6000));
        }
        if (chance(faults_.backend_cut / steps_per_second)) {
            server.cut_until = now_ + milliseconds(500 + below(8000));
        }
    }
    if (owners_.empty()) {
        return;
    }
    owner& who = *owners_.back();
    if (chance(faults_.owner_killed / steps_per_second)) {
        who.alive = false;
    }
    if (chance(faults_.owner_store_cut / steps_per_second)) {
        who.store_cut_until = now_ + milliseconds(500 + below(8000));
    }
    if (chance(faults_.owner_frozen / steps_per_second)) {
        who.frozen_until = now_ + milliseconds(500 + below(6000));
    }
}

bool workflow_world::store_reachable(const owner& who) const {
    return who.alive && now_ >= who.store_cut_until && now_ >= who.frozen_until;
}

void workflow_world::follow_ownership() {
    if (owners_.empty()) {
        begin_owner();
        return;
    }
    owner& who = *owners_.back();
    if (store_reachable(who)) {
        who.lease_until = now_ + ownership_lease;
        who.acts_until = who.lease_until + grace;
    } else if (now_ >= who.lease_until + milliseconds(100)) {
        begin_owner();
    }
    for (const owner_ref& earlier : owners_) {
        // An earlier owner that reaches the store again learns that it is one.
        if (earlier != owners_.back() && store_reachable(*earlier)) {
            earlier->alive = false;
        }
    }
}

void workflow_world::begin_owner() {
    dispatch_options options;
    options.token = owners_.empty() ? 1 : owners_.back()->token + 1;
    options.previous_owner_grace = grace;
    options.max_lease = max_lease;
    options.stop_time = stop_time;
    auto who = std::make_shared<owner>();
    who->decisions = *dispatcher::create(life_cycles(), options, now_);
    who->token = options.token;
    who->begun_at = now_;
    who->lease_until = now_ + ownership_lease;
    who->acts_until = who->lease_until + grace;
    owners_.push_back(who);
    deliver(who, catalog_applied{catalog_});
    deliver(who, authority_extended{who->lease_until, who->acts_until});
    for (const auto& [id, server] : backends_) {
        deliver(who, backend_registered{server.listing});
    }
    deliver(who, backends_loaded{});
    for (const auto& [id, stored] : store_) {
        deliver(who, workflow_found{stored.row, stored.progress, true});
        if (stored.cancelled) {
            deliver(who, workflow_cancelled{id});
        }
    }
    deliver(who, workflows_loaded{});
}

void workflow_world::register_restarted() {
    for (auto& [id, server] : backends_) {
        if (server.up && server.registers_at && now_ >= *server.registers_at) {
            server.registers_at.reset();
            for (const owner_ref& who : owners_) {
                if (store_reachable(*who)) {
                    deliver(who, backend_registered{server.listing});
                }
            }
        }
    }
}

void workflow_world::tick_owner(const owner_ref& who) {
    if (who == owners_.back() && store_reachable(*who)) {
        // New work and cancellations that it missed while it was cut off.
        for (const auto& [id, stored] : store_) {
            if (!ended(stored.progress.state)) {
                deliver(who, workflow_found{stored.row, stored.progress, false});
                if (stored.cancelled) {
                    deliver(who, workflow_cancelled{id});
                }
            }
        }
    }
    deliver(who, authority_extended{who->lease_until, who->acts_until});
    deliver(who, dispatch_tick{to_ms(now_.time_since_epoch())});
}

void workflow_world::deliver(const owner_ref& who, const dispatch_input& input) {
    if (!who->alive) {
        return;
    }
    for (const dispatch_effect& effect : who->decisions->handle(input, now_)) {
        std::visit([&](const auto& item) { perform(who, item); }, effect);
    }
}

void workflow_world::perform(const owner_ref& who, const send_start& effect) {
    start_message body{effect.run, effect.order, std::string(effect.order.checkpoint)};
    body.order.payload = {};
    body.order.checkpoint = {};
    send(who, effect.to, std::move(body), {});
}

void workflow_world::perform(const owner_ref& who, const send_stop& effect) {
    send(who, effect.to, stop_message{effect.run, effect.order}, {});
}

void workflow_world::perform(const owner_ref& who, const send_look& effect) {
    send(who, effect.to, look_message{effect.order}, effect.order.wait);
}

void workflow_world::perform(const owner_ref& who, const save_progress& effect) {
    who->unsaved = effect.rows;
}

void workflow_world::perform(const owner_ref& who, const fenced_out& /*effect*/) {
    who->alive = who == owners_.back();
}

void workflow_world::send(const owner_ref& who, const backend_address& to, message_body body,
                          duration wait) {
    message item{who, to.id, std::move(body)};
    item.sent_at = now_;
    item.deliver_at = now_ + step_time;
    item.give_up_at = now_ + wait + order_timeout;
    item.held_until = now_ + wait;
    item.life = backends_.at(to.id).born;
    if (!calm_) {
        item.lost = chance(faults_.request_lost);
        item.reply_lost = chance(faults_.reply_lost);
        if (!std::holds_alternative<look_message>(item.body) && chance(faults_.request_late)) {
            item.deliver_at = now_ + seconds(2 + below(10));
            item.reply_lost = true;
        }
    }
    messages_.push_back(std::move(item));
}

void workflow_world::carry_messages() {
    for (const owner_ref& who : owners_) {
        // An owner repeats the write until the store takes it, and an earlier one is refused.
        if (who == owners_.back() && !who->unsaved.empty() && store_reachable(*who)) {
            for (const progress_row& row : std::exchange(who->unsaved, {})) {
                store_.at(row.job).progress = row.progress;
            }
            deliver(who, progress_saved{});
        }
    }
    for (std::size_t index = 0; index < messages_.size(); ++index) {
        message item = std::move(messages_[index]);
        const model_backend& server = backends_.at(item.to);
        const bool reachable = server.up && now_ >= server.cut_until;
        // A connection ends with the process of the server.
        item.lost = item.lost || item.life != server.born;
        if (!item.delivered && now_ >= item.deliver_at && reachable && !item.lost) {
            answer(item);
        }
        if (!item.answered && now_ >= item.give_up_at) {
            item.answered = true;
            lose(item);
        }
        messages_[index] = std::move(item);
    }
    std::erase_if(messages_, [&](const message& item) {
        const bool too_old = now_ >= item.deliver_at + seconds(20);
        return item.answered && (item.delivered || item.lost || too_old);
    });
}

void workflow_world::answer(message& item) {
    const message_body body = item.body;
    std::visit([&](const auto& content) { answer(item, content); }, body);
}

void workflow_world::answer(message& item, const start_message& body) {
    item.delivered = true;
    // A late order, or one of an owner that could not know better, may follow a cancellation.
    constexpr duration in_time = milliseconds(200);
    constexpr duration settling = milliseconds(3000);
    const owner& who = *item.from;
    informed_ = item.from == owners_.back() && now_ <= item.sent_at + in_time &&
                now_ >= who.begun_at + settling && now_ >= who.store_cut_until + settling &&
                now_ >= who.frozen_until + settling;
    const order_result result = start_on(backends_.at(item.to), body.order);
    if (!item.reply_lost && !item.answered) {
        item.answered = true;
        deliver(item.from, start_answered{body.run, result});
    }
}

void workflow_world::answer(message& item, const stop_message& body) {
    item.delivered = true;
    const order_result result = stop_on(backends_.at(item.to), body.order);
    if (!item.reply_lost && !item.answered) {
        item.answered = true;
        deliver(item.from, stop_answered{body.run, result});
    }
}

void workflow_world::answer(message& item, const look_message& body) {
    model_backend& server = backends_.at(item.to);
    if (body.order.token < server.fence) {
        item.delivered = true;
        item.answered = true;
        deliver(item.from, look_answered{item.to, order_refused{order_refusal::fenced}});
        return;
    }
    const backend_view view = view_of(server, body.order);
    if (view.ended.empty() && now_ < item.held_until) {
        return;
    }
    item.delivered = true;
    if (!item.reply_lost && !item.answered) {
        item.answered = true;
        deliver(item.from, look_answered{item.to, view});
    }
}

void workflow_world::lose(message& item) {
    if (const auto* start = std::get_if<start_message>(&item.body)) {
        deliver(item.from, start_answered{start->run, order_in_doubt{}});
    } else if (const auto* stop = std::get_if<stop_message>(&item.body)) {
        deliver(item.from, stop_answered{stop->run, order_in_doubt{}});
    } else {
        deliver(item.from, look_answered{item.to, order_in_doubt{}});
    }
}

backend_clock_ms workflow_world::clock_of(const model_backend& server) const {
    const double elapsed_ms = static_cast<double>(to_ms(now_ - server.born)) * server.clock_rate;
    return static_cast<backend_clock_ms>(elapsed_ms);
}

const workflow_step& workflow_world::step_of(const task_key& task) const {
    return store_.at(task.job).row.spec.steps[task.step];
}

order_result workflow_world::start_on(model_backend& server, const run_order& order) {
    if (order.token < server.fence) {
        return order_refused{order_refusal::fenced};
    }
    server.fence = order.token;
    const backend_clock_ms clock = clock_of(server);
    const backend_clock_ms lease =
        std::min<backend_clock_ms>(order.lease_until, clock + to_ms(max_lease));
    for (const model_run& run : server.running) {
        if (run.task == order.task && run.run == order.run) {
            return order_done{clock};
        }
    }
    if (lease <= clock) {
        return order_refused{order_refusal::lease_over};
    }
    server.lease_until = std::max(server.lease_until, lease);
    const auto barred = server.barred_runs.find(order.task);
    if (barred != server.barred_runs.end() && order.run <= barred->second) {
        return order_refused{order_refusal::superseded_run};
    }
    const workflow_step& step = step_of(order.task);
    resources used;
    for (const model_run& run : server.running) {
        used += run.size;
    }
    if (!(server.listing.capacity - used).holds(step.size)) {
        return order_refused{order_refusal::no_room};
    }
    judge_start(server, order);
    const bool fails = !calm_ && chance(faults_.task_fails);
    const duration time = milliseconds(to_ms(step.estimate) / 2 + below(1 + to_ms(step.estimate)));
    server.running.push_back(
        {order.task, order.run, now_ + time, fails ? run_end::failed : run_end::done, step.size});
    return order_done{clock};
}

void workflow_world::judge_start(const model_backend& server, const run_order& order) {
    const workflow_step& step = step_of(order.task);
    const stored_workflow& stored = store_.at(order.task.job);
    if (done_noted_.contains(order.task)) {
        violate("workflow-once", text_of(order.task) + " starts again after its end was noted");
    }
    resources team_use = step.size;
    std::uint32_t on_server = 1;
    for (const auto& [id, other] : backends_) {
        for (const model_run& run : other.running) {
            team_use += run.size;
            if (other.up && run.task == order.task) {
                violate("workflow-once", text_of(order.task) + " runs on " + id.str() + " and " +
                                             server.listing.id.str());
            }
            on_server += &other == &server && run.task.job == order.task.job &&
                                 run.task.step == order.task.step
                             ? 1
                             : 0;
        }
    }
    if (step.max_per_server != 0 && on_server > step.max_per_server) {
        violate("workflow-limits", text_of(order.task) + " exceeds the limit of its server");
    }
    // One task more and a tenth may be running, since a lapsed run ends unseen.
    if (team_use.millicores > team_limit.millicores + team_limit.millicores / 10 + 4000) {
        violate("workflow-limits",
                "the team has " + std::to_string(team_use.millicores) + " millicores running");
    }
    if (failures_noted_[order.task] >= attempts) {
        violate("workflow-attempts", text_of(order.task) + " starts again after all attempts");
    }
    for (const std::uint32_t earlier : step.after) {
        for (std::uint32_t index = 0; index < stored.row.spec.steps[earlier].tasks; ++index) {
            if (!done_.contains({order.task.job, 0, earlier, index})) {
                violate("workflow-order", text_of(order.task) + " starts before an earlier step");
            }
        }
    }
    constexpr duration cancel_time = milliseconds(3000);
    if (stored.cancelled && now_ > stored.cancelled_at + cancel_time && informed_) {
        violate("workflow-cancel", text_of(order.task) + " starts after it was cancelled");
    }
}

order_result workflow_world::stop_on(model_backend& server, const stop_order& order) {
    if (order.token < server.fence) {
        return order_refused{order_refusal::fenced};
    }
    server.fence = order.token;
    std::uint32_t& barred = server.barred_runs[order.task];
    barred = std::max(barred, order.run);
    for (model_run& run : server.running) {
        if (run.task == order.task && run.run == order.run) {
            run.how = run_end::stopped;
            run.ends_at = std::min(run.ends_at, now_ + milliseconds(below(to_ms(stop_time))));
        }
    }
    return order_done{clock_of(server)};
}

backend_view workflow_world::view_of(model_backend& server, const look_order& order) {
    server.fence = order.token;
    backend_view view;
    view.clock = clock_of(server);
    view.born_unix_ms = to_ms(server.born.time_since_epoch());
    if (order.lease_until) {
        server.lease_until = std::max(
            server.lease_until,
            std::min<backend_clock_ms>(*order.lease_until, view.clock + to_ms(max_lease)));
    }
    for (model_end& item : server.ended) {
        if (item.end.number <= order.ends_seen && !item.noted) {
            item.noted = true;
            // An end before a lapse of the lease is void: the task may have been started elsewhere.
            if (item.end.how == run_end::done && !item.before_lapse) {
                done_noted_.insert(item.end.task);
            } else if (item.end.how == run_end::failed) {
                ++failures_noted_[item.end.task];
            }
        }
    }
    std::erase_if(server.ended, [](const model_end& item) { return item.noted; });
    for (const model_end& item : server.ended) {
        view.ended.push_back(item.end);
    }
    for (const model_run& run : server.running) {
        view.running.push_back({run.task, run.run, "", 100, 0});
    }
    return view;
}

void workflow_world::end_run(model_backend& server, const model_run& run, run_end how) {
    server.ended.push_back({{++server.last_end, run.task, run.run, how, ""}, false, false});
    std::uint32_t& barred = server.barred_runs[run.task];
    barred = std::max(barred, run.run);
    if (how == run_end::done) {
        done_.insert(run.task);
    }
}

void workflow_world::advance(model_backend& server) {
    if (!server.up) {
        if (now_ >= server.down_until || calm_) {
            // The VM starts again under the same name and has forgotten everything.
            const backend_registration listing = server.listing;
            const double rate = server.clock_rate;
            server = {};
            server.listing = listing;
            server.clock_rate = rate;
            server.born = now_;
            server.listing.process_start_unix_ms = to_ms(server.born.time_since_epoch());
            server.registers_at = now_ + milliseconds(100);
        }
        return;
    }
    if (calm_) {
        server.cut_until = std::min(server.cut_until, now_);
    }
    const bool lapsed = clock_of(server) >= server.lease_until;
    for (model_end& item : server.ended) {
        item.before_lapse = item.before_lapse || lapsed;
    }
    const std::vector<model_run> running = std::exchange(server.running, {});
    for (const model_run& run : running) {
        if (now_ >= run.ends_at) {
            end_run(server, run, run.how);
        } else if (lapsed) {
            end_run(server, run, run_end::lapsed);
        } else {
            server.running.push_back(run);
        }
    }
}

void workflow_world::judge_end() {
    for (const auto& [id, stored] : store_) {
        const bool late = now_ - stored.stored_at > seconds(30);
        if (late && !ended(stored.progress.state)) {
            violate("workflow-finishes", id.str() + " has not ended");
        }
        if (stored.progress.state != workflow_state::completed) {
            continue;
        }
        for (std::uint32_t step = 0; step < stored.row.spec.steps.size(); ++step) {
            for (std::uint32_t index = 0; index < stored.row.spec.steps[step].tasks; ++index) {
                if (!done_.contains({id, 0, step, index})) {
                    violate("workflow-truth", id.str() + " is shown as completed and is not");
                }
            }
        }
    }
}

} // namespace citronford
