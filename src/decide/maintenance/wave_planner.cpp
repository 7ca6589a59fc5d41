#include "citronford/wave_planner.h"

#include <algorithm>
#include <tuple>
#include <unordered_set>
#include <utility>

namespace citronford {
namespace {

/// Delay before an order that was not answered is sent again.
constexpr duration retry_delay = milliseconds(700);

/// While a wave has time, it takes no VM from a pool whose utilisation is above this share.
constexpr double busy_threshold = 0.5;

/// While a wave has time, it drains at most this share of the servers of a pool at once.
constexpr double max_draining_share = 0.34;

} // namespace

absl::StatusOr<wave_planner> wave_planner::create(const chart& life_cycle, wave_options options) {
    auto cycle = vm_order_cycle::create(life_cycle);
    if (!cycle.ok()) {
        return cycle.status();
    }
    return wave_planner(*std::move(cycle), options);
}

void wave_planner::set_wave(const wave_order& wave, std::int64_t unix_ms, instant now) {
    const auto [place, added] = waves_.try_emplace(wave.number);
    wave_state& state = place->second;
    if (!added && state.order == wave) {
        return;
    }
    state.order = wave;
    if (added) {
        state.begun_at = now;
        state.begun_unix_ms = unix_ms;
        state.unsaved = true;
    }
    for (const vm_id& vm : wave.vms) {
        if (std::ranges::find(state.members, vm, &vm_order_entry::vm) == state.members.end()) {
            state.members.push_back(cycle_.begin(vm, now));
        }
    }
    std::erase_if(state.members, [&](const vm_order_entry& entry) {
        return cycle_.in_state(entry, "waiting") &&
               std::ranges::find(wave.vms, entry.vm) == wave.vms.end();
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
    for (vm_order_entry& entry : state.members) {
        if (std::ranges::find(record.maintained, entry.vm) != record.maintained.end()) {
            cycle_.mark_finished(entry);
        }
    }
}

void wave_planner::step(const wave_state& wave, vm_order_entry& entry, const vm_order_event& event,
                        instant now, std::vector<wave_effect>& effects) const {
    if (cycle_.step(entry, event, now)) {
        effects.emplace_back(maintain_vm{wave.order.number, entry.vm});
    }
}

void wave_planner::handle_result(wave_number wave, const vm_id& vm, vm_order_result result,
                                 instant now) {
    const auto found = waves_.find(wave);
    if (found == waves_.end()) {
        return;
    }
    wave_state& state = found->second;
    const auto entry = std::ranges::find(state.members, vm, &vm_order_entry::vm);
    if (entry != state.members.end()) {
        cycle_.step(*entry, event_of(result), now);
        state.unsaved = state.unsaved || result == vm_order_result::carried_out;
    }
}

bool wave_planner::is_short_of_time(const wave_state& wave, const wave_view& view,
                                    instant now) const {
    std::ptrdiff_t open = 0;
    std::size_t max_long_running = 0;
    for (const vm_order_entry& entry : wave.members) {
        if (cycle_.has_ended(entry)) {
            continue;
        }
        ++open;
        const fleet_vm* vm = view.fleet.vm(entry.vm);
        const backend_load* load = vm == nullptr ? nullptr : view.fleet.load(vm->backend);
        max_long_running = std::max(max_long_running, load == nullptr ? 0 : load->long_running);
    }
    const auto concurrent = static_cast<std::ptrdiff_t>(std::max(1U, wave.order.max_concurrent));
    const std::ptrdiff_t rounds = (open + concurrent - 1) / concurrent;
    const duration round = options_.maintenance_time + options_.drain_time;
    // One round is added, since servers do not all become empty at the same time. Long-running
    // tasks of one step leave a server one after the other.
    const duration needed = round * (rounds + 1) +
                            options_.task_move_time * static_cast<std::int64_t>(max_long_running);
    return now + needed >= wave.begun_at + wave.order.time_limit;
}

std::vector<wave_effect> wave_planner::plan(const wave_view& view, instant now) {
    std::vector<wave_effect> effects;
    for (auto& [number, wave] : waves_) {
        advance_orders(wave, view, now, effects);
        choose_vms(wave, view, now, effects);
        publish_and_save(wave, effects);
    }
    update_servers_to_drain(view);
    return effects;
}

void wave_planner::advance_orders(wave_state& wave, const wave_view& view, instant now,
                                  std::vector<wave_effect>& effects) const {
    const bool is_urgent = is_short_of_time(wave, view, now);
    for (vm_order_entry& entry : wave.members) {
        if (cycle_.has_ended(entry)) {
            continue;
        }
        const fleet_vm* vm = view.fleet.vm(entry.vm);
        if (vm == nullptr) {
            if (view.listed_at > entry.recorded_at) {
                step(wave, entry, vm_absent{}, now, effects);
            }
            continue;
        }
        // A list shows that the VM is back if it was requested after the maintenance time.
        if (cycle_.in_state(entry, "executing") && vm->state == fleet_vm::condition::up &&
            view.listed_at >= entry.recorded_at + options_.maintenance_time) {
            step(wave, entry, vm_returned{}, now, effects);
            continue;
        }
        if (cycle_.in_state(entry, "in_doubt") && view.may_order &&
            now >= entry.recorded_at + retry_delay) {
            step(wave, entry, vm_order_retry_due{}, now, effects);
            continue;
        }
        if (!cycle_.in_state(entry, "closing") || !view.may_order) {
            continue;
        }
        const backend_load* load = view.fleet.load(vm->backend);
        const bool empty = vm->backend.empty() || (load != nullptr && load->runs == 0);
        // Keeping the time limit of the wave is worth ending short tasks, but not long-running
        // ones.
        const bool forced = is_urgent && now >= entry.recorded_at + options_.drain_time &&
                            load != nullptr && load->long_running == 0;
        if ((empty || forced) && vm->state == fleet_vm::condition::up &&
            count_unavailable(wave, view) <
                static_cast<std::ptrdiff_t>(wave.order.max_concurrent)) {
            step(wave, entry, vm_order_due{}, now, effects);
        }
    }
}

bool wave_planner::may_be_down(const vm_order_entry& entry, const wave_view& view) const {
    if (cycle_.may_be_unavailable(entry)) {
        return true;
    }
    // The record of an earlier owner does not tell whether its VMs are back.
    const fleet_vm* vm = view.fleet.vm(entry.vm);
    return vm != nullptr && vm->state == fleet_vm::condition::in_maintenance;
}

std::ptrdiff_t wave_planner::count_unavailable(const wave_state& wave,
                                               const wave_view& view) const {
    return std::ranges::count_if(
        wave.members, [&](const vm_order_entry& entry) { return may_be_down(entry, view); });
}

void wave_planner::choose_vms(wave_state& wave, const wave_view& view, instant now,
                              std::vector<wave_effect>& effects) const {
    std::map<pool_id, pool_use> pools;
    for (const backend_load& load : view.fleet.loads()) {
        pool_use& use = pools[load.pool];
        use.capacity += load.capacity.millicores;
        use.used += load.used.millicores;
        ++use.servers;
    }
    std::size_t in_progress = 0;
    for (const vm_order_entry& entry : wave.members) {
        if (cycle_.in_state(entry, "closing") || may_be_down(entry, view)) {
            ++in_progress;
            const fleet_vm* vm = view.fleet.vm(entry.vm);
            if (vm != nullptr) {
                ++pools[vm->pool].draining;
            }
        }
    }
    struct candidate {
        vm_order_entry* entry = nullptr;
        const fleet_vm* vm = nullptr;
        double use = 0;
        std::size_t runs = 0;
        std::size_t long_running = 0;

        /// VMs of pools that are not busy come first, and among them those with long-running tasks,
        /// which take long to become empty.
        [[nodiscard]] auto key() const {
            return std::tuple(use > busy_threshold, -static_cast<std::int64_t>(long_running), use,
                              runs);
        }
    };
    const std::unordered_set<vm_id> blocked(view.blocked.begin(), view.blocked.end());
    std::vector<candidate> candidates;
    for (vm_order_entry& entry : wave.members) {
        const fleet_vm* vm = view.fleet.vm(entry.vm);
        if (!cycle_.in_state(entry, "waiting") || vm == nullptr || blocked.contains(entry.vm) ||
            vm->state != fleet_vm::condition::up) {
            continue;
        }
        const pool_use& use = pools[vm->pool];
        const backend_load* load = view.fleet.load(vm->backend);
        const double share =
            use.capacity == 0 ? 0.0
                              : static_cast<double>(use.used) / static_cast<double>(use.capacity);
        candidates.push_back({&entry, vm, share, load == nullptr ? 0 : load->runs,
                              load == nullptr ? 0 : load->long_running});
    }
    std::ranges::stable_sort(candidates, {}, &candidate::key);
    const bool is_urgent = is_short_of_time(wave, view, now);
    for (const candidate& next : candidates) {
        if (in_progress >= wave.order.max_concurrent) {
            return;
        }
        pool_use& use = pools[next.vm->pool];
        const double draining_share = use.servers == 0
                                          ? 0.0
                                          : static_cast<double>(use.draining + 1) /
                                                static_cast<double>(use.servers + use.draining);
        // One VM of a pool may always be drained, however small the pool is.
        const bool too_many_draining = use.draining > 0 && draining_share > max_draining_share;
        const bool deferrable = next.use > busy_threshold || too_many_draining;
        if (deferrable && !is_urgent && !next.vm->backend.empty()) {
            continue;
        }
        step(wave, *next.entry, vm_chosen{}, now, effects);
        ++in_progress;
        ++use.draining;
    }
}

void wave_planner::publish_and_save(wave_state& wave, std::vector<wave_effect>& effects) const {
    const bool completed = std::ranges::all_of(
        wave.members, [this](const vm_order_entry& entry) { return cycle_.has_ended(entry); });
    // The table may carry out two writes of a row that are under way at once in either order, so a
    // wave that an earlier owner completed is not shown as running before.
    if (!wave.published_running && !completed) {
        wave.published_running = true;
        effects.emplace_back(publish_wave_status{wave.order.number, false});
    }
    if (completed && !wave.published_completed) {
        wave.published_running = true;
        wave.published_completed = true;
        effects.emplace_back(publish_wave_status{wave.order.number, true});
    }
    if (std::exchange(wave.unsaved, false)) {
        wave_record record{wave.order.number, wave.begun_unix_ms, {}};
        for (const vm_order_entry& entry : wave.members) {
            if (cycle_.in_state(entry, "executing") || cycle_.in_state(entry, "finished")) {
                record.maintained.push_back(entry.vm);
            }
        }
        effects.emplace_back(save_wave{std::move(record)});
    }
}

void wave_planner::update_servers_to_drain(const wave_view& view) {
    servers_to_drain_ = {};
    for (const auto& [number, wave] : waves_) {
        for (const vm_order_entry& entry : wave.members) {
            const fleet_vm* vm = view.fleet.vm(entry.vm);
            if (vm == nullptr || vm->backend.empty()) {
                continue;
            }
            if (cycle_.in_state(entry, "closing") || cycle_.in_state(entry, "order_sent") ||
                cycle_.in_state(entry, "in_doubt")) {
                servers_to_drain_.now.push_back(vm->backend);
            } else if (cycle_.in_state(entry, "waiting")) {
                servers_to_drain_.later.push_back(vm->backend);
            }
        }
    }
}

bool wave_planner::active() const {
    return std::ranges::any_of(waves_,
                               [](const auto& item) { return !item.second.published_completed; });
}

std::vector<vm_id> wave_planner::vms_in_progress() const {
    std::vector<vm_id> vms;
    for (const auto& [number, wave] : waves_) {
        for (const vm_order_entry& entry : wave.members) {
            if (cycle_.in_state(entry, "closing") || cycle_.may_be_unavailable(entry)) {
                vms.push_back(entry.vm);
            }
        }
    }
    return vms;
}

} // namespace citronford
