#pragma once

#include "citronford/invariant.h"
#include "citronford/result_code.h"
#include "citronford/settings.h"
#include "io/fatal_log.h"
#include "io/log.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <span>
#include <string>
#include <string_view>

namespace citronford {

/// Keeps requests to stop pending until the loop handles them.
inline void block_stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// Logs why the daemon could not start; returns the exit code.
inline int start_failure(const absl::Status& status) {
    const result_code code = code_of(status);
    log_event(log_level::error, "start_failed",
              {{"code", static_cast<std::int64_t>(code)}, {"reason", message_of(status)}});
    return exit_code_of(code);
}

/// Logs that the loop of a daemon has ended although nothing asked for it; returns the exit code.
inline int loop_ended() {
    log_event(log_level::error, "loop_ended",
              {{"code", static_cast<std::int64_t>(result_code::internal_error)}});
    return exit_code_of(result_code::internal_error);
}

/// Prints every fault of the settings; returns the exit code.
inline int settings_failure(std::string_view name, const absl::Status& status) {
    const result_code code = code_of(status);
    std::cerr << name << ": code=" << static_cast<int>(code) << '\n' << status.message() << '\n';
    return exit_code_of(code);
}

/// The result of `--check-settings`, which counts replaced values as faults.
inline int report_check(std::string_view name, std::span<const replaced_setting> replaced) {
    if (replaced.empty()) {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    std::cerr << name << ": code=" << static_cast<int>(result_code::setting_invalid) << '\n';
    for (const replaced_setting& setting : replaced) {
        std::cerr << '[' << setting.section << "] " << setting.key << " = " << setting.value
                  << ": not allowed; allowed: " << setting.allowed << "; replaced by "
                  << setting.default_value << '\n';
    }
    return exit_code_of(result_code::setting_invalid);
}

/// Main function of all daemons: parses the command line, reads and checks the settings file, and
/// runs the daemon. `load(path)` returns settings with a member `log_level`, or a status that lists
/// every error; `run(settings, path)` returns the exit code.
template <class Load, class Run>
int daemon_main(int argc, char** argv, std::string_view name, std::string_view purpose, Load load,
                Run run) {
    namespace po = boost::program_options;
    constexpr int usage_error = 2;
    // A request to reload or to stop must not end a process that has no handler yet. `on_signal` of
    // the loop delivers a request to stop that came before.
    std::signal(SIGHUP, SIG_IGN);
    block_stop_signals();
    log_fatal_ends();
    std::string path;
    po::options_description description(std::string(name) + ": " + std::string(purpose));
    auto add = description.add_options();
    add("help", "show this text");
    add("settings", po::value(&path), "settings file (INI)");
    add("check-settings", po::value(&path), "check a settings file and exit");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << name << ": " << error.what() << '\n';
        return usage_error;
    }
    if (values.count("help") != 0 || path.empty()) {
        std::cout << description;
        return values.count("help") != 0 ? EXIT_SUCCESS : usage_error;
    }
    const auto own_settings = load(path);
    const bool check_only = values.count("check-settings") != 0;
    if (!own_settings.ok()) {
        const int exit_code = settings_failure(name, own_settings.status());
        return check_only ? exit_code : start_failure(own_settings.status());
    }
    if (check_only) {
        return report_check(name, own_settings->replaced);
    }
    log_level level = log_level::info;
    parse_log_level(own_settings->log_level, level);
    set_log_level(level);
    for (const replaced_setting& setting : own_settings->replaced) {
        log_event(log_level::warning, "setting_replaced",
                  {{"section", setting.section},
                   {"key", setting.key},
                   {"value", setting.value},
                   {"allowed", setting.allowed},
                   {"default", setting.default_value}});
    }
    invariant_monitor::set_reporter([](std::string_view promise, std::string_view detail) {
        log_event(log_level::error, "invariant_broken", {{"promise", promise}, {"detail", detail}});
    });
    return run(*own_settings, path);
}

} // namespace citronford
