// The daemon of an entry VM: reads its settings and runs one node on one event loop.
#include "citronford/invariant.h"
#include "citronford/settings.h"
#include "daemon_main.h"
#include "io/caller_front.h"
#include "io/counted_table.h"
#include "io/event_loop.h"
#include "io/http_client.h"
#include "io/http_executor_link.h"
#include "io/http_platform.h"
#include "io/http_server.h"
#include "io/http_vm_control.h"
#include "io/http_worker_link.h"
#include "io/log.h"
#include "io/metrics.h"
#include "io/node_metrics.h"
#include "io/operator_front.h"
#include "io/state_report.h"
#include "io/thrift_peer_link.h"
#include "node/node.h"
#include "node/state_snapshot.h"

#include <csignal>
#include <cstdlib>

namespace {

using namespace citronford;

/// Logs the end of a planned stop and exits at once: h2o keeps open connections in the loop, which
/// need not be closed before the process ends.
[[noreturn]] void leave_process(const settings& own_settings) {
    log_event(
        log_level::info, "stopped",
        {{"node", own_settings.node.view()},
         {"invariant_violations", static_cast<std::int64_t>(invariant_monitor::violations())}});
    std::_Exit(invariant_monitor::violations() == 0 ? EXIT_SUCCESS : EXIT_FAILURE);
}

/// Ends the process once every request is answered, since a request may have arrived on an open
/// connection after the node became idle. The deadlines of the requests bound the wait.
void leave_when_answered(const settings& own_settings, timer_service& timers,
                         const http_server& server) {
    constexpr duration pause = milliseconds(20);
    if (server.open_requests() == 0) {
        leave_process(own_settings);
    }
    timers.once(pause, [&](instant) { leave_when_answered(own_settings, timers, server); });
}

int run(const settings& own_settings) {
    auto loop = event_loop::create();
    if (!loop.ok()) {
        return start_failure(loop.status());
    }
    http_client client((*loop)->handle(), **loop);
    http_platform platform(client, own_settings.platform, own_settings.platform_timeout);
    metrics registry;
    counted_table table(platform, registry);
    http_vm_control vm_controls(client, own_settings.platform, own_settings.platform_timeout);
    http_executor_link executors(client);
    http_worker_link workers(client);
    thrift_peer_link peers((*loop)->handle(), **loop, own_settings.peer_secret);
    caller_front callers;
    std::unique_ptr<http_server> caller_server;
    auto created = node::create(
        own_settings,
        {**loop, table, platform, platform, executors, callers, workers, vm_controls, peers},
        [&] { caller_server->stop_accepting(); },
        [&] { leave_when_answered(own_settings, **loop, *caller_server); });
    if (!created.ok()) {
        return start_failure(created.status());
    }
    node& target = **created;
    const absl::Status peers_listening = peers.listen(own_settings.peers);
    if (!peers_listening.ok()) {
        return start_failure(peers_listening);
    }
    target.levels().subscribe(
        [&](const answer_given& answer) { count_answer(target, answer, registry); });
    operator_front operators(target,
                             {registry, **loop, [&] { return caller_server->open_connections(); }});
    auto listening =
        http_server::create((*loop)->handle(), own_settings.callers, own_settings.body_limit,
                            [&](const http_request& request, const http_responder& responder) {
                                callers.handle(target, request, responder);
                            });
    if (!listening.ok()) {
        return start_failure(listening.status());
    }
    caller_server = *std::move(listening);
    auto operator_server =
        http_server::create((*loop)->handle(), own_settings.operators, own_settings.body_limit,
                            [&](const http_request& request, const http_responder& responder) {
                                operators.handle(request, responder);
                            });
    if (!operator_server.ok()) {
        return start_failure(operator_server.status());
    }
    (*loop)->on_signal(SIGTERM, [&] { target.request_stop(); });
    (*loop)->on_signal(SIGINT, [&] { target.request_stop(); });
    target.start();
    state_snapshot snapshot(
        own_settings.zone.view(), platform, **loop,
        [&](std::uint64_t sequence) { return state_json(target, (*loop)->now(), sequence); });
    snapshot.start();
    log_event(log_level::info, "started",
              {{"node", own_settings.node.view()},
               {"zone", own_settings.zone.view()},
               {"callers", static_cast<std::int64_t>(caller_server->port())},
               {"operators", static_cast<std::int64_t>((*operator_server)->port())}});
    (*loop)->run();
    return loop_ended();
}

} // namespace

int main(int argc, char** argv) {
    return daemon_main(argc, argv, "citronfordd", "the daemon of an entry VM", load_settings,
                       [](const settings& own_settings, const std::string& /*path*/) {
                           return run(own_settings);
                       });
}
