// The scheduler daemon of an entry VM on the users' platform.
#include "citronford/fleet_settings.h"
#include "citronford/invariant.h"
#include "daemon_main.h"
#include "io/event_loop.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "io/listener_set.h"
#include "io/log.h"
#include "io/process_memory.h"
#include "leave_when_answered.h"
#include "node/fleet/fleet_node.h"
#include "platform/backend_client.h"
#include "platform/job_front.h"
#include "platform/platform_rows.h"
#include "platform/table_client.h"
#include "platform/vm_client.h"

#include <chrono>
#include <csignal>
#include <cstdlib>

namespace {

using namespace citronford;

/// Connections to the platform: three are held by watches, the others carry single calls.
constexpr std::size_t platform_connections = 8;

/// Connections to one backend server: one is held by a long poll, the other carries commands. The
/// owner is connected to every server of the fleet, within the descriptors of a small VM.
constexpr std::size_t backend_connections = 2;

/// Looks at the listeners before the process ends with requests open, over 100 ms: within the stop
/// margin of the node, which is 300 ms.
constexpr int last_looks = 10;

std::int64_t unix_ms() {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Logs the end of a planned stop and exits at once: h2o keeps open connections in the loop, which
/// need not be closed before the process ends.
[[noreturn]] void leave_process(const fleet_settings& own_settings, const listener_set& listeners) {
    log_loads("stopped", listeners.loads());
    log_event(
        log_level::info, "stopped",
        {{"node", own_settings.node.view()},
         {"invariant_violations", static_cast<std::int64_t>(invariant_monitor::violations())}});
    std::_Exit(EXIT_SUCCESS);
}

/// Reads the settings again, applies those that can change in a running process, and logs them.
void reload(const std::string& path) {
    const auto read = load_fleet_settings(path);
    if (!read.ok()) {
        log_event(log_level::error, "reload_failed", {{"reason", message_of(read.status())}});
        return;
    }
    log_level level = log_level::info;
    parse_log_level(read->log_level, level);
    set_log_level(level);
    log_event(log_level::info, "reloaded", {{"log_level", read->log_level}});
}

int run(const fleet_settings& own_settings, const std::string& path) {
    auto loop = event_loop::create();
    if (!loop.ok()) {
        return start_failure(loop.status());
    }
    http_client platform_calls((*loop)->handle(), **loop, {platform_connections});
    http_client backend_calls((*loop)->handle(), **loop, {backend_connections});
    table_client table(platform_calls, own_settings.table);
    vm_client vms(platform_calls, own_settings.vms);
    backend_client backends(backend_calls);
    const platform_rows rows;
    listener_set listeners;
    http_server* caller_server = nullptr;
    auto created = fleet_node::create(
        own_settings, {**loop, table, backends, vms, rows, unix_ms},
        {[&] { return caller_server->open_requests(); },
         [&] { return caller_server->open_connections(); }, [&] { return listeners.loads(); },
         [&] { listeners.close_after_answers(); }, [&] { caller_server->stop_accepting(); },
         [&] {
             listeners.stop_accepting();
             leave_when_answered(
                 **loop, [&] { return listeners.answered(); },
                 [&] { leave_process(own_settings, listeners); }, last_looks);
         },
         resident_bytes});
    if (!created.ok()) {
        return start_failure(created.status());
    }
    fleet_node& target = **created;
    // Before any connection is accepted: a signal without a handler would end the process under it.
    (*loop)->on_signal(SIGTERM, [&] { target.request_stop(); });
    (*loop)->on_signal(SIGINT, [&] { target.request_stop(); });
    (*loop)->on_signal(SIGHUP, [&] { reload(path); });
    job_front callers(target, unix_ms);
    auto listening =
        http_server::create((*loop)->handle(), own_settings.callers, own_settings.body_limit,
                            [&](const http_request& request, const http_responder& responder) {
                                callers.handle(request, responder);
                            });
    if (!listening.ok()) {
        return start_failure(listening.status());
    }
    caller_server = &listeners.add("callers", *std::move(listening));
    auto health_server =
        http_server::create((*loop)->handle(), own_settings.health, own_settings.body_limit,
                            [&](const http_request& request, const http_responder& responder) {
                                answer_readiness(target, request, responder);
                            });
    if (!health_server.ok()) {
        return start_failure(health_server.status());
    }
    listeners.add("health", *std::move(health_server));
    auto metrics_server = http_server::create(
        (*loop)->handle(), own_settings.metrics_endpoint, own_settings.body_limit,
        [&](const http_request& request, const http_responder& responder) {
            const bool known = request.path == "/metrics";
            responder.send(
                {known ? 200 : 404, {}, known ? target.metrics_text() : "", "text/plain"});
        });
    if (!metrics_server.ok()) {
        return start_failure(metrics_server.status());
    }
    listeners.add("metrics", *std::move(metrics_server));
    target.start();
    log_event(log_level::info, "started",
              {{"node", own_settings.node.view()},
               {"zone", own_settings.zone.view()},
               {"callers", static_cast<std::int64_t>(caller_server->port())}});
    (*loop)->run();
    return loop_ended();
}

} // namespace

int main(int argc, char** argv) {
    log_to_standard_output();
    return daemon_main(argc, argv, "citronford_fleetd", "the scheduler daemon of an entry VM",
                       load_fleet_settings, run);
}
