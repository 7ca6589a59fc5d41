#include "test_support.h"

#include "io/event_loop.h"
#include "io/http_client.h"
#include "io/http_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <string>

using namespace citronford;

namespace {

/// A server on loopback whose answers name the path, and a client that keeps connections.
struct client_fixture {
    std::unique_ptr<event_loop> loop = *event_loop::create();
    std::unique_ptr<http_server> server;
    http_client client;
    std::vector<http_responder> unanswered;
    std::size_t most_connections = 0;

    explicit client_fixture(std::size_t connections, std::size_t reply_limit = 1000)
        : client(loop->handle(), *loop, {connections, seconds(8), reply_limit}) {
        auto created = http_server::create(
            loop->handle(), {"127.0.0.1", 0}, 1000,
            [this](const http_request& request, const http_responder& responder) {
                most_connections = std::max(most_connections, server->open_connections());
                if (request.path == "/silent") {
                    unanswered.push_back(responder);
                } else {
                    responder.send({200, {}, request.path});
                }
            });
        cr_assert(created.ok());
        server = *std::move(created);
    }

    void get(std::string_view path, duration timeout, http_client::callback done) {
        client.call({"127.0.0.1", server->port()}, {"GET", path, {}, {}, timeout}, std::move(done));
    }

    void run_for(duration time) {
        const auto end = loop->after(time, [this](instant) { loop->stop(); });
        loop->run();
    }
};

/// Timers of a VM that was suspended: their callbacks come late by the time of the suspension.
struct suspended_timers : timer_service {
    timer_service& timers;
    duration suspended{};

    explicit suspended_timers(timer_service& loop) : timers(loop) {}
    [[nodiscard]] instant now() const override { return timers.now() + suspended; }
    [[nodiscard]] timer_subscription after(duration delay, callback function) override {
        return timers.after(delay, std::move(function));
    }
    [[nodiscard]] timer_subscription every(duration period, callback function) override {
        return timers.every(period, std::move(function));
    }
};

/// A listening socket whose connections are accepted by the kernel and never answered.
struct silent_listener {
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};

    silent_listener() {
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        cr_assert(bind(socket, reinterpret_cast<sockaddr*>(&address), size) == 0);
        cr_assert(listen(socket, 4) == 0);
        getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    }
    silent_listener(const silent_listener&) = delete;
    silent_listener& operator=(const silent_listener&) = delete;
    silent_listener(silent_listener&&) = delete;
    silent_listener& operator=(silent_listener&&) = delete;
    ~silent_listener() { close(socket); }
};

} // namespace

// Guards against an order that a broken path holds up and delivers after its call has failed: an
// ordinary close would still send it.
Test(http_client, resets_the_connection_of_a_lost_call) {
    client_fixture fixture(1);
    const silent_listener listener;
    fixture.client.call({"127.0.0.1", ntohs(listener.address.sin_port)},
                        {"POST", "/", {}, "order", milliseconds(50)}, [](const http_result&) {});
    fixture.run_for(milliseconds(200));
    const int connection = accept(listener.socket, nullptr, nullptr);
    cr_assert(connection >= 0);
    char buffer[4096];
    ssize_t size = 0;
    do {
        size = recv(connection, buffer, sizeof(buffer), 0);
    } while (size > 0);
    cr_assert(size < 0 && errno == ECONNRESET, "size %zd, error %d", size, errno);
    close(connection);
}

// Guards against a connection for each call, which the backend servers count and charge.
Test(http_client, shares_a_bounded_number_of_connections) {
    client_fixture fixture(2);
    int answered = 0;
    for (int call = 0; call < 40; ++call) {
        const std::string path = "/" + std::to_string(call);
        fixture.get(path, seconds(2), [&answered, path](const http_result& result) {
            const auto* reply = std::get_if<http_reply>(&result);
            cr_assert(reply != nullptr && reply->body == path);
            ++answered;
        });
    }
    fixture.run_for(milliseconds(500));
    cr_assert(answered == 40, "%d answers", answered);
    cr_assert(fixture.most_connections <= 2, "%zu connections", fixture.most_connections);
    cr_assert(fixture.client.open_calls() == 0);
}

// Guards against an answer that goes to the next call on a connection whose call timed out, and
// against calls that wait behind silent ones longer than their timeout.
Test(http_client, drops_the_connections_of_an_endpoint_after_a_lost_call) {
    client_fixture fixture(1);
    int lost = 0;
    std::string body;
    fixture.get("/first", seconds(1), [](const http_result&) {});
    fixture.run_for(milliseconds(50));
    fixture.get("/silent", milliseconds(100), [&](const http_result& result) {
        lost += std::holds_alternative<http_lost>(result) ? 1 : 0;
        fixture.get("/next", seconds(1), [&](const http_result& next) {
            const auto* reply = std::get_if<http_reply>(&next);
            body = reply == nullptr ? "" : reply->body;
        });
    });
    bool unreachable = false;
    fixture.get("/behind", milliseconds(50), [&](const http_result& result) {
        unreachable = std::holds_alternative<http_unreachable>(result);
    });
    fixture.run_for(milliseconds(300));
    cr_assert(lost == 1);
    cr_assert(unreachable, "a call that got no connection was not sent");
    expect_equal(body, "/next");
}

// Guards against a reply that fills the memory of the process.
Test(http_client, loses_a_reply_beyond_the_limit) {
    client_fixture fixture(1, 5);
    bool lost = false;
    std::string body;
    fixture.get("/long-path", seconds(1), [&](const http_result& result) {
        lost = std::holds_alternative<http_lost>(result);
        fixture.get("/next", seconds(1), [&](const http_result& next) {
            const auto* reply = std::get_if<http_reply>(&next);
            body = reply == nullptr ? "" : reply->body;
        });
    });
    fixture.run_for(milliseconds(300));
    cr_assert(lost);
    expect_equal(body, "/next");
}

// Guards against a refused connection that is reported as a call that may have arrived.
Test(http_client, reports_a_refused_connection_as_not_sent) {
    client_fixture fixture(2);
    bool refused = false;
    fixture.client.call({"127.0.0.1", 1}, {"GET", "/", {}, {}, seconds(1)},
                        [&](const http_result& result) {
                            const auto* failure = std::get_if<http_unreachable>(&result);
                            refused = failure != nullptr && failure->refused;
                        });
    fixture.run_for(milliseconds(200));
    cr_assert(refused);
}

// Guards against a pool that is freed while the loop still closes its timer: by the clock its time
// had come, since the process had been suspended within a turn (a process ended with an assertion
// of the loop at 300 entry VMs).
Test(http_client, frees_retired_connections_by_turns_of_the_loop) {
    client_fixture fixture(2);
    int lost = 0;
    for (int round = 0; round < 3; ++round) {
        fixture.get("/silent", milliseconds(5), [&](const http_result& result) {
            lost += std::holds_alternative<http_lost>(result) ? 1 : 0;
            // Stops the loop for longer than any delay in the client.
            usleep(1100000);
            fixture.get("/next", seconds(1), [](const http_result&) {});
        });
        fixture.run_for(milliseconds(1300));
    }
    cr_assert(lost == 3, "%d calls were lost", lost);
    cr_assert(fixture.client.open_calls() == 0);
}

// Guards against an order that is sent after a suspension of the VM, when its time is over.
Test(http_client, sends_nothing_after_the_timeout_of_a_call) {
    client_fixture fixture(2);
    suspended_timers timers(*fixture.loop);
    http_client client(fixture.loop->handle(), timers, {2});
    const endpoint to{"127.0.0.1", fixture.server->port()};
    bool unreachable = false;
    client.call(to, {"POST", "/order", {}, {}, milliseconds(100)}, [&](const http_result& result) {
        unreachable = std::holds_alternative<http_unreachable>(result);
    });
    timers.suspended = seconds(1);
    fixture.run_for(milliseconds(50));
    cr_assert(unreachable, "the order was sent");
}
