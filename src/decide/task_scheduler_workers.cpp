#include "decide/task_scheduler_state.h"

namespace citronford {

std::size_t task_scheduler::implementation::worker_at(const worker_listing::worker& item,
                                                      instant now) {
    const auto [found, inserted] = worker_index_.emplace(item.id, workers_.size());
    if (inserted) {
        worker_entry entry;
        entry.listing = item;
        entry.position = lease_machine_.initial();
        entry.listed_at = now;
        workers_.push_back(std::move(entry));
        health_.add(found->second);
    } else if (lease_machine_.is_final(workers_[found->second].position)) {
        workers_[found->second].position = lease_machine_.initial();
        health_.add(found->second);
    }
    return found->second;
}

void task_scheduler::implementation::step(std::size_t index, const lease_event& event, instant now,
                                          effects_out effects) {
    lease_context context{*this, index, now, effects};
    lease_machine_.step(workers_[index].position, context, event);
}

void task_scheduler::implementation::step_worker(const worker_id& id, const lease_event& event,
                                                 instant now, effects_out effects) {
    const auto found = worker_index_.find(id);
    if (found != worker_index_.end()) {
        step(found->second, event, now, effects);
    }
}

void task_scheduler::implementation::update_ownership(instant now, effects_out effects) {
    for (std::size_t index = 0; index < workers_.size(); ++index) {
        const worker_entry& worker = workers_[index];
        const live_member* owner = worker_owner(members_, worker.listing.id, worker.listing.zone);
        if (owner == nullptr || kept_by_stopping(worker)) {
            continue;
        }
        if (owner->id != options_.self.id) {
            step(index, worker_disowned{}, now, effects);
        } else if (worker.listed && worker.retake_at <= now) {
            step(index, worker_owned{}, now, effects);
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
        if (worker.position == held_ && worker.answered_from + options_.lease <= now) {
            placement_.withdraw(index);
        }
        if (worker.renewed_at + options_.sync_timeout + options_.lease <= now) {
            step(index, lease_passed{}, now, effects);
        }
    }
}

bool task_scheduler::implementation::lease_valid(const worker_entry& worker, instant now) const {
    return worker.position == held_ && now < worker.answered_from + options_.lease;
}

bool task_scheduler::implementation::zone_open(const zone_id& zone) const {
    return !zone_removed(fleet_, zone) || fault_planted("zone-out");
}

bool task_scheduler::implementation::starts_confirmed(instant now) const {
    return confirmed({fleet_, confirmed_at_, options_.self.zone}, now + options_.sync_timeout) ||
           fault_planted("zone-out");
}

bool task_scheduler::implementation::usable(const worker_entry& worker) const {
    return worker.position == held_ && worker.known && worker.listed && !worker.leaving &&
           !worker.listing.leaving && zone_open(worker.listing.zone);
}

bool task_scheduler::implementation::is_reserve(std::size_t index) const {
    return options_.restricted_worker_interval > 0 &&
           workers_.size() >= options_.restricted_worker_interval / 2 &&
           index % options_.restricted_worker_interval == 0;
}

bool task_scheduler::implementation::may_take(std::size_t index, const job_entry& entry,
                                              instant now) const {
    const worker_entry& worker = workers_[index];
    const job_definition& job = entry.row.job;
    if (!usable(worker) || !lease_valid(worker, now) || !health_.usable(index, now) ||
        (is_reserve(index) && !job.urgent && !job.restartable)) {
        return false;
    }
    if (health_.quarantined(index) && !job.restartable) {
        return false;
    }
    // A message that is not answered soon would keep the start waiting.
    return worker.open_sync == 0 || now - worker.sync_sent_at < slow_answer;
}

resources task_scheduler::implementation::free_on(const worker_entry& worker) const {
    resources free = worker.capacity - worker.used - worker.reserved;
    free.millicores += scaled(worker.capacity.millicores, options_.overcommitment);
    return free;
}

void task_scheduler::implementation::update_offer(std::size_t index) {
    const worker_entry& worker = workers_[index];
    if (usable(worker)) {
        placement_.offer(index, free_on(worker));
    } else {
        placement_.withdraw(index);
    }
}

void task_scheduler::implementation::take_answer(std::size_t index, std::uint64_t sequence,
                                                 const sync_accepted& result, instant now,
                                                 effects_out effects) {
    worker_entry& worker = workers_[index];
    const bool could_start =
        worker.known && lease_valid(worker, now) && now - worker.sync_sent_at < slow_answer;
    const resources free_before = free_on(worker);
    worker.answered_from = worker.sync_sent_at;
    worker.leaving = result.leaving;
    worker.capacity = result.capacity;
    const bool same_incarnation =
        worker.incarnation == 0 || worker.incarnation == result.incarnation;
    worker.incarnation = result.incarnation;
    worker.known = true;
    step(index, worker_synced{}, now, effects);
    if (worker.position != held_) {
        return;
    }
    std::map<task_id, const task_report*> reports;
    for (const task_report& report : result.tasks) {
        reports.emplace(report.id, &report);
    }
    worker.to_forget.clear();
    worker.saturated = is_saturated(result);
    const std::vector<job_id> jobs(worker.jobs.begin(), worker.jobs.end());
    for (const job_id& id : jobs) {
        const job_entry& entry = jobs_.at(id);
        const auto found = reports.find(task_of(entry.row));
        if (found != reports.end()) {
            const task_report& report = *found->second;
            reports.erase(found);
            jobs_.at(id).start_sequence = 1;
            take_report(index, id, report, now, effects);
        } else if (entry.position == attached_ ||
                   (entry.start_sequence != 0 && entry.start_sequence <= sequence)) {
            worker_restarted_ = !same_incarnation;
            step_job(id, task_absent{}, now, effects);
        }
    }
    take_unclaimed(index, reports, now);
    update_offer(index);
    // An answer that makes no room allows no start that was not possible before it.
    dirty_ = dirty_ || !could_start || !free_before.holds(free_on(worker));
}

void task_scheduler::implementation::take_report(std::size_t index, const job_id& id,
                                                 const task_report& report, instant now,
                                                 effects_out effects) {
    worker_entry& worker = workers_[index];
    if (report.state != task_state::running && report.state != task_state::checkpointed) {
        worker.to_forget.insert(report.id);
    }
    const auto judge = [&](const health_input& input) {
        if (worker.probe == id) {
            worker.probe.reset();
        }
        health_.handle(index, input, now);
    };
    switch (report.state) {
    case task_state::running:
        step_job(id, task_running{report.usage}, now, effects);
        break;
    case task_state::checkpointed:
        step_job(id, task_checkpointed{}, now, effects);
        break;
    case task_state::done:
        judge(task_succeeded{});
        step_job(id, task_done{}, now, effects);
        break;
    case task_state::failed:
        ++counts_.failed;
        judge(task_broke{});
        step_job(id, task_failed{}, now, effects);
        break;
    case task_state::expired:
        ++counts_.lost;
        step_job(id, worker_lost{}, now, effects);
        break;
    }
}

void task_scheduler::implementation::take_unclaimed(
    std::size_t index, const std::map<task_id, const task_report*>& reports, instant now) {
    worker_entry& worker = workers_[index];
    std::map<task_id, instant> unclaimed;
    for (const auto& [id, report] : reports) {
        const auto known = worker.unclaimed.find(id);
        const instant first = known == worker.unclaimed.end() ? now : known->second;
        unclaimed.emplace(id, first);
        if (now - first >= options_.unclaimed_grace) {
            worker.to_forget.insert(id);
        }
    }
    worker.unclaimed = std::move(unclaimed);
}

bool task_scheduler::implementation::is_saturated(const sync_accepted& result) {
    constexpr double nearly_all = 0.97;
    std::int64_t total = 0;
    for (const task_report& report : result.tasks) {
        total += report.usage.millicores;
    }
    return static_cast<double>(total) >=
           nearly_all * static_cast<double>(result.capacity.millicores);
}

void task_scheduler::implementation::throttle(const worker_entry& worker, sync_request& message) {
    constexpr double whole = 100;
    for (const job_id& id : worker.jobs) {
        job_entry& entry = jobs_.at(id);
        const auto found = throttle_.find(entry.row.job.team);
        const bool held = found != throttle_.end() && !entry.row.job.urgent;
        const int percent = held ? static_cast<int>(whole * found->second) : 100;
        if (entry.position == running_ && percent != entry.percent) {
            entry.percent = percent;
            message.throttle.push_back({task_of(entry.row), percent});
        }
    }
}

void task_scheduler::implementation::review_throttle() {
    constexpr double strongest = 0.6;
    const std::vector<team_id> waiting = waiting_teams();
    const bool applies = options_.fair_share && full();
    const double mean = ledger_.mean_priority(waiting);
    for (const team_id& team : waiting) {
        throttle_[team] = std::clamp(ledger_.allowed_fraction(team, mean), strongest, 1.0);
    }
    std::erase_if(throttle_, [&](const auto& item) {
        return !applies || std::ranges::find(waiting, item.first) == waiting.end();
    });
}

void task_scheduler::implementation::put_back_starts(std::size_t index, std::uint64_t sequence) {
    worker_entry& worker = workers_[index];
    for (const job_id& id : worker.jobs) {
        job_entry& entry = jobs_.at(id);
        if (entry.start_sequence == sequence && entry.position == starting_) {
            entry.start_sequence = 0;
            worker.to_start.push_back(id);
        }
    }
}

void task_scheduler::implementation::for_jobs_of(std::size_t index, const job_event& event,
                                                 instant now, effects_out effects) {
    const std::vector<job_id> jobs(workers_[index].jobs.begin(), workers_[index].jobs.end());
    for (const job_id& id : jobs) {
        step_job(id, event, now, effects);
    }
    dirty_ = dirty_ || !jobs.empty();
}

void task_scheduler::implementation::send_syncs(instant now, effects_out effects) {
    const bool may_start = starts_confirmed(now) && !stopping_since_;
    for (std::size_t index = 0; index < workers_.size(); ++index) {
        worker_entry& worker = workers_[index];
        const bool urgent =
            !worker.to_start.empty() || !worker.to_stop.empty() || !worker.to_checkpoint.empty();
        const bool due = worker.next_sync <= now ||
                         (urgent && worker.next_sync - options_.sync_period + urgent_pause <= now);
        if (worker.epoch == 0 || worker.open_sync != 0 || !due) {
            continue;
        }
        send_sync(worker, may_start, now, effects);
    }
}

bool task_scheduler::implementation::units_lost(const worker_entry& worker) const {
    return limits_.lapsed_for() >= options_.renew_after_lapse && !fault_planted("task-limits") &&
           std::ranges::any_of(
               worker.jobs, [&](const job_id& id) { return !jobs_.at(id).row.job.team.empty(); });
}

void task_scheduler::implementation::send_sync(worker_entry& worker, bool may_start, instant now,
                                               effects_out effects) {
    sync_worker effect{worker.listing.id, worker.listing.address, options_.sync_timeout, {}};
    sync_request& message = effect.message;
    message.owner = options_.self.id;
    message.epoch = worker.epoch;
    message.sequence = ++worker.sequence;
    // A worker that does not answer must not keep its tasks running: they count as lost once
    // the lease that it may have received last is over.
    const bool renews = worker.position == held_ &&
                        now < worker.answered_from + options_.lease / 2 && !units_lost(worker);
    message.lease = renews ? options_.lease : duration::zero();
    if (renews) {
        worker.renewed_at = now;
    }
    if (may_start && renews && zone_open(worker.listing.zone)) {
        for (const job_id& id : std::exchange(worker.to_start, {})) {
            job_entry& entry = jobs_.at(id);
            entry.start_sequence = message.sequence;
            invariant_monitor::check(!zone_removed(fleet_, worker.listing.zone), "zone-out",
                                     "a task starts in a removed zone");
            ++counts_.started;
            const job_definition& job = entry.row.job;
            message.start.push_back({task_of(entry.row), job.id, job.team, job.size, job.run});
        }
    }
    for (const job_id& id : worker.to_stop) {
        message.stop.push_back(task_of(jobs_.at(id).row));
    }
    message.stop.insert(message.stop.end(), worker.to_forget.begin(), worker.to_forget.end());
    for (const job_id& id : worker.to_checkpoint) {
        message.checkpoint.push_back(task_of(jobs_.at(id).row));
    }
    throttle(worker, message);
    worker.open_sync = message.sequence;
    worker.sync_sent_at = now;
    worker.next_sync = now + options_.sync_period;
    effects.emplace_back(std::move(effect));
}

} // namespace citronford
