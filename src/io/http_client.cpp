#include "io/http_client.h"

#include <h2o.h>
#include <h2o/http1client.h>

#include <algorithm>

namespace citronford {

std::string_view http_reply::header(std::string_view name) const {
    const auto found =
        std::ranges::find(headers, name, &std::pair<std::string, std::string>::first);
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

namespace {

/// h2o's own inactivity timeout; each call has a shorter one of its own.
constexpr std::uint64_t h2o_io_timeout_ms = 3600000;

/// One call under way.
struct open_call {
    http_client::callback done;
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
    std::size_t* open = nullptr;
};

/// Ends a call. The h2o client must be closed or closing by itself.
void finish(open_call* call, http_result result) {
    const std::unique_ptr<open_call> owned(call);
    owned->timeout.cancel();
    --*owned->open;
    owned->done(std::move(result));
}

http_result result_without_reply(const open_call& call, bool refused) {
    if (call.is_connected) {
        return http_lost{};
    }
    return http_unreachable{refused};
}

int on_body(h2o_http1client_t* client, const char* error) {
    auto* call = static_cast<open_call*>(client->data);
    const bool ended = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !ended) {
        finish(call, http_lost{});
        return -1;
    }
    h2o_buffer_t*& input = client->sock->input;
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

std::string serialized(const endpoint& to, const http_call& call) {
    std::string text;
    text += call.method;
    text += ' ';
    text += call.path;
    text += " HTTP/1.1\r\nhost: " + to.address + ':' + std::to_string(to.port);
    text += "\r\nconnection: close\r\ncontent-length: " + std::to_string(call.body.size());
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
    timer_service& timers;
    h2o_multithread_queue_t* queue = nullptr;
    h2o_multithread_receiver_t receiver{};
    h2o_timeout_t io_timeout{};
    h2o_http1client_ctx_t context{};
    std::size_t open = 0;
};

http_client::http_client(uv_loop_t* loop, timer_service& timers)
    : body_(new implementation{timers}) {
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
    auto* call = new open_call();
    call->done = std::move(done);
    call->request = serialized(to, request);
    call->open = &body_->open;
    ++body_->open;
    call->timeout = body_->timers.after(request.timeout, [call](instant) {
        h2o_http1client_cancel(call->client);
        finish(call, result_without_reply(*call, false));
    });
    h2o_http1client_connect(&call->client, call, &body_->context,
                            h2o_iovec_init(to.address.data(), to.address.size()), to.port, 0,
                            on_connect);
    call->starting = false;
    if (call->failed_at_start) {
        call->timeout = body_->timers.after(duration::zero(), [call](instant) {
            finish(call, result_without_reply(*call, false));
        });
    }
}

std::size_t http_client::open_calls() const {
    return body_->open;
}

} // namespace citronford
