#include "test_support.h"

#include "io/event_loop.h"
#include "io/http_client.h"
#include "io/http_server.h"

#include <arpa/inet.h>
#include <uv.h>

#include <deque>
#include <random>

using namespace citronford;

// Peers that do not speak HTTP, or stop in the middle. None of them may end the process, and each
// call must have one result.

namespace {

/// One end of a connection that writes given bytes and then closes it or stays silent.
struct raw_connection {
    uv_tcp_t handle{};
    uv_connect_t connect{};
    uv_write_t write{};
    std::string bytes;
    bool closes = true;

    [[nodiscard]] uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&handle); }

    void close() {
        auto* base = reinterpret_cast<uv_handle_t*>(&handle);
        if (uv_is_closing(base) == 0) {
            uv_close(base, nullptr);
        }
    }

    void send() {
        write.data = this;
        uv_buf_t buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
        uv_write(&write, stream(), &buffer, 1, [](uv_write_t* request, int /*status*/) {
            auto* connection = static_cast<raw_connection*>(request->data);
            if (connection->closes) {
                connection->close();
            }
        });
    }
};

/// Listens on loopback and sends the same bytes on each connection that has sent a request.
struct raw_server {
    uv_tcp_t listener{};
    std::deque<raw_connection> connections; ///< Keeps its elements in place.
    std::string reply;
    bool closes = true;

    explicit raw_server(uv_loop_t* loop) {
        uv_tcp_init(loop, &listener);
        listener.data = this;
        sockaddr_in address{};
        uv_ip4_addr("127.0.0.1", 0, &address);
        cr_assert(uv_tcp_bind(&listener, reinterpret_cast<sockaddr*>(&address), 0) == 0);
        cr_assert(uv_listen(reinterpret_cast<uv_stream_t*>(&listener), 64,
                            [](uv_stream_t* stream, int /*status*/) {
                                static_cast<raw_server*>(stream->data)->accept(stream);
                            }) == 0);
    }

    void accept(uv_stream_t* stream) {
        raw_connection& connection = connections.emplace_back();
        connection.bytes = reply;
        connection.closes = closes;
        uv_tcp_init(stream->loop, &connection.handle);
        connection.handle.data = &connection;
        cr_assert(uv_accept(stream, connection.stream()) == 0);
        uv_read_start(
            connection.stream(),
            [](uv_handle_t* /*handle*/, std::size_t /*size*/, uv_buf_t* buffer) {
                static char memory[65536];
                *buffer = uv_buf_init(memory, sizeof(memory));
            },
            [](uv_stream_t* from, ssize_t size, const uv_buf_t* /*buffer*/) {
                auto* peer = static_cast<raw_connection*>(from->data);
                uv_read_stop(from);
                size > 0 ? peer->send() : peer->close();
            });
    }

    [[nodiscard]] endpoint address() const {
        sockaddr_in bound{};
        int length = sizeof(bound);
        uv_tcp_getsockname(&listener, reinterpret_cast<sockaddr*>(&bound), &length);
        return {"127.0.0.1", ntohs(bound.sin_port)};
    }
};

const std::string_view odd_replies[] = {
    "",
    "\r\n\r\n",
    "garbage",
    "HTTP/1.1",
    "HTTP/1.1 200",
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 999 Odd\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 -1 Odd\r\ncontent-length: 0\r\n\r\n",
    "HTTP/9.9 200 OK\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999999\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent-length: 18446744073709551615\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 900\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nlonger than announced",
    "HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\nshort",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffff\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: "
    "7\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\ncontent-length: 5\r\n\r\nok",
    "HTTP/1.1 200 OK\r\n: no name\r\n\r\n",
    "HTTP/1.1 200 OK\r\nconnection: close, keep-alive\r\ncontent-length: 2\r\n\r\nok",
};

/// Replies beyond what a parser expects, and random changes of ordinary ones.
std::vector<std::string> generated_replies() {
    std::vector<std::string> replies;
    std::string many = "HTTP/1.1 200 OK\r\n";
    for (int header = 0; header < 500; ++header) {
        many += "x" + std::to_string(header) + ": y\r\n";
    }
    replies.push_back(many + "\r\n");
    replies.push_back("HTTP/1.1 200 OK\r\nx: " + std::string(1000000, 'y') + "\r\n\r\n");
    replies.push_back(std::string(1000000, '\0'));
    constexpr std::uint32_t seed = 20261205;
    constexpr int runs = 300;
    std::mt19937 random(seed);
    const std::string good = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
                             "transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    for (int run = 0; run < runs; ++run) {
        std::string reply = good;
        for (auto left = 1 + random() % 6; left > 0; --left) {
            const std::size_t at = random() % reply.size();
            if (random() % 2 == 0) {
                reply[at] = static_cast<char>(random() % 256);
            } else {
                reply.erase(at, random() % 8);
                reply += 'x';
            }
        }
        replies.push_back(reply);
    }
    return replies;
}

void run_for(event_loop& loop, duration time) {
    const auto end = loop.after(time, [&loop](instant) { loop.stop(); });
    loop.run();
}

} // namespace

// Guards against an owner that one backend server ends, and its successors after it.
Test(malformed_http, each_call_to_an_odd_server_has_one_result) {
    std::vector<std::string> replies(std::begin(odd_replies), std::end(odd_replies));
    std::ranges::move(generated_replies(), std::back_inserter(replies));
    const auto loop = *event_loop::create();
    http_client client(loop->handle(), *loop, {2});
    for (const std::string& reply : replies) {
        for (const bool closes : {true, false}) {
            auto* server = new raw_server(loop->handle()); // Closed with the loop of this process.
            server->reply = reply;
            server->closes = closes;
            int results = 0;
            for (int call = 0; call < 3; ++call) {
                client.call(server->address(), {"GET", "/", {}, {}, milliseconds(10)},
                            [&](const http_result&) { ++results; });
            }
            run_for(*loop, milliseconds(14));
            for (int turn = 0; turn < 100 && results < 3; ++turn) {
                run_for(*loop, milliseconds(2));
            }
            cr_assert(results == 3, "%d results for: %.60s", results, reply.c_str());
            uv_close(reinterpret_cast<uv_handle_t*>(&server->listener), nullptr);
        }
    }
    cr_assert(client.open_calls() == 0);
}

// Guards against a connection that goes on writing the request of a call that has ended.
Test(malformed_http, reply_before_the_end_of_the_request_is_taken) {
    const auto loop = *event_loop::create();
    http_client client(loop->handle(), *loop, {1});
    auto* server = new raw_server(loop->handle());
    server->reply = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    server->closes = false;
    const std::string body(8 << 20, 'x');
    int answered = 0;
    for (int call = 0; call < 3; ++call) {
        client.call(server->address(), {"POST", "/", {}, body, seconds(2)},
                    [&](const http_result& result) {
                        answered += std::holds_alternative<http_reply>(result) ? 1 : 0;
                    });
    }
    run_for(*loop, milliseconds(300));
    cr_assert(answered == 3, "%d answers", answered);
    cr_assert(server->connections.size() == 3, "a connection with half a request was used again");
}

// Guards against an entry VM that one client ends.
Test(malformed_http, server_goes_on_after_odd_requests) {
    const auto loop = *event_loop::create();
    const auto server =
        *http_server::create(loop->handle(), {"127.0.0.1", 0}, 1000,
                             [](const http_request& request, const http_responder& responder) {
                                 responder.send({200, {}, request.path});
                             });
    std::vector<std::string> requests = {
        "",
        "\r\n\r\n",
        "GET",
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\nx",
        "POST / HTTP/1.1\r\ncontent-length: 18446744073709551615\r\n\r\nx",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffff\r\nx",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nx",
        "POST / HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 9\r\n\r\n",
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        std::string(200000, 'x'),
        std::string(1000, '\0'),
        "GET /" + std::string(100000, 'x') + " HTTP/1.1\r\n\r\n",
        "GET /%zz%00%ff?\xff HTTP/1.1\r\nhost: \xff\r\n\r\n"};
    for (std::string& reply : generated_replies()) {
        reply.replace(0, std::min<std::size_t>(reply.size(), 15), "POST / HTTP/1.1");
        requests.push_back(std::move(reply));
    }
    sockaddr_in address{};
    uv_ip4_addr("127.0.0.1", server->port(), &address);
    std::deque<raw_connection> connections;
    for (const std::string& request : requests) {
        for (const bool closes : {true, false}) {
            raw_connection& connection = connections.emplace_back();
            connection.bytes = request;
            connection.closes = closes;
            uv_tcp_init(loop->handle(), &connection.handle);
            connection.connect.data = &connection;
            uv_tcp_connect(&connection.connect, &connection.handle,
                           reinterpret_cast<sockaddr*>(&address),
                           [](uv_connect_t* started, int status) {
                               cr_assert(status == 0, "%s", uv_strerror(status));
                               static_cast<raw_connection*>(started->data)->send();
                           });
            run_for(*loop, milliseconds(2));
        }
    }
    for (raw_connection& connection : connections) {
        connection.close();
    }
    http_client client(loop->handle(), *loop, {1});
    std::string body;
    client.call({"127.0.0.1", server->port()}, {"GET", "/after", {}, {}, seconds(2)},
                [&](const http_result& result) {
                    const auto* reply = std::get_if<http_reply>(&result);
                    body = reply == nullptr ? "lost" : reply->body;
                });
    run_for(*loop, milliseconds(300));
    expect_equal(body, "/after");
    cr_assert(server->open_requests() == 0, "%zu requests are open", server->open_requests());
}
