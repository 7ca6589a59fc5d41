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

} // namespace citronford
