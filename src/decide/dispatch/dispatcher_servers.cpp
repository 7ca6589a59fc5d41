#include "decide/dispatch/dispatcher_state.h"

#include <algorithm>
#include <unordered_set>

namespace citronford {

using namespace dispatch;

void dispatcher::implementation::process(const backend_registered& input) {
    const backend_registration& registration = input.registration;
    auto& backend = servers_[registration.id];
    if (!backend) {
        backend = std::make_unique<backend_entry>();
        // Once the leases of earlier owners have expired, a new server has no runs of theirs.
        backend->contact = now_ < previous_leases_end() ? contact_machine_.initial()
                                                        : contact_machine_.position_of("silent");
        backend->next_poll_at = now_;
        const auto forgotten = forgotten_leases_.find(registration.id);
        if (forgotten != forgotten_leases_.end()) {
            backend->leases_expire_by = forgotten->second;
            forgotten_leases_.erase(forgotten);
        }
    }
    if (backend->registration.leaving != registration.leaving || !backend->registered) {
        log("backend_listed", {}, registration.id,
            std::string(registration.pool.view()) + (registration.leaving ? " leaving" : " ready"));
    }
    // Registrations are written again with each heartbeat, and may be older than the last reply.
    const bool restarted =
        backend->process_start_unix_ms != 0 && registration.process_start_unix_ms != 0 &&
        registration.process_start_unix_ms != backend->process_start_unix_ms &&
        registration.process_start_unix_ms != backend->registration.process_start_unix_ms;
    if (restarted) {
        log_restart(*backend, "registration");
        // The clock and the completion numbers restart with the process.
        forget_process(*backend);
    }
    backend->registration = registration;
    backend->registered = true;
    pool_state& pool = pool_named(registration.pool);
    if (backend->pool != nullptr && backend->pool != &pool) {
        backend->pool->servers.erase(registration.id);
    }
    backend->pool = &pool;
    unregistered_.erase(registration.id);
    pool.servers.emplace(registration.id, backend.get());
    pool.placement_due = true;
    update_watch_lists(*backend);
}

void dispatcher::implementation::process(const backend_deregistered& input) {
    const auto found = servers_.find(input.id);
    if (found != servers_.end() && found->second->registered) {
        found->second->registered = false;
        update_watch_lists(*found->second);
        log("backend_delisted", {}, input.id, std::to_string(found->second->runs.size()) + " runs");
    }
}

dispatcher::implementation::pool_state&
dispatcher::implementation::pool_named(const pool_id& name) {
    pool_state& pool = pools_[name];
    pool.name = name;
    return pool;
}

void dispatcher::implementation::note_unregistered(const present_backends& input) {
    if (now_ >= previous_leases_end()) {
        unregistered_.clear();
        return;
    }
    if (vm_list_received_) {
        // A server that joins a later list has run nothing for an earlier owner.
        const auto listed = [&](const auto& item) {
            return std::ranges::find(input.backends, item.first, &present_backend::id) !=
                   input.backends.end();
        };
        std::erase_if(unregistered_, [&](const auto& item) { return !listed(item); });
        return;
    }
    vm_list_received_ = true;
    for (const present_backend& item : input.backends) {
        if (!servers_.contains(item.id)) {
            unregistered_.emplace(item.id, item);
        }
    }
    log("servers_unregistered", {}, {}, std::to_string(unregistered_.size()));
}

void dispatcher::implementation::process(const present_backends& input) {
    note_unregistered(input);
    idle_vms_ = input.without_backend;
    // A single list may be older than the registration of a new server.
    constexpr int required_absences = 2;
    std::unordered_set<backend_id> present;
    for (const present_backend& item : input.backends) {
        present.insert(item.id);
    }
    for (auto& [id, server] : servers_) {
        server->consecutive_absences = present.contains(id) ? 0 : server->consecutive_absences + 1;
        if (server->consecutive_absences >= required_absences) {
            // The VM is gone or runs another server, so no task of an earlier owner runs there.
            process_contact_event(*server, previous_leases_expired{});
        }
    }
}

void dispatcher::implementation::process(const backends_loaded& /*input*/) {
    backends_loaded_ = true;
}

void dispatcher::implementation::process(const backends_to_drain& input) {
    const std::unordered_set<backend_id> drained(input.now.begin(), input.now.end());
    const std::unordered_set<backend_id> planned(input.later.begin(), input.later.end());
    for (auto& [id, server] : servers_) {
        const bool drain_requested = drained.contains(id);
        server->drain_planned = planned.contains(id);
        if (server->drain_requested == drain_requested) {
            continue;
        }
        server->drain_requested = drain_requested;
        server->pool->placement_due = server->pool->placement_due || !drain_requested;
        update_watch_lists(*server);
    }
}

void dispatcher::implementation::record_run_result(backend_entry& server, bool failed) {
    constexpr double weight = 0.3;
    constexpr double max_failure_ratio = 0.6;
    constexpr duration quarantine = seconds(4);
    server.failure_ratio = server.failure_ratio * (1 - weight) + (failed ? weight : 0);
    if (failed && server.failure_ratio > max_failure_ratio) {
        // Keeps the ratio at the limit, so that one failure after the quarantine starts the next.
        server.failure_ratio = max_failure_ratio;
        if (!is_quarantined(server)) {
            log("backend_quarantined", {}, server.registration.id,
                "quarantine_ms=" + std::to_string(to_ms(quarantine)));
        }
        server.quarantined_until = now_ + quarantine;
    }
}

} // namespace citronford
