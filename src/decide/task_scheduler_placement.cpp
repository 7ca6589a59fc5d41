#include "decide/task_scheduler_state.h"

namespace citronford {

resources task_scheduler::implementation::expected_size(const job_entry& entry) const {
    resources size = entry.row.job.size;
    const auto found = usage_ratio_.find(entry.row.job.team);
    if (found == usage_ratio_.end()) {
        return size;
    }
    const std::int64_t most_millicores = std::max(size.millicores, largest_.millicores / 2);
    const std::int64_t most_memory = std::max(size.memory_mb, largest_.memory_mb / 2);
    size.millicores = std::min(scaled(size.millicores, found->second.processors), most_millicores);
    size.memory_mb = std::min(scaled(size.memory_mb, found->second.memory), most_memory);
    return size;
}

void task_scheduler::implementation::learn_usage(const job_entry& entry, const resources& usage) {
    constexpr double weight = 0.05;
    const resources& declared = entry.row.job.size;
    auto& ratio = usage_ratio_[entry.row.job.team];
    const auto blend = [&](double& mean, std::int64_t used, std::int64_t size) {
        if (size > 0) {
            const double seen = static_cast<double>(used) / static_cast<double>(size);
            mean +=
                weight * (std::clamp(seen, 1 / largest_misjudgement, largest_misjudgement) - mean);
        }
    };
    blend(ratio.processors, usage.millicores, declared.millicores);
    blend(ratio.memory, usage.memory_mb, declared.memory_mb);
}

void task_scheduler::implementation::charge(job_entry& entry, const resources& wanted,
                                            const resources& used) {
    worker_entry& worker = workers_[*entry.worker];
    const team_id& team = entry.row.job.team;
    if (entry.charged) {
        worker.used -= entry.charge;
        ledger_.remove(team, entry.use, entry.charged_percent);
    }
    entry.charge = wanted;
    entry.use = used;
    entry.charged = true;
    worker.used += wanted;
    entry.charged_percent = entry.percent;
    ledger_.add(team, used, entry.percent);
    update_offer(*entry.worker);
}

void task_scheduler::implementation::note_usage(job_entry& entry, const resources& usage) {
    resources used = usage;
    used.accelerators = std::max(used.accelerators, entry.row.job.size.accelerators);
    resources wanted = used;
    if (workers_[*entry.worker].saturated) {
        wanted.millicores = std::max(wanted.millicores, entry.charge.millicores);
    }
    if (!entry.measured) {
        entry.measured = true;
        learn_usage(entry, wanted);
    }
    charge(entry, wanted, used);
}

void task_scheduler::implementation::free_place(job_entry& entry, instant now) {
    if (entry.has_unit) {
        limits_.release(entry.row.job.team);
        entry.has_unit = false;
    }
    clear_place(entry, now);
}

void task_scheduler::implementation::leave_place(job_entry& entry, instant now) {
    if (entry.has_unit) {
        held_units_.emplace_back(now + options_.unit_hold, entry.row.job.team);
        entry.has_unit = false;
    }
    clear_place(entry, now);
}

void task_scheduler::implementation::clear_place(job_entry& entry, instant now) {
    if (!entry.worker) {
        return;
    }
    worker_entry& worker = workers_[*entry.worker];
    const job_id& id = entry.row.job.id;
    worker.jobs.erase(id);
    std::erase(worker.to_start, id);
    worker.to_stop.erase(id);
    worker.to_checkpoint.erase(id);
    if (worker.probe == id) {
        worker.probe.reset();
        health_.handle(*entry.worker, probe_void{}, now);
    }
    if (entry.charged) {
        worker.used -= entry.charge;
        ledger_.remove(entry.row.job.team, entry.use, entry.charged_percent);
        entry.charged = false;
    }
    update_offer(*entry.worker);
    entry.worker.reset();
    entry.start_sequence = 0;
    entry.measured = false;
    entry.percent = 100;
    dirty_ = true;
}

void task_scheduler::implementation::cancel_reservation(job_entry& entry) {
    if (entry.reserved_on) {
        workers_[*entry.reserved_on].reserved -= entry.reservation;
        update_offer(*entry.reserved_on);
        entry.reserved_on.reset();
        --reservations_;
    }
}

void task_scheduler::implementation::reserve(job_entry& entry, std::size_t index,
                                             const resources& size, instant now) {
    cancel_reservation(entry);
    entry.reserved_on = index;
    entry.reserved_at = now;
    entry.reservation = size;
    workers_[index].reserved += size;
    update_offer(index);
    ++reservations_;
}

void task_scheduler::implementation::schedule(instant now, effects_out effects) {
    if (!starts_confirmed(now)) {
        dirty_ = true;
        return;
    }
    ++counts_.passes;
    update_capacity();
    start_urgent(now, effects);
    start_reserved(now, effects);
    if (options_.fair_share) {
        start_by_share(now, effects);
    } else {
        start_in_order(now, effects);
    }
}

void task_scheduler::implementation::update_capacity() {
    resources total;
    largest_ = {};
    usable_workers_ = 0;
    for (const worker_entry& worker : workers_) {
        if (usable(worker)) {
            total += worker.capacity;
            ++usable_workers_;
            largest_.millicores = std::max(largest_.millicores, worker.capacity.millicores);
            largest_.memory_mb = std::max(largest_.memory_mb, worker.capacity.memory_mb);
        }
    }
    operations_ += workers_.size();
    ledger_.set_capacity(total);
}

void task_scheduler::implementation::start_urgent(instant now, effects_out effects) {
    std::vector<job_entry*> waiting;
    for (const auto& [order, entry] : urgent_) {
        waiting.push_back(entry);
    }
    for (job_entry* entry : waiting) {
        ++operations_;
        if (entry->not_before > now) {
            continue;
        }
        if (entry->reserved_on && now - entry->reserved_at >= eviction_timeout) {
            cancel_reservation(*entry);
        }
        if (start_on_reservation(*entry, now, effects) || try_start(*entry, now, effects) ||
            !options_.allow_eviction || entry->reserved_on) {
            continue;
        }
        make_room(*entry, now, effects);
    }
}

void task_scheduler::implementation::start_reserved(instant now, effects_out effects) {
    const std::set<job_id> waiting = reserved_jobs_;
    for (const job_id& id : waiting) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end() || found->second.position != queued_ ||
            !found->second.reserved_on) {
            reserved_jobs_.erase(id);
            continue;
        }
        start_on_reservation(found->second, now, effects);
    }
}

bool task_scheduler::implementation::start_on_reservation(job_entry& entry, instant now,
                                                          effects_out effects) {
    if (!entry.reserved_on) {
        return false;
    }
    const std::size_t index = *entry.reserved_on;
    const worker_entry& worker = workers_[index];
    if (!usable(worker) || !lease_valid(worker, now) || !health_.usable(index, now)) {
        cancel_reservation(entry);
        return false;
    }
    const resources free = free_on(worker) + entry.reservation;
    if (!may_take(index, entry, now) || !free.holds(entry.reservation)) {
        return false;
    }
    return start_on(entry, index, now, effects);
}

bool task_scheduler::implementation::try_start(job_entry& entry, instant now, effects_out effects) {
    const auto index = placement_.best_fit(expected_size(entry), [&](std::size_t candidate) {
        return may_take(candidate, entry, now);
    });
    return index && start_on(entry, *index, now, effects);
}

bool task_scheduler::implementation::start_on(job_entry& entry, std::size_t index, instant now,
                                              effects_out effects) {
    if (!limits_.acquire(entry.row.job.team) && !fault_planted("task-limits")) {
        return false;
    }
    entry.has_unit = !fault_planted("task-limits");
    entry.worker = index;
    step(entry, job_placed{}, now, effects);
    return true;
}

void task_scheduler::implementation::make_room(job_entry& entry, instant now, effects_out effects) {
    const resources size = expected_size(entry);
    if (limits_.running(entry.row.job.team) >= limits_.units(entry.row.job.team) &&
        !entry.row.job.team.empty()) {
        return;
    }
    std::optional<std::size_t> chosen;
    std::vector<job_id> chosen_victims;
    for (std::size_t offset = 0; offset < workers_.size() && !chosen; ++offset) {
        const std::size_t index = (next_eviction_ + offset) % workers_.size();
        ++operations_;
        if (!may_take(index, entry, now) || health_.quarantined(index)) {
            continue;
        }
        std::vector<job_id> victims = victims_on(index, size);
        if (!victims.empty()) {
            chosen = index;
            chosen_victims = std::move(victims);
        }
    }
    if (!chosen) {
        return;
    }
    next_eviction_ = *chosen + 1;
    reserve(entry, *chosen, size, now);
    for (const job_id& id : chosen_victims) {
        ++counts_.evicted;
        step_job(id, eviction_wanted{}, now, effects);
    }
}

std::vector<job_id> task_scheduler::implementation::victims_on(std::size_t index,
                                                               const resources& size) {
    const worker_entry& worker = workers_[index];
    resources free = free_on(worker);
    std::vector<const job_entry*> candidates;
    for (const job_id& id : worker.jobs) {
        const job_entry& entry = jobs_.at(id);
        if (entry.position == running_ && entry.row.job.restartable && !entry.row.job.urgent) {
            candidates.push_back(&entry);
        }
    }
    operations_ += candidates.size();
    std::ranges::sort(candidates, [](const job_entry* left, const job_entry* right) {
        return std::pair(-left->charge.millicores, left->order) <
               std::pair(-right->charge.millicores, right->order);
    });
    std::vector<job_id> victims;
    for (const job_entry* candidate : candidates) {
        if (free.holds(size)) {
            break;
        }
        free += candidate->charge;
        victims.push_back(candidate->row.job.id);
    }
    return free.holds(size) ? victims : std::vector<job_id>();
}

void task_scheduler::implementation::start_by_share(instant now, effects_out effects) {
    std::set<std::pair<double, team_id>> teams;
    for (const auto& [team, queue] : queues_) {
        if (!queue.empty()) {
            teams.emplace(ledger_.unthrottled_priority(team), team);
        }
    }
    bool first = true;
    while (!teams.empty()) {
        const team_id team = teams.begin()->second;
        teams.erase(teams.begin());
        served_below_ =
            first || !full() ? std::numeric_limits<double>::infinity() : highest_priority();
        first = false;
        if (start_one_of(team, now, effects) && !queues_[team].empty()) {
            teams.emplace(ledger_.unthrottled_priority(team), team);
        }
    }
}

bool task_scheduler::implementation::full() const {
    constexpr double full_load = 0.9;
    return static_cast<double>(ledger_.used().millicores) >=
           full_load * static_cast<double>(ledger_.capacity().millicores);
}

double task_scheduler::implementation::highest_priority() const {
    return ledger_.mean_priority(waiting_teams()) * (1 + options_.share_tolerance);
}

std::vector<team_id> task_scheduler::implementation::waiting_teams() const {
    std::vector<team_id> waiting;
    for (const auto& [team, queue] : queues_) {
        if (!queue.empty()) {
            waiting.push_back(team);
        }
    }
    return waiting;
}

bool task_scheduler::implementation::start_one_of(const team_id& team, instant now,
                                                  effects_out effects) {
    if (!team.empty() && limits_.running(team) >= limits_.units(team) &&
        !fault_planted("task-limits")) {
        // Fails, and notes that the team wants units of other nodes.
        return limits_.acquire(team);
    }
    for (job_entry* entry : queues_[team].oldest()) {
        ++operations_;
        if (entry->reserved_on || entry->not_before > now ||
            ledger_.unthrottled_priority(team) + ledger_.weight(team, expected_size(*entry)) / 2 >
                served_below_) {
            continue;
        }
        if (try_start(*entry, now, effects)) {
            return true;
        }
        if (!entry->refused_at) {
            entry->refused_at = now;
        } else if (now - *entry->refused_at >= reservation_delay_for(team)) {
            reserve_soonest(*entry, now);
        }
    }
    return false;
}

duration task_scheduler::implementation::reservation_delay_for(const team_id& team) const {
    constexpr double below_share = 0.95;
    return full() && ledger_.priority(team) < below_share * highest_priority()
               ? options_.reservation_delay_below_share
               : options_.reservation_delay;
}

void task_scheduler::implementation::reserve_soonest(job_entry& entry, instant now) {
    // At most one usable worker in eight is kept free for jobs that wait.
    constexpr std::size_t kept_free = 8;
    if (reservations_ > usable_workers_ / kept_free) {
        return;
    }
    const resources size = expected_size(entry);
    std::optional<std::size_t> best;
    std::int64_t most = std::numeric_limits<std::int64_t>::min();
    operations_ += workers_.size();
    for (std::size_t index = 0; index < workers_.size(); ++index) {
        const worker_entry& worker = workers_[index];
        const std::int64_t free =
            worker.capacity.millicores - worker.used.millicores - worker.reserved.millicores;
        if (worker.capacity.holds(size) && worker.reserved == resources{} && free > most &&
            may_take(index, entry, now) && !health_.quarantined(index)) {
            best = index;
            most = free;
        }
    }
    if (best) {
        reserve(entry, *best, size, now);
        reserved_jobs_.insert(entry.row.job.id);
    }
}

void task_scheduler::implementation::start_in_order(instant now, effects_out effects) {
    std::map<std::uint64_t, job_entry*> waiting;
    for (const auto& [team, queue] : queues_) {
        queue.for_each(
            [&](std::uint64_t order, job_entry* entry) { waiting.emplace(order, entry); });
    }
    for (const auto& [order, entry] : waiting) {
        ++operations_;
        if (!try_start(*entry, now, effects)) {
            break;
        }
    }
}

} // namespace citronford
