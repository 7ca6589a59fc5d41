// Stops the daemons of a small fleet on loopback one after the other, or restarts its backend
// servers and kills the owner, under callers that keep their connections, and reports what the
// callers saw. Exits with a failure when a request was cut, a job was lost or run wrongly, or a
// daemon did not end as asked.
#include "stop_series/stop_scenario.h"

#include "io/event_loop.h"
#include "io/log.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

namespace po = boost::program_options;
using namespace citronford;

struct command_line {
    stop_scenario_options scenario;
    entry_vm_options daemons;
    std::int64_t max_pause_ms = 600;
    std::int64_t longest_lease_ms = 6000;
    std::string faults; ///< Names of faults, separated by commas.
    bool help = false;
};

po::options_description describe(command_line& chosen) {
    stop_scenario_options& scenario = chosen.scenario;
    po::options_description description("citronford_stop_series");
    auto add = description.add_options();
    add("help", po::bool_switch(&chosen.help), "show this text");
    add("program", po::value(&chosen.daemons.program)->required(), "path of citronford_fleetd");
    add("template", po::value(&chosen.daemons.template_path)->required(), "of the settings");
    add("charts", po::value(&chosen.daemons.charts)->required(), "directory of the state charts");
    add("directory", po::value(&chosen.daemons.directory)->required(), "for settings and logs");
    add("seed", po::value(&scenario.seed)->default_value(1), "decides the order of events");
    add("callers", po::value(&scenario.callers)->default_value(100), "number of callers");
    add("vms", po::value(&scenario.vms)->default_value(3), "number of entry VMs");
    add("stops", po::value(&scenario.stops)->default_value(6), "number of stops");
    add("waiting-tasks", po::value(&scenario.waiting_tasks)->default_value(0),
        "tasks handed in before the first stop");
    add("max-pause-ms", po::value(&chosen.max_pause_ms)->default_value(600),
        "longest pause of a caller between an answer and its next request");
    add("failing-percent", po::value(&scenario.caller.failing_percent)->default_value(0),
        "share of the jobs whose tasks always fail");
    add("long-percent", po::value(&scenario.caller.long_percent)->default_value(0),
        "share of the other jobs whose task takes longer than the longest lease");
    add("longest-lease-ms", po::value(&chosen.longest_lease_ms)->default_value(6000),
        "that backend servers grant");
    add("faults", po::value(&chosen.faults)->default_value(""),
        "any of overlap,owner,pauses,silences,kills,reloads,changes,restarts,proxied");
    return description;
}

/// Sets the switches that `faults` names; false for an unknown name.
bool parse_faults(std::string_view faults, stop_scenario_options& scenario) {
    const std::pair<std::string_view, bool*> switches[] = {
        {"overlap", &scenario.stops_overlap}, {"owner", &scenario.owner_only},
        {"pauses", &scenario.pauses},         {"silences", &scenario.silences},
        {"kills", &scenario.kills},           {"reloads", &scenario.reloads},
        {"changes", &scenario.changes},       {"restarts", &scenario.restarts},
        {"proxied", &scenario.proxied}};
    while (!faults.empty()) {
        const std::string_view name = faults.substr(0, faults.find(','));
        faults.remove_prefix(std::min(faults.size(), name.size() + 1));
        const auto* found =
            std::ranges::find(switches, name, [](const auto& item) { return item.first; });
        if (found == std::end(switches)) {
            return false;
        }
        *found->second = true;
    }
    return true;
}

bool held(const stop_scenario_result& result) {
    return result.requests > 0 && result.cut == 0 && result.stale == 0 && result.unanswered == 0 &&
           result.wrong_ends == 0 && result.unfinished_jobs == 0 && result.stalled_jobs == 0 &&
           result.refused_jobs_run == 0 && result.doubled_tasks == 0;
}

void print(const stop_scenario_options& scenario, const stop_scenario_result& result) {
    std::cout << "stop_series: seed=" << scenario.seed << " requests=" << result.requests
              << " cut=" << result.cut << " stale=" << result.stale << " lost=" << result.lost
              << " longest_cut_us=" << result.longest_cut.count()
              << " cut_by_kill=" << result.cut_by_kill << " unanswered=" << result.unanswered
              << " late=" << result.late << " refused=" << result.refused
              << " unreachable=" << result.unreachable << " wrong_ends=" << result.wrong_ends
              << " longest_stop_ms=" << to_ms(result.longest_stop)
              << " accepted_jobs=" << result.accepted_jobs
              << " unfinished_jobs=" << result.unfinished_jobs
              << " stalled_jobs=" << result.stalled_jobs
              << " refused_jobs_run=" << result.refused_jobs_run
              << " doubled_tasks=" << result.doubled_tasks
              << " server_restarts=" << result.server_restarts
              << " owner_kills=" << result.owner_kills << '\n';
}

/// Ends the process at once: h2o keeps its connections in the loop, which need not be closed.
[[noreturn]] void leave(int exit_code) {
    std::cout.flush();
    std::_Exit(exit_code);
}

int play(const command_line& chosen) {
    auto loop = event_loop::create();
    if (!loop.ok()) {
        std::cerr << loop.status().message() << '\n';
        return EXIT_FAILURE;
    }
    auto scenario = stop_scenario::create((*loop)->handle(), **loop, chosen.scenario,
                                          chosen.daemons, [&](const stop_scenario_result& result) {
                                              print(chosen.scenario, result);
                                              leave(held(result) ? EXIT_SUCCESS : EXIT_FAILURE);
                                          });
    if (!scenario.ok()) {
        std::cerr << scenario.status().message() << '\n';
        return EXIT_FAILURE;
    }
    for (const int number : {SIGTERM, SIGINT}) {
        (*loop)->on_signal(number, [&] {
            (*scenario)->kill_daemons();
            leave(EXIT_FAILURE);
        });
    }
    (*scenario)->start();
    (*loop)->run();
    return EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv) {
    command_line chosen;
    const po::options_description description = describe(chosen);
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values["help"].as<bool>()) {
            std::cout << description;
            return EXIT_SUCCESS;
        }
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << error.what() << '\n';
        return EXIT_FAILURE;
    }
    if (!parse_faults(chosen.faults, chosen.scenario)) {
        std::cerr << "unknown fault in " << chosen.faults << '\n';
        return EXIT_FAILURE;
    }
    constexpr duration stop_grace = seconds(6);
    chosen.scenario.caller.max_pause = milliseconds(chosen.max_pause_ms);
    chosen.daemons.stop_grace = stop_grace;
    chosen.daemons.longest_lease = milliseconds(chosen.longest_lease_ms);
    leave(play(chosen));
}
