// The daemon of an entry VM: reads its settings, then runs one node on one loop.
#include "citronford/invariant.h"
#include "citronford/settings.h"
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

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

namespace po = boost::program_options;
using namespace citronford;

int fail(const absl::Status& status) {
    log_event(
        log_level::error, "start_failed",
        {{"code", static_cast<std::int64_t>(code_of(status))}, {"reason", message_of(status)}});
    return exit_code_of(code_of(status));
}

/// Logs the end of a planned stop and leaves. h2o keeps open connections in the loop, which a
/// process that ends does not need to unwind.
[[noreturn]] void leave_process(const settings& own) {
    log_event(
        log_level::info, "stopped",
        {{"node", own.node.view()},
         {"invariant_violations", static_cast<std::int64_t>(invariant_monitor::violations())}});
    std::_Exit(invariant_monitor::violations() == 0 ? EXIT_SUCCESS : EXIT_FAILURE);
}

/// Leaves once every request is answered: one may have arrived on an open connection after the node
/// had found itself idle. Their own deadlines bound the wait.
void leave_when_answered(const settings& own, timer_service& timers, const http_server& server) {
    constexpr duration pause = milliseconds(20);
    if (server.open_requests() == 0) {
        leave_process(own);
    }
    timers.once(pause, [&](instant) { leave_when_answered(own, timers, server); });
}

int run(const settings& own) {
    auto loop = event_loop::create();
    if (!loop.ok()) {
        return fail(loop.status());
    }
    http_client client((*loop)->handle(), **loop);
    http_platform platform(client, own.platform, own.platform_timeout);
    metrics registry;
    counted_table table(platform, registry);
    http_vm_control vm_controls(client, own.platform, own.platform_timeout);
    http_executor_link executors(client);
    http_worker_link workers(client);
    thrift_peer_link peers((*loop)->handle(), **loop, own.peer_secret);
    caller_front callers;
    std::unique_ptr<http_server> caller_server;
    auto created = node::create(
        own, {**loop, table, platform, platform, executors, callers, workers, vm_controls, peers},
        [&] { caller_server->stop_accepting(); },
        [&] { leave_when_answered(own, **loop, *caller_server); });
    if (!created.ok()) {
        return fail(created.status());
    }
    node& target = **created;
    const absl::Status peers_listening = peers.listen(own.peers);
    if (!peers_listening.ok()) {
        return fail(peers_listening);
    }
    target.levels().subscribe(
        [&](const answer_given& answer) { count_answer(target, answer, registry); });
    operator_front operators(target,
                             {registry, **loop, [&] { return caller_server->open_connections(); }});
    auto listening =
        http_server::create((*loop)->handle(), own.callers, own.body_limit,
                            [&](const http_request& request, const http_responder& responder) {
                                callers.handle(target, request, responder);
                            });
    if (!listening.ok()) {
        return fail(listening.status());
    }
    caller_server = *std::move(listening);
    auto operator_server =
        http_server::create((*loop)->handle(), own.operators, own.body_limit,
                            [&](const http_request& request, const http_responder& responder) {
                                operators.handle(request, responder);
                            });
    if (!operator_server.ok()) {
        return fail(operator_server.status());
    }
    (*loop)->on_signal(SIGTERM, [&] { target.request_stop(); });
    (*loop)->on_signal(SIGINT, [&] { target.request_stop(); });
    target.start();
    state_snapshot snapshot(own.zone.view(), platform, **loop, [&](std::uint64_t sequence) {
        return state_json(target, (*loop)->now(), sequence);
    });
    snapshot.start();
    log_event(log_level::info, "started",
              {{"node", own.node.view()},
               {"zone", own.zone.view()},
               {"callers", static_cast<std::int64_t>(caller_server->port())},
               {"operators", static_cast<std::int64_t>((*operator_server)->port())}});
    (*loop)->run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
    std::string path;
    po::options_description description("citronfordd: the daemon of an entry VM");
    auto add = description.add_options();
    add("help", "show this text");
    add("settings", po::value(&path), "settings file (INI)");
    add("check-settings", po::value(&path), "check a settings file and exit");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << "citronfordd: " << error.what() << '\n';
        return 2;
    }
    if (values.count("help") != 0 || path.empty()) {
        std::cout << description;
        return values.count("help") != 0 ? EXIT_SUCCESS : 2;
    }
    const auto own = load_settings(path);
    if (!own.ok()) {
        std::cerr << "citronfordd: code=" << static_cast<int>(code_of(own.status())) << '\n'
                  << own.status().message() << '\n';
        return exit_code_of(code_of(own.status()));
    }
    if (values.count("check-settings") != 0) {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    log_level level = log_level::info;
    parse_log_level(own->log_level, level);
    set_log_level(level);
    invariant_monitor::set_reporter([](std::string_view promise, std::string_view detail) {
        log_event(log_level::error, "invariant_broken", {{"promise", promise}, {"detail", detail}});
    });
    return run(*own);
}
