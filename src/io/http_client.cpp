#include "io/http_client.h"

#include "io/http_connection.h"
#include "io/http_reply_reader.h"
#include "io/http_request_text.h"
#include "io/log.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace citronford {

std::string_view http_reply::header(std::string_view name) const {
    const auto found =
        std::ranges::find(headers, name, &std::pair<std::string, std::string>::first);
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

using namespace http_detail;

/// One call under way.
struct http_detail::open_call {
    open_call(endpoint address, std::size_t reply_limit)
        : to(std::move(address)), reader(reply_limit) {}

    endpoint to;
    http_reply_reader reader;
    http_client::callback done;
    std::string request; ///< Head and body as sent.
    /// Sent in place of `request` on a connection that may lead to another process than `peer`.
    std::optional<std::string> request_for_unknown_peer;
    peer_id peer = unknown_peer;
    /// Sent before the request on a connection that may lead to another process than `peer`.
    std::string query;
    std::function<peer_id(const http_reply&)> read_peer; ///< Empty without a query.
    bool is_querying = false;
    instant deadline;
    bool is_connected = false;
    instant sent_at{};
    timer_subscription timeout;
    http_client::implementation* owner = nullptr;
    shared_endpoint* shared = nullptr; ///< Null for a call with a connection of its own.
    connection* carrier = nullptr;     ///< Null while the call waits for a connection.
};

struct http_client::implementation {
    uv_loop_t* loop = nullptr;
    timer_service& timers;
    http_client_options options;
    std::size_t open = 0;
    std::uint64_t last_connection = 0;
    std::map<endpoint, std::unique_ptr<shared_endpoint>> endpoints;
    timer_subscription idle_check;
    bool is_checking_idle = false;
    log_limiter log;
    /// Bytes of the read under way, which the reader of its call copies.
    std::array<char, 65536> input{};
};

namespace {

/// Closes the connections that have been idle for too long, and looks again later if any is left.
void check_idle(http_client::implementation& owner) {
    const instant oldest = owner.timers.now() - owner.options.idle_timeout;
    bool any_left = false;
    for (const auto& [to, shared] : owner.endpoints) {
        while (!shared->idle.empty() && shared->idle.front()->idle_since <= oldest) {
            close_connection(shared->idle.front());
            shared->idle.pop_front();
        }
        any_left = any_left || !shared->idle.empty();
    }
    owner.is_checking_idle = any_left;
    if (any_left) {
        constexpr int checks_per_timeout = 4;
        owner.idle_check = owner.timers.after(owner.options.idle_timeout / checks_per_timeout,
                                              [&owner](instant) { check_idle(owner); });
    }
}

void keep_idle(connection* kept, shared_endpoint& shared) {
    http_client::implementation& owner = *kept->owner;
    kept->call = nullptr;
    kept->idle_since = owner.timers.now();
    shared.idle.push_back(kept);
    if (!std::exchange(owner.is_checking_idle, true)) {
        owner.idle_check = owner.timers.after(owner.options.idle_timeout,
                                              [&owner](instant) { check_idle(owner); });
    }
}

void start_waiting(http_client::implementation& owner, shared_endpoint& shared);

/// Gives up the connection of an ending call and lets the next call start.
void release(open_call& call, bool was_answered) {
    http_client::implementation& owner = *call.owner;
    connection* used = std::exchange(call.carrier, nullptr);
    --owner.open;
    if (call.shared == nullptr) {
        if (used != nullptr) {
            was_answered ? close_connection(used) : reset_connection(used);
        }
        return;
    }
    shared_endpoint& shared = *call.shared;
    if (used == nullptr) {
        std::erase(shared.waiting, &call);
        return;
    }
    --shared.active;
    if (!was_answered) {
        // A path that has gone silent takes all its connections with it.
        ++shared.generation;
        close_idle(shared);
        reset_connection(used);
    } else if (call.reader.is_reusable() && !used->is_writing &&
               used->generation == shared.generation) {
        keep_idle(used, shared);
    } else {
        close_connection(used);
    }
    start_waiting(owner, shared);
}

/// Ends a call.
void finish(open_call* call, http_result result) {
    const std::unique_ptr<open_call> owned(call);
    owned->timeout.cancel();
    release(*owned, std::holds_alternative<http_reply>(result));
    owned->done(std::move(result));
}

bool leads_to_peer(const open_call& call) {
    return call.peer != unknown_peer && call.carrier->peer == call.peer;
}

http_result result_without_reply(const open_call& call, bool refused) {
    if (call.is_connected) {
        return http_lost{leads_to_peer(call)};
    }
    return http_unreachable{refused};
}

void log_rejected(const open_call& call, http_reply_reader::state state) {
    const bool large = state == http_reply_reader::state::too_large;
    http_client::implementation& owner = *call.owner;
    owner.log.log_repeated(log_level::warning, "reply_rejected", large ? "large" : "malformed",
                           owner.timers.now(),
                           {{"address", call.to.address},
                            {"port", static_cast<std::int64_t>(call.to.port)},
                            {"reason", large ? "too large" : "not HTTP/1.1, or cut off"}});
}

bool send_request(open_call* call);

/// Notes which process has answered the query of a call, and sends its request.
void apply_peer(open_call* call) {
    const http_reply reply = call->reader.take_reply();
    call->carrier->peer = call->read_peer(reply);
    const bool usable = call->reader.is_reusable() && !call->carrier->is_writing;
    call->reader = http_reply_reader(call->owner->options.reply_limit);
    if (!usable || !send_request(call)) {
        finish(call, result_without_reply(*call, false));
    }
}

void apply_state(open_call* call, http_reply_reader::state state) {
    switch (state) {
    case http_reply_reader::state::incomplete:
        return;
    case http_reply_reader::state::complete: {
        uv_read_stop(call->carrier->stream());
        if (call->is_querying) {
            apply_peer(call);
            return;
        }
        http_reply reply = call->reader.take_reply();
        reply.connection = call->carrier->id;
        reply.sent_at = call->sent_at;
        finish(call, std::move(reply));
        return;
    }
    case http_reply_reader::state::malformed:
    case http_reply_reader::state::too_large:
        log_rejected(*call, state);
        finish(call, result_without_reply(*call, false));
        return;
    }
}

void provide_input(uv_handle_t* handle, std::size_t /*size*/, uv_buf_t* buffer) {
    auto& input = static_cast<connection*>(handle->data)->owner->input;
    *buffer = uv_buf_init(input.data(), static_cast<unsigned>(input.size()));
}

void on_input(uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
    open_call* call = static_cast<connection*>(stream->data)->call;
    if (call == nullptr || size == 0) {
        return;
    }
    if (size > 0) {
        apply_state(call, call->reader.read({buffer->base, static_cast<std::size_t>(size)}));
    } else if (size == UV_EOF && call->reader.end() == http_reply_reader::state::complete) {
        apply_state(call, http_reply_reader::state::complete);
    } else {
        finish(call, result_without_reply(*call, false));
    }
}

void on_written(uv_write_t* writing, int status) {
    auto* carrier = static_cast<connection*>(writing->data);
    open_call* call = carrier->call;
    carrier->is_writing = false;
    // A peer may answer and close before it has read all; what it sent is still to be read.
    if (call != nullptr && status != 0 && status != UV_EPIPE && status != UV_ECONNRESET) {
        finish(call, result_without_reply(*call, false));
    }
}

bool send_text(open_call& call, std::string& text) {
    connection& carrier = *call.carrier;
    uv_buf_t buffer = uv_buf_init(text.data(), static_cast<unsigned>(text.size()));
    carrier.writing.data = &carrier;
    if (uv_read_start(carrier.stream(), provide_input, on_input) != 0) {
        return false;
    }
    carrier.is_writing = uv_write(&carrier.writing, carrier.stream(), &buffer, 1, on_written) == 0;
    return carrier.is_writing;
}

/// Sends the request on a connection, after the query that it may need, and reads the reply.
/// Returns false if the socket fails at once, if the connection does not lead to the peer, or if
/// the time of the call is over: the timers of the loop do not count the time of a suspended VM.
bool send_request(open_call* call) {
    call->sent_at = call->owner->timers.now();
    if (call->sent_at >= call->deadline) {
        return false;
    }
    const bool known = leads_to_peer(*call);
    if (call->read_peer && !known) {
        const bool queried = std::exchange(call->is_querying, true);
        return !queried && send_text(*call, call->query);
    }
    call->is_querying = false;
    call->is_connected = true;
    return send_text(*call, call->request_for_unknown_peer && !known
                                ? *call->request_for_unknown_peer
                                : call->request);
}

void on_connected(uv_connect_t* connecting, int status) {
    auto* carrier = static_cast<connection*>(connecting->data);
    open_call* call = carrier->call;
    if (call == nullptr) {
        return;
    }
    if (status == 0) {
        carrier->opened_at = carrier->owner->timers.now();
    }
    if (status != 0) {
        finish(call, result_without_reply(*call, true));
    } else if (!send_request(call)) {
        finish(call, result_without_reply(*call, false));
    }
}

/// Opens a connection for a call. Returns false if the socket fails at once.
bool open_connection(open_call* call) {
    sockaddr_in address{};
    http_client::implementation& owner = *call->owner;
    auto* opened = new connection();
    opened->owner = &owner;
    opened->id = ++owner.last_connection;
    opened->shared = call->shared;
    if (opened->shared != nullptr) {
        opened->generation = opened->shared->generation;
        opened->shared->open.push_back(opened);
    }
    opened->call = call;
    opened->socket.data = opened;
    opened->connecting.data = opened;
    call->carrier = opened;
    uv_tcp_init(owner.loop, &opened->socket);
    return uv_ip4_addr(call->to.address.c_str(), call->to.port, &address) == 0 &&
           uv_tcp_connect(&opened->connecting, &opened->socket,
                          reinterpret_cast<const sockaddr*>(&address), on_connected) == 0;
}

/// Reports the failure of a call in a later turn of the loop, since `call` must not.
void fail_later(open_call* call) {
    call->timeout = call->owner->timers.after(
        duration::zero(), [call](instant) { finish(call, result_without_reply(*call, false)); });
}

/// Gives a connection to a call that has its turn.
void start_call(open_call* call) {
    bool started = false;
    connection* idle = nullptr;
    if (call->shared != nullptr) {
        ++call->shared->active;
        idle = take_idle(*call->shared, call->peer);
    }
    if (idle != nullptr) {
        idle->call = call;
        call->carrier = idle;
        started = send_request(call);
    } else {
        started = open_connection(call);
    }
    if (!started) {
        fail_later(call);
    }
}

void start_waiting(http_client::implementation& owner, shared_endpoint& shared) {
    while (shared.active < owner.options.connections_per_endpoint && !shared.waiting.empty()) {
        open_call* next = shared.waiting.front();
        shared.waiting.pop_front();
        start_call(next);
    }
}

} // namespace

http_client::http_client(uv_loop_t* loop, timer_service& timers, http_client_options options)
    : body_(new implementation{loop, timers, options, 0, 0, {}, {}, false, {}, {}}) {}

http_client::~http_client() {
    // The loop still holds pointers to the connections and closes them only when the process ends.
    body_.release(); // NOLINT(bugprone-unused-return-value)
}

void http_client::call(const endpoint& to, const http_call& request, callback done) {
    const bool shares = body_->options.connections_per_endpoint > 0;
    auto* call = new open_call(to, body_->options.reply_limit);
    call->done = std::move(done);
    call->request = request_text(to, request, request.body, shares);
    call->peer = request.peer;
    if (request.query != nullptr) {
        call->query = request_text(
            to, {.method = request.method, .path = request.query->path, .headers = request.headers},
            request.query->body, shares);
        call->read_peer = request.query->read_peer;
    }
    if (request.body_for_unknown_peer) {
        call->request_for_unknown_peer =
            request_text(to, request, *request.body_for_unknown_peer, shares);
    }
    call->owner = body_.get();
    call->deadline = body_->timers.now() + request.timeout;
    ++body_->open;
    call->timeout = body_->timers.after(
        request.timeout, [call](instant) { finish(call, result_without_reply(*call, false)); });
    if (!shares) {
        start_call(call);
        return;
    }
    auto& shared = body_->endpoints[to];
    if (!shared) {
        shared = std::make_unique<shared_endpoint>();
    }
    call->shared = shared.get();
    shared->waiting.push_back(call);
    start_waiting(*body_, *shared);
}

void http_client::identify_peer(const endpoint& to, const http_reply& reply, peer_id peer) {
    const auto shared = body_->endpoints.find(to);
    if (shared == body_->endpoints.end()) {
        return;
    }
    for (connection* open : shared->second->open) {
        if (open->id == reply.connection ||
            (open->opened_at && *open->opened_at <= reply.sent_at)) {
            open->peer = peer;
        }
    }
}

std::size_t http_client::open_calls() const {
    return body_->open;
}

} // namespace citronford
