#include "node/fleet/vm_driver.h"

#include "citronford/result_code.h"
#include "citronford/workflow_rows.h"
#include "io/log.h"
#include "io/workflow_codec.h"

#include <array>
#include <utility>

namespace citronford {
namespace {

constexpr duration tick_period = milliseconds(100);

/// Period of the VM list while a wave or a move is under way or the owner is new, and otherwise.
constexpr duration busy_list_period = milliseconds(400);
constexpr duration idle_list_period = milliseconds(2000);

/// Time for which an owner is new: the lists tell it which servers that do not answer are gone.
constexpr duration new_owner_time = seconds(10);

/// Delay before a failed read or write is repeated.
constexpr duration retry_delay = milliseconds(300);

/// Attempts to write a row; after that it is written with the next change only.
constexpr int max_attempts = 20;

constexpr std::string_view need_metric = "citronford_pool_need_vms";
constexpr std::string_view division_metric = "citronford_pool_division_vms";
constexpr std::array<std::string_view, need_tier_count> tier_names = {"base", "urgent", "on_time",
                                                                      "late", "leftover"};

void publish(const pool_plan& plan, metrics& registry) {
    for (std::size_t tier = 0; tier < need_tier_count; ++tier) {
        const std::array labels = {metric_label{"pool", plan.pool.view()},
                                   metric_label{"tier", tier_names[tier]}};
        registry.set(need_metric, labels, plan.needs[tier]);
    }
    const std::array labels = {metric_label{"pool", plan.pool.view()}};
    registry.set(division_metric, labels, static_cast<double>(plan.division));
}

void log_plan(const pool_plan& plan) {
    const auto need = [&](need_tier tier) {
        return static_cast<std::int64_t>(plan.needs[static_cast<std::size_t>(tier)]);
    };
    log_event(log_level::info, "pool_demand",
              {{"pool", plan.pool.view()},
               {"base", need(need_tier::base)},
               {"urgent", need(need_tier::urgent)},
               {"on_time", need(need_tier::on_time)},
               {"late", need(need_tier::late)},
               {"leftover", need(need_tier::leftover)},
               {"division", plan.division},
               {"present", plan.present},
               {"incoming", plan.incoming},
               {"waiting_cores", static_cast<std::int64_t>(plan.waiting_cores)}});
}

} // namespace

vm_driver::vm_driver(wave_planner waves, capacity_planner capacity, vm_order_origin origin,
                     vm_links links, const vm_order_timing& timing, callbacks on)
    : waves_(std::move(waves)), capacity_(std::move(capacity)), origin_(std::move(origin)),
      links_(links), timing_(timing), on_(std::move(on)) {}

void vm_driver::start() {
    read_records();
    ticked_at_ = links_.timers.now();
    ticks_ = links_.timers.every(tick_period, [this](instant now) { tick(now); });
}

void vm_driver::stop() {
    ticks_.cancel();
    alive_.reset();
    if (links_.registry != nullptr) {
        // Plans of an ownership that is over would look like present ones.
        links_.registry->clear(need_metric);
        links_.registry->clear(division_metric);
    }
}

void vm_driver::read_records() {
    links_.table.scan(
        wave_rows_prefix, 0,
        [this, alive = std::weak_ptr(alive_)](const absl::StatusOr<table_scan>& result) {
            if (alive.expired()) {
                return;
            }
            if (!result.ok()) {
                links_.timers.once(retry_delay, [this, alive](instant) {
                    if (!alive.expired()) {
                        read_records();
                    }
                });
                return;
            }
            for (const table_row& row : result->rows) {
                const auto record = row.value ? decode_wave(*row.value)
                                              : absl::StatusOr<wave_record>(wave_record{});
                if (record.ok()) {
                    waves_.restore(*record, on_.unix_ms(), links_.timers.now());
                } else {
                    log_event(log_level::error, "row_unreadable",
                              {{"key", row.key}, {"reason", message_of(record.status())}});
                }
            }
            records_read_ = true;
        });
}

void vm_driver::set_wave(const wave_order& wave) {
    waves_.set_wave(wave, on_.unix_ms(), links_.timers.now());
}

void vm_driver::withdraw(wave_number wave) {
    waves_.withdraw(wave);
}

void vm_driver::tick(instant now) {
    if (!records_read_) {
        return;
    }
    list_vms(now);
    const duration gap = now - std::exchange(ticked_at_, now);
    pace_.begin_tick(now, gap - tick_period);
    if (listed_at_ == instant::min() || !pace_.due()) {
        return;
    }
    pace_.note_work();
    const std::vector<backend_load> backend_loads = on_.current_dispatcher().backend_loads();
    const fleet_index fleet(vms_, backend_loads);
    const std::vector<vm_id> blocked_now = blocked_vms(now);
    perform(waves_.plan({fleet, listed_at_, blocked_now, on_.may_order()}, now));
    plan_capacity(fleet, blocked_now, now);
    backends_to_drain to_drain = waves_.servers_to_drain();
    to_drain.now.insert(to_drain.now.end(), capacity_.servers_to_drain().begin(),
                        capacity_.servers_to_drain().end());
    on_.drain_backends(to_drain);
}

/// A VM that executes an order is back no earlier than after `shortest_absence`. If a list shows a
/// VM as up when the ownership begins, no order for it was carried out within that time before. A
/// VM that is not up later may execute an order of the previous owner that arrived late.
void vm_driver::update_initially_up_vms(instant requested_at) {
    constexpr duration initial_period = milliseconds(800);
    const bool is_initial = requested_at < timing_.owner_since + initial_period;
    for (const fleet_vm& vm : vms_) {
        if (vm.state != fleet_vm::condition::up) {
            initially_up_vms_.erase(vm.id);
        } else if (is_initial) {
            initially_up_vms_.insert(vm.id);
        }
    }
}

std::vector<vm_id> vm_driver::blocked_vms(instant now) const {
    std::vector<vm_id> vms;
    if (now >= timing_.owner_since + timing_.interval) {
        return vms;
    }
    const bool all_blocked =
        now < timing_.owner_since + timing_.interval - timing_.shortest_absence;
    for (const fleet_vm& vm : vms_) {
        if (all_blocked || !initially_up_vms_.contains(vm.id)) {
            vms.push_back(vm.id);
        }
    }
    return vms;
}

void vm_driver::plan_capacity(const fleet_index& fleet, std::span<const vm_id> blocked,
                              instant now) {
    const std::vector<pool_workload> pool_workloads = on_.current_dispatcher().pool_workloads();
    std::vector<vm_id> excluded = waves_.vms_in_progress();
    excluded.insert(excluded.end(), blocked.begin(), blocked.end());
    const capacity_view view{fleet,          listed_at_,          pool_workloads,
                             on_.catalog(),  on_.removed_zones(), excluded,
                             on_.may_order()};
    for (const move_vm& order : capacity_.plan(view, now)) {
        perform(order);
    }
    report_plans(now);
}

void vm_driver::report_plans(instant now) {
    for (const pool_plan& plan : capacity_.pool_plans()) {
        if (links_.registry != nullptr) {
            publish(plan, *links_.registry);
        }
        if (plan_filter_.is_due(plan, now)) {
            log_plan(plan);
        }
    }
}

void vm_driver::perform(const move_vm& effect) {
    links_.vms.move(effect.vm, effect.target, origin_,
                    [this, effect, alive = std::weak_ptr(alive_)](vm_order_result result) {
                        if (alive.expired()) {
                            return;
                        }
                        log_event(log_level::info, "vm_move_ordered",
                                  {{"vm", effect.vm.view()},
                                   {"target", effect.target.view()},
                                   {"result", name_of(result)}});
                        capacity_.handle_result(effect.vm, result, links_.timers.now());
                    });
}

void vm_driver::list_vms(instant now) {
    // The lists tell a new owner which registered backend servers no longer exist.
    const bool new_owner = now < timing_.owner_since + new_owner_time;
    const bool busy = new_owner || waves_.active() || capacity_.active();
    const duration period = busy ? busy_list_period : idle_list_period;
    if (listing_ || (list_requested_at_ != instant::min() && now < list_requested_at_ + period)) {
        return;
    }
    listing_ = true;
    list_requested_at_ = now;
    links_.vms.list(
        [this, now, alive = std::weak_ptr(alive_)](absl::StatusOr<std::vector<fleet_vm>> result) {
            if (alive.expired()) {
                return;
            }
            listing_ = false;
            if (result.ok()) {
                apply_list(*std::move(result), now);
            } else {
                log_event(log_level::warning, "vm_list_unavailable",
                          {{"reason", message_of(result.status())}});
            }
        });
}

void vm_driver::apply_list(std::vector<fleet_vm> vms, instant requested_at) {
    vms_ = std::move(vms);
    listed_at_ = requested_at;
    present_backends present;
    for (const fleet_vm& vm : vms_) {
        if (!vm.backend.view().empty()) {
            present.backends.push_back({vm.backend, vm.pool, vm.capacity});
        } else if (vm.state != fleet_vm::condition::down) {
            present.without_backend.push_back({vm.pool, vm.zone, vm.capacity});
        }
    }
    on_.note_present(present);
    update_initially_up_vms(requested_at);
}

void vm_driver::perform(std::span<const wave_effect> effects) {
    for (const wave_effect& effect : effects) {
        std::visit([this](const auto& item) { perform(item); }, effect);
    }
}

void vm_driver::perform(const maintain_vm& effect) {
    links_.vms.maintain(
        effect.vm, effect.wave, origin_,
        [this, effect, alive = std::weak_ptr(alive_)](vm_order_result result) {
            if (alive.expired()) {
                return;
            }
            log_event(
                log_level::info, "vm_maintenance_ordered",
                {{"vm", effect.vm.view()}, {"wave", effect.wave}, {"result", name_of(result)}});
            waves_.handle_result(effect.wave, effect.vm, result, links_.timers.now());
        });
}

void vm_driver::perform(const save_wave& effect) {
    write({std::string(wave_rows_prefix) + std::to_string(effect.record.number),
           encode_wave(effect.record)},
          max_attempts);
}

void vm_driver::perform(const publish_wave_status& effect) {
    log_event(log_level::info, effect.completed ? "wave_completed" : "wave_running",
              {{"wave", effect.wave}});
    write(links_.rows.wave_status_write(effect.wave, effect.completed), max_attempts);
}

void vm_driver::write(const table_write& row, int attempts_left) {
    const std::array writes = {row};
    links_.table.commit(
        {}, writes,
        [this, row, attempts_left,
         alive = std::weak_ptr(alive_)](const absl::StatusOr<table_commit>& result) {
            if (alive.expired() || result.ok()) {
                return;
            }
            const bool rejected = code_of(result.status()) == result_code::write_rejected;
            if (rejected || attempts_left <= 1) {
                log_event(log_level::error, "row_not_written",
                          {{"key", row.key}, {"reason", message_of(result.status())}});
                return;
            }
            links_.timers.once(retry_delay, [this, row, attempts_left, alive](instant) {
                if (!alive.expired()) {
                    write(row, attempts_left - 1);
                }
            });
        });
}

} // namespace citronford
