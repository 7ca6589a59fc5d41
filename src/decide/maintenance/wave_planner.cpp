#include "citronford/wave_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace citronford {
namespace {

/// Before an order that was not answered is repeated.
constexpr duration repeat_pause = milliseconds(700);

/// A pool in use above this share keeps its VMs while there is time.
constexpr double busy_share = 0.5;

/// Servers of one pool that are closed at once while there is time.
constexpr double most_closed = 0.34;

const backend_load* find_load(std::span<const backend_load> loads, const backend_id& id) {
    const auto found = std::ranges::find(loads, id, &backend_load::backend);
    return found == loads.end() ? nullptr : &*found;
}

} // namespace

absl::StatusOr<wave_planner> wave_planner::create(const chart& life_cycle, wave_options options) {
    auto cycle = vm_order_cycle::create(life_cycle);
    if (!cycle.ok()) {
        return cycle.status();
    }
    return wave_planner(*std::move(cycle), options);
}

void wave_planner::order(const wave_order& wave, std::int64_t unix_ms, instant now) {
    const auto [place, added] = waves_.try_emplace(wave.number);
    wave_state& state = place->second;
    if (!added && state.order == wave) {
        return;
    }
    state.order = wave;
    if (added) {
        state.begun_at = now;
        state.begun_unix_ms = unix_ms;
        state.changed = true;
    }
    for (const vm_id& vm : wave.vms) {
        if (std::ranges::find(state.members, vm, &vm_under_order::vm) == state.members.end()) {
            state.members.push_back(cycle_.begin(vm, now));
        }
    }
    std::erase_if(state.members, [&](const vm_under_order& item) {
        return cycle_.is(item, "waiting") && std::ranges::find(wave.vms, item.vm) == wave.vms.end();
    });
    const auto stored = restored_.find(wave.number);
    if (stored != restored_.end()) {
        const wave_record record = stored->second;
        restored_.erase(stored);
        restore(record, unix_ms, now);
    }
}

void wave_planner::withdraw(wave_number wave) {
    waves_.erase(wave);
}

void wave_planner::restore(const wave_record& record, std::int64_t unix_ms, instant now) {
    const auto found = waves_.find(record.number);
    if (found == waves_.end()) {
        restored_[record.number] = record;
        return;
    }
    wave_state& state = found->second;
    const std::int64_t age_ms = std::max<std::int64_t>(0, unix_ms - record.begun_unix_ms);
    state.begun_unix_ms = record.begun_unix_ms;
    state.begun_at = now - milliseconds(age_ms);
    for (vm_under_order& item : state.members) {
        if (std::ranges::find(record.maintained, item.vm) != record.maintained.end()) {
            cycle_.finish(item);
        }
    }
}

void wave_planner::step(const wave_state& wave, vm_under_order& item, const vm_order_event& event,
                        instant now, std::vector<wave_effect>& effects) const {
    if (cycle_.step(item, event, now)) {
        effects.emplace_back(maintain_vm{wave.order.number, item.vm});
    }
}

void wave_planner::answer(wave_number wave, const vm_id& vm, vm_order_result result, instant now) {
    const auto found = waves_.find(wave);
    if (found == waves_.end()) {
        return;
    }
    wave_state& state = found->second;
    const auto item = std::ranges::find(state.members, vm, &vm_under_order::vm);
    if (item != state.members.end()) {
        cycle_.step(*item, event_of(result), now);
        state.changed = state.changed || result == vm_order_result::carried_out;
    }
}

bool wave_planner::short_of_time(const wave_state& wave, const wave_view& view, instant now) const {
    std::ptrdiff_t open = 0;
    std::size_t most_tasks = 0;
    for (const vm_under_order& item : wave.members) {
        if (cycle_.closed(item)) {
            continue;
        }
        ++open;
        const fleet_vm* vm = find_vm(view.vms, item.vm);
        const backend_load* load = vm == nullptr ? nullptr : find_load(view.loads, vm->backend);
        most_tasks = std::max(most_tasks, load == nullptr ? 0 : load->long_running);
    }
    const auto at_once = static_cast<std::ptrdiff_t>(std::max(1U, wave.order.most_at_once));
    const std::ptrdiff_t rounds = (open + at_once - 1) / at_once;
    const duration round = options_.maintenance_time + options_.longest_task;
    // A round more than it takes, since servers do not become empty all at once. Long-running tasks
    // of one step leave a server one after the other.
    const duration needed =
        round * (rounds + 1) + options_.task_move * static_cast<std::int64_t>(most_tasks);
    return now + needed >= wave.begun_at + wave.order.time;
}

std::vector<wave_effect> wave_planner::plan(const wave_view& view, instant now) {
    std::vector<wave_effect> effects;
    for (auto& [number, wave] : waves_) {
        follow(wave, view, now, effects);
        choose(wave, view, now, effects);
        report(wave, effects);
    }
    list_closing(view);
    return effects;
}

void wave_planner::follow(wave_state& wave, const wave_view& view, instant now,
                          std::vector<wave_effect>& effects) const {
    const bool hurry = short_of_time(wave, view, now);
    for (vm_under_order& item : wave.members) {
        if (cycle_.closed(item)) {
            continue;
        }
        const fleet_vm* vm = find_vm(view.vms, item.vm);
        if (vm == nullptr) {
            if (view.listed_at > item.since) {
                step(wave, item, vm_absent{}, now, effects);
            }
            continue;
        }
        // The VM is back once a list that was asked for after its time shows it.
        if (cycle_.is(item, "away") && vm->state == fleet_vm::condition::up &&
            view.listed_at >= item.since + options_.maintenance_time) {
            step(wave, item, vm_back{}, now, effects);
            continue;
        }
        if (cycle_.is(item, "doubtful") && view.may_order && now >= item.since + repeat_pause) {
            step(wave, item, vm_repeat_due{}, now, effects);
            continue;
        }
        if (!cycle_.is(item, "closing") || !view.may_order) {
            continue;
        }
        const backend_load* load = find_load(view.loads, vm->backend);
        const bool empty = vm->backend.empty() || (load != nullptr && load->runs == 0);
        // Short tasks are worth less than the time of the wave; long-running ones are not.
        const bool forced = hurry && now >= item.since + options_.longest_task && load != nullptr &&
                            load->long_running == 0;
        const auto down = std::ranges::count_if(wave.members, [this](const vm_under_order& other) {
            return cycle_.may_be_away(other);
        });
        if ((empty || forced) && vm->state == fleet_vm::condition::up &&
            down < static_cast<std::ptrdiff_t>(wave.order.most_at_once)) {
            step(wave, item, vm_clear{}, now, effects);
        }
    }
}

void wave_planner::choose(wave_state& wave, const wave_view& view, instant now,
                          std::vector<wave_effect>& effects) const {
    std::map<pool_id, pool_use> pools;
    for (const backend_load& load : view.loads) {
        pool_use& use = pools[load.pool];
        use.capacity += load.capacity.millicores;
        use.used += load.used.millicores;
        ++use.servers;
    }
    std::size_t taken = 0;
    for (const vm_under_order& item : wave.members) {
        if (cycle_.is(item, "closing") || cycle_.may_be_away(item)) {
            ++taken;
            const fleet_vm* vm = find_vm(view.vms, item.vm);
            if (vm != nullptr) {
                ++pools[vm->pool].closed;
            }
        }
    }
    struct option {
        vm_under_order* item = nullptr;
        const fleet_vm* vm = nullptr;
        double use = 0;
        std::size_t runs = 0;
        std::size_t long_running = 0;

        /// VMs that take long to become empty come first while their pools are not busy.
        [[nodiscard]] auto key() const {
            return std::tuple(use > busy_share, -static_cast<std::int64_t>(long_running), use,
                              runs);
        }
    };
    std::vector<option> options;
    for (vm_under_order& item : wave.members) {
        const fleet_vm* vm = find_vm(view.vms, item.vm);
        const bool barred = std::ranges::find(view.barred, item.vm) != view.barred.end();
        if (!cycle_.is(item, "waiting") || vm == nullptr || barred ||
            vm->state != fleet_vm::condition::up) {
            continue;
        }
        const pool_use& use = pools[vm->pool];
        const backend_load* load = find_load(view.loads, vm->backend);
        const double share =
            use.capacity == 0 ? 0.0
                              : static_cast<double>(use.used) / static_cast<double>(use.capacity);
        options.push_back({&item, vm, share, load == nullptr ? 0 : load->runs,
                           load == nullptr ? 0 : load->long_running});
    }
    std::ranges::stable_sort(options, {}, &option::key);
    const bool hurry = short_of_time(wave, view, now);
    for (const option& item : options) {
        if (taken >= wave.order.most_at_once) {
            return;
        }
        pool_use& use = pools[item.vm->pool];
        const double closed_share = use.servers == 0
                                        ? 0.0
                                        : static_cast<double>(use.closed + 1) /
                                              static_cast<double>(use.servers + use.closed);
        // Also a small pool lets one of its VMs be maintained at a time.
        const bool crowded = use.closed > 0 && closed_share > most_closed;
        const bool spared = item.use > busy_share || crowded;
        if (spared && !hurry && !item.vm->backend.empty()) {
            continue;
        }
        step(wave, *item.item, vm_chosen{}, now, effects);
        ++taken;
        ++use.closed;
    }
}

void wave_planner::report(wave_state& wave, std::vector<wave_effect>& effects) const {
    const bool completed = std::ranges::all_of(
        wave.members, [this](const vm_under_order& item) { return cycle_.closed(item); });
    if (!wave.shown_running) {
        wave.shown_running = true;
        effects.emplace_back(show_wave{wave.order.number, false});
    }
    if (completed && !wave.shown_completed) {
        wave.shown_completed = true;
        effects.emplace_back(show_wave{wave.order.number, true});
    }
    if (std::exchange(wave.changed, false)) {
        wave_record record{wave.order.number, wave.begun_unix_ms, {}};
        for (const vm_under_order& item : wave.members) {
            if (cycle_.is(item, "away") || cycle_.is(item, "finished")) {
                record.maintained.push_back(item.vm);
            }
        }
        effects.emplace_back(save_wave{std::move(record)});
    }
}

void wave_planner::list_closing(const wave_view& view) {
    closing_ = {};
    for (const auto& [number, wave] : waves_) {
        for (const vm_under_order& item : wave.members) {
            const fleet_vm* vm = find_vm(view.vms, item.vm);
            if (vm == nullptr || vm->backend.empty()) {
                continue;
            }
            if (cycle_.is(item, "closing") || cycle_.is(item, "ordered") ||
                cycle_.is(item, "doubtful")) {
                closing_.now.push_back(vm->backend);
            } else if (cycle_.is(item, "waiting")) {
                closing_.later.push_back(vm->backend);
            }
        }
    }
}

bool wave_planner::active() const {
    return std::ranges::any_of(waves_,
                               [](const auto& item) { return !item.second.shown_completed; });
}

std::vector<vm_id> wave_planner::taken() const {
    std::vector<vm_id> vms;
    for (const auto& [number, wave] : waves_) {
        for (const vm_under_order& item : wave.members) {
            if (cycle_.is(item, "closing") || cycle_.may_be_away(item)) {
                vms.push_back(item.vm);
            }
        }
    }
    return vms;
}

} // namespace citronford
