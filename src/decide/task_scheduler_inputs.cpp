#include "decide/task_scheduler_state.h"

namespace citronford {

void task_scheduler::implementation::on_input(const job_submission& submission, instant now,
                                              effects_out effects) {
    if (jobs_.contains(submission.job.id)) {
        effects.emplace_back(answer_job{submission.caller, result_code::duplicate_request, {}});
        return;
    }
    job_entry& entry = new_job(submission.job.id);
    entry.row.job = submission.job;
    entry.row.owner = options_.self.id;
    entry.row.epoch = options_.self.incarnation;
    entry.caller = submission.caller;
    step(entry, job_submitted{}, now, effects);
}

void task_scheduler::implementation::on_input(const job_cancellation& input, instant /*now*/,
                                              effects_out /*effects*/) {
    pending_cancellations_.insert(input.jobs.begin(), input.jobs.end());
}

void task_scheduler::implementation::on_input(const job_write_result& input, instant now,
                                              effects_out effects) {
    const auto found = jobs_.find(input.job);
    if (found == jobs_.end() || found->second.pending_write != input.write) {
        return;
    }
    job_entry& entry = found->second;
    const bool awaited = entry.awaited_write == input.write;
    entry.pending_write = 0;
    switch (input.result) {
    case job_write_result::outcome::written:
        entry.version = input.version;
        if (awaited) {
            step(entry, row_written{}, now, effects);
        }
        break;
    case job_write_result::outcome::conflict:
        entry.write_needed = false;
        entry.next_owner.reset();
        step(entry, row_conflict{}, now, effects);
        break;
    case job_write_result::outcome::unavailable:
        if (awaited) {
            if (job_machine_.name_of(entry.position) == "adopting") {
                entry.row.owner = entry.former_owner;
                entry.row.epoch = entry.former_epoch;
                --entry.row.generation;
                foreign_jobs_[input.job] = foreign_job{entry.row, entry.version};
            }
            entry.not_before = now + write_retry_delay;
            step(entry, row_unavailable{}, now, effects);
        } else {
            entry.write_needed = true;
            entry.retry_write_at = now + write_retry_delay;
            delayed_writes_.insert(entry.row.job.id);
        }
        break;
    }
    flush_job(input.job, now, effects);
}

void task_scheduler::implementation::on_input(const versioned_job_row& input, instant now,
                                              effects_out effects) {
    const job_row& row = input.row;
    const auto found = jobs_.find(row.job.id);
    const bool mine = row.owner == options_.self.id && row.epoch == options_.self.incarnation;
    if (found != jobs_.end()) {
        job_entry& entry = found->second;
        const bool same = mine && row.generation == entry.row.generation;
        if (same && row.cancel) {
            pending_cancellations_.insert(row.job.id);
        } else if (!same && input.version > entry.version && entry.version != absent_row) {
            if (entry.next_owner && entry.next_owner->id != row.owner) {
                entry.next_owner.reset();
            }
            step(entry, job_taken_over{}, now, effects);
            flush_job(row.job.id, now, effects);
        }
    }
    foreign_jobs_.erase(row.job.id);
    if (ended(row.state) || jobs_.contains(row.job.id)) {
        return;
    }
    if (!mine) {
        foreign_jobs_.emplace(row.job.id, foreign_job{row, input.version});
        return;
    }
    if (has_departed(row.job.id, input.version)) {
        return;
    }
    job_entry& entry = new_job(row.job.id);
    entry.row = row;
    entry.version = input.version;
    step(entry, job_adopted{}, now, effects);
    if (row.cancel) {
        pending_cancellations_.insert(row.job.id);
    }
}

void task_scheduler::implementation::on_input(const worker_listing& input, instant now,
                                              effects_out effects) {
    std::set<worker_id> listed;
    for (const worker_listing::worker& item : input.workers) {
        listed.insert(item.id);
        const std::size_t index = find_or_add_worker(item, now);
        workers_[index].listing = item;
        workers_[index].listed = true;
    }
    for (std::size_t index = 0; index < workers_.size(); ++index) {
        workers_[index].listed = listed.contains(workers_[index].listing.id);
        update_offer(index);
    }
    placement_due_ = true;
    update_ownership(now, effects);
}

void task_scheduler::implementation::on_input(const member_listing& input, instant now,
                                              effects_out effects) {
    live_members_ = input.members;
    update_members();
    update_ownership(now, effects);
    adopt_orphans(now, effects);
}

void task_scheduler::implementation::on_input(const worker_lease_granted& input, instant now,
                                              effects_out effects) {
    step_lease_of(input.worker, lease_granted{input.epoch}, now, effects);
}

void task_scheduler::implementation::on_input(const worker_lease_refused& input, instant now,
                                              effects_out effects) {
    step_lease_of(input.worker, lease_refused{}, now, effects);
}

void task_scheduler::implementation::on_input(const sync_report& report, instant now,
                                              effects_out effects) {
    const auto found = worker_index_.find(report.worker);
    if (found == worker_index_.end()) {
        return;
    }
    const std::size_t index = found->second;
    worker_entry& worker = workers_[index];
    if (worker.pending_sync != report.sequence) {
        return;
    }
    worker.pending_sync = 0;
    std::visit(
        overloaded{
            [&](const sync_accepted& result) {
                process_sync_reply(index, report.sequence, result, now, effects);
            },
            [&](const sync_rejected& /*result*/) {
                worker.reacquire_at = now + options_.lease;
                step_lease(index, epoch_rejected{}, now, effects);
            },
            [&](const sync_unreachable& /*result*/) { requeue_starts(index, report.sequence); },
            [](const sync_unanswered& /*result*/) {},
        },
        report.result);
}

void task_scheduler::implementation::on_input(const scheduler_tick& tick, instant now,
                                              effects_out effects) {
    confirmed_at_ = tick.confirmed_at;
    ledger_.advance(now);
    release_delayed_units(now);
    check_leases(now, effects);
    apply_cancellations(now, effects);
    if (now >= next_review_) {
        next_review_ = now + review_interval;
        review(now, effects);
    }
    // Queued urgent jobs wait for evictions, whose time-outs are not inputs, so they are placed at
    // every tick.
    if (stopping_since_) {
        hand_over(now, effects);
    } else if (placement_due_ || !urgent_.empty()) {
        placement_due_ = false;
        schedule(now, effects);
    }
    send_syncs(now, effects);
}

} // namespace citronford
