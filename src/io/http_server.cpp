#include "io/http_server.h"

#include "citronford/result_code.h"
#include "io/error_body.h"
#include "io/http_response.h"
#include "io/log.h"

#include <h2o.h>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <exception>
#include <new>
#include <unordered_set>

namespace citronford {
namespace {

std::string_view view_of(const h2o_iovec_t& text) {
    return {text.base, text.len};
}

h2o_iovec_t pooled_copy(h2o_req_t* request, std::string_view text) {
    return h2o_strdup(&request->pool, text.data(), text.size());
}

} // namespace

std::string_view reason_phrase(int status) {
    constexpr std::pair<int, std::string_view> phrases[] = {
        {200, "OK"},
        {201, "Created"},
        {202, "Accepted"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {405, "Method Not Allowed"},
        {409, "Conflict"},
        {413, "Content Too Large"},
        {422, "Unprocessable Content"},
        {429, "Too Many Requests"},
        {500, "Internal Server Error"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
    };
    for (const auto& [number, phrase] : phrases) {
        if (number == status) {
            return phrase;
        }
    }
    return "Other";
}

std::string_view http_request::header(std::string_view name) const {
    const auto found = std::ranges::find(headers, name, &http_header::first);
    return found == headers.end() ? std::string_view() : found->second;
}

namespace {

struct counted_connection;

} // namespace

struct http_server::implementation {
    h2o_globalconf_t config{};
    h2o_context_t context{};
    h2o_accept_ctx_t accept{};
    uv_loop_t* loop = nullptr;
    uv_tcp_t* listener = nullptr;
    std::size_t body_limit = 0;
    std::size_t open = 0;
    std::unordered_set<const counted_connection*> connections;
    bool closing_connections = false; ///< Each connection is closed after its next answer.
    std::uint16_t port = 0;
    log_limiter failures;
    handler handle;
};

/// State shared by a request of h2o and the responders; `request` is null once h2o disposed it.
struct http_responder::exchange {
    h2o_req_t* request = nullptr;
    std::size_t* open = nullptr;
    const bool* closing_connections = nullptr;
    bool sent = false;
    std::function<void()> gone;
    std::function<void()> finished;
};

namespace {

struct server_handler {
    h2o_handler_t base;
    http_server::implementation* server;
};

/// Lives in the pool of the request; its disposal tells that the request has ended.
struct request_guard {
    std::shared_ptr<http_responder::exchange> exchange;
};

void dispose_guard(void* memory) {
    auto* guard = static_cast<request_guard*>(memory);
    const auto exchange = std::move(guard->exchange);
    guard->~request_guard();
    exchange->request = nullptr;
    --*exchange->open;
    if (!exchange->sent && exchange->gone) {
        exchange->gone();
    }
    if (exchange->finished) {
        exchange->finished();
    }
    exchange->gone = nullptr;
    exchange->finished = nullptr;
}

std::shared_ptr<http_responder::exchange> guarded_exchange(h2o_req_t* request,
                                                           http_server::implementation& server) {
    auto exchange = std::make_shared<http_responder::exchange>();
    exchange->request = request;
    exchange->open = &server.open;
    exchange->closing_connections = &server.closing_connections;
    ++server.open;
    void* memory = h2o_mem_alloc_shared(&request->pool, sizeof(request_guard), dispose_guard);
    new (memory) request_guard{exchange};
    return exchange;
}

http_request request_view(const h2o_req_t* request) {
    http_request view;
    view.method = view_of(request->method);
    const std::string_view path = view_of(request->path);
    view.path = path.substr(0, request->query_at);
    if (request->query_at < path.size()) {
        view.query = path.substr(request->query_at + 1);
    }
    view.body = view_of(request->entity);
    // h2o keeps the host apart from the other headers.
    view.headers.emplace_back("host", view_of(request->authority));
    for (std::size_t index = 0; index < request->headers.size; ++index) {
        const h2o_header_t& header = request->headers.entries[index];
        view.headers.emplace_back(view_of(*header.name), view_of(header.value));
    }
    return view;
}

int handle_request(h2o_handler_t* self, h2o_req_t* request) {
    auto& server = *reinterpret_cast<server_handler*>(self)->server;
    const http_responder responder(guarded_exchange(request, server));
    if (request->entity.len > server.body_limit) {
        send_error(responder, result_code::body_too_large, "the body is too large");
        return 0;
    }
    try {
        server.handle(request_view(request), responder);
    } catch (const std::exception& error) {
        // One request must not end the process, since a retry would end the next one.
        log_event(log_level::error, "request_failed",
                  {{"path", view_of(request->path)}, {"reason", error.what()}});
        send_error(responder, result_code::internal_error, "the request could not be handled");
    }
    return 0;
}

/// Replaces the plain text of an error that h2o itself reports.
struct error_stream {
    h2o_ostream_t base;
    h2o_iovec_t body;
};

void send_error_document(h2o_ostream_t* self, h2o_req_t* request, h2o_iovec_t* /*buffers*/,
                         std::size_t /*count*/, h2o_send_state_t state) {
    auto* stream = reinterpret_cast<error_stream*>(self);
    h2o_ostream_send_next(&stream->base, request, &stream->body, 1, state);
}

/// h2o refuses malformed requests and bodies beyond the hard limit before a handler runs; those
/// errors get a numbered result too.
void number_error(h2o_filter_t* /*self*/, h2o_req_t* request, h2o_ostream_t** slot) {
    constexpr int bad_request = 400;
    constexpr int too_large = 413;
    constexpr std::string_view plain_text = "text/plain; charset=utf-8";
    h2o_headers_t& headers = request->res.headers;
    const auto type = h2o_find_header(&headers, H2O_TOKEN_CONTENT_TYPE, -1);
    const int status = request->res.status;
    if ((status == bad_request || status == too_large) && type >= 0 &&
        view_of(headers.entries[type].value) == plain_text) {
        const result_code_entry& entry = entry_of(
            status == too_large ? result_code::body_too_large : result_code::invalid_argument);
        const std::string body =
            error_body(entry.code, status == too_large ? "the body is too large"
                                                       : "the request is not valid HTTP/1.1");
        auto* stream =
            reinterpret_cast<error_stream*>(h2o_add_ostream(request, sizeof(error_stream), slot));
        stream->base.do_send = send_error_document;
        stream->body = pooled_copy(request, body);
        request->res.content_length = body.size();
        headers.entries[type].value = h2o_iovec_init("application/json", 16);
        const h2o_iovec_t number =
            pooled_copy(request, std::to_string(static_cast<int>(entry.code)));
        h2o_add_header_by_str(&request->pool, &headers, "result-code", 11, 1, nullptr, number.base,
                              number.len);
        const std::string_view state = name_of(entry.state);
        h2o_add_header_by_str(&request->pool, &headers, "run-state", 9, 1, nullptr, state.data(),
                              state.size());
        slot = &stream->base.next;
    }
    h2o_setup_next_ostream(request, slot);
}

/// A connection that its server knows until it is closed.
struct counted_connection {
    uv_tcp_t handle; ///< First member, since libuv and h2o pass on its address only.
    http_server::implementation* server;
};

bool has_unread_bytes(const counted_connection* connection) {
    uv_os_fd_t socket = -1;
    char byte = 0;
    return uv_fileno(reinterpret_cast<const uv_handle_t*>(&connection->handle), &socket) == 0 &&
           recv(socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

void release_connection(uv_handle_t* handle) {
    auto* connection = reinterpret_cast<counted_connection*>(handle);
    connection->server->connections.erase(connection);
    free(connection);
}

/// Serves a connection whose socket `attach(stream)` takes in; libuv errors end it.
template <class Attach> void serve_connection(http_server::implementation* server, Attach attach) {
    auto* connection = static_cast<counted_connection*>(h2o_mem_alloc(sizeof(counted_connection)));
    connection->server = server;
    server->connections.insert(connection);
    uv_tcp_init(server->loop, &connection->handle);
    auto* stream = reinterpret_cast<uv_stream_t*>(&connection->handle);
    if (attach(stream) != 0) {
        uv_close(reinterpret_cast<uv_handle_t*>(stream), release_connection);
        return;
    }
    uv_tcp_nodelay(&connection->handle, 1);
    h2o_accept(&server->accept, h2o_uv_socket_create(stream, release_connection));
}

void log_accept_failure(http_server::implementation& server, const char* reason) {
    const instant now{milliseconds(uv_now(server.loop))};
    server.failures.log_repeated(
        log_level::warning, "accept_failed", reason, now,
        {{"port", static_cast<std::int64_t>(server.port)}, {"reason", reason}});
}

void accept_connection(uv_stream_t* listener, int status) {
    auto* server = static_cast<http_server::implementation*>(listener->data);
    if (status != 0) {
        log_accept_failure(*server, uv_strerror(status));
        return;
    }
    serve_connection(server, [&](uv_stream_t* stream) { return uv_accept(listener, stream); });
}

/// Accepts what the kernel has queued: a connection left in the queue is reset when the listening
/// socket closes, although its client may have sent a request.
void accept_backlog(http_server::implementation& server) {
    uv_os_fd_t listener = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(server.listener), &listener) != 0) {
        return;
    }
    while (true) {
        const int socket = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket >= 0) {
            serve_connection(&server, [&](uv_stream_t* stream) {
                const int error = uv_tcp_open(reinterpret_cast<uv_tcp_t*>(stream), socket);
                if (error != 0) {
                    close(socket);
                }
                return error;
            });
        } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            return;
        } else if (errno != EINTR && errno != ECONNABORTED) {
            log_accept_failure(server, std::strerror(errno));
            return;
        }
    }
}

absl::Status listen_on(http_server::implementation& server, const endpoint& at) {
    sockaddr_in address{};
    const auto failed = [&](int error) {
        return make_status(result_code::listen_failed, "cannot listen on " + at.address + ":" +
                                                           std::to_string(at.port) + ": " +
                                                           uv_strerror(error));
    };
    int error = uv_ip4_addr(at.address.c_str(), at.port, &address);
    if (error != 0) {
        return failed(error);
    }
    server.listener = new uv_tcp_t();
    uv_tcp_init(server.loop, server.listener);
    server.listener->data = &server;
    error = uv_tcp_bind(server.listener, reinterpret_cast<const sockaddr*>(&address), 0);
    if (error == 0) {
        constexpr int backlog = 1024;
        error =
            uv_listen(reinterpret_cast<uv_stream_t*>(server.listener), backlog, accept_connection);
    }
    if (error != 0) {
        return failed(error);
    }
    int length = sizeof(address);
    uv_tcp_getsockname(server.listener, reinterpret_cast<sockaddr*>(&address), &length);
    server.port = ntohs(address.sin_port);
    return absl::OkStatus();
}

void close_listener(http_server::implementation& server) {
    if (server.listener != nullptr) {
        uv_close(reinterpret_cast<uv_handle_t*>(server.listener),
                 [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
        server.listener = nullptr;
    }
}

} // namespace

void http_responder::send(const http_response& response) const {
    h2o_req_t* request = exchange_->request;
    if (request == nullptr || exchange_->sent) {
        return;
    }
    exchange_->sent = true;
    request->res.status = response.status;
    request->res.reason = reason_phrase(response.status).data();
    if (*exchange_->closing_connections) {
        request->http1_is_persistent = 0;
    }
    h2o_add_header(&request->pool, &request->res.headers, H2O_TOKEN_CONTENT_TYPE, nullptr,
                   pooled_copy(request, response.content_type).base, response.content_type.size());
    for (const auto& [name, value] : response.headers) {
        const h2o_iovec_t pooled_name = pooled_copy(request, name);
        const h2o_iovec_t pooled_value = pooled_copy(request, value);
        h2o_add_header_by_str(&request->pool, &request->res.headers, pooled_name.base,
                              pooled_name.len, 1, nullptr, pooled_value.base, pooled_value.len);
    }
    static h2o_generator_t generator = {nullptr, nullptr};
    request->res.content_length = response.body.size();
    h2o_iovec_t body = pooled_copy(request, response.body);
    h2o_start_response(request, &generator);
    h2o_send(request, &body, 1, H2O_SEND_STATE_FINAL);
}

void http_responder::on_gone(std::function<void()> function) const {
    exchange_->gone = std::move(function);
}

void http_responder::on_finished(std::function<void()> function) const {
    exchange_->finished = std::move(function);
}

absl::StatusOr<std::unique_ptr<http_server>>
http_server::create(uv_loop_t* loop, const endpoint& at, std::size_t body_limit, handler handle) {
    auto body = std::make_unique<implementation>();
    body->loop = loop;
    body->body_limit = body_limit;
    body->handle = std::move(handle);
    h2o_config_init(&body->config);
    // A body beyond this hard limit is refused by h2o while it arrives; up to it, the handler
    // answers with a numbered result.
    constexpr std::size_t hard_limit_factor = 4;
    body->config.max_request_entity_size = body_limit * hard_limit_factor;
    h2o_hostconf_t* host =
        h2o_config_register_host(&body->config, h2o_iovec_init("default", 7), 65535);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    auto* handler_entry =
        reinterpret_cast<server_handler*>(h2o_create_handler(path, sizeof(server_handler)));
    handler_entry->base.on_req = handle_request;
    handler_entry->server = body.get();
    h2o_create_filter(&host->fallback_path, sizeof(h2o_filter_t))->on_setup_ostream = number_error;
    h2o_create_filter(path, sizeof(h2o_filter_t))->on_setup_ostream = number_error;
    h2o_context_init(&body->context, loop, &body->config);
    body->accept.ctx = &body->context;
    body->accept.hosts = body->config.hosts;
    const absl::Status status = listen_on(*body, at);
    std::unique_ptr<http_server> server(new http_server(std::move(body)));
    if (!status.ok()) {
        return status;
    }
    return server;
}

http_server::http_server(std::unique_ptr<implementation> body) : body_(std::move(body)) {}

http_server::~http_server() {
    close_listener(*body_);
    // h2o closes its connections and context only with the process: the loop ends first.
    body_.release(); // NOLINT(bugprone-unused-return-value)
}

std::uint16_t http_server::port() const {
    return body_->port;
}

void http_server::close_after_answers() {
    body_->closing_connections = true;
}

void http_server::stop_accepting() {
    close_after_answers();
    if (body_->listener != nullptr) {
        accept_backlog(*body_);
    }
    close_listener(*body_);
    h2o_context_request_shutdown(&body_->context);
}

std::size_t http_server::open_connections() const {
    return body_->connections.size();
}

std::size_t http_server::unread_connections() const {
    return static_cast<std::size_t>(std::ranges::count_if(body_->connections, has_unread_bytes));
}

std::size_t http_server::open_requests() const {
    return body_->open;
}

} // namespace citronford
