#include "io/caller_front.h"

#include "citronford/invariant.h"
#include "io/digest.h"
#include "io/error_body.h"
#include "io/http_response.h"
#include "io/job_front.h"
#include "io/url.h"
#include "node/node.h"

#include <charconv>
#include <string>
#include <vector>

namespace citronford {
namespace {

/// Parses the header `request-timeout-ms`. Returns false if it is present and not a number from 1
/// to 600,000.
bool parse_timeout(const http_request& request, duration& timeout) {
    constexpr std::int64_t max_ms = 600000;
    const std::string_view text = request.header("request-timeout-ms");
    if (text.empty()) {
        return true;
    }
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    timeout = milliseconds(number);
    return error == std::errc() && end == text.data() + text.size() && number > 0 &&
           number <= max_ms;
}

void send_health(const http_responder& responder, bool healthy) {
    responder.send({healthy ? 200 : 503, {}, healthy ? "ok\n" : "not ready\n", "text/plain"});
}

} // namespace

void caller_front::handle(node& target, const http_request& request,
                          const http_responder& responder) {
    const std::vector<std::string> path = path_segments(request.path);
    if (path.size() == 2 && path[0] == "healthz" && path[1] == "live") {
        send_health(responder, true);
    } else if (path.size() == 2 && path[0] == "healthz" && path[1] == "ready") {
        send_health(responder, target.ready());
    } else if (path.size() == 4 && path[0] == "v1" && path[1] == "services" &&
               path[3] == "requests") {
        if (request.method == "POST") {
            submit(target, path[2], request, responder);
        } else {
            send_error(responder, result_code::method_not_allowed, "use POST");
        }
    } else if ((path.size() == 2 || path.size() == 3) && path[0] == "v1" && path[1] == "jobs") {
        const caller_id caller = register_caller(target, responder);
        if (!handle_job_request(target, caller, request, path)) {
            callers_.erase(caller);
            send_error(responder, result_code::method_not_allowed, "use POST, GET or DELETE");
        }
    } else {
        send_error(responder, result_code::unknown_path, "no resource has this path");
    }
}

void caller_front::submit(node& target, std::string_view service, const http_request& request,
                          const http_responder& responder) {
    // Any value other than "false" marks a repetition: with a misspelt value, a request that ran
    // before could otherwise be refused as "not run".
    const std::string_view repeated_header = request.header("request-repeated");
    const bool repeated = !repeated_header.empty() && repeated_header != "false";
    duration timeout{};
    if (!parse_timeout(request, timeout)) {
        send_error(responder, refusal_before_claim(result_code::invalid_argument, repeated),
                   "Request-Timeout-Ms must be a number from 1 to 600000");
        return;
    }
    const caller_id caller = register_caller(target, responder);
    target.submit({caller, request_id(request.header("request-id")), service_id(service),
                   presented_digest(request.header("authorization")), request.body, timeout,
                   repeated});
}

caller_id caller_front::register_caller(node& target, const http_responder& responder) {
    const auto caller = static_cast<caller_id>(next_caller_++);
    callers_.emplace(caller, responder);
    responder.on_gone([this, &target, caller] {
        callers_.erase(caller);
        target.caller_left(caller);
    });
    return caller;
}

void caller_front::answer(caller_id caller, const caller_answer& content) {
    const auto found = callers_.find(caller);
    if (found == callers_.end()) {
        return;
    }
    const http_responder responder = found->second;
    callers_.erase(found);
    const std::string number = std::to_string(static_cast<int>(content.code));
    const std::vector<http_header> headers = {{"request-id", content.request.view()},
                                              {"result-code", number},
                                              {"run-state", name_of(content.state)}};
    if (content.code == result_code::ok) {
        responder.send({content.status, headers, content.body});
        return;
    }
    const std::string body = error_body(content.code, content.body);
    responder.send({content.status, headers, body});
}

} // namespace citronford
