#include "io/thrift_peer_link.h"

#include "citronford/result_code.h"
#include "io/digest.h"
#include "io/log.h"
#include "io/peer_codec.h"
#include "io/peer_frame.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace citronford {
namespace {

/// Bytes that wait for a peer that does not read, at most.
constexpr std::size_t send_limit = 2 * frame_limit;
constexpr duration first_backoff = milliseconds(50);
constexpr duration longest_backoff = seconds(1);
/// A nonce as sent: hexadecimal text.
constexpr std::size_t nonce_length = 2 * nonce_bytes;
constexpr int backlog = 128;

} // namespace

struct thrift_peer_link::implementation {
    /// One TCP connection; freed by the loop after its handle is closed.
    struct connection {
        uv_tcp_t handle{};
        implementation* owner = nullptr;
        std::string input;
        std::string own_nonce;
        std::unique_ptr<frame_seal> seal; ///< Present once both nonces are known.
        node_id to;                       ///< Empty for an accepted connection.
        bool closing = false;
    };
    /// What is to be sent to one peer.
    struct peer {
        endpoint address;
        connection* link = nullptr;
        std::vector<std::string> waiting; ///< Contents sent before the connection is ready.
        std::size_t waiting_bytes = 0;
        instant begun_at;
        instant retry_at;
        duration backoff{};
    };
    struct write_request {
        uv_write_t request{};
        std::string data;
    };

    uv_loop_t* loop = nullptr;
    timer_service* timers = nullptr;
    std::string secret;
    log_limiter limiter; ///< Anybody who reaches the port can cause rejections.
    uv_tcp_t* listener = nullptr;
    receiver received;
    refusal refused;
    std::map<node_id, peer> peers;
    std::set<connection*> connections;
    std::uint64_t sent = 0;

    connection* open_connection() {
        auto* link = new connection();
        link->owner = this;
        link->handle.data = link;
        link->own_nonce = random_hex(nonce_bytes);
        uv_tcp_init(loop, &link->handle);
        uv_tcp_nodelay(&link->handle, 1);
        connections.insert(link);
        return link;
    }

    void close(connection* link) {
        if (std::exchange(link->closing, true)) {
            return;
        }
        connections.erase(link);
        const auto found = peers.find(link->to);
        if (found != peers.end() && found->second.link == link) {
            found->second.link = nullptr;
        }
        link->owner = nullptr;
        uv_close(reinterpret_cast<uv_handle_t*>(&link->handle),
                 [](uv_handle_t* handle) { delete static_cast<connection*>(handle->data); });
    }

    void write(connection* link, std::string data) {
        if (uv_stream_get_write_queue_size(reinterpret_cast<uv_stream_t*>(&link->handle)) +
                data.size() >
            send_limit) {
            limiter.log_repeated(log_level::warning, "peer_send_dropped", {}, timers->now(),
                                 {{"node", link->to.view()}});
            return;
        }
        sent += data.size();
        auto* item = new write_request();
        item->data = std::move(data);
        item->request.data = item;
        uv_buf_t buffer = uv_buf_init(item->data.data(), static_cast<unsigned>(item->data.size()));
        const auto done = [](uv_write_t* request, int /*status*/) {
            delete static_cast<write_request*>(request->data);
        };
        if (uv_write(&item->request, reinterpret_cast<uv_stream_t*>(&link->handle), &buffer, 1,
                     done) != 0) {
            delete item;
            close(link);
        }
    }

    void start_reading(connection* link) {
        uv_read_start(
            reinterpret_cast<uv_stream_t*>(&link->handle),
            [](uv_handle_t* /*handle*/, std::size_t /*suggested*/, uv_buf_t* buffer) {
                // One loop on one thread: the data is copied out before the next read.
                static char shared[65536];
                *buffer = uv_buf_init(static_cast<char*>(shared), sizeof shared);
            },
            [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
                auto* link = static_cast<connection*>(stream->data);
                if (link->owner == nullptr) {
                    return;
                }
                if (size < 0) {
                    link->owner->close(link);
                    return;
                }
                link->input.append(buffer->base, static_cast<std::size_t>(size));
                link->owner->take_input(link);
            });
    }

    void take_input(connection* link) {
        if (!link->seal) {
            if (link->input.size() < nonce_length) {
                return;
            }
            const std::string nonce = link->input.substr(0, nonce_length);
            link->input.erase(0, nonce_length);
            const bool outgoing = !link->to.empty();
            link->seal = std::make_unique<frame_seal>(secret, outgoing ? nonce + link->own_nonce
                                                                       : link->own_nonce + nonce);
            if (outgoing) {
                write(link, link->own_nonce);
                flush(link);
            }
        }
        if (link->to.empty()) {
            take_frames(link);
        }
    }

    void take_frames(connection* link) {
        while (link->owner != nullptr) {
            auto content = link->seal->opened(link->input);
            if (content.ok() && !*content) {
                return;
            }
            auto envelope =
                content.ok() ? decoded(**content) : absl::StatusOr<peer_envelope>(content.status());
            if (!envelope.ok()) {
                limiter.log_repeated(
                    log_level::warning, "peer_rejected", {}, timers->now(),
                    {{"code", static_cast<std::int64_t>(result_code::peer_rejected)},
                     {"reason", message_of(envelope.status())}});
                close(link);
                return;
            }
            received(envelope->sender, envelope->message);
        }
    }

    void flush(connection* link) {
        const auto found = peers.find(link->to);
        if (found == peers.end() || found->second.link != link) {
            return;
        }
        found->second.backoff = duration::zero();
        for (const std::string& content : std::exchange(found->second.waiting, {})) {
            if (link->owner != nullptr) {
                write(link, link->seal->sealed(content));
            }
        }
        found->second.waiting_bytes = 0;
    }

    void connect(const node_id& node, peer& target) {
        const instant now = timers->now();
        if (now < target.retry_at) {
            return;
        }
        target.backoff = std::clamp(target.backoff * 2, first_backoff, longest_backoff);
        target.retry_at = now + target.backoff;
        target.begun_at = now;
        connection* link = open_connection();
        link->to = node;
        target.link = link;
        sockaddr_in address{};
        uv_ip4_addr(target.address.address.c_str(), target.address.port, &address);
        auto* request = new uv_connect_t();
        request->data = link;
        const auto done = [](uv_connect_t* raw, int status) {
            const std::unique_ptr<uv_connect_t> owned(raw);
            auto* link = static_cast<connection*>(owned->data);
            if (link->owner != nullptr) {
                link->owner->connected(link, status);
            }
        };
        if (uv_tcp_connect(request, &link->handle, reinterpret_cast<sockaddr*>(&address), done) !=
            0) {
            delete request;
            close(link);
        }
    }

    void connected(connection* link, int status) {
        if (status == 0) {
            start_reading(link);
            return;
        }
        const node_id node = link->to;
        close(link);
        peer& target = peers[node];
        target.waiting.clear();
        target.waiting_bytes = 0;
        if (status == UV_ECONNREFUSED && refused) {
            refused(node, target.begun_at);
        }
    }

    void accept() {
        connection* link = open_connection();
        if (uv_accept(reinterpret_cast<uv_stream_t*>(listener),
                      reinterpret_cast<uv_stream_t*>(&link->handle)) != 0) {
            close(link);
            return;
        }
        write(link, link->own_nonce);
        if (link->owner != nullptr) {
            start_reading(link);
        }
    }
};

thrift_peer_link::thrift_peer_link(uv_loop_t* loop, timer_service& timers, std::string secret)
    : body_(std::make_unique<implementation>()) {
    body_->loop = loop;
    body_->timers = &timers;
    body_->secret = std::move(secret);
    body_->listener = new uv_tcp_t();
    body_->listener->data = body_.get();
    uv_tcp_init(loop, body_->listener);
}

absl::Status thrift_peer_link::listen(const endpoint& at) {
    sockaddr_in address{};
    uv_ip4_addr(at.address.c_str(), at.port, &address);
    int status = uv_tcp_bind(body_->listener, reinterpret_cast<sockaddr*>(&address), 0);
    if (status == 0) {
        status = uv_listen(reinterpret_cast<uv_stream_t*>(body_->listener), backlog,
                           [](uv_stream_t* server, int error) {
                               if (error == 0) {
                                   static_cast<implementation*>(server->data)->accept();
                               }
                           });
    }
    if (status != 0) {
        return make_status(result_code::listen_failed, "cannot listen on " + at.address + ":" +
                                                           std::to_string(at.port) + ": " +
                                                           uv_strerror(status));
    }
    return absl::OkStatus();
}

thrift_peer_link::~thrift_peer_link() {
    for (implementation::connection* link : std::set(body_->connections)) {
        body_->close(link);
    }
    uv_close(reinterpret_cast<uv_handle_t*>(body_->listener),
             [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
}

void thrift_peer_link::send(const member_id& from, const send_peer& item) {
    implementation::peer& target = body_->peers[item.to];
    if (target.address != item.address && target.link != nullptr) {
        body_->close(target.link);
    }
    target.address = item.address;
    std::string content = encoded(from, item.message);
    if (target.link != nullptr && target.link->seal) {
        body_->write(target.link, target.link->seal->sealed(content));
        return;
    }
    if (target.link == nullptr) {
        body_->connect(item.to, target);
    }
    if (target.link != nullptr && target.waiting_bytes + content.size() <= send_limit) {
        target.waiting_bytes += content.size();
        target.waiting.push_back(std::move(content));
    }
}

void thrift_peer_link::on_receive(receiver received, refusal refused) {
    body_->received = std::move(received);
    body_->refused = std::move(refused);
}

std::uint16_t thrift_peer_link::port() const {
    sockaddr_in address{};
    int size = sizeof address;
    uv_tcp_getsockname(body_->listener, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

std::uint64_t thrift_peer_link::sent_bytes() const {
    return body_->sent;
}

} // namespace citronford
