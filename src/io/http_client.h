#pragma once

#include "citronford/endpoint.h"
#include "citronford/instant.h"
#include "citronford/timer_service.h"

#include <uv.h>

#include <functional>
#include <memory>
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

    /// The value of the header `name` (lower case); empty when absent.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};
/// The connection could not be established, so nothing was sent.
struct http_unreachable {
    bool refused = false; ///< The address refused the connection: no process listens there.
};
/// The request may have arrived; no whole response came within the timeout.
struct http_lost {};

using http_result = std::variant<http_reply, http_unreachable, http_lost>;

struct http_call {
    std::string_view method = "GET";
    std::string_view path;
    std::span<const std::pair<std::string_view, std::string_view>> headers;
    std::string_view body;
    duration timeout{};
};

/// An HTTP/1.1 client built on h2o. Every call has its own connection, so that an answer can only
/// belong to the request that was sent on it.
class http_client {
  public:
    using callback = std::function<void(http_result)>;

    http_client(uv_loop_t* loop, timer_service& timers);
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;
    ~http_client();

    /// Sends one request. `done` is called exactly once, within the timeout, and never from inside
    /// this call.
    void call(const endpoint& to, const http_call& request, callback done);

    /// Calls under way.
    [[nodiscard]] std::size_t open_calls() const;

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

} // namespace citronford
