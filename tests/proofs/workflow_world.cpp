#include "proofs/workflow_world.h"

#include "citronford/chart.h"

#include <algorithm>
#include <iostream>

namespace citronford {
namespace {

constexpr double steps_per_second = 50;
const pool_id pool("pool");
const queue_id queue("queue");
const team_id team("team");

chart loaded(std::string_view name) {
    return *chart::load(std::string(CITRONFORD_CHARTS) + "/" + std::string(name) + ".scxml");
}

dispatcher::charts life_cycles() {
    static const chart workflow = loaded("workflow");
    static const chart task_run = loaded("task_run");
    static const chart contact = loaded("backend_contact");
    return {workflow, task_run, contact};
}

} // namespace

workflow_world::workflow_world(std::uint64_t seed, workflow_faults faults)
    : random_(seed * 7919 + 1), faults_(faults),
      call_timeout_(chance(0.5) ? milliseconds(300) : milliseconds(1000)) {
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
        server.clock_at_start = static_cast<backend_clock_ms>(random_below(longest_clock_ms));
        server.registration.process_start_unix_ms = to_ms(server.process_start.time_since_epoch());
        server.stored = server.registration;
        backends_.emplace(server.registration.id, std::move(server));
    }
}

void workflow_world::print(std::string_view event, const backend_id& server,
                           std::string_view detail) const {
    std::cout << to_ms(now_.time_since_epoch()) << ' ' << event << ' ' << server.str() << ' '
              << detail << '\n';
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
    trace("violation", {}, [&] { return std::string(promise) + ": " + detail; });
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

void workflow_world::inject_backend_faults() {
    const auto short_time = [this] { return milliseconds(100 + random_below(900)); };
    const bool restart_together = chance(faults_.backends_restart_together / steps_per_second);
    const duration down_together = short_time();
    if (restart_together && chance(0.4)) {
        owner_fault_at_ = now_ + milliseconds(random_below(3000));
    }
    for (auto& [id, server] : backends_) {
        if (server.up && chance(faults_.backend_crash / steps_per_second)) {
            crash(server, milliseconds(500 + random_below(6000)));
        }
        if (server.up && chance(faults_.backend_restart / steps_per_second)) {
            crash(server, short_time());
        }
        if (server.up && restart_together && chance(0.5)) {
            crash(server, down_together);
            if (chance(0.5)) {
                server.partitioned_at =
                    now_ + down_together + milliseconds(random_below(chance(0.5) ? 300 : 3000));
            }
        }
        const bool soon_after_restart = server.partitioned_at && now_ >= *server.partitioned_at;
        if (soon_after_restart) {
            server.partitioned_at.reset();
            server.partitioned_until = now_ + milliseconds(3000 + random_below(9000));
        } else if (chance(faults_.backend_partitioned / steps_per_second)) {
            server.partitioned_until = now_ + milliseconds(500 + random_below(8000));
        } else {
            continue;
        }
        trace("cut off", id, [&] { return "until " + time_text(server.partitioned_until); });
    }
}

void workflow_world::inject_faults() {
    inject_backend_faults();
    if (owners_.empty()) {
        return;
    }
    owner& instance = *owners_.back();
    const bool fault_due = owner_fault_at_ && now_ >= *owner_fault_at_;
    enum class fault : std::uint8_t { none, kill, store_partition, freeze };
    constexpr std::uint64_t fault_kinds = 3;
    const fault due = fault_due ? static_cast<fault>(1 + random_below(fault_kinds)) : fault::none;
    if (fault_due) {
        owner_fault_at_.reset();
    }
    if (due == fault::kill || chance(faults_.owner_killed / steps_per_second)) {
        instance.alive = false;
        trace("owner killed", {}, [&] { return std::to_string(instance.token); });
    }
    if (due == fault::store_partition ||
        chance(faults_.owner_store_partitioned / steps_per_second)) {
        instance.store_partitioned_until = now_ + milliseconds(500 + random_below(8000));
        trace("owner cut off from the store", {}, [&] { return std::to_string(instance.token); });
    }
    if (due == fault::freeze || chance(faults_.owner_frozen / steps_per_second)) {
        instance.frozen_until = now_ + milliseconds(500 + random_below(6000));
        trace("owner frozen", {}, [&] { return std::to_string(instance.token); });
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
    options.command_timeout = call_timeout_;
    options.stop_time = stop_time;
    auto instance = std::make_shared<owner>();
    instance->decisions = *dispatcher::create(life_cycles(), options, now_);
    instance->token = options.token;
    instance->begun_at = now_;
    instance->lease_until = now_ + ownership_lease;
    instance->sends_commands_until = instance->lease_until + command_grace;
    owners_.push_back(instance);
    trace("owner begins", {}, [&] { return std::to_string(instance->token); });
    handle_input(instance, catalog_applied{catalog_});
    handle_input(instance,
                 ownership_extended{instance->lease_until, instance->sends_commands_until});
    for (const auto& [id, server] : backends_) {
        handle_input(instance, backend_registered{server.stored});
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
            server.stored = server.registration;
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

void workflow_world::perform(const owner_ref& instance, const save_progress& effect) {
    instance->unsaved = effect.rows;
}

void workflow_world::perform(const owner_ref& instance, const fenced_out& /*effect*/) {
    instance->alive = instance == owners_.back();
}

void workflow_world::perform(const owner_ref& instance, const log_decision& effect) {
    trace("log of " + std::to_string(instance->token), effect.backend,
          [&] { return std::string(effect.event) + ' ' + effect.job.str() + ' ' + effect.detail; });
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
