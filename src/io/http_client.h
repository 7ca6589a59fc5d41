#pragma once

#include "citronford/endpoint.h"
#include "citronford/instant.h"
#include "citronford/timer_service.h"

#include <uv.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace citronford {

/// A whole response; one whose body was cut off is reported as `http_lost`.
struct http_reply {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers; ///< Names in lower case.
    std::string body;
    std::uint64_t connection = 0; ///< Identifies the connection that carried the call.
    instant sent_at{};            ///< When the request was written to the connection.

    /// The value of the header `name` (lower case); empty when absent.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};
/// The connection could not be established, or leads to another process than the call is for, so
/// the request was not sent.
struct http_unreachable {
    bool refused = false; ///< The address refused the connection: no process listens there.
};
/// The request may have arrived; no whole response came within the timeout.
struct http_lost {
    bool peer_known = false; ///< It was sent on a connection that leads to the `peer` of the call.
};

/// Identifies one process at an endpoint, among those that run there one after the other.
using peer_id = std::int64_t;
inline constexpr peer_id unknown_peer = 0;

using http_result = std::variant<http_reply, http_unreachable, http_lost>;

/// A call whose reply names the process that answers.
struct peer_query {
    std::string_view path;
    std::string_view body;
    std::function<peer_id(const http_reply&)> read_peer; ///< `unknown_peer` for another reply.
};

struct http_call {
    std::string_view method = "GET";
    std::string_view path;
    std::span<const std::pair<std::string_view, std::string_view>> headers{};
    std::string_view body;
    duration timeout{};
    /// The process for which `body` is meant, as passed to `identify_peer`.
    peer_id peer = unknown_peer;
    /// Sent in place of `body` on a connection that may lead to another process than `peer`.
    std::optional<std::string_view> body_for_unknown_peer{};
    /// Sent first on such a connection; the call ends as unreachable if the reply names another
    /// process.
    const peer_query* query = nullptr;
};

struct http_client_options {
    /// Connections kept open to one endpoint; further calls wait for one of them, within their
    /// timeout. Zero opens a connection for each call and closes it afterwards.
    std::size_t connections_per_endpoint = 0;
    /// How long an idle connection is kept open.
    duration idle_timeout = seconds(8);
    /// Bytes of the longest body that is read; a reply with a longer one is lost. A page of the
    /// platform has about 1 MB.
    std::size_t reply_limit = std::size_t{8} * 1024 * 1024;
};

/// An HTTP/1.1 client. A connection carries one call at a time and is closed when its
/// call fails, so that an answer can only belong to the request that was sent on it. After a lost
/// call, the idle connections to the same endpoint are not used again: one that has gone silent
/// shows no error of its own.
///
/// A server process that restarts at the same endpoint takes over no connection of the process
/// before, but may get calls that open one. A call that is meant for one process names it. That
/// holds without a proxy between, which could keep a connection while its server restarts.
class http_client {
  public:
    using callback = std::function<void(http_result)>;

    http_client(uv_loop_t* loop, timer_service& timers, http_client_options options = {});
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;
    ~http_client();

    /// Sends one request. `done` is called exactly once, within the timeout, and never from inside
    /// this call.
    void call(const endpoint& to, const http_call& request, callback done);

    /// Notes that `reply`, which came from `to`, was sent by the process `peer`. All connections
    /// that were open when its request was sent lead to that process, or to one that has ended.
    void identify_peer(const endpoint& to, const http_reply& reply, peer_id peer);

    /// Calls under way.
    [[nodiscard]] std::size_t open_calls() const;

    struct implementation;

  private:
    std::unique_ptr<implementation> body_;
};

} // namespace citronford
