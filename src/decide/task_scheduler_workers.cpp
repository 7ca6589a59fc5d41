#include "decide/task_scheduler_state.h"

namespace citronford {

std::size_t task_scheduler::implementation::find_or_add_worker(const worker_listing::worker& item,
                                                               instant now) {
    const auto [found, inserted] = worker_index_.emplace(item.id, workers_.size());
    if (inserted) {
        worker_entry entry;
        entry.listing = item;
        entry.position = lease_machine_.initial();
        entry.capacity_awaited_since = now;
        workers_.push_back(std::move(entry));
        health_.add(found->second);
    } else if (lease_machine_.is_final(workers_[found->second].position)) {
        workers_[found->second].position = lease_machine_.initial();
        health_.add(found->second);
    }
    return found->second;
}

void task_scheduler::implementation::step_lease(std::size_t index, const lease_event& event,
                                                instant now, effects_out effects) {
    lease_context context{*this, index, now, effects};
    lease_machine_.step(workers_[index].position, context, event);
}

void task_scheduler::implementation::step_lease_of(const worker_id& id, const lease_event& event,
                                                   instant now, effects_out effects) {
    const auto found = worker_index_.find(id);
    if (found != worker_index_.end()) {
        step_lease(found->second, event, now, effects);
    }
}

void task_scheduler::implementation::update_ownership(instant now, effects_out effects) {
    for (std::size_t index = 0; index < workers_.size(); ++index) {
        const worker_entry& worker = workers_[index];
        const live_member* owner =
            worker_owner(owning_members_, worker.listing.id, worker.listing.zone);
        if (owner == nullptr || renewed_by_stopping_node(worker)) {
            continue;
        }
        if (owner->id != options_.self.id) {
            step_lease(index, ownership_lost{}, now, effects);
        } else if (worker.listed && worker.reacquire_at <= now) {
            step_lease(index, ownership_gained{}, now, effects);
        }
    }
}

void task_scheduler::implementation::check_leases(instant now, effects_out effects) {
    operations_ += workers_.size();
    for (std::size_t index = 0; index < workers_.size(); ++index) {
        worker_entry& worker = workers_[index];
        if (worker.epoch == 0) {
            continue;
        }
        if (worker.position == held_ && worker.answered_sync_sent_at + options_.lease <= now) {
            placement_.withdraw(index);
        }
        if (worker.lease_renewed_at + options_.sync_timeout + options_.lease <= now) {
            step_lease(index, lease_expired{}, now, effects);
        }
    }
}

bool task_scheduler::implementation::lease_valid(const worker_entry& worker, instant now) const {
    return worker.position == held_ && now < worker.answered_sync_sent_at + options_.lease;
}

bool task_scheduler::implementation::zone_active(const zone_id& zone) const {
    return !zone_removed(fleet_, zone) || fault_planted("zone-out");
}

bool task_scheduler::implementation::starts_confirmed(instant now) const {
    return confirmed({fleet_, confirmed_at_, options_.self.zone}, now + options_.sync_timeout) ||
           fault_planted("zone-out");
}

bool task_scheduler::implementation::usable(const worker_entry& worker) const {
    return worker.position == held_ && worker.capacity_reported && worker.listed &&
           !worker.leaving && !worker.listing.leaving && zone_active(worker.listing.zone);
}

bool task_scheduler::implementation::is_restricted(std::size_t index) const {
    return options_.restricted_worker_interval > 0 &&
           workers_.size() >= options_.restricted_worker_interval / 2 &&
           index % options_.restricted_worker_interval == 0;
}

bool task_scheduler::implementation::accepts(std::size_t index, const job_entry& entry,
                                             instant now) const {
    const worker_entry& worker = workers_[index];
    const job_definition& job = entry.row.job;
    if (!usable(worker) || !lease_valid(worker, now) || !health_.usable(index, now) ||
        (is_restricted(index) && !job.urgent && !job.restartable)) {
        return false;
    }
    if (health_.quarantined(index) && !health_.quarantine_suspended() && !job.restartable) {
        return false;
    }
    // A start is sent only after the message in flight is answered; a slow worker would delay it.
    return worker.pending_sync == 0 || now - worker.sync_sent_at < slow_reply_threshold;
}

resources task_scheduler::implementation::free_resources(const worker_entry& worker) const {
    resources free = worker.capacity - worker.allocated - worker.reserved;
    free.millicores += scaled(worker.capacity.millicores, options_.overcommitment);
    return free;
}

void task_scheduler::implementation::update_offer(std::size_t index) {
    const worker_entry& worker = workers_[index];
    if (usable(worker)) {
        placement_.offer(index, free_resources(worker));
    } else {
        placement_.withdraw(index);
    }
}

void task_scheduler::implementation::process_sync_reply(std::size_t index, std::uint64_t sequence,
                                                        const sync_accepted& result, instant now,
                                                        effects_out effects) {
    worker_entry& worker = workers_[index];
    const bool could_start = worker.capacity_reported && lease_valid(worker, now) &&
                             now - worker.sync_sent_at < slow_reply_threshold;
    const resources free_before = free_resources(worker);
    worker.answered_sync_sent_at = worker.sync_sent_at;
    worker.leaving = result.leaving;
    worker.capacity = result.capacity;
    const bool same_incarnation =
        worker.incarnation == 0 || worker.incarnation == result.incarnation;
    worker.incarnation = result.incarnation;
    worker.capacity_reported = true;
    step_lease(index, worker_synced{}, now, effects);
    if (worker.position != held_) {
        return;
    }
    std::map<task_id, const task_report*> reports;
    for (const task_report& report : result.tasks) {
        reports.emplace(report.id, &report);
    }
    worker.to_remove.clear();
    worker.saturated = is_saturated(result);
    const std::vector<job_id> jobs(worker.jobs.begin(), worker.jobs.end());
    for (const job_id& id : jobs) {
        const job_entry& entry = jobs_.at(id);
        const auto found = reports.find(task_id_of(entry.row));
        if (found != reports.end()) {
            const task_report& report = *found->second;
            reports.erase(found);
            jobs_.at(id).start_sequence = 1;
            process_task_report(index, id, report, now, effects);
        } else if (entry.position == attached_ ||
                   (entry.start_sequence != 0 && entry.start_sequence <= sequence)) {
            worker_restarted_ = !same_incarnation;
            step_and_flush(id, task_absent{}, now, effects);
        }
    }
    track_unclaimed_tasks(index, reports, now);
    update_offer(index);
    // An answer that frees no resources makes no new start possible.
    placement_due_ = placement_due_ || !could_start || !free_before.holds(free_resources(worker));
}

void task_scheduler::implementation::process_task_report(std::size_t index, const job_id& id,
                                                         const task_report& report, instant now,
                                                         effects_out effects) {
    worker_entry& worker = workers_[index];
    if (report.state != task_state::running && report.state != task_state::checkpointed) {
        worker.to_remove.insert(report.id);
    }
    const auto record_result = [&](const health_input& input) {
        if (worker.probe == id) {
            worker.probe.reset();
        }
        health_.handle(index, input, now);
    };
    switch (report.state) {
    case task_state::running:
        step_and_flush(id, task_running{report.usage}, now, effects);
        break;
    case task_state::checkpointed:
        step_and_flush(id, task_checkpointed{}, now, effects);
        break;
    case task_state::done:
        record_result(attempt_succeeded{});
        step_and_flush(id, task_done{}, now, effects);
        break;
    case task_state::failed:
        ++counts_.failed;
        record_result(attempt_failed{});
        step_and_flush(id, task_failed{}, now, effects);
        break;
    case task_state::expired:
        ++counts_.lost;
        step_and_flush(id, worker_lost{}, now, effects);
        break;
    }
}

void task_scheduler::implementation::track_unclaimed_tasks(
    std::size_t index, const std::map<task_id, const task_report*>& reports, instant now) {
    worker_entry& worker = workers_[index];
    std::map<task_id, instant> unclaimed;
    for (const auto& [id, report] : reports) {
        const auto previous = worker.unclaimed.find(id);
        const instant first_reported = previous == worker.unclaimed.end() ? now : previous->second;
        unclaimed.emplace(id, first_reported);
        if (now - first_reported >= options_.unclaimed_grace) {
            worker.to_remove.insert(id);
        }
    }
    worker.unclaimed = std::move(unclaimed);
}

bool task_scheduler::implementation::is_saturated(const sync_accepted& result) {
    constexpr double saturation_threshold = 0.97;
    std::int64_t total = 0;
    for (const task_report& report : result.tasks) {
        total += report.usage.millicores;
    }
    return static_cast<double>(total) >=
           saturation_threshold * static_cast<double>(result.capacity.millicores);
}

void task_scheduler::implementation::add_throttles(const worker_entry& worker,
                                                   sync_request& message) {
    constexpr double full_percent = 100;
    for (const job_id& id : worker.jobs) {
        job_entry& entry = jobs_.at(id);
        const auto found = throttle_fractions_.find(entry.row.job.team);
        const bool throttled = found != throttle_fractions_.end() && !entry.row.job.urgent;
        const int percent = throttled ? static_cast<int>(full_percent * found->second) : 100;
        if (entry.position == running_ && percent != entry.throttle_percent) {
            entry.throttle_percent = percent;
            message.throttle.push_back({task_id_of(entry.row), percent});
        }
    }
}

void task_scheduler::implementation::update_throttles() {
    constexpr double min_fraction = 0.6;
    const std::vector<team_id> waiting = waiting_teams();
    const bool applies = options_.fair_share && fully_loaded();
    const double mean = ledger_.mean_priority(waiting);
    for (const team_id& team : waiting) {
        throttle_fractions_[team] =
            std::clamp(ledger_.allowed_fraction(team, mean), min_fraction, 1.0);
    }
    std::erase_if(throttle_fractions_, [&](const auto& item) {
        return !applies || std::ranges::find(waiting, item.first) == waiting.end();
    });
}

void task_scheduler::implementation::requeue_starts(std::size_t index, std::uint64_t sequence) {
    worker_entry& worker = workers_[index];
    for (const job_id& id : worker.jobs) {
        job_entry& entry = jobs_.at(id);
        if (entry.start_sequence == sequence && entry.position == starting_) {
            entry.start_sequence = 0;
            worker.to_start.push_back(id);
        }
    }
}

void task_scheduler::implementation::step_jobs_on(std::size_t index, const job_event& event,
                                                  instant now, effects_out effects) {
    const std::vector<job_id> jobs(workers_[index].jobs.begin(), workers_[index].jobs.end());
    for (const job_id& id : jobs) {
        step_and_flush(id, event, now, effects);
    }
    placement_due_ = placement_due_ || !jobs.empty();
}

void task_scheduler::implementation::send_syncs(instant now, effects_out effects) {
    const bool may_start = starts_confirmed(now) && !stopping_since_;
    for (std::size_t index = 0; index < workers_.size(); ++index) {
        worker_entry& worker = workers_[index];
        const bool has_commands =
            !worker.to_start.empty() || !worker.to_stop.empty() || !worker.to_checkpoint.empty();
        const bool due =
            worker.next_sync <= now ||
            (has_commands && worker.next_sync - options_.sync_interval + min_sync_interval <= now);
        if (worker.epoch == 0 || worker.pending_sync != 0 || !due) {
            continue;
        }
        send_sync(worker, may_start, now, effects);
    }
}

bool task_scheduler::implementation::units_expiring(const worker_entry& worker) const {
    return limits_.lapsed_for() >= options_.stop_renewal_after_lapse &&
           !fault_planted("task-limits") && std::ranges::any_of(worker.jobs, [&](const job_id& id) {
               return !jobs_.at(id).row.job.team.empty();
           });
}

void task_scheduler::implementation::send_sync(worker_entry& worker, bool may_start, instant now,
                                               effects_out effects) {
    sync_worker effect{worker.listing.id, worker.listing.address, options_.sync_timeout, {}};
    sync_request& message = effect.message;
    message.owner = options_.self.id;
    message.epoch = worker.epoch;
    message.sequence = ++worker.sequence;
    // The lease of a worker that does not answer must not be renewed: its tasks count as lost once
    // the last lease that it may have received has expired.
    const bool renews = worker.position == held_ &&
                        now < worker.answered_sync_sent_at + options_.lease / 2 &&
                        !units_expiring(worker);
    message.lease = renews ? options_.lease : duration::zero();
    if (renews) {
        worker.lease_renewed_at = now;
    }
    if (may_start && renews && zone_active(worker.listing.zone)) {
        for (const job_id& id : std::exchange(worker.to_start, {})) {
            job_entry& entry = jobs_.at(id);
            entry.start_sequence = message.sequence;
            invariant_monitor::check(!zone_removed(fleet_, worker.listing.zone), "zone-out",
                                     "a task starts in a removed zone");
            ++counts_.started;
            const job_definition& job = entry.row.job;
            message.start.push_back({task_id_of(entry.row), job.id, job.team, job.size, job.run});
        }
    }
    for (const job_id& id : worker.to_stop) {
        message.stop.push_back(task_id_of(jobs_.at(id).row));
    }
    message.stop.insert(message.stop.end(), worker.to_remove.begin(), worker.to_remove.end());
    for (const job_id& id : worker.to_checkpoint) {
        message.checkpoint.push_back(task_id_of(jobs_.at(id).row));
    }
    add_throttles(worker, message);
    worker.pending_sync = message.sequence;
    worker.sync_sent_at = now;
    worker.next_sync = now + options_.sync_interval;
    effects.emplace_back(std::move(effect));
}

} // namespace citronford
