#pragma once

#include "io/http_server.h"

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citronford {

/// What one listening socket of the process serves at present.
struct listener_load {
    std::string_view name;
    std::size_t connections = 0;
    std::size_t open_requests = 0;      ///< Received and not yet fully answered.
    std::size_t unread_connections = 0; ///< With received bytes that have not been read.
};

/// The HTTP servers of one process, by name.
class listener_set {
  public:
    /// Returns the server added.
    http_server& add(std::string name, std::unique_ptr<http_server> server);

    /// Closes each connection after its next answer, which says so.
    void close_after_answers();

    /// Takes in the connections that wait and closes the listening sockets. Each connection is
    /// closed after its next answer.
    void stop_accepting();

    /// Whether no request is open and no received byte is unread. Asks the kernel about each
    /// connection.
    [[nodiscard]] bool answered() const;

    /// Asks the kernel about each connection.
    [[nodiscard]] std::vector<listener_load> loads() const;

  private:
    struct named_server {
        std::string name;
        std::unique_ptr<http_server> server;
    };
    std::vector<named_server> servers_;
};

/// Logs what each listener serves at one step of a planned stop.
void log_loads(std::string_view step, std::span<const listener_load> loads);

} // namespace citronford
