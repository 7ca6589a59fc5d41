#include "stop_series/tcp_gate.h"

#include "citronford/result_code.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <utility>
#include <vector>

namespace citronford {
namespace {

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

/// A write with the bytes that it sends.
struct pending_write {
    uv_write_t request{};
    std::string bytes;
};

void send_copy(uv_tcp_t& to, std::string_view bytes) {
    auto* write = new pending_write{{}, std::string(bytes)};
    write->request.data = write;
    uv_buf_t buffer = uv_buf_init(write->bytes.data(), static_cast<unsigned>(write->bytes.size()));
    const auto free_write = [](uv_write_t* request, int) {
        delete static_cast<pending_write*>(request->data);
    };
    if (uv_write(&write->request, reinterpret_cast<uv_stream_t*>(&to), &buffer, 1, free_write) !=
        0) {
        delete write;
    }
}

} // namespace

/// A connection of a client and the one to the server that belongs to it.
struct tcp_gate::link {
    uv_tcp_t client{};
    uv_tcp_t server{};
    uv_connect_t connecting{};
    tcp_gate* owner = nullptr;
    bool connected = false;
    bool server_ended = false;
    bool has_open_call = false; ///< The client was the last to send.
    int open_sockets = 2;
    std::array<char, 65536> input{};

    static link* of(const void* data) { return static_cast<link*>(const_cast<void*>(data)); }

    static void close_socket(uv_tcp_t& socket, bool reset) {
        const auto closed = [](uv_handle_t* handle) {
            link* owner = of(handle->data);
            if (--owner->open_sockets == 0) {
                delete owner;
            }
        };
        auto* handle = reinterpret_cast<uv_handle_t*>(&socket);
        if (uv_is_closing(handle) == 0 && (!reset || uv_tcp_close_reset(&socket, closed) != 0)) {
            uv_close(handle, closed);
        }
    }
};

absl::StatusOr<std::unique_ptr<tcp_gate>> tcp_gate::create(uv_loop_t* loop,
                                                           std::uint16_t server_port) {
    std::unique_ptr<tcp_gate> gate(new tcp_gate(loop, server_port));
    const absl::Status listening = gate->listen();
    if (!listening.ok()) {
        return listening;
    }
    return gate;
}

absl::Status tcp_gate::listen() {
    sockaddr_in address = loopback(0);
    auto* plain = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof(address);
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (bind(listener_, plain, size) != 0 || ::listen(listener_, SOMAXCONN) != 0 ||
        getsockname(listener_, plain, &size) != 0) {
        return make_status(result_code::listen_failed, "cannot listen on the loopback interface");
    }
    port_ = ntohs(address.sin_port);
    uv_poll_init(loop_, &acceptor_, listener_);
    acceptor_.data = this;
    open();
    return absl::OkStatus();
}

void tcp_gate::close(blocked_traffic traffic) {
    accept_waiting();
    closed_ = true;
    traffic_ = traffic;
    uv_poll_stop(&acceptor_);
    for (link* each : links_) {
        uv_read_stop(reinterpret_cast<uv_stream_t*>(&each->client));
        uv_read_stop(reinterpret_cast<uv_stream_t*>(&each->server));
    }
    if (traffic == blocked_traffic::dropped) {
        fill_backlog();
    }
}

/// The kernel drops attempts to connect while the backlog, here of one connection, is full.
void tcp_gate::fill_backlog() {
    ::listen(listener_, 0);
    filler_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port_);
    // Without success, the connection of a client has filled the backlog.
    (void)connect(filler_, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

void tcp_gate::open() {
    closed_ = false;
    if (filler_ >= 0) {
        ::close(std::exchange(filler_, -1));
        ::listen(listener_, SOMAXCONN);
    }
    for (link* each : std::vector<link*>(links_.begin(), links_.end())) {
        if (each->server_ended) {
            reopen(each);
        } else if (each->connected) {
            forward(each);
        }
    }
    uv_poll_start(&acceptor_, UV_READABLE, [](uv_poll_t* handle, int, int) {
        static_cast<tcp_gate*>(handle->data)->accept_waiting();
    });
}

void tcp_gate::end_server_connections() {
    for (link* each : links_) {
        each->server_ended = true;
        link::close_socket(each->server, true);
    }
}

void tcp_gate::accept_waiting() {
    while (!closed_) {
        const int accepted = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0) {
            return;
        }
        add_link(accepted);
    }
}

void tcp_gate::add_link(int socket) {
    auto* added = new link();
    added->owner = this;
    added->client.data = added;
    added->server.data = added;
    added->connecting.data = added;
    uv_tcp_init(loop_, &added->client);
    uv_tcp_init(loop_, &added->server);
    links_.insert(added);
    const sockaddr_in address = loopback(server_port_);
    const auto connected = [](uv_connect_t* connecting, int status) {
        link* of = link::of(connecting->data);
        if (status == UV_ECANCELED) {
            return;
        }
        of->connected = status == 0;
        if (status != 0) {
            of->owner->end(of);
        } else if (!of->owner->closed_) {
            of->owner->forward(of);
        }
    };
    if (uv_tcp_open(&added->client, socket) != 0 ||
        uv_tcp_connect(&added->connecting, &added->server,
                       reinterpret_cast<const sockaddr*>(&address), connected) != 0) {
        end(added);
        return;
    }
    uv_tcp_nodelay(&added->client, 1);
    uv_tcp_nodelay(&added->server, 1);
}

void tcp_gate::forward(link* from) const {
    for (uv_tcp_t* socket : {&from->client, &from->server}) {
        uv_read_start(
            reinterpret_cast<uv_stream_t*>(socket),
            [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
                auto& input = link::of(handle->data)->input;
                *buffer = uv_buf_init(input.data(), static_cast<unsigned>(input.size()));
            },
            [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
                link* read = link::of(stream->data);
                const bool from_client = stream == reinterpret_cast<uv_stream_t*>(&read->client);
                if (size > 0) {
                    read->has_open_call = from_client;
                    send_copy(from_client ? read->server : read->client,
                              {buffer->base, static_cast<std::size_t>(size)});
                } else if (size < 0) {
                    read->owner->end(read);
                }
            });
    }
}

/// Connects the client of a link without an open call to the next process, and resets others.
void tcp_gate::reopen(link* ended) {
    uv_os_fd_t client = -1;
    if (traffic_ == blocked_traffic::proxied && !ended->has_open_call &&
        uv_fileno(reinterpret_cast<uv_handle_t*>(&ended->client), &client) == 0) {
        add_link(fcntl(client, F_DUPFD_CLOEXEC, 0));
        ended->server_ended = false;
    }
    end(ended);
}

void tcp_gate::end(link* ended) {
    links_.erase(ended);
    link::close_socket(ended->client, ended->server_ended);
    link::close_socket(ended->server, false);
}

} // namespace citronford
