#pragma once

#include <absl/status/statusor.h>
#include <uv.h>

#include <cstdint>
#include <memory>
#include <unordered_set>

namespace citronford {

/// What becomes of what clients send while a gate is closed.
enum class blocked_traffic {
    dropped, ///< The kernel of the client repeats it, as towards a host that does not answer.
    held,    ///< New connections succeed; what is sent on them arrives once the gate opens.
    proxied, ///< The same also on connections that are open, as through a proxy.
};

/// The network in front of a local server. It forwards connections, and nothing passes while it is
/// closed.
class tcp_gate {
  public:
    /// Listens on a free port of the loopback interface. Fails with `listen_failed`.
    static absl::StatusOr<std::unique_ptr<tcp_gate>> create(uv_loop_t* loop,
                                                            std::uint16_t server_port);

    tcp_gate(const tcp_gate&) = delete;
    tcp_gate& operator=(const tcp_gate&) = delete;
    tcp_gate(tcp_gate&&) = delete;
    tcp_gate& operator=(tcp_gate&&) = delete;
    /// The loop still holds the sockets, which are closed with the process.
    ~tcp_gate() = default;

    [[nodiscard]] std::uint16_t port() const { return port_; }

    void close(blocked_traffic traffic);
    void open();

    /// Ends all connections to the server, whose process has ended, while the gate is closed. Once
    /// it opens, those of clients are reset; those without an open call stay if they are proxied.
    void end_server_connections();

  private:
    struct link;

    tcp_gate(uv_loop_t* loop, std::uint16_t server_port) : loop_(loop), server_port_(server_port) {}

    absl::Status listen();
    void fill_backlog();
    void accept_waiting();
    void add_link(int socket);
    void forward(link* from) const;
    void end(link* ended);
    void reopen(link* ended);

    uv_loop_t* loop_;
    std::uint16_t server_port_;
    std::uint16_t port_ = 0;
    int listener_ = -1;
    int filler_ = -1; ///< A connection that takes the last place of the backlog.
    uv_poll_t acceptor_{};
    bool closed_ = false;
    blocked_traffic traffic_ = blocked_traffic::dropped;
    std::unordered_set<link*> links_; ///< Freed by the loop once they are closed.
};

} // namespace citronford
