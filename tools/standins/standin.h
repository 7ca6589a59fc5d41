#pragma once

#include "endpoint_text.h"
#include "io/event_loop.h"
#include "io/http_server.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

namespace citronford {

/// Parses the options of a stand-in; false after `--help` was answered.
inline bool parse_options(int argc, char** argv,
                          const boost::program_options::options_description& description) {
    boost::program_options::variables_map values;
    boost::program_options::store(
        boost::program_options::parse_command_line(argc, argv, description), values);
    boost::program_options::notify(values);
    if (values.count("help") != 0) {
        std::cout << description;
        return false;
    }
    return true;
}

/// Serves `handle` at `listen` until SIGTERM or SIGINT, then calls `report` and exits.
inline int serve_standin(event_loop& loop, const std::string& listen, http_server::handler handle,
                         std::function<void()> report = {}) {
    constexpr std::size_t body_limit = 16U << 20U;
    auto server =
        http_server::create(loop.handle(), parse_endpoint(listen), body_limit, std::move(handle));
    if (!server.ok()) {
        std::cerr << server.status().message() << '\n';
        return EXIT_FAILURE;
    }
    const auto leave = [&] {
        if (report) {
            report();
        }
        std::cout.flush();
        std::_Exit(EXIT_SUCCESS);
    };
    loop.on_signal(SIGTERM, leave);
    loop.on_signal(SIGINT, leave);
    loop.run();
    return EXIT_SUCCESS;
}

/// Creates a loop and, by `create(loop)`, a service whose `handle` answers requests at `listen`.
template <class Create> int run_standin(const std::string& listen, Create create) {
    auto loop = event_loop::create();
    if (!loop.ok()) {
        std::cerr << loop.status().message() << '\n';
        return EXIT_FAILURE;
    }
    auto service = create(**loop);
    return serve_standin(**loop, listen,
                         [&](const http_request& request, const http_responder& responder) {
                             service.handle(request, responder);
                         });
}

} // namespace citronford
