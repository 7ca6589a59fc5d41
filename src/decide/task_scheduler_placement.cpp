#include "decide/task_scheduler_state.h"

namespace citronford {

resources task_scheduler::implementation::expected_size(const job_entry& entry) const {
    resources size = entry.row.job.size;
    const auto found = usage_ratios_.find(entry.row.job.team);
    if (found == usage_ratios_.end()) {
        return size;
    }
    const std::int64_t max_millicores = std::max(size.millicores, largest_capacity_.millicores / 2);
    const std::int64_t max_memory = std::max(size.memory_mb, largest_capacity_.memory_mb / 2);
    size.millicores = std::min(scaled(size.millicores, found->second.processors), max_millicores);
    size.memory_mb = std::min(scaled(size.memory_mb, found->second.memory), max_memory);
    return size;
}

void task_scheduler::implementation::update_usage_ratio(const job_entry& entry,
                                                        const resources& usage) {
    constexpr double smoothing = 0.05;
    const resources& declared = entry.row.job.size;
    auto& ratio = usage_ratios_[entry.row.job.team];
    const auto update_mean = [&](double& mean, std::int64_t used, std::int64_t size) {
        if (size > 0) {
            const double observed = static_cast<double>(used) / static_cast<double>(size);
            mean +=
                smoothing * (std::clamp(observed, 1 / max_usage_factor, max_usage_factor) - mean);
        }
    };
    update_mean(ratio.processors, usage.millicores, declared.millicores);
    update_mean(ratio.memory, usage.memory_mb, declared.memory_mb);
}

void task_scheduler::implementation::set_allocation(job_entry& entry, const resources& wanted,
                                                    const resources& used) {
    worker_entry& worker = workers_[*entry.worker];
    const team_id& team = entry.row.job.team;
    if (entry.has_allocation) {
        worker.allocated -= entry.allocation;
        ledger_.remove(team, entry.reported_usage, entry.usage_throttle_percent);
    }
    entry.allocation = wanted;
    entry.reported_usage = used;
    entry.has_allocation = true;
    worker.allocated += wanted;
    entry.usage_throttle_percent = entry.throttle_percent;
    ledger_.add(team, used, entry.throttle_percent);
    update_offer(*entry.worker);
}

void task_scheduler::implementation::record_usage(job_entry& entry, const resources& usage) {
    resources used = usage;
    used.accelerators = std::max(used.accelerators, entry.row.job.size.accelerators);
    resources wanted = used;
    if (workers_[*entry.worker].saturated) {
        wanted.millicores = std::max(wanted.millicores, entry.allocation.millicores);
    }
    if (!entry.usage_reported) {
        entry.usage_reported = true;
        update_usage_ratio(entry, wanted);
    }
    set_allocation(entry, wanted, used);
}

void task_scheduler::implementation::free_slot(job_entry& entry, instant now) {
    if (entry.has_unit) {
        limits_.release(entry.row.job.team);
        entry.has_unit = false;
    }
    clear_slot(entry, now);
}

void task_scheduler::implementation::hand_over_slot(job_entry& entry, instant now) {
    if (entry.has_unit) {
        delayed_unit_releases_.emplace_back(now + options_.unit_release_delay, entry.row.job.team);
        entry.has_unit = false;
    }
    clear_slot(entry, now);
}

void task_scheduler::implementation::clear_slot(job_entry& entry, instant now) {
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
        health_.handle(*entry.worker, probe_inconclusive{}, now);
    }
    if (entry.has_allocation) {
        worker.allocated -= entry.allocation;
        ledger_.remove(entry.row.job.team, entry.reported_usage, entry.usage_throttle_percent);
        entry.has_allocation = false;
    }
    update_offer(*entry.worker);
    entry.worker.reset();
    entry.start_sequence = 0;
    entry.usage_reported = false;
    entry.throttle_percent = 100;
    placement_due_ = true;
}

void task_scheduler::implementation::cancel_reservation(job_entry& entry) {
    if (entry.reserved_worker) {
        workers_[*entry.reserved_worker].reserved -= entry.reservation;
        update_offer(*entry.reserved_worker);
        entry.reserved_worker.reset();
        --reservations_;
    }
}

void task_scheduler::implementation::reserve(job_entry& entry, std::size_t index,
                                             const resources& size, instant now) {
    cancel_reservation(entry);
    entry.reserved_worker = index;
    entry.reserved_at = now;
    entry.reservation = size;
    workers_[index].reserved += size;
    update_offer(index);
    ++reservations_;
}

void task_scheduler::implementation::schedule(instant now, effects_out effects) {
    if (!starts_confirmed(now)) {
        placement_due_ = true;
        return;
    }
    ++counts_.placement_passes;
    update_capacity();
    start_urgent(now, effects);
    start_reserved(now, effects);
    if (options_.fair_share) {
        start_by_share(now, effects);
    } else {
        start_in_submission_order(now, effects);
    }
}

void task_scheduler::implementation::update_capacity() {
    resources total;
    largest_capacity_ = {};
    usable_workers_ = 0;
    for (const worker_entry& worker : workers_) {
        if (usable(worker)) {
            total += worker.capacity;
            ++usable_workers_;
            largest_capacity_.millicores =
                std::max(largest_capacity_.millicores, worker.capacity.millicores);
            largest_capacity_.memory_mb =
                std::max(largest_capacity_.memory_mb, worker.capacity.memory_mb);
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
        if (entry->reserved_worker && now - entry->reserved_at >= eviction_timeout) {
            cancel_reservation(*entry);
        }
        if (start_on_reservation(*entry, now, effects) || try_start(*entry, now, effects) ||
            !options_.allow_eviction || entry->reserved_worker) {
            continue;
        }
        evict_for(*entry, now, effects);
    }
}

void task_scheduler::implementation::start_reserved(instant now, effects_out effects) {
    const std::set<job_id> waiting = reserved_jobs_;
    for (const job_id& id : waiting) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end() || found->second.position != queued_ ||
            !found->second.reserved_worker) {
            reserved_jobs_.erase(id);
            continue;
        }
        start_on_reservation(found->second, now, effects);
    }
}

bool task_scheduler::implementation::start_on_reservation(job_entry& entry, instant now,
                                                          effects_out effects) {
    if (!entry.reserved_worker) {
        return false;
    }
    const std::size_t index = *entry.reserved_worker;
    const worker_entry& worker = workers_[index];
    if (!usable(worker) || !lease_valid(worker, now) || !health_.usable(index, now)) {
        cancel_reservation(entry);
        return false;
    }
    const resources free = free_resources(worker) + entry.reservation;
    if (!accepts(index, entry, now) || !free.holds(entry.reservation)) {
        return false;
    }
    return start_on(entry, index, now, effects);
}

bool task_scheduler::implementation::try_start(job_entry& entry, instant now, effects_out effects) {
    const auto index = placement_.best_fit(expected_size(entry), [&](std::size_t candidate) {
        return accepts(candidate, entry, now);
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

void task_scheduler::implementation::evict_for(job_entry& entry, instant now, effects_out effects) {
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
        if (!accepts(index, entry, now) || health_.quarantined(index)) {
            continue;
        }
        std::vector<job_id> victims = select_victims(index, size);
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
        step_and_flush(id, eviction_requested{}, now, effects);
    }
}

std::vector<job_id> task_scheduler::implementation::select_victims(std::size_t index,
                                                                   const resources& size) {
    const worker_entry& worker = workers_[index];
    resources free = free_resources(worker);
    std::vector<const job_entry*> candidates;
    for (const job_id& id : worker.jobs) {
        const job_entry& entry = jobs_.at(id);
        if (entry.position == running_ && entry.row.job.restartable && !entry.row.job.urgent) {
            candidates.push_back(&entry);
        }
    }
    operations_ += candidates.size();
    std::ranges::sort(candidates, [](const job_entry* left, const job_entry* right) {
        return std::pair(-left->allocation.millicores, left->order) <
               std::pair(-right->allocation.millicores, right->order);
    });
    std::vector<job_id> victims;
    for (const job_entry* candidate : candidates) {
        if (free.holds(size)) {
            break;
        }
        free += candidate->allocation;
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
        priority_limit_ = first || !fully_loaded() ? std::numeric_limits<double>::infinity()
                                                   : max_start_priority();
        first = false;
        if (start_one_job_of(team, now, effects) && !queues_[team].empty()) {
            teams.emplace(ledger_.unthrottled_priority(team), team);
        }
    }
}

bool task_scheduler::implementation::fully_loaded() const {
    constexpr double full_load = 0.9;
    return static_cast<double>(ledger_.used().millicores) >=
           full_load * static_cast<double>(ledger_.capacity().millicores);
}

double task_scheduler::implementation::max_start_priority() const {
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

bool task_scheduler::implementation::start_one_job_of(const team_id& team, instant now,
                                                      effects_out effects) {
    if (!team.empty() && limits_.running(team) >= limits_.units(team) &&
        !fault_planted("task-limits")) {
        // Always fails, and records that the team wants units of other nodes.
        return limits_.acquire(team);
    }
    for (job_entry* entry : queues_[team].oldest()) {
        ++operations_;
        if (entry->reserved_worker || entry->not_before > now ||
            ledger_.unthrottled_priority(team) +
                    ledger_.weighted_fraction(team, expected_size(*entry)) / 2 >
                priority_limit_) {
            continue;
        }
        if (try_start(*entry, now, effects)) {
            return true;
        }
        if (!entry->first_unplaced_at) {
            entry->first_unplaced_at = now;
        } else if (now - *entry->first_unplaced_at >= reservation_delay_for(team)) {
            reserve_most_free_worker(*entry, now);
        }
    }
    return false;
}

duration task_scheduler::implementation::reservation_delay_for(const team_id& team) const {
    constexpr double below_share = 0.95;
    return fully_loaded() && ledger_.priority(team) < below_share * max_start_priority()
               ? options_.reservation_delay_below_share
               : options_.reservation_delay;
}

void task_scheduler::implementation::reserve_most_free_worker(job_entry& entry, instant now) {
    // At most about one usable worker in eight is reserved.
    constexpr std::size_t workers_per_reservation = 8;
    if (reservations_ > usable_workers_ / workers_per_reservation) {
        return;
    }
    const resources size = expected_size(entry);
    std::optional<std::size_t> best;
    std::int64_t most_free = std::numeric_limits<std::int64_t>::min();
    operations_ += workers_.size();
    for (std::size_t index = 0; index < workers_.size(); ++index) {
        const worker_entry& worker = workers_[index];
        const std::int64_t free =
            worker.capacity.millicores - worker.allocated.millicores - worker.reserved.millicores;
        if (worker.capacity.holds(size) && worker.reserved == resources{} && free > most_free &&
            accepts(index, entry, now) && !health_.quarantined(index)) {
            best = index;
            most_free = free;
        }
    }
    if (best) {
        reserve(entry, *best, size, now);
        reserved_jobs_.insert(entry.row.job.id);
    }
}

void task_scheduler::implementation::start_in_submission_order(instant now, effects_out effects) {
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
