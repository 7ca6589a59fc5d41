#include "decide/task_scheduler_state.h"

namespace citronford {

void task_scheduler::implementation::review(instant now, effects_out effects) {
    update_ownership(now, effects);
    adopt_orphans(now, effects);
    retry_writes(now, effects);
    forget_left(now);
    for (std::size_t index = 0; index < workers_.size(); ++index) {
        review_worker(index, now, effects);
    }
    for (job_entry* entry : unplaced_jobs()) {
        measure_wait(*entry, now, effects);
    }
    if (!stopping_since_) {
        review_queued(now, effects);
    }
    if (!stopping_since_ && now >= next_balance_) {
        next_balance_ = now + balance_period;
        balance_queues(now, effects);
    }
    review_attached(now, effects);
    review_throttle();
    dirty_ = true;
}

void task_scheduler::implementation::review_worker(std::size_t index, instant now,
                                                   effects_out effects) {
    worker_entry& worker = workers_[index];
    if (!worker.listed) {
        step(index, worker_delisted{}, now, effects);
        if (lease_machine_.is_final(worker.position)) {
            health_.handle(index, worker_gone{}, now);
        }
    }
    const bool moves_out = worker.position == held_ && (worker.leaving || worker.listing.leaving ||
                                                        !zone_open(worker.listing.zone));
    const bool units_lapse = limits_.lapsed_for() >= options_.checkpoint_after_lapse;
    const std::vector<job_id> jobs(worker.jobs.begin(), worker.jobs.end());
    for (const job_id& id : jobs) {
        const job_entry& entry = jobs_.at(id);
        const bool ends = moves_out || (units_lapse && !entry.row.job.team.empty());
        if (ends && entry.position == running_ && entry.row.job.restartable) {
            ++counts_.evicted;
            step_job(id, eviction_wanted{}, now, effects);
        } else if (entry.position == evicting_ &&
                   now - entry.since >= options_.checkpoint_timeout) {
            step_job(id, checkpoint_timeout{}, now, effects);
        }
    }
    if (moves_out) {
        const std::vector<job_id> unsent(worker.to_start);
        for (const job_id& id : unsent) {
            step_job(id, worker_detached{}, now, effects);
        }
    }
}

bool task_scheduler::implementation::settled(instant now) const {
    // Queued jobs of a node that stops or died may arrive before its workers.
    const auto awaited = [&](const worker_entry& worker) {
        const live_member* owner = worker_owner(members_, worker.listing.id, worker.listing.zone);
        return worker.listed && worker.epoch == 0 && owner->id == options_.self.id;
    };
    return !members_.empty() && leaving_.empty() &&
           std::ranges::all_of(workers_, [&](const worker_entry& worker) {
               return !awaited(worker) &&
                      (worker.known || now - worker.listed_at >= options_.settle);
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

void task_scheduler::implementation::measure(job_entry& entry, bool bad, effects_out effects) {
    if (!std::exchange(entry.counted, true)) {
        effects.emplace_back(job_sli_event{entry.row.job.id, entry.row.job.team, bad});
    }
}

void task_scheduler::implementation::measure_wait(job_entry& entry, instant now,
                                                  effects_out effects) const {
    const fleet_defaults& defaults = fleet_.defaults;
    const duration allowed = entry.row.job.urgent ? defaults.urgent_job_wait : defaults.job_wait;
    if (entry.waits_since && now - *entry.waits_since > allowed) {
        measure(entry, true, effects);
    }
}

void task_scheduler::implementation::review_queued(instant now, effects_out effects) {
    if (!settled(now)) {
        return;
    }
    std::vector<resources> sizes;
    bool any_usable = false;
    for (const worker_entry& worker : workers_) {
        if (worker.known && worker.epoch != 0 &&
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
            pass_on(*entry, fits_nowhere{}, unvisited_member(*entry), now, effects);
        } else if (!any_usable) {
            const live_member* other = member_with_open_zone(entry->row.job.id);
            if (other != nullptr) {
                pass_on(*entry, capacity_elsewhere{}, other, now, effects);
            }
        }
    }
}

void task_scheduler::implementation::balance_queues(instant now, effects_out effects) {
    if (!options_.fair_share || !settled(now) || !zone_open(options_.self.zone) || !full()) {
        return;
    }
    std::map<team_id, std::map<node_id, std::size_t>> waiting;
    for (const auto& [id, foreign] : foreign_) {
        if (foreign.row.state == job_state::queued && !foreign.row.job.urgent) {
            ++waiting[foreign.row.job.team][foreign.row.owner];
        }
    }
    operations_ += foreign_.size();
    std::size_t allowed = most_moved;
    for (const team_id& team : waiting_teams()) {
        allowed -= share_out(team, waiting[team], allowed, now, effects);
    }
}

std::size_t
task_scheduler::implementation::share_out(const team_id& team,
                                          const std::map<node_id, std::size_t>& elsewhere,
                                          std::size_t allowed, instant now, effects_out effects) {
    const auto waits_at = [&](const live_member& member) {
        const auto found = elsewhere.find(member.id);
        return static_cast<double>(member.id == options_.self.id ? queues_[team].size()
                                   : found == elsewhere.end()    ? 0
                                                                 : found->second);
    };
    std::vector<const live_member*> open;
    double total = 0;
    for (const live_member& member : members_) {
        if (zone_open(member.zone)) {
            open.push_back(&member);
            total += waits_at(member);
        }
    }
    const double mean = total / static_cast<double>(open.size());
    const double surplus = static_cast<double>(queues_[team].size()) - mean;
    if (surplus < 1) {
        return 0;
    }
    constexpr double short_queue = 0.5;
    double all_surplus = 0;
    std::vector<const live_member*> receivers;
    for (const live_member* member : open) {
        all_surplus += std::max(waits_at(*member) - mean, 0.0);
        if (waits_at(*member) < short_queue * mean) {
            receivers.push_back(member);
        }
    }
    // Without receivers the queue is not sorted; a node that no member list names has no part in
    // the surplus.
    if (receivers.empty() || all_surplus < surplus) {
        return 0;
    }
    std::vector<job_entry*> movable = newest_movable(team);
    std::size_t moved = 0;
    for (const live_member* member : receivers) {
        auto part = static_cast<std::size_t>((mean - waits_at(*member)) * surplus / all_surplus);
        for (; part > 0 && moved < allowed && !movable.empty(); --part, ++moved) {
            pass_on(*movable.back(), capacity_elsewhere{}, member, now, effects);
            movable.pop_back();
        }
    }
    operations_ += moved;
    return moved;
}

std::vector<job_entry*> task_scheduler::implementation::newest_movable(const team_id& team) const {
    std::vector<job_entry*> movable;
    queues_.at(team).for_each([&](std::uint64_t /*order*/, job_entry* entry) {
        if (!entry->reserved_on && entry->row.visited.empty()) {
            movable.push_back(entry);
        }
    });
    std::ranges::sort(movable, {}, &job_entry::order);
    return movable;
}

void task_scheduler::implementation::pass_on(job_entry& entry, const job_event& event,
                                             const live_member* to, instant now,
                                             effects_out effects) {
    entry.next_owner.reset();
    if (to != nullptr) {
        entry.next_owner = *to;
    }
    if (std::holds_alternative<fits_nowhere>(event)) {
        entry.row.visited.push_back(options_.self.id);
        entry.row.reason = "no worker has " + described(entry.row.job.size);
    }
    const job_id id = entry.row.job.id;
    step(entry, event, now, effects);
    settle_job(id, now, effects);
}

std::string task_scheduler::implementation::described(const resources& size) {
    constexpr double thousand = 1000;
    std::string number = std::to_string(static_cast<double>(size.millicores) / thousand);
    number.erase(number.find_last_not_of('0') + 1);
    if (number.ends_with('.')) {
        number.pop_back();
    }
    return number + " processors, " + std::to_string(size.memory_mb) + " MB of memory and " +
           std::to_string(size.accelerators) + " accelerators";
}

const live_member* task_scheduler::implementation::unvisited_member(const job_entry& entry) const {
    const auto found = std::ranges::find_if(members_, [&](const live_member& member) {
        return member.id != options_.self.id &&
               std::ranges::find(entry.row.visited, member.id) == entry.row.visited.end();
    });
    return found == members_.end() ? nullptr : &*found;
}

const live_member* task_scheduler::implementation::member_with_open_zone(const job_id& id) const {
    std::vector<live_member> open;
    for (const live_member& member : members_) {
        if (zone_open(member.zone) && member.id != options_.self.id) {
            open.push_back(member);
        }
    }
    const live_member* chosen = rendezvous_owner(open, id.view());
    if (chosen == nullptr) {
        return nullptr;
    }
    return &*std::ranges::find(members_, chosen->id, &live_member::id);
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
            step_job(id, worker_elsewhere{}, now, effects);
        } else if (!workers_[*entry.worker].listed &&
                   now - entry.since >= options_.lease + options_.sync_timeout) {
            ++counts_.lost;
            step_job(id, worker_lost{}, now, effects);
        }
    }
}

void task_scheduler::implementation::retry_writes(instant now, effects_out effects) {
    const std::set<job_id> due = std::exchange(rewrites_, {});
    for (const job_id& id : due) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end()) {
            continue;
        }
        if (found->second.write_again_at.value_or(now) > now) {
            rewrites_.insert(id);
            continue;
        }
        found->second.write_again_at.reset();
        settle_job(id, now, effects);
    }
}

void task_scheduler::implementation::release_held_units(instant now) {
    while (!held_units_.empty() && held_units_.front().first <= now) {
        limits_.release(held_units_.front().second);
        held_units_.pop_front();
    }
}

void task_scheduler::implementation::forget_left(instant now) {
    std::erase_if(left_, [&](const auto& item) { return now - item.second.second >= memory; });
}

} // namespace citronford
