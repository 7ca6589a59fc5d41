#include "decide/task_scheduler_state.h"

namespace citronford {

job_entry& task_scheduler::implementation::new_job(const job_id& id) {
    job_entry& entry = jobs_[id];
    entry.position = job_machine_.initial();
    entry.order = next_order_++;
    return entry;
}

void task_scheduler::implementation::step(job_entry& entry, const job_event& event, instant now,
                                          effects_out effects) {
    const chart_position before = entry.position;
    job_context context{*this, entry, now, effects};
    job_machine_.step(entry.position, context, event);
    if (entry.position != before) {
        entry.entered_state_at = now;
    }
}

void task_scheduler::implementation::step_and_flush(const job_id& id, const job_event& event,
                                                    instant now, effects_out effects) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end()) {
        step(found->second, event, now, effects);
        flush_job(id, now, effects);
    }
}

void task_scheduler::implementation::flush_job(const job_id& id, instant now, effects_out effects) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    job_entry& entry = found->second;
    const bool final = job_machine_.is_final(entry.position);
    const bool left = final && job_machine_.name_of(entry.position) == "handed_over";
    if (!left && entry.write_needed && entry.pending_write == 0 && !entry.retry_write_at) {
        send_write(entry, effects);
    }
    if (left || (final && entry.pending_write == 0 && !entry.write_needed)) {
        if (left && stopping_since_ && entry.next_owner) {
            unconfirmed_jobs_[id] = {entry.next_owner->id, entry.next_owner->incarnation};
            next_handover_send_ = now;
        }
        departed_jobs_[id] = {entry.version, now};
        jobs_.erase(found);
    }
}

bool task_scheduler::implementation::has_departed(const job_id& id, table_version version) const {
    const auto found = departed_jobs_.find(id);
    return found != departed_jobs_.end() && version <= found->second.first;
}

void task_scheduler::implementation::write_row(job_entry& entry, bool awaited,
                                               effects_out effects) {
    entry.retry_write_at.reset();
    entry.write_needed = true;
    entry.await_next_write = entry.await_next_write || awaited;
    if (awaited) {
        // The result of a write already in flight does not apply to this one.
        entry.awaited_write = 0;
    }
    if (entry.pending_write == 0) {
        send_write(entry, effects);
    }
}

void task_scheduler::implementation::send_write(job_entry& entry, effects_out effects) {
    entry.pending_write = ++last_write_;
    if (entry.await_next_write) {
        entry.awaited_write = entry.pending_write;
    }
    entry.write_needed = false;
    entry.await_next_write = false;
    job_row row = entry.row;
    std::optional<std::uint64_t> generation;
    if (row.owner == options_.self.id && entry.version != absent_row &&
        job_machine_.name_of(entry.position) != "adopting") {
        generation = row.generation;
    }
    if (entry.next_owner) {
        ++row.generation;
        row.owner = entry.next_owner->id;
        row.epoch = entry.next_owner->incarnation;
    }
    effects.emplace_back(write_job{std::move(row), entry.version, generation, entry.pending_write});
}

void task_scheduler::implementation::apply_cancellations(instant now, effects_out effects) {
    const std::set<job_id> batch = std::exchange(pending_cancellations_, {});
    for (const job_id& id : batch) {
        step_and_flush(id, job_cancelled{}, now, effects);
    }
    placement_due_ = placement_due_ || !batch.empty();
}

void task_scheduler::implementation::adopt_orphans(instant now, effects_out effects) {
    std::vector<foreign_job> orphans;
    for (const auto& item : foreign_jobs_) {
        const foreign_job& foreign = item.second;
        const bool live = std::ranges::any_of(live_members_, [&](const live_member& member) {
            return member.id == foreign.row.owner && member.incarnation == foreign.row.epoch;
        });
        const live_member* successor = live ? nullptr : successor_of(foreign.row);
        if (successor != nullptr && successor->id == options_.self.id) {
            orphans.push_back(foreign);
        }
    }
    for (const foreign_job& orphan : orphans) {
        foreign_jobs_.erase(orphan.row.job.id);
        job_entry& entry = new_job(orphan.row.job.id);
        entry.row = orphan.row;
        entry.version = orphan.version;
        entry.former_owner = orphan.row.owner;
        entry.former_epoch = orphan.row.epoch;
        step(entry, job_orphaned{}, now, effects);
    }
}

const live_member* task_scheduler::implementation::successor_of(const job_row& row) const {
    if (row.state == job_state::started) {
        const auto found = worker_index_.find(row.worker);
        if (found != worker_index_.end()) {
            const worker_listing::worker& listing = workers_[found->second].listing;
            return worker_owner(owning_members_, listing.id, listing.zone);
        }
        return rendezvous_owner(owning_members_, row.worker.view());
    }
    return rendezvous_owner(owning_members_, row.job.id.view());
}

} // namespace citronford
