#pragma once

#include "citronford/invariant.h"
#include "citronford/result_code.h"
#include "io/log.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>

namespace citronford {

/// Main function of all daemons: parses the command line, reads and checks the settings file, and
/// runs the daemon. `load(path)` returns settings with a member `log_level`, or a status that lists
/// every error; `run(settings, path)` returns the exit code.
template <class Load, class Run>
int daemon_main(int argc, char** argv, std::string_view name, std::string_view purpose, Load load,
                Run run) {
    namespace po = boost::program_options;
    constexpr int usage_error = 2;
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
    if (!own_settings.ok()) {
        const result_code code = code_of(own_settings.status());
        std::cerr << name << ": code=" << static_cast<int>(code) << '\n'
                  << own_settings.status().message() << '\n';
        return exit_code_of(code);
    }
    if (values.count("check-settings") != 0) {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    log_level level = log_level::info;
    parse_log_level(own_settings->log_level, level);
    set_log_level(level);
    invariant_monitor::set_reporter([](std::string_view promise, std::string_view detail) {
        log_event(log_level::error, "invariant_broken", {{"promise", promise}, {"detail", detail}});
    });
    return run(*own_settings, path);
}

/// Logs why the daemon could not start; returns the exit code.
inline int start_failure(const absl::Status& status) {
    const result_code code = code_of(status);
    log_event(log_level::error, "start_failed",
              {{"code", static_cast<std::int64_t>(code)}, {"reason", message_of(status)}});
    return exit_code_of(code);
}

} // namespace citronford
