#include "decide/dispatch/dispatcher_state.h"

#include "citronford/overloaded.h"

#include <algorithm>
#include <utility>

namespace citronford {

using namespace dispatch;

namespace {

/// Clocks of servers may be 2% slow; another 1% is a margin.
constexpr double slowest_clock = 1.03;

/// Between the moment when a lease is computed and its arrival at the server, and rounding.
constexpr duration lease_margin = milliseconds(100);

duration on_slow_clock(duration span) {
    return std::chrono::duration_cast<duration>(span * slowest_clock) + lease_margin;
}

} // namespace

absl::StatusOr<dispatcher::implementation::contact_machine>
dispatcher::implementation::bind_contacts(const chart& life_cycle) {
    static constexpr contact_machine::action actions[] = {
        {"expire_runs", [](contact_context& context,
                           const contact_event&) { context.board.expire_runs(context.server); }},
    };
    return contact_machine::create(life_cycle, {}, actions);
}

void dispatcher::implementation::step_contact(backend_entry& server, const contact_event& event) {
    const chart_position before = server.contact;
    contact_context context{*this, server};
    contact_machine_.step(server.contact, context, event);
    if (server.contact != before) {
        note("backend_contact", {}, server.listing.id,
             std::string(contact_machine_.name_of(server.contact)) +
                 " runs=" + std::to_string(server.runs.size()));
        pools_[server.listing.pool].due = true;
    }
}

void dispatcher::implementation::fail_contact(backend_entry& server) {
    server.confirmed = false;
    step_contact(server, call_failed{});
    server.next_look_at = std::min(server.next_look_at, now_);
}

void dispatcher::implementation::expire_runs(backend_entry& server) {
    const std::vector<task_run*> present = server.runs;
    for (task_run* run : present) {
        step_run(*run, lease_over{});
    }
}

void dispatcher::implementation::note_clock(backend_entry& server, backend_clock_ms clock) const {
    if (!server.clock || clock >= server.clock->clock) {
        server.clock = clock_reading{clock, now_};
    }
}

backend_clock_ms dispatcher::implementation::renewed_lease(backend_entry& server) const {
    const duration age = now_ - server.clock->at;
    // The clock of the server may have moved less than ours since it was read.
    server.lease_bound =
        std::max(server.lease_bound, now_ + on_slow_clock(options_.lease + age / 50));
    return server.clock->clock + to_ms(age + options_.lease);
}

void dispatcher::implementation::take(const look_answered& input) {
    const auto found = servers_.find(input.backend);
    if (found == servers_.end()) {
        return;
    }
    backend_entry& server = *found->second;
    constexpr duration retry = milliseconds(300);
    server.look_open = false;
    std::visit(overloaded{
                   [&](const backend_view& view) { take_view(server, view); },
                   [&](const order_refused& refused) {
                       if (refused.why == order_refusal::fenced) {
                           effects_.emplace_back(fenced_out{});
                       }
                       fail_contact(server);
                       server.next_look_at = now_ + retry;
                   },
                   [&](const backend_replaced&) { step_contact(server, replaced{}); },
                   [&](const auto&) {
                       fail_contact(server);
                       server.next_look_at = now_ + retry;
                   },
               },
               input.result);
}

void dispatcher::implementation::take_view(backend_entry& server, backend_view view) {
    if (view.born_unix_ms != server.born_unix_ms) {
        if (server.born_unix_ms != 0) {
            note("backend_restarted", {}, server.listing.id,
                 std::to_string(server.runs.size()) + " runs");
            // Leases that were meant for the earlier life may have reached the new one.
            server.lease_bound = now_ + on_slow_clock(options_.max_lease);
        }
        server.born_unix_ms = view.born_unix_ms;
        server.ends_taken = 0;
        server.ends_saving = 0;
        server.ends_saved = 0;
        server.clock.reset();
    }
    note_clock(server, view.clock);
    server.last_view_at = now_;
    server.confirmed = true;
    server.look_wanted = false;
    step_contact(server, lists_read{});
    pool_state& pool = pools_[server.listing.pool];
    if (!pool.settled) {
        // A look soon after another one renews the lease. More often than the leases need it, the
        // lists of all servers would fill the link of a small VM.
        constexpr duration soon = milliseconds(100);
        constexpr int renewals_per_lease = 3;
        server.next_look_at =
            now_ + (server.look_renews ? options_.lease / renewals_per_lease : soon);
        server.first_view = std::move(view);
        return;
    }
    apply_view(server, view);
    // Ends that come within the pause are fetched together.
    constexpr duration pause = milliseconds(10);
    server.next_look_at = now_ + pause;
}

void dispatcher::implementation::apply_view(backend_entry& server, const backend_view& view) {
    const instant asked_at = server.look_sent_at;
    for (const ended_task& end : view.ended) {
        if (end.number > server.ends_taken) {
            take_end(server, end);
            server.ends_taken = end.number;
        }
    }
    for (task_run* run : server.runs) {
        run->listed = false;
    }
    server.has_strays = false;
    for (const running_task& shown : view.running) {
        take_running(server, shown);
    }
    if (!view.all_ends) {
        return;
    }
    const std::vector<task_run*> present = server.runs;
    for (task_run* run : present) {
        if (!run->listed) {
            step_run(*run, not_listed{asked_at});
        }
    }
}

dispatcher::implementation::task_place dispatcher::implementation::place_of(const task_key& key) {
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

void dispatcher::implementation::take_end(backend_entry& server, const ended_task& end) {
    const task_place place = place_of(end.task);
    if (place.slot == nullptr) {
        return;
    }
    task_run* run = place.slot->run;
    if (run != nullptr && run->server == &server && run->number == end.run) {
        step_run(*run, end_listed{&end});
    } else if (place.slot->waits() && place.workflow->unaccounted(*place.slot)) {
        // A run of an earlier owner on a server that could not be read before.
        place.slot->last_run = std::max(place.slot->last_run, end.run);
        apply_end(place, end.task, end.run, server, {end.how, end.checkpoint});
    } else if (end.how == run_end::failed && !place.slot->done && !place.workflow->is_ended()) {
        // A failure counts even if its run was taken as lost: the server did run the task.
        count_failure(place, end.task, end.run, server);
    } else if (end.how == run_end::done && !place.slot->done) {
        note("end_ignored", end.task.job, server.listing.id, "run=" + std::to_string(end.run));
    }
}

void dispatcher::implementation::take_running(backend_entry& server, const running_task& shown) {
    const task_place place = place_of(shown.task);
    task_run* run = place.slot == nullptr ? nullptr : place.slot->run;
    if (run != nullptr && run->server == &server && run->number == shown.run) {
        run->listed = true;
        if (!shown.checkpoint.empty() && !place.slot->done) {
            place.slot->checkpoint = shown.checkpoint;
        }
        step_run(*run, seen_running{&shown});
        return;
    }
    const bool adoptable = place.slot != nullptr && place.slot->waits() &&
                           !place.workflow->is_ended() && shown.run >= place.slot->last_run;
    if (!adoptable) {
        stop_stray(server, shown);
        return;
    }
    note("run_adopted", shown.task.job, server.listing.id, "run=" + std::to_string(shown.run));
    task_run& adopted = add_run(*place.workflow, *place.occurrence, shown.task.step,
                                shown.task.index, shown.run, server);
    adopted.listed = true;
    step_run(adopted, seen_running{&shown});
}

void dispatcher::implementation::send_looks() {
    for (const auto& [id, server] : servers_) {
        if (server->look_open || now_ < server->next_look_at || is(*server, "gone") ||
            (is(*server, "silent") && !server->listed)) {
            continue;
        }
        const bool ends_open = server->ends_saved < server->ends_taken;
        const bool settled = pools_[server->listing.pool].settled;
        const bool needed = !server->confirmed || !settled || !server->runs.empty() ||
                            server->has_strays || server->look_wanted || ends_open;
        // While ends are being saved, a held look would return at once with the same ends.
        constexpr duration unsaved_pause = milliseconds(1000);
        const bool repeats =
            server->confirmed && ends_open && now_ < server->look_sent_at + unsaved_pause;
        if (needed && !repeats) {
            order_look(*server);
        }
    }
}

void dispatcher::implementation::order_look(backend_entry& server) {
    constexpr duration longest_wait = milliseconds(1200);
    if (!server.fresh(now_)) {
        // A life of the VM that was not seen yet numbers its ends from one again.
        server.confirmed = false;
    }
    const bool may_wait = server.confirmed && server.ends_saved >= server.ends_taken &&
                          pools_[server.listing.pool].settled &&
                          (!server.runs.empty() || server.has_strays);
    look_order order;
    order.token = options_.token;
    order.ends_seen = server.confirmed ? server.ends_saved : 0;
    order.wait = may_wait ? longest_wait : duration::zero();
    // A life of the VM that was not seen yet has another clock, by which the lease would be long.
    if (server.clock && server.confirmed && server.listed && now_ < authority_until_) {
        order.lease_until = renewed_lease(server);
    }
    server.look_renews = order.lease_until.has_value();
    server.look_open = true;
    server.look_sent_at = now_;
    effects_.emplace_back(send_look{{server.listing.id, server.listing.address}, order});
}

instant dispatcher::implementation::earlier_leases_end() const {
    return begun_at_ + options_.previous_owner_grace + on_slow_clock(options_.lease);
}

void dispatcher::implementation::review_contacts() {
    std::vector<backend_id> forgotten;
    for (const auto& [id, server] : servers_) {
        if (now_ >= earlier_leases_end()) {
            step_contact(*server, earlier_leases_over{});
        }
        // Once the ownership may have passed on, the next owner may have renewed the leases.
        const instant leases_end = std::max(server->lease_bound, earlier_leases_end());
        if (now_ >= leases_end && now_ < lease_until_) {
            step_contact(*server, own_leases_over{});
        }
        const bool unneeded = !server->listed || is(*server, "gone");
        if (unneeded && server->runs.empty() && !server->look_open &&
            server->ends_saved >= server->ends_taken && !is(*server, "unread")) {
            forgotten.push_back(id);
        }
    }
    for (const backend_id& id : forgotten) {
        pools_[servers_.at(id)->listing.pool].servers.erase(id);
        servers_.erase(id);
    }
}

void dispatcher::implementation::rate_server(backend_entry& server, bool failed) {
    constexpr double weight = 0.3;
    constexpr double most_failed = 0.6;
    constexpr duration quarantine = seconds(4);
    server.failure_ratio = server.failure_ratio * (1 - weight) + (failed ? weight : 0);
    if (failed && server.failure_ratio > most_failed) {
        // One more failure after the quarantine is enough for the next.
        server.failure_ratio = most_failed;
        server.quarantined_until = now_ + quarantine;
        note("backend_quarantined", {}, server.listing.id,
             "quarantine_ms=" + std::to_string(to_ms(quarantine)));
    }
}

} // namespace citronford
