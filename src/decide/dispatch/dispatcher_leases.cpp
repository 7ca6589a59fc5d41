#include "decide/dispatch/dispatcher_state.h"
#include "decide/dispatch/lease_time.h"

#include <algorithm>

namespace citronford {

using namespace dispatch;

namespace {

/// Milliseconds since `time`, for a log line; "never" for the initial value of times that are set
/// by an event.
std::string age_text(instant now, instant time) {
    return time == instant::min() ? "never" : std::to_string(to_ms(now - time));
}

} // namespace

backend_clock_ms dispatcher::implementation::extend_lease(backend_entry& server) const {
    const duration age = now_ - server.clock->read_at;
    // A server clock that is 2% slow has advanced less than `age` since it was read, which makes
    // the lease longer by 1/50 of `age`.
    server.leases_expire_by =
        std::max(server.leases_expire_by, now_ + max_local_duration(options_.lease + age / 50));
    return server.clock->clock + to_ms(age + options_.lease);
}

instant dispatcher::implementation::previous_leases_end() const {
    // An earlier owner may have given a lease to a process that began after its last poll, by the
    // clock of the process before: only the server limits such a lease.
    return ownership_began_at_ + options_.previous_owner_grace + longest_lease();
}

duration dispatcher::implementation::longest_lease() const {
    return options_.command_timeout + max_local_duration(options_.max_lease);
}

void dispatcher::implementation::log_restart(const backend_entry& server,
                                             std::string_view noticed_by) {
    // Runs whose start the new incarnation may have executed with a lease for the earlier one.
    const auto unconfirmed = std::ranges::count_if(server.runs, [&](const task_run* run) {
        return run->start_sent_at > server.last_reply_at;
    });
    log("backend_restarted", {}, server.registration.id,
        "runs=" + std::to_string(server.runs.size()) + " noticed_by=" + std::string(noticed_by) +
            " last_reply_ms_ago=" + age_text(now_, server.last_reply_at) +
            " starts_since=" + std::to_string(unconfirmed));
}

void dispatcher::implementation::log_contact(const backend_entry& server) {
    std::string detail(contact_machine_.name_of(server.contact));
    detail += " runs=" + std::to_string(server.runs.size());
    if (contact_is(server, "silent")) {
        detail += " last_reply_ms_ago=" + age_text(now_, server.last_reply_at) +
                  " own_leases_ended_ms_ago=" + age_text(now_, server.leases_expire_by) +
                  " ownership_age_ms=" + age_text(now_, ownership_began_at_);
    }
    log("backend_contact", {}, server.registration.id, std::move(detail));
}

void dispatcher::implementation::process_command_clock(backend_entry& server,
                                                       backend_clock_ms clock) {
    if (server.clock && !server.shows_restart(clock, now_)) {
        server.update_clock(clock, now_);
        return;
    }
    if (server.clock) {
        log("backend_clock_mismatch", {}, server.registration.id,
            "clock_ms=" + std::to_string(clock) +
                " last_clock_ms=" + std::to_string(server.clock->clock) +
                " last_clock_ms_ago=" + age_text(now_, server.clock->read_at));
    }
    forget_process(server);
}

void dispatcher::implementation::forget_process(backend_entry& server) {
    server.incarnation_confirmed = false;
    server.clock.reset();
    server.next_poll_at = now_;
    assume_longest_lease(server);
}

void dispatcher::implementation::note_lease(backend_entry& server, backend_clock_ms lease_until,
                                            backend_clock_ms clock) const {
    const duration lease =
        std::min<duration>(milliseconds(lease_until - clock), options_.max_lease);
    server.leases_expire_by = std::max(server.leases_expire_by, now_ + max_local_duration(lease));
}

void dispatcher::implementation::assume_longest_lease(backend_entry& server) const {
    server.leases_expire_by = std::max(server.leases_expire_by, now_ + longest_lease());
}

void dispatcher::implementation::log_unseen_runs(const task_run& run) {
    const auto& servers = run.server->pool->servers;
    const auto unread = std::ranges::count_if(servers, [this](const auto& item) {
        return contact_is(*item.second, "silent") && item.second->last_reply_at == instant::min();
    });
    if (unread > 0) {
        log("unseen_runs_given_up", run.workflow->row.id, run.server->registration.id,
            "task=" + std::to_string(run.step) + "." + std::to_string(run.index) +
                " run=" + std::to_string(run.number) + " unread_servers=" + std::to_string(unread) +
                " ownership_age_ms=" + age_text(now_, ownership_began_at_));
    }
}

} // namespace citronford
