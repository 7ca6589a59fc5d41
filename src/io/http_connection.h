#pragma once

#include "citronford/instant.h"
#include "io/http_client.h"

#include <uv.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace citronford::http_detail {

struct open_call;
struct shared_endpoint;

/// A connection to an endpoint. It is freed when the loop has closed its socket.
struct connection {
    uv_tcp_t socket{};
    uv_connect_t connecting{};
    uv_write_t writing{};
    open_call* call = nullptr; ///< Null while the connection is idle or closing.
    http_client::implementation* owner = nullptr;
    shared_endpoint* shared = nullptr; ///< Null for a connection of a single call.
    std::uint64_t id = 0;              ///< Unique within its client.
    std::uint64_t generation = 0;      ///< Of the endpoint when the connection was opened.
    std::optional<instant> opened_at;  ///< When it was established.
    peer_id peer = unknown_peer;       ///< The process that it leads to, unless that has ended.
    bool is_writing = false;           ///< The socket still refers to the request of its call.
    instant idle_since;

    [[nodiscard]] uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&socket); }
    [[nodiscard]] uv_handle_t* handle() { return reinterpret_cast<uv_handle_t*>(&socket); }
};

/// The connections to one endpoint that calls share, and the calls that wait for one.
struct shared_endpoint {
    std::size_t active = 0;       ///< Calls that have a connection.
    std::uint64_t generation = 0; ///< Connections of an earlier generation are not used again.
    std::deque<open_call*> waiting;
    std::deque<connection*> idle;  ///< The most recently used one is the last.
    std::vector<connection*> open; ///< Idle, or used by a call.
};

/// Whether the peer has neither closed an idle connection nor sent anything on it.
[[nodiscard]] bool is_alive(const connection& idle);

/// Closes a connection in the ordinary way.
void close_connection(connection* closed);

/// Closes a connection and discards what has not been delivered. Bytes that a broken path holds up
/// would otherwise arrive long after their call has failed.
void reset_connection(connection* closed);

/// Takes an idle connection that is still open: the one that was used last of those that lead to
/// `peer`, else of all; null when there is none.
[[nodiscard]] connection* take_idle(shared_endpoint& shared, peer_id peer);

void close_idle(shared_endpoint& shared);

} // namespace citronford::http_detail
