#pragma once

#include "citronford/endpoint.h"

#include <absl/status/statusor.h>
#include <uv.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citronford {

using http_header = std::pair<std::string_view, std::string_view>;

/// A request as received. Views are valid during the call of the handler only.
struct http_request {
    std::string_view method;
    std::string_view path;  ///< Without the query.
    std::string_view query; ///< Without the question mark.
    std::string_view body;
    std::vector<http_header> headers; ///< Names in lower case.

    /// The value of the header `name` (lower case); empty when absent.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

struct http_response {
    int status = 200;
    std::span<const http_header> headers;
    std::string_view body;
    std::string_view content_type = "application/json";
};

/// Answers one request, at once or later. Copies share the request.
class http_responder {
  public:
    struct exchange;
    explicit http_responder(std::shared_ptr<exchange> state) : exchange_(std::move(state)) {}

    /// Sends the response; ignored after the first call and when the client has gone away.
    void send(const http_response& response) const;

    /// Calls `function` if the client goes away before a response was sent.
    void on_gone(std::function<void()> function) const;

    /// Calls `function` once the response has been written or the client has gone away.
    void on_finished(std::function<void()> function) const;

  private:
    std::shared_ptr<exchange> exchange_;
};

/// An HTTP/1.1 server on one listening socket, built on h2o.
class http_server {
  public:
    using handler = std::function<void(const http_request&, const http_responder&)>;

    /// Listens on `at` (port 0 picks a free port). Fails with `listen_failed`. The handler receives
    /// requests whose body has at most `body_limit` bytes; larger ones are answered with
    /// `body_too_large`.
    static absl::StatusOr<std::unique_ptr<http_server>>
    create(uv_loop_t* loop, const endpoint& at, std::size_t body_limit, handler handle);

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    ~http_server();

    [[nodiscard]] std::uint16_t port() const;

    /// From now on each connection is closed after its next answer, which says so. New connections
    /// are still accepted.
    void close_after_answers();

    /// Accepts the connections that wait and closes the listening socket. Each connection is closed
    /// after its next answer.
    void stop_accepting();

    /// Connections of clients, also idle ones.
    [[nodiscard]] std::size_t open_connections() const;

    /// Requests received and not yet fully answered.
    [[nodiscard]] std::size_t open_requests() const;

    /// Connections whose received bytes have not all been read. Asks the kernel about each one.
    [[nodiscard]] std::size_t unread_connections() const;

    struct implementation;

  private:
    explicit http_server(std::unique_ptr<implementation> body);

    std::unique_ptr<implementation> body_;
};

/// The reason phrase of an HTTP status.
std::string_view reason_phrase(int status);

} // namespace citronford
