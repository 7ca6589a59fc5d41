#include "decide/task_scheduler_state.h"

namespace citronford {
namespace {

/// Limit on the job ids and on the worker ids in one message, which keeps it far below the size
/// limit of a frame.
constexpr std::size_t max_ids_per_message = 1000;

} // namespace

void task_scheduler::implementation::update_members() {
    const auto live = [&](const member_id& member) {
        return std::ranges::any_of(live_members_, [&](const live_member& item) {
            return item.id == member.node && item.incarnation == member.incarnation;
        });
    };
    std::erase_if(stopping_members_, [&](const member_id& member) { return !live(member); });
    std::erase_if(released_workers_, [&](const auto& item) { return !live(item.second); });
    owning_members_.clear();
    std::ranges::copy_if(
        live_members_, std::back_inserter(owning_members_), [&](const live_member& item) {
            const bool stops = item.id == options_.self.id && stopping_since_;
            return !stops && !stopping_members_.contains({item.id, item.incarnation});
        });
}

bool task_scheduler::implementation::renewed_by_stopping_node(const worker_entry& worker) const {
    const live_member* owner = worker_owner(live_members_, worker.listing.id, worker.listing.zone);
    if (owner == nullptr) {
        return false;
    }
    if (owner->id == options_.self.id) {
        return stopping_since_ && worker.epoch != 0;
    }
    return stopping_members_.contains({owner->id, owner->incarnation}) &&
           !released_workers_.contains(worker.listing.id);
}

void task_scheduler::implementation::on_input(const scheduler_stop& /*input*/, instant now,
                                              effects_out effects) {
    if (stopping_since_) {
        return;
    }
    stopping_since_ = now;
    next_handover_send_ = now;
    update_members();
    hand_over(now, effects);
}

void task_scheduler::implementation::on_input(const handover_received& input, instant now,
                                              effects_out effects) {
    if (input.message.confirms) {
        informed_peers_.insert(input.from);
        for (const job_id& id : input.message.jobs) {
            unconfirmed_jobs_.erase(id);
        }
        for (const worker_id& id : input.message.workers) {
            unconfirmed_workers_.erase(id);
        }
        return;
    }
    stopping_members_.insert(input.from);
    for (const worker_id& id : input.message.workers) {
        const bool already_released = !released_workers_.emplace(id, input.from).second;
        const auto found = worker_index_.find(id);
        if (!already_released && found != worker_index_.end()) {
            workers_[found->second].reacquire_at = now;
        }
    }
    update_members();
    update_ownership(now, effects);
    confirm_handover(input.from, input.message, effects);
}

void task_scheduler::implementation::confirm_handover(const member_id& from,
                                                      const job_handover& offered,
                                                      effects_out effects) {
    const auto sender = std::ranges::find(live_members_, from.node, &live_member::id);
    if (sender == live_members_.end()) {
        return;
    }
    job_handover reply;
    reply.confirms = true;
    for (const job_id& id : offered.jobs) {
        if (jobs_.contains(id) || departed_jobs_.contains(id)) {
            reply.jobs.push_back(id);
        }
    }
    for (const worker_id& id : offered.workers) {
        const auto found = worker_index_.find(id);
        if (found != worker_index_.end() && workers_[found->second].epoch != 0) {
            reply.workers.push_back(id);
        }
    }
    if (reply.jobs.size() < offered.jobs.size()) {
        effects.emplace_back(read_jobs{});
    }
    effects.emplace_back(send_peer{from.node, sender->address, std::move(reply)});
}

void task_scheduler::implementation::hand_over(instant now, effects_out effects) {
    std::erase_if(unconfirmed_jobs_, [&](const auto& item) {
        // The new owner is gone or stopping and will not confirm; the node that takes over from it
        // adopts the job.
        return std::ranges::none_of(owning_members_, [&](const live_member& member) {
            return member.id == item.second.node && member.incarnation == item.second.incarnation;
        });
    });
    if (owning_members_.empty()) {
        return;
    }
    const bool all_informed = std::ranges::all_of(owning_members_, [&](const live_member& member) {
        return informed_peers_.contains({member.id, member.incarnation});
    });
    if (all_informed || now - *stopping_since_ >= options_.handover_notice_delay) {
        std::vector<job_entry*> waiting;
        for (const auto& [order, entry] : urgent_) {
            waiting.push_back(entry);
        }
        for (const auto& [team, queue] : queues_) {
            queue.for_each([&](std::uint64_t, job_entry* entry) { waiting.push_back(entry); });
        }
        for (job_entry* entry : waiting) {
            if (entry->not_before <= now) {
                reassign(*entry, job_reassigned{}, successor_of(entry->row), now, effects);
            }
        }
        for (std::size_t index = 0; index < workers_.size(); ++index) {
            hand_over_jobs(index, now, effects);
        }
    }
    send_handovers(now, effects);
}

void task_scheduler::implementation::hand_over_jobs(std::size_t index, instant now,
                                                    effects_out effects) {
    const std::vector<job_id> jobs(workers_[index].jobs.begin(), workers_[index].jobs.end());
    for (const job_id& id : jobs) {
        job_entry& entry = jobs_.at(id);
        if (entry.position == starting_ && entry.start_sequence == 0) {
            step_and_flush(id, worker_detached{}, now, effects);
        } else if ((entry.position == running_ || entry.position == evicting_ ||
                    entry.position == attached_) &&
                   entry.not_before <= now) {
            entry.next_owner = *successor_of(entry.row);
            step_and_flush(id, worker_reassigned{}, now, effects);
        }
    }
    worker_entry& worker = workers_[index];
    if (worker.epoch != 0 && may_release(worker)) {
        step_lease(index, ownership_lost{}, now, effects);
        unconfirmed_workers_.insert(worker.listing.id);
        next_handover_send_ = now;
    }
}

bool task_scheduler::implementation::may_release(const worker_entry& worker) const {
    return worker.jobs.empty() && std::ranges::none_of(jobs_, [&](const auto& item) {
               const job_entry& entry = item.second;
               return entry.position == handing_over_ && entry.row.state == job_state::started &&
                      entry.row.worker == worker.listing.id;
           });
}

void task_scheduler::implementation::send_handovers(instant now, effects_out effects) {
    if (now < next_handover_send_) {
        return;
    }
    next_handover_send_ = now + options_.handover_resend_interval;
    for (const live_member& member : owning_members_) {
        job_handover handover;
        for (const auto& [id, owner] : unconfirmed_jobs_) {
            if (owner.node == member.id && handover.jobs.size() < max_ids_per_message) {
                handover.jobs.push_back(id);
            }
        }
        for (const worker_id& id : unconfirmed_workers_) {
            const worker_listing::worker& listing = workers_[worker_index_.at(id)].listing;
            if (worker_owner(owning_members_, id, listing.zone)->id == member.id &&
                handover.workers.size() < max_ids_per_message) {
                handover.workers.push_back(id);
            }
        }
        if (!handover.jobs.empty() || !handover.workers.empty() ||
            !informed_peers_.contains({member.id, member.incarnation})) {
            effects.emplace_back(send_peer{member.id, member.address, std::move(handover)});
        }
    }
}

std::size_t task_scheduler::implementation::open_handovers() const {
    if (!stopping_since_) {
        return 0;
    }
    if (owning_members_.empty()) {
        // No node can take over: queued jobs stay in the table, and started ones finish here.
        return static_cast<std::size_t>(std::ranges::count_if(jobs_, [&](const auto& item) {
            return item.second.position != queued_ && item.second.position != attached_;
        }));
    }
    const auto held = std::ranges::count_if(
        workers_, [](const worker_entry& worker) { return worker.epoch != 0; });
    return jobs_.size() + static_cast<std::size_t>(held) + unconfirmed_jobs_.size() +
           unconfirmed_workers_.size();
}

} // namespace citronford
