#include "io/listener_set.h"

#include "io/log.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace citronford {

http_server& listener_set::add(std::string name, std::unique_ptr<http_server> server) {
    servers_.push_back({std::move(name), std::move(server)});
    return *servers_.back().server;
}

void listener_set::close_after_answers() {
    for (const named_server& item : servers_) {
        item.server->close_after_answers();
    }
}

void listener_set::stop_accepting() {
    for (const named_server& item : servers_) {
        item.server->stop_accepting();
    }
}

bool listener_set::answered() const {
    return std::ranges::all_of(servers_, [](const named_server& item) {
        return item.server->open_requests() == 0 && item.server->unread_connections() == 0;
    });
}

std::vector<listener_load> listener_set::loads() const {
    std::vector<listener_load> loads;
    for (const named_server& item : servers_) {
        loads.push_back({item.name, item.server->open_connections(), item.server->open_requests(),
                         item.server->unread_connections()});
    }
    return loads;
}

void log_loads(std::string_view step, std::span<const listener_load> loads) {
    for (const listener_load& load : loads) {
        log_event(log_level::info, "listener_load",
                  {{"step", step},
                   {"listener", load.name},
                   {"connections", static_cast<std::int64_t>(load.connections)},
                   {"open_requests", static_cast<std::int64_t>(load.open_requests)},
                   {"unread_connections", static_cast<std::int64_t>(load.unread_connections)}});
    }
}

} // namespace citronford
