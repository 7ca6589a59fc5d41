#include "test_support.h"

#include "io/event_loop.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "platform/backend_client.h"

#include <optional>
#include <string>
#include <vector>

using namespace citronford;

namespace {

constexpr process_start_ms former_process = 7;
constexpr process_start_ms new_process = 8;

/// A backend server that can be restarted at its port, and a client of it.
struct backend_fixture {
    std::unique_ptr<event_loop> loop = *event_loop::create();
    http_client calls{loop->handle(), *loop, {2}};
    backend_client client{calls};
    std::unique_ptr<http_server> server;
    std::uint16_t port = 0;
    std::vector<std::string> received;
    std::vector<http_responder> held;

    backend_fixture() { start(former_process); }

    void start(process_start_ms process) {
        server.reset();
        held.clear();
        auto created = http_server::create(
            loop->handle(), {"127.0.0.1", port}, 1000,
            [this, process](const http_request& request, const http_responder& responder) {
                received.emplace_back(request.body);
                if (request.body.find("WaitMs") != std::string::npos) {
                    held.push_back(responder);
                    return;
                }
                const std::string start = process == unknown_process
                                              ? std::string()
                                              : R"("born":)" + std::to_string(process) + ",";
                responder.send(
                    {200, {}, R"({"ClockMs":1,)" + start + R"("Running":[],"Ended":[]})"});
            });
        cr_assert(created.ok());
        server = *std::move(created);
        port = server->port();
    }

    [[nodiscard]] backend_address address() const {
        return {backend_id("i-1"), {"127.0.0.1", port}};
    }

    void run_for(duration time) {
        const auto end = loop->after(time, [this](instant) { loop->stop(); });
        loop->run();
    }

    /// The result of a poll that renews the lease of `process`; nothing while it is held.
    std::optional<poll_result> poll(process_start_ms process, duration max_wait = {}) {
        std::optional<poll_result> answer;
        client.poll(address(),
                    {.token = 3,
                     .lease_until = 5000,
                     .acknowledged_completion = 12,
                     .max_wait = max_wait,
                     .process = process},
                    milliseconds(100), [&](const poll_result& result) { answer = result; });
        run_for(milliseconds(150));
        return answer;
    }

    /// The result of a start that the server does not answer.
    command_result lose_start(process_start_ms process) {
        std::optional<command_result> answer;
        client.start(address(),
                     {.task = {job_id("job"), 0, 0, 0},
                      .run = 1,
                      .payload = "WaitMs",
                      .lease_until = 5000,
                      .token = 3,
                      .process = process},
                     milliseconds(100), [&](const command_result& result) { answer = result; });
        run_for(milliseconds(150));
        cr_assert(answer.has_value());
        return *answer;
    }

    [[nodiscard]] bool last_request_was_a_start() const {
        return received.back().find(R"("Run":1)") != std::string::npos;
    }

    [[nodiscard]] bool last_poll_renewed_the_lease() const {
        const std::string& body = received.back();
        const bool renewed = body.find(R"("DeadlineMs":5000)") != std::string::npos;
        const bool acknowledged = body.find(R"("SeenUpto":12)") != std::string::npos;
        cr_assert(renewed == acknowledged, "%s", body.c_str());
        return renewed;
    }
};

} // namespace

Test(backend_client, new_process_gets_neither_lease_nor_acknowledgement_of_the_former_one) {
    backend_fixture backend;
    backend.poll(former_process);
    cr_assert(!backend.last_poll_renewed_the_lease(), "sent to a process that was not known");
    backend.poll(former_process);
    cr_assert(backend.last_poll_renewed_the_lease());
    backend.server->close_after_answers();
    backend.poll(former_process);
    backend.start(new_process);
    const auto answer = backend.poll(former_process);
    cr_assert(answer && std::get<poll_reply>(*answer).process_start_unix_ms == new_process);
    cr_assert(!backend.last_poll_renewed_the_lease());
    backend.poll(new_process);
    cr_assert(backend.last_poll_renewed_the_lease());
}

Test(backend_client, start_is_not_sent_to_another_process) {
    backend_fixture backend;
    cr_assert(std::holds_alternative<backend_unreachable>(backend.lose_start(new_process)));
    cr_assert(!backend.last_request_was_a_start());
    cr_assert(std::get<command_in_doubt>(backend.lose_start(former_process)).process_known);
    cr_assert(backend.last_request_was_a_start(), "on a connection opened for it");
    backend.poll(former_process);
    const std::size_t requests = backend.received.size();
    cr_assert(std::get<command_in_doubt>(backend.lose_start(former_process)).process_known);
    cr_assert(backend.received.size() == requests + 1, "the process was asked although known");
}

Test(backend_client, start_is_sent_to_a_server_that_does_not_report_its_start) {
    backend_fixture backend;
    backend.start(unknown_process);
    cr_assert(!std::get<command_in_doubt>(backend.lose_start(unknown_process)).process_known);
    cr_assert(backend.last_request_was_a_start());
}

Test(backend_client, server_that_does_not_report_its_start_keeps_its_lease) {
    backend_fixture backend;
    backend.start(unknown_process);
    backend.poll(unknown_process);
    cr_assert(backend.last_poll_renewed_the_lease());
}
