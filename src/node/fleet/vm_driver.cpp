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

/// Between two lists of VMs while a wave or a move is under way, and otherwise.
constexpr duration busy_list_period = milliseconds(400);
constexpr duration calm_list_period = milliseconds(2000);

/// After the ownership began; longer than the leases that the previous owner gave to runs.
constexpr duration new_owner_time = seconds(10);

/// Before a read or write that failed is sent again.
constexpr duration retry_pause = milliseconds(300);

/// A row that is not written after so many tries is written again with the next change.
constexpr int most_tries = 20;

} // namespace

vm_driver::vm_driver(wave_planner waves, capacity_planner capacity, vm_order_origin origin,
                     vm_links links, const vm_order_timing& timing, callbacks on)
    : waves_(std::move(waves)), capacity_(std::move(capacity)), origin_(std::move(origin)),
      links_(links), timing_(timing), on_(std::move(on)) {}

void vm_driver::start() {
    read_records();
    ticks_ = links_.timers.every(tick_period, [this](instant now) { tick(now); });
}

void vm_driver::stop() {
    ticks_.cancel();
    alive_.reset();
}

void vm_driver::read_records() {
    links_.table.scan(
        wave_rows_prefix, 0,
        [this, alive = std::weak_ptr(alive_)](const absl::StatusOr<table_scan>& result) {
            if (alive.expired()) {
                return;
            }
            if (!result.ok()) {
                links_.timers.once(retry_pause, [this, alive](instant) {
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

void vm_driver::order(const wave_order& wave) {
    waves_.order(wave, on_.unix_ms(), links_.timers.now());
}

void vm_driver::withdraw(wave_number wave) {
    waves_.withdraw(wave);
}

void vm_driver::tick(instant now) {
    if (!records_read_) {
        return;
    }
    list_vms(now);
    if (listed_at_ == instant::min()) {
        return;
    }
    const std::vector<backend_load> loads = on_.dispatching().backend_loads();
    const std::vector<vm_id> closed_to_orders = barred(now);
    perform(waves_.plan({vms_, listed_at_, loads, closed_to_orders, on_.may_order()}, now));
    plan_capacity(loads, closed_to_orders, now);
    backends_to_drain closing = waves_.closing();
    closing.now.insert(closing.now.end(), capacity_.closing().begin(), capacity_.closing().end());
    on_.close(closing);
}

/// A VM that an order took away is back at the earliest after `shortest_absence`. One that a list
/// shows as up when the ownership begins had no order for at least that time.
void vm_driver::note_early_vms(instant asked_at) {
    constexpr duration beginning = milliseconds(800);
    if (asked_at >= timing_.owner_since + beginning) {
        return;
    }
    for (const fleet_vm& vm : vms_) {
        if (vm.state == fleet_vm::condition::up) {
            early_vms_.insert(vm.id);
        }
    }
}

std::vector<vm_id> vm_driver::barred(instant now) const {
    std::vector<vm_id> vms;
    if (now >= timing_.owner_since + timing_.interval) {
        return vms;
    }
    const bool early_ones_too =
        now < timing_.owner_since + timing_.interval - timing_.shortest_absence;
    for (const fleet_vm& vm : vms_) {
        if (early_ones_too || !early_vms_.contains(vm.id)) {
            vms.push_back(vm.id);
        }
    }
    return vms;
}

void vm_driver::plan_capacity(std::span<const backend_load> loads, std::span<const vm_id> barred,
                              instant now) {
    const std::vector<pool_workload> demands = on_.dispatching().pool_workloads();
    std::vector<vm_id> taken = waves_.taken();
    taken.insert(taken.end(), barred.begin(), barred.end());
    const capacity_view view{vms_,          listed_at_,          loads, demands,
                             on_.catalog(), on_.removed_zones(), taken, on_.may_order()};
    for (const move_vm& order : capacity_.plan(view, now)) {
        perform(order);
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
                        capacity_.answer(effect.vm, result, links_.timers.now());
                    });
}

void vm_driver::list_vms(instant now) {
    // A new owner learns from the lists which registered servers are gone.
    const bool new_owner = now < timing_.owner_since + new_owner_time;
    const bool busy = new_owner || waves_.active() || capacity_.active();
    const duration period = busy ? busy_list_period : calm_list_period;
    if (listing_ || (list_asked_at_ != instant::min() && now < list_asked_at_ + period)) {
        return;
    }
    listing_ = true;
    list_asked_at_ = now;
    links_.vms.list(
        [this, now, alive = std::weak_ptr(alive_)](absl::StatusOr<std::vector<fleet_vm>> result) {
            if (alive.expired()) {
                return;
            }
            listing_ = false;
            if (result.ok()) {
                take_list(*std::move(result), now);
            } else {
                log_event(log_level::warning, "vm_list_unavailable",
                          {{"reason", message_of(result.status())}});
            }
        });
}

void vm_driver::take_list(std::vector<fleet_vm> vms, instant asked_at) {
    vms_ = std::move(vms);
    listed_at_ = asked_at;
    present_backends present;
    for (const fleet_vm& vm : vms_) {
        if (!vm.backend.view().empty()) {
            present.backends.push_back(vm.backend);
        }
    }
    on_.note_present(present);
    note_early_vms(asked_at);
}

void vm_driver::perform(std::span<const wave_effect> effects) {
    for (const wave_effect& effect : effects) {
        std::visit([this](const auto& item) { perform(item); }, effect);
    }
}

void vm_driver::perform(const maintain_vm& effect) {
    links_.vms.maintain(effect.vm, effect.wave, origin_,
                        [this, effect, alive = std::weak_ptr(alive_)](vm_order_result result) {
                            if (alive.expired()) {
                                return;
                            }
                            log_event(log_level::info, "vm_maintenance_ordered",
                                      {{"vm", effect.vm.view()},
                                       {"wave", effect.wave},
                                       {"result", name_of(result)}});
                            waves_.answer(effect.wave, effect.vm, result, links_.timers.now());
                        });
}

void vm_driver::perform(const save_wave& effect) {
    write({std::string(wave_rows_prefix) + std::to_string(effect.record.number),
           encode_wave(effect.record)},
          most_tries);
}

void vm_driver::perform(const show_wave& effect) {
    log_event(log_level::info, effect.completed ? "wave_completed" : "wave_running",
              {{"wave", effect.wave}});
    write(links_.rows.wave_status(effect.wave, effect.completed), most_tries);
}

void vm_driver::write(const table_write& row, int tries) {
    const std::array writes = {row};
    links_.table.commit({}, writes,
                        [this, row, tries, alive = std::weak_ptr(alive_)](
                            const absl::StatusOr<table_commit>& result) {
                            if (alive.expired() || result.ok()) {
                                return;
                            }
                            if (tries <= 1) {
                                log_event(log_level::error, "row_not_written", {{"key", row.key}});
                                return;
                            }
                            links_.timers.once(retry_pause, [this, row, tries, alive](instant) {
                                if (!alive.expired()) {
                                    write(row, tries - 1);
                                }
                            });
                        });
}

} // namespace citronford
