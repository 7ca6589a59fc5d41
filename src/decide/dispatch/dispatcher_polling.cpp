#include "decide/dispatch/dispatcher_state.h"
#include "decide/dispatch/lease_time.h"

#include "citronford/overloaded.h"

#include <algorithm>
#include <utility>

namespace citronford {

using namespace dispatch;

absl::StatusOr<dispatcher::implementation::contact_machine>
dispatcher::implementation::bind_contacts(const chart& life_cycle) {
    static constexpr contact_machine::action actions[] = {
        {"expire_runs", [](contact_context& context,
                           const contact_event&) { context.impl.expire_runs(context.server); }},
    };
    return contact_machine::create(life_cycle, {}, actions);
}

void dispatcher::implementation::process_contact_event(backend_entry& server,
                                                       const contact_event& event) {
    const chart_position before = server.contact;
    contact_context context{*this, server};
    contact_machine_.step(server.contact, context, event);
    if (server.contact != before) {
        log_contact(server);
        server.pool->placement_due = true;
        update_watch_lists(server);
    }
}

void dispatcher::implementation::update_watch_lists(backend_entry& server) {
    const auto keep = [&server](std::map<backend_id, backend_entry*>& servers, bool member) {
        if (member) {
            servers.emplace(server.registration.id, &server);
        } else {
            servers.erase(server.registration.id);
        }
    };
    keep(unsettled_, !server.registered || !contact_is(server, "current"));
    keep(leaving_, server.drain_requested || server.registration.leaving);
}

void dispatcher::implementation::mark_contact_failed(backend_entry& server) {
    server.incarnation_confirmed = false;
    process_contact_event(server, call_failed{});
    server.next_poll_at = std::min(server.next_poll_at, now_);
}

void dispatcher::implementation::expire_runs(backend_entry& server) {
    if (server.initial_reply) {
        server.initial_reply->running.clear();
    }
    server.has_unlisted_completions = false;
    const std::vector<task_run*> snapshot = server.runs;
    for (task_run* run : snapshot) {
        process_run_event(*run, lease_expired{});
    }
}

void dispatcher::implementation::process(const poll_answered& input) {
    const auto found = servers_.find(input.backend);
    if (found == servers_.end()) {
        return;
    }
    backend_entry& server = *found->second;
    constexpr duration retry = milliseconds(300);
    server.poll_pending = false;
    std::visit(overloaded{
                   [&](const poll_reply& reply) { process_poll_reply(server, reply); },
                   [&](const command_refused& refused) {
                       if (refused.reason == command_refusal::fenced) {
                           effects_.emplace_back(fenced_out{});
                       }
                       mark_contact_failed(server);
                       server.next_poll_at = now_ + retry;
                   },
                   [&](const backend_replaced&) { process_contact_event(server, replaced{}); },
                   [&](const auto&) {
                       // A single poll may have been lost, so the first one is repeated at once.
                       const bool first_failure = contact_is(server, "current");
                       mark_contact_failed(server);
                       server.next_poll_at = first_failure ? now_ : now_ + retry;
                   },
               },
               input.result);
}

void dispatcher::implementation::process_poll_reply(backend_entry& server, poll_reply reply) {
    const bool changed = reply.process_start_unix_ms != server.process_start_unix_ms;
    const bool restarted = changed && server.process_start_unix_ms != unknown_process;
    if (changed) {
        if (restarted) {
            log_restart(server, "poll");
            // Starts for the earlier process may have reached the new one, or still will.
            assume_longest_lease(server);
        }
        server.process_start_unix_ms = reply.process_start_unix_ms;
        server.process_known_since = now_;
        server.completions = {};
        unsaved_.erase(server.registration.id);
        server.clock.reset();
    }
    server.process_known_since = std::min(server.process_known_since, now_);
    server.update_clock(reply.clock, now_);
    server.last_reply_at = now_;
    server.incarnation_confirmed = true;
    server.poll_wanted = false;
    server.has_unlisted_completions = !reply.has_all_completions;
    process_contact_event(server, poll_succeeded{});
    if (!server.pool->recovered) {
        if (!server.initial_reply) {
            log("backend_read", {}, server.registration.id,
                "running=" + std::to_string(reply.running.size()) +
                    " completions=" + std::to_string(reply.completions.size()) +
                    (reply.has_all_completions ? "" : " and more"));
        }
        // The first poll learns the server's clock; the next one, shortly after, renews the lease.
        // Polls beyond what the leases need would saturate the link of a small VM with the replies
        // of all servers.
        constexpr duration second_poll_delay = milliseconds(100);
        constexpr int renewals_per_lease = 3;
        server.next_poll_at = now_ + (server.poll_renews_lease ? options_.lease / renewals_per_lease
                                                               : second_poll_delay);
        server.initial_reply = std::move(reply);
        return;
    }
    // Completions within the pause are fetched together. One that is not applied yet is listed
    // again at once, so the next poll is later.
    constexpr duration pause = milliseconds(10);
    constexpr duration pause_before_repeat = milliseconds(100);
    if (restarted) {
        // An earlier owner may have reached the new process first: its runs of the same tasks count
        // once those of the earlier process are over.
        end_runs_of_earlier_process(server, reply);
    }
    server.next_poll_at = now_ + (reconcile_runs(server, reply) ? pause : pause_before_repeat);
}

void dispatcher::implementation::end_runs_of_earlier_process(backend_entry& server,
                                                             const poll_reply& reply) {
    const auto names = [](const task_run& run) {
        return
            [&run](const auto& item) { return item.run == run.number && item.task == run.key(); };
    };
    const std::vector<task_run*> snapshot = server.runs;
    for (task_run* run : snapshot) {
        const bool named = std::ranges::any_of(reply.running, names(*run)) ||
                           std::ranges::any_of(reply.completions, names(*run));
        if (!named && reply.has_all_completions) {
            process_run_event(*run, not_reported{server.poll_sent_at});
        }
    }
}

bool dispatcher::implementation::reconcile_runs(backend_entry& server, const poll_reply& reply) {
    const instant polled_at = server.poll_sent_at;
    bool all_applied = true;
    for (const run_completion& completion : reply.completions) {
        if (completion.number > server.completions.applied()) {
            if (awaits_copy(server, completion)) {
                all_applied = false;
                break;
            }
            process_completion(server, completion);
            track_completion(server, completion);
        }
    }
    for (task_run* run : server.runs) {
        run->in_last_reply = false;
    }
    server.has_strays = false;
    for (const running_task& reported : reply.running) {
        process_running_task(server, reported);
    }
    if (!reply.has_all_completions || !all_applied) {
        return all_applied;
    }
    const std::vector<task_run*> snapshot = server.runs;
    for (task_run* run : snapshot) {
        if (!run->in_last_reply) {
            process_run_event(*run, not_reported{polled_at});
        }
    }
    return true;
}

dispatcher::implementation::task_location
dispatcher::implementation::find_task(const task_key& key) {
    const auto found = workflows_.find(key.job);
    if (found == workflows_.end()) {
        return {};
    }
    workflow_entry& entry = *found->second;
    const auto occurrence = entry.occurrences.find(key.occurrence);
    if (occurrence == entry.occurrences.end() || key.step >= occurrence->second.steps.size() ||
        key.index >= occurrence->second.steps[key.step].tasks.size()) {
        return {};
    }
    return {&entry, &occurrence->second, &occurrence->second.steps[key.step].tasks[key.index]};
}

void dispatcher::implementation::process_completion(backend_entry& server,
                                                    const run_completion& completion) {
    const task_location location = find_task(completion.task);
    if (location.record == nullptr) {
        return;
    }
    task_run* run = tracked_run(*location.record, server, completion.run);
    const bool done_by_copy = allows_copies(location.workflow->step(completion.task.step)) &&
                              completion.kind == completion_kind::done;
    if (run != nullptr) {
        process_run_event(*run, completion_reported{&completion});
    } else if ((location.workflow->may_have_unknown_run(*location.record) &&
                (location.record->is_waiting() || done_by_copy)) ||
               (location.record->is_waiting() && completion.run > location.record->last_run)) {
        // A run of an earlier owner, on a server that could not be polled before or that has
        // restarted.
        location.record->last_run = std::max(location.record->last_run, completion.run);
        apply_completion(location, completion.task, completion.run, server,
                         {completion.kind, completion.checkpoint});
    } else if (completion.kind == completion_kind::failed && !location.record->done &&
               !location.workflow->is_ended()) {
        // A failure counts even if the run was already counted as lost: the server did run the
        // task.
        count_failure(location, completion.task, completion.run, server);
    } else if (completion.kind == completion_kind::done && !location.record->done) {
        log("end_ignored", completion.task.job, server.registration.id,
            "run=" + std::to_string(completion.run));
    }
}

void dispatcher::implementation::track_completion(backend_entry& server,
                                                  const run_completion& completion) {
    const task_location location = find_task(completion.task);
    const bool waits = location.workflow != nullptr && location.workflow->changed;
    server.completions.add(completion.number, waits ? location.workflow->ticket : 0);
    unsaved_.emplace(server.registration.id, &server);
}

void dispatcher::implementation::process_running_task(backend_entry& server,
                                                      const running_task& reported) {
    const task_location location = find_task(reported.task);
    task_run* run =
        location.record == nullptr ? nullptr : tracked_run(*location.record, server, reported.run);
    if (run != nullptr) {
        run->in_last_reply = true;
        if (!reported.checkpoint.empty() && !location.record->done) {
            location.record->checkpoint = reported.checkpoint;
        }
        process_run_event(*run, reported_running{&reported});
        return;
    }
    const bool adoptable = location.record != nullptr && location.record->is_waiting() &&
                           !location.workflow->is_ended() &&
                           reported.run >= location.record->last_run;
    if (!adoptable && !may_adopt_copy(location, reported)) {
        stop_stray(server, reported);
        return;
    }
    log("run_adopted", reported.task.job, server.registration.id,
        "run=" + std::to_string(reported.run));
    task_run& adopted = add_run(*location.workflow, *location.occurrence, reported.task.step,
                                reported.task.index, reported.run, server);
    adopted.in_last_reply = true;
    process_run_event(adopted, reported_running{&reported});
}

void dispatcher::implementation::send_polls() {
    for (const auto& [id, server] : servers_) {
        if (!server->poll_pending && now_ >= server->next_poll_at && needs_poll(*server)) {
            emit_poll(*server);
        }
    }
}

bool dispatcher::implementation::needs_poll(const backend_entry& server) const {
    const bool has_unsaved = !server.completions.empty();
    const bool needed = !server.runs.empty() || server.has_strays || server.poll_wanted ||
                        has_unsaved || server.has_unlisted_completions ||
                        !server.incarnation_confirmed || !server.pool->recovered;
    if (!needed || contact_is(server, "gone") ||
        (contact_is(server, "silent") && !server.registered)) {
        return false;
    }
    // Until the completions are saved and acknowledged, the server would answer a long poll
    // immediately with the same completions.
    constexpr duration unsaved_pause = milliseconds(1000);
    return !server.incarnation_confirmed || !has_unsaved ||
           now_ >= server.poll_sent_at + unsaved_pause;
}

/// How long a server may hold a poll: until its next run should have ended. A poll or reply that is
/// lost is noticed only when its time is over, and hides the completions of the server until then.
duration dispatcher::implementation::longest_poll(const backend_entry& server) const {
    constexpr duration longest = milliseconds(1200);
    constexpr duration shortest = milliseconds(200);
    // Runs end somewhat later than estimated as often as earlier.
    constexpr duration margin = milliseconds(50);
    duration wait = longest;
    for (const task_run* run : server.runs) {
        const workflow_step& definition = run->workflow->step(run->step);
        if (definition.long_running || definition.estimate == milliseconds::zero()) {
            continue;
        }
        const instant begun = std::min(run->first_seen_at, now_);
        wait = std::min(wait, begun + definition.estimate + margin - now_);
    }
    return std::max(wait, shortest);
}

void dispatcher::implementation::emit_poll(backend_entry& server) {
    if (!server.has_recent_contact(now_)) {
        // The server may have restarted unseen; a new incarnation numbers its completions from 1.
        server.incarnation_confirmed = false;
    }
    const bool long_poll = server.incarnation_confirmed && server.completions.empty() &&
                           server.pool->recovered && (!server.runs.empty() || server.has_strays);
    poll_request request;
    request.token = options_.token;
    request.process = server.process_start_unix_ms;
    request.acknowledged_completion = server.incarnation_confirmed ? server.completions.saved() : 0;
    request.max_wait = long_poll ? longest_poll(server) : duration::zero();
    // An incarnation that was not seen yet has another clock, by which the lease could be too long.
    if (server.clock && server.incarnation_confirmed && server.registered &&
        now_ < commands_until_) {
        request.lease_until = extend_lease(server);
    }
    server.poll_renews_lease = request.lease_until.has_value();
    server.poll_pending = true;
    server.poll_sent_at = now_;
    effects_.emplace_back(
        send_poll{{server.registration.id, server.registration.address}, request});
}

void dispatcher::implementation::update_contacts() {
    std::erase_if(forgotten_leases_, [this](const auto& item) { return now_ >= item.second; });
    std::vector<backend_entry*> unsettled;
    for (const auto& [id, server] : unsettled_) {
        unsettled.push_back(server);
    }
    for (backend_entry* server : unsettled) {
        if (now_ >= previous_leases_end()) {
            process_contact_event(*server, previous_leases_expired{});
        }
        // After the owner's own lease has expired, a next owner may have renewed the leases on the
        // server, so nothing is concluded from their times.
        const instant leases_end = std::max(server->leases_expire_by, previous_leases_end());
        if (now_ >= leases_end && now_ < lease_until_) {
            process_contact_event(*server, own_leases_expired{});
        }
        const bool unneeded = !server->registered || contact_is(*server, "gone");
        if (unneeded && !may_hold_work(*server)) {
            remove_server(*server);
        }
    }
}

bool dispatcher::implementation::may_hold_work(const backend_entry& server) const {
    // Runs that the reply names become runs of this owner only when the pool is recovered.
    const bool has_unapplied_reply =
        server.initial_reply && !server.pool->recovered && !contact_is(server, "gone");
    return !server.runs.empty() || server.poll_pending || !server.completions.empty() ||
           has_unapplied_reply || server.has_unlisted_completions || contact_is(server, "unread");
}

void dispatcher::implementation::remove_server(const backend_entry& server) {
    log("backend_forgotten", {}, server.registration.id,
        std::string(contact_machine_.name_of(server.contact)));
    if (now_ < server.leases_expire_by) {
        forgotten_leases_.insert_or_assign(server.registration.id, server.leases_expire_by);
    }
    // Keeps the entry until nothing refers to it.
    const auto removed = servers_.extract(server.registration.id);
    const backend_id& id = removed.key();
    server.pool->servers.erase(id);
    unsettled_.erase(id);
    leaving_.erase(id);
    unsaved_.erase(id);
    if (pace_) {
        pace_->servers.forget(id, now_);
    }
}

} // namespace citronford
