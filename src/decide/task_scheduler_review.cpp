#include "decide/task_scheduler_state.h"

namespace citronford {

void task_scheduler::implementation::review(instant now, effects_out effects) {
    update_ownership(now, effects);
    adopt_orphans(now, effects);
    retry_writes(now, effects);
    prune_departed_jobs(now);
    for (std::size_t index = 0; index < workers_.size(); ++index) {
        review_worker(index, now, effects);
    }
    for (job_entry* entry : unplaced_jobs()) {
        report_late_start(*entry, now, effects);
    }
    if (!stopping_since_) {
        review_queued(now, effects);
    }
    if (!stopping_since_ && now >= next_balance_) {
        next_balance_ = now + balance_interval;
        balance_queues(now, effects);
    }
    review_attached(now, effects);
    update_throttles();
    placement_due_ = true;
}

void task_scheduler::implementation::review_worker(std::size_t index, instant now,
                                                   effects_out effects) {
    worker_entry& worker = workers_[index];
    if (!worker.listed) {
        step_lease(index, worker_delisted{}, now, effects);
        if (lease_machine_.is_final(worker.position)) {
            health_.handle(index, worker_removed{}, now);
        }
    }
    const bool draining = worker.position == held_ && (worker.leaving || worker.listing.leaving ||
                                                       !zone_active(worker.listing.zone));
    const bool units_lapsing = limits_.lapsed_for() >= options_.checkpoint_after_lapse;
    const std::vector<job_id> jobs(worker.jobs.begin(), worker.jobs.end());
    for (const job_id& id : jobs) {
        const job_entry& entry = jobs_.at(id);
        const bool evicts = draining || (units_lapsing && !entry.row.job.team.empty());
        if (evicts && entry.position == running_ && entry.row.job.restartable) {
            ++counts_.evicted;
            step_and_flush(id, eviction_requested{}, now, effects);
        } else if (entry.position == evicting_ &&
                   now - entry.entered_state_at >= options_.checkpoint_timeout) {
            step_and_flush(id, checkpoint_timeout{}, now, effects);
        }
    }
    if (draining) {
        const std::vector<job_id> unsent(worker.to_start);
        for (const job_id& id : unsent) {
            step_and_flush(id, worker_detached{}, now, effects);
        }
    }
}

bool task_scheduler::implementation::worker_capacities_settled(instant now) const {
    // Queued jobs of a node that is stopping or failed may arrive before its workers.
    const auto awaited = [&](const worker_entry& worker) {
        const live_member* owner =
            worker_owner(owning_members_, worker.listing.id, worker.listing.zone);
        return worker.listed && worker.epoch == 0 && owner->id == options_.self.id;
    };
    return !owning_members_.empty() && stopping_members_.empty() &&
           std::ranges::all_of(workers_, [&](const worker_entry& worker) {
               return !awaited(worker) &&
                      (worker.capacity_reported ||
                       now - worker.capacity_awaited_since >= options_.capacity_report_grace);
           });
}

std::vector<job_entry*> task_scheduler::implementation::unplaced_jobs() const {
    std::vector<job_entry*> waiting;
    for (const auto& [team, queue] : queues_) {
        queue.for_each(
            [&](std::uint64_t /*order*/, job_entry* entry) { waiting.push_back(entry); });
    }
    for (const auto& [order, entry] : urgent_) {
        waiting.push_back(entry);
    }
    return waiting;
}

void task_scheduler::implementation::report_sli_event(job_entry& entry, bool bad,
                                                      effects_out effects) {
    if (!std::exchange(entry.sli_reported, true)) {
        effects.emplace_back(job_sli_event{entry.row.job.id, entry.row.job.team, bad});
    }
}

void task_scheduler::implementation::report_late_start(job_entry& entry, instant now,
                                                       effects_out effects) const {
    const fleet_defaults& defaults = fleet_.defaults;
    const duration allowed = entry.row.job.urgent ? defaults.urgent_job_wait : defaults.job_wait;
    if (entry.queued_since && now - *entry.queued_since > allowed) {
        report_sli_event(entry, true, effects);
    }
}

void task_scheduler::implementation::review_queued(instant now, effects_out effects) {
    if (!worker_capacities_settled(now)) {
        return;
    }
    std::vector<resources> sizes;
    bool any_usable = false;
    for (const worker_entry& worker : workers_) {
        if (worker.capacity_reported && worker.epoch != 0 &&
            std::ranges::find(sizes, worker.capacity) == sizes.end()) {
            sizes.push_back(worker.capacity);
        }
        any_usable = any_usable || usable(worker);
    }
    const std::vector<job_entry*> waiting = unplaced_jobs();
    operations_ += waiting.size();
    for (job_entry* entry : waiting) {
        const bool fits = std::ranges::any_of(
            sizes, [&](const resources& capacity) { return capacity.holds(entry->row.job.size); });
        if (!fits) {
            reassign(*entry, no_worker_fits{}, unvisited_member(*entry), now, effects);
        } else if (!any_usable) {
            const live_member* other = member_in_active_zone(entry->row.job.id);
            if (other != nullptr) {
                reassign(*entry, job_reassigned{}, other, now, effects);
            }
        }
    }
}

void task_scheduler::implementation::balance_queues(instant now, effects_out effects) {
    if (!options_.fair_share || !worker_capacities_settled(now) ||
        !zone_active(options_.self.zone) || !fully_loaded()) {
        return;
    }
    std::map<team_id, std::map<node_id, std::size_t>> waiting;
    for (const auto& [id, foreign] : foreign_jobs_) {
        if (foreign.row.state == job_state::queued && !foreign.row.job.urgent) {
            ++waiting[foreign.row.job.team][foreign.row.owner];
        }
    }
    operations_ += foreign_jobs_.size();
    std::size_t allowed = max_jobs_moved;
    for (const team_id& team : waiting_teams()) {
        allowed -= rebalance_team(team, waiting[team], allowed, now, effects);
    }
}

std::size_t task_scheduler::implementation::rebalance_team(
    const team_id& team, const std::map<node_id, std::size_t>& elsewhere, std::size_t allowed,
    instant now, effects_out effects) {
    const auto queue_length_at = [&](const live_member& member) {
        const auto found = elsewhere.find(member.id);
        return static_cast<double>(member.id == options_.self.id ? queues_[team].size()
                                   : found == elsewhere.end()    ? 0
                                                                 : found->second);
    };
    std::vector<const live_member*> active;
    double total = 0;
    for (const live_member& member : owning_members_) {
        if (zone_active(member.zone)) {
            active.push_back(&member);
            total += queue_length_at(member);
        }
    }
    const double mean = total / static_cast<double>(active.size());
    const double surplus = static_cast<double>(queues_[team].size()) - mean;
    if (surplus < 1) {
        return 0;
    }
    constexpr double short_queue_fraction = 0.5;
    double total_surplus = 0;
    std::vector<const live_member*> receivers;
    for (const live_member* member : active) {
        total_surplus += std::max(queue_length_at(*member) - mean, 0.0);
        if (queue_length_at(*member) < short_queue_fraction * mean) {
            receivers.push_back(member);
        }
    }
    // Returns before sorting the queue if no node is to receive jobs. If this node is missing from
    // the member list, its surplus is not part of the total.
    if (receivers.empty() || total_surplus < surplus) {
        return 0;
    }
    std::vector<job_entry*> movable = movable_jobs(team);
    std::size_t moved = 0;
    for (const live_member* member : receivers) {
        auto count =
            static_cast<std::size_t>((mean - queue_length_at(*member)) * surplus / total_surplus);
        for (; count > 0 && moved < allowed && !movable.empty(); --count, ++moved) {
            reassign(*movable.back(), job_reassigned{}, member, now, effects);
            movable.pop_back();
        }
    }
    operations_ += moved;
    return moved;
}

std::vector<job_entry*> task_scheduler::implementation::movable_jobs(const team_id& team) const {
    std::vector<job_entry*> movable;
    queues_.at(team).for_each([&](std::uint64_t /*order*/, job_entry* entry) {
        if (!entry->reserved_worker && entry->row.visited.empty()) {
            movable.push_back(entry);
        }
    });
    std::ranges::sort(movable, {}, &job_entry::order);
    return movable;
}

void task_scheduler::implementation::reassign(job_entry& entry, const job_event& event,
                                              const live_member* to, instant now,
                                              effects_out effects) {
    entry.next_owner.reset();
    if (to != nullptr) {
        entry.next_owner = *to;
    }
    if (std::holds_alternative<no_worker_fits>(event)) {
        entry.row.visited.push_back(options_.self.id);
        entry.row.reason = "no worker has " + describe(entry.row.job.size);
    }
    const job_id id = entry.row.job.id;
    step(entry, event, now, effects);
    flush_job(id, now, effects);
}

std::string task_scheduler::implementation::describe(const resources& size) {
    constexpr double millicores_per_processor = 1000;
    std::string number =
        std::to_string(static_cast<double>(size.millicores) / millicores_per_processor);
    number.erase(number.find_last_not_of('0') + 1);
    if (number.ends_with('.')) {
        number.pop_back();
    }
    return number + " processors, " + std::to_string(size.memory_mb) + " MB of memory and " +
           std::to_string(size.accelerators) + " accelerators";
}

const live_member* task_scheduler::implementation::unvisited_member(const job_entry& entry) const {
    const auto found = std::ranges::find_if(owning_members_, [&](const live_member& member) {
        return member.id != options_.self.id &&
               std::ranges::find(entry.row.visited, member.id) == entry.row.visited.end();
    });
    return found == owning_members_.end() ? nullptr : &*found;
}

const live_member* task_scheduler::implementation::member_in_active_zone(const job_id& id) const {
    std::vector<live_member> active;
    for (const live_member& member : owning_members_) {
        if (zone_active(member.zone) && member.id != options_.self.id) {
            active.push_back(member);
        }
    }
    const live_member* chosen = rendezvous_owner(active, id.view());
    if (chosen == nullptr) {
        return nullptr;
    }
    return &*std::ranges::find(owning_members_, chosen->id, &live_member::id);
}

void task_scheduler::implementation::review_attached(instant now, effects_out effects) {
    std::vector<job_id> attached;
    for (const auto& [id, entry] : jobs_) {
        if (entry.position == attached_) {
            attached.push_back(id);
        }
    }
    for (const job_id& id : attached) {
        job_entry& entry = jobs_.at(id);
        const live_member* successor = successor_of(entry.row);
        if (successor != nullptr && successor->id != options_.self.id) {
            entry.next_owner = *successor;
            step_and_flush(id, worker_reassigned{}, now, effects);
        } else if (!workers_[*entry.worker].listed &&
                   now - entry.entered_state_at >= options_.lease + options_.sync_timeout) {
            ++counts_.lost;
            step_and_flush(id, worker_lost{}, now, effects);
        }
    }
}

void task_scheduler::implementation::retry_writes(instant now, effects_out effects) {
    const std::set<job_id> due = std::exchange(delayed_writes_, {});
    for (const job_id& id : due) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end()) {
            continue;
        }
        if (found->second.retry_write_at.value_or(now) > now) {
            delayed_writes_.insert(id);
            continue;
        }
        found->second.retry_write_at.reset();
        flush_job(id, now, effects);
    }
}

void task_scheduler::implementation::release_delayed_units(instant now) {
    while (!delayed_unit_releases_.empty() && delayed_unit_releases_.front().first <= now) {
        limits_.release(delayed_unit_releases_.front().second);
        delayed_unit_releases_.pop_front();
    }
}

void task_scheduler::implementation::prune_departed_jobs(instant now) {
    std::erase_if(departed_jobs_, [&](const auto& item) {
        return now - item.second.second >= departed_job_retention;
    });
}

} // namespace citronford
