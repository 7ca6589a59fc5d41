#include "io/http_client.h"

#include "io/log.h"

#include <h2o.h>
#include <h2o/http1client.h>

#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <map>

namespace citronford {

std::string_view http_reply::header(std::string_view name) const {
    const auto found =
        std::ranges::find(headers, name, &std::pair<std::string, std::string>::first);
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

namespace {

/// h2o's own inactivity timeout; each call has a shorter one of its own.
constexpr std::uint64_t h2o_io_timeout_ms = 3600000;

struct open_call;

/// Connections to one endpoint that calls share.
struct connection_pool {
    connection_pool(uv_loop_t* loop, const endpoint& to, duration idle_timeout) {
        sockaddr_in address{};
        uv_ip4_addr(to.address.c_str(), to.port, &address);
        // The number of connections is bounded by the waiting list of the endpoint.
        constexpr std::size_t unbounded = SIZE_MAX;
        h2o_socketpool_init_by_address(&sockets, reinterpret_cast<sockaddr*>(&address),
                                       sizeof(address), 0, unbounded);
        h2o_socketpool_set_timeout(&sockets, loop, static_cast<std::uint64_t>(to_ms(idle_timeout)));
    }
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;
    connection_pool(connection_pool&&) = delete;
    connection_pool& operator=(connection_pool&&) = delete;
    ~connection_pool() = default;

    h2o_socketpool_t sockets{};
    std::size_t active = 0; ///< Calls that use a connection of this pool.
    bool retired = false;   ///< No further call uses it.
};

/// The shared connections to one endpoint and the calls that wait for one.
struct shared_endpoint {
    endpoint to;
    std::unique_ptr<connection_pool> pool;
    std::size_t active = 0; ///< Calls that have a connection, also of a retired pool.
    std::deque<open_call*> waiting;
};

/// One call under way.
struct open_call {
    http_client::callback done;
    endpoint to;
    std::string request; ///< Head and body as sent.
    h2o_iovec_t request_buffer{};
    http_reply reply;
    bool starting = true; ///< `http_client::call` has not returned yet.
    bool failed_at_start = false;
    bool is_connected = false;
    bool has_length = false;
    std::size_t length = 0;
    h2o_http1client_t* client = nullptr;
    timer_subscription timeout;
    http_client::implementation* owner = nullptr;
    shared_endpoint* shared = nullptr; ///< Null for a call with a connection of its own.
    connection_pool* pool = nullptr;   ///< Set while the call has a shared connection.
};

void release(open_call& call, bool lost);

/// Ends a call. The h2o client must be closed or closing by itself.
void finish(open_call* call, http_result result) {
    const std::unique_ptr<open_call> owned(call);
    owned->timeout.cancel();
    release(*owned, !std::holds_alternative<http_reply>(result));
    owned->done(std::move(result));
}

http_result result_without_reply(const open_call& call, bool refused) {
    if (call.is_connected) {
        return http_lost{};
    }
    return http_unreachable{refused};
}

/// Whether `more` bytes make the body of the reply longer than the limit; logs it if so.
bool is_too_large(const open_call& call, std::size_t more);

int on_body(h2o_http1client_t* client, const char* error) {
    auto* call = static_cast<open_call*>(client->data);
    const bool ended = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !ended) {
        finish(call, http_lost{});
        return -1;
    }
    h2o_buffer_t*& input = client->sock->input;
    if (is_too_large(*call, input->size)) {
        finish(call, http_lost{});
        return -1;
    }
    call->reply.body.append(input->bytes, input->size);
    h2o_buffer_consume(&input, input->size);
    if (ended) {
        if (call->has_length && call->reply.body.size() != call->length) {
            finish(call, http_lost{});
        } else {
            finish(call, std::move(call->reply));
        }
    }
    return 0;
}

std::string lower_case(std::string_view text) {
    std::string result(text);
    std::ranges::transform(result, result.begin(), [](unsigned char c) {
        return static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
    });
    return result;
}

h2o_http1client_body_cb on_head(h2o_http1client_t* client, const char* error, int /*minor*/,
                                int status, h2o_iovec_t /*message*/, h2o_header_t* headers,
                                std::size_t count, int /*rlen*/) {
    auto* call = static_cast<open_call*>(client->data);
    if (error != nullptr && error != h2o_http1client_error_is_eos) {
        finish(call, http_lost{});
        return nullptr;
    }
    call->reply.status = status;
    for (std::size_t index = 0; index < count; ++index) {
        const h2o_header_t& header = headers[index];
        call->reply.headers.emplace_back(lower_case({header.name->base, header.name->len}),
                                         std::string(header.value.base, header.value.len));
        if (call->reply.headers.back().first == "content-length") {
            call->has_length = true;
            call->length = h2o_strtosize(header.value.base, header.value.len);
        }
    }
    if (error == h2o_http1client_error_is_eos) {
        if (call->has_length && call->length != 0) {
            finish(call, http_lost{});
        } else {
            finish(call, std::move(call->reply));
        }
        return nullptr;
    }
    return on_body;
}

h2o_http1client_head_cb on_connect(h2o_http1client_t* client, const char* error,
                                   h2o_iovec_t** buffers, std::size_t* count, int* is_head) {
    auto* call = static_cast<open_call*>(client->data);
    if (error != nullptr) {
        if (call->starting) {
            call->failed_at_start = true;
        } else {
            finish(call, result_without_reply(*call, true));
        }
        return nullptr;
    }
    call->is_connected = true;
    call->request_buffer = h2o_iovec_init(call->request.data(), call->request.size());
    *buffers = &call->request_buffer;
    *count = 1;
    *is_head = 0;
    return on_head;
}

std::string serialized(const endpoint& to, const http_call& call, bool keep_alive) {
    std::string text;
    text += call.method;
    text += ' ';
    text += call.path;
    text += " HTTP/1.1\r\nhost: " + to.address + ':' + std::to_string(to.port);
    if (!keep_alive) {
        text += "\r\nconnection: close";
    }
    text += "\r\ncontent-length: " + std::to_string(call.body.size());
    for (const auto& [name, value] : call.headers) {
        text += "\r\n";
        text += name;
        text += ": ";
        text += value;
    }
    text += "\r\n\r\n";
    text += call.body;
    return text;
}

} // namespace

struct http_client::implementation {
    uv_loop_t* loop = nullptr;
    timer_service& timers;
    http_client_options options;
    h2o_multithread_queue_t* queue = nullptr;
    h2o_multithread_receiver_t receiver{};
    h2o_timeout_t io_timeout{};
    h2o_http1client_ctx_t context{};
    std::size_t open = 0;
    std::map<endpoint, std::unique_ptr<shared_endpoint>> endpoints;
    std::vector<std::unique_ptr<connection_pool>> retired;
    log_limiter log;
};

namespace {

bool is_too_large(const open_call& call, std::size_t more) {
    http_client::implementation& owner = *call.owner;
    const std::size_t size = call.reply.body.size() + more;
    if (size <= owner.options.reply_limit) {
        return false;
    }
    owner.log.log_repeated(log_level::warning, "reply_too_large", "", owner.timers.now(),
                           {{"address", call.to.address},
                            {"port", static_cast<std::int64_t>(call.to.port)},
                            {"bytes", static_cast<std::int64_t>(size)},
                            {"limit", static_cast<std::int64_t>(owner.options.reply_limit)}});
    return true;
}

/// Makes the close of a connection discard what has not been delivered. Bytes that a broken path
/// holds up would otherwise arrive long after their call has failed.
void discard_unsent(const h2o_http1client_t& client) {
    if (client.sock == nullptr) {
        return;
    }
    const int descriptor = h2o_socket_get_fd(client.sock);
    const linger at_once{1, 0};
    if (descriptor >= 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    }
}

void fail_later(open_call* call) {
    call->timeout = call->owner->timers.after(
        duration::zero(), [call](instant) { finish(call, result_without_reply(*call, false)); });
}

/// Calls `function` when the present turn of the loop has ended, whatever the clock says: a process
/// can be suspended within a turn.
void after_turn(uv_loop_t* loop, std::function<void()> function) {
    struct marker {
        uv_idle_t handle{};
        std::function<void()> function;
    };
    auto* entry = new marker{{}, std::move(function)};
    uv_idle_init(loop, &entry->handle);
    entry->handle.data = entry;
    uv_close(reinterpret_cast<uv_handle_t*>(&entry->handle), [](uv_handle_t* handle) {
        const std::unique_ptr<marker> ended(static_cast<marker*>(handle->data));
        ended->function();
    });
}

/// Closes and frees a retired pool that no call uses. h2o gives a connection back to its pool after
/// the callback of the call, and the loop closes the timer of a pool in a later turn.
void close_retired(http_client::implementation& owner, connection_pool* pool) {
    after_turn(owner.loop, [&owner, pool] {
        h2o_socketpool_dispose(&pool->sockets);
        after_turn(owner.loop, [&owner, pool] {
            after_turn(owner.loop, [&owner, pool] {
                std::erase_if(owner.retired,
                              [pool](const auto& item) { return item.get() == pool; });
            });
        });
    });
}

void retire(http_client::implementation& owner, shared_endpoint& shared) {
    connection_pool* pool = shared.pool.get();
    pool->retired = true;
    owner.retired.push_back(std::move(shared.pool));
    if (pool->active == 0) {
        close_retired(owner, pool);
    }
}

/// Connects a call that has its turn; h2o may take a pooled connection within the call.
void connect_shared(const endpoint& to, open_call* call) {
    shared_endpoint& shared = *call->shared;
    http_client::implementation& owner = *call->owner;
    if (!shared.pool) {
        shared.pool = std::make_unique<connection_pool>(owner.loop, to, owner.options.idle_timeout);
    }
    ++shared.active;
    call->pool = shared.pool.get();
    ++call->pool->active;
    call->starting = true;
    h2o_http1client_connect_with_pool(&call->client, call, &owner.context, &call->pool->sockets,
                                      on_connect);
    call->starting = false;
    if (call->failed_at_start) {
        fail_later(call);
    }
}

void start_waiting(shared_endpoint& shared, const endpoint& to, std::size_t most) {
    while (shared.active < most && !shared.waiting.empty()) {
        open_call* next = shared.waiting.front();
        shared.waiting.pop_front();
        connect_shared(to, next);
    }
}

/// Gives up what an ending call holds. The next call that waits starts in a turn of its own, when
/// h2o has given the connection back to the pool.
void release(open_call& call, bool lost) {
    http_client::implementation& owner = *call.owner;
    --owner.open;
    if (call.shared == nullptr) {
        return;
    }
    shared_endpoint& shared = *call.shared;
    if (call.pool == nullptr) {
        std::erase(shared.waiting, &call);
        return;
    }
    --shared.active;
    --call.pool->active;
    if (call.pool->retired) {
        if (call.pool->active == 0) {
            close_retired(owner, call.pool);
        }
    } else if (lost) {
        retire(owner, shared);
    }
    if (!shared.waiting.empty()) {
        owner.timers.once(duration::zero(), [&owner, &shared](instant) {
            start_waiting(shared, shared.to, owner.options.connections_per_endpoint);
        });
    }
}

} // namespace

http_client::http_client(uv_loop_t* loop, timer_service& timers, http_client_options options)
    : body_(new implementation{loop, timers, options, nullptr, {}, {}, {}, 0, {}, {}, {}}) {
    body_->queue = h2o_multithread_create_queue(loop);
    h2o_multithread_register_receiver(body_->queue, &body_->receiver,
                                      h2o_hostinfo_getaddr_receiver);
    h2o_timeout_init(loop, &body_->io_timeout, h2o_io_timeout_ms);
    body_->context.loop = loop;
    body_->context.getaddr_receiver = &body_->receiver;
    body_->context.io_timeout = &body_->io_timeout;
}

http_client::~http_client() {
    // h2o keeps pointers into the context until the loop has closed its handles, which happens
    // only when the process ends.
    body_.release(); // NOLINT(bugprone-unused-return-value)
}

void http_client::call(const endpoint& to, const http_call& request, callback done) {
    const std::size_t most = body_->options.connections_per_endpoint;
    auto* call = new open_call();
    call->done = std::move(done);
    call->to = to;
    call->request = serialized(to, request, most > 0);
    call->owner = body_.get();
    ++body_->open;
    call->timeout = body_->timers.after(request.timeout, [call](instant) {
        if (call->client != nullptr && !call->failed_at_start) {
            discard_unsent(*call->client);
            h2o_http1client_cancel(call->client);
        }
        finish(call, result_without_reply(*call, false));
    });
    if (most > 0) {
        auto& shared = body_->endpoints[to];
        if (!shared) {
            shared = std::make_unique<shared_endpoint>();
            shared->to = to;
        }
        call->shared = shared.get();
        shared->waiting.push_back(call);
        start_waiting(*shared, to, most);
        return;
    }
    h2o_http1client_connect(&call->client, call, &body_->context,
                            h2o_iovec_init(to.address.data(), to.address.size()), to.port, 0,
                            on_connect);
    call->starting = false;
    if (call->failed_at_start) {
        fail_later(call);
    }
}

std::size_t http_client::open_calls() const {
    return body_->open;
}

} // namespace citronford
