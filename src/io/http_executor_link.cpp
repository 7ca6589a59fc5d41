#include "io/http_executor_link.h"

#include "io/url.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <string>
#include <utility>

namespace citronford {
namespace {

/// Timeout of questions for an outcome and of probes.
constexpr duration question_timeout = milliseconds(1000);

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

bool says(const http_reply& reply, std::string_view header) {
    return reply.header(header) == "true";
}

/// The attempt number in a header; 0, which no attempt has, when it is not a number.
attempt_id attempt_in(const http_reply& reply) {
    const std::string_view text = reply.header("attempt-id");
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = error == std::errc() && end == text.data() + text.size();
    return static_cast<attempt_id>(whole ? number : 0);
}

attempt_result attempt_result_of(http_result result, std::string_view request) {
    if (std::holds_alternative<http_unreachable>(result)) {
        return attempt_unreachable{};
    }
    auto* reply = std::get_if<http_reply>(&result);
    if (reply == nullptr) {
        return attempt_lost{};
    }
    const bool leaving = says(*reply, "leaving");
    const std::string_view returned = reply->header("request-id");
    if (reply->status == status_unavailable && says(*reply, "not-run")) {
        // A refusal of another request says nothing about this one.
        if (!returned.empty() && returned != request) {
            return attempt_lost{};
        }
        return attempt_refused{leaving};
    }
    const attempt_id attempt = attempt_in(*reply);
    return attempt_answered{reply->status, std::move(reply->body), leaving, request_id(returned),
                            attempt};
}

outcome_result outcome_of(const http_result& result) {
    const auto* reply = std::get_if<http_reply>(&result);
    if (reply == nullptr || reply->status != status_ok) {
        return outcome_unavailable{};
    }
    const auto document = nlohmann::json::parse(reply->body, nullptr, false);
    if (!document.is_object() || !document.contains("state")) {
        return outcome_unavailable{};
    }
    try {
        const std::string state = document.at("state");
        if (state == "done") {
            return outcome_done{document.at("status"), document.at("body")};
        }
        if (state == "running") {
            return outcome_running{};
        }
        if (state == "not_seen") {
            return outcome_not_seen{};
        }
    } catch (const nlohmann::json::exception&) {
        return outcome_unavailable{};
    }
    return outcome_unavailable{};
}

} // namespace

void http_executor_link::send(const endpoint& to, const attempt& work, attempt_callback done) {
    const std::string path = "/execute/" + url_encoded(work.service.view());
    const std::string number = std::to_string(static_cast<std::uint64_t>(work.id));
    const std::pair<std::string_view, std::string_view> headers[] = {
        {"request-id", work.request.view()}, {"attempt-id", number}};
    client_.call(to, {"POST", path, headers, work.body, work.timeout},
                 [done = std::move(done), request = work.request](http_result result) {
                     done(attempt_result_of(std::move(result), request.view()));
                 });
}

void http_executor_link::query_outcome(const endpoint& to, const request_id& request,
                                       outcome_callback done) {
    const std::string path = "/outcomes/" + url_encoded(request.view());
    client_.call(to, {"GET", path, {}, {}, question_timeout},
                 [done = std::move(done)](const http_result& result) { done(outcome_of(result)); });
}

void http_executor_link::probe(const endpoint& to, probe_callback done) {
    client_.call(to, {"GET", "/healthz", {}, {}, question_timeout},
                 [done = std::move(done)](const http_result& result) {
                     const auto* reply = std::get_if<http_reply>(&result);
                     done(reply != nullptr && reply->status == status_ok,
                          reply != nullptr && says(*reply, "leaving"));
                 });
}

} // namespace citronford
