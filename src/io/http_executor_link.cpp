#include "io/http_executor_link.h"

#include "io/url.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <string>
#include <utility>

namespace citronford {
namespace {

/// Timeout of outcome queries and probes.
constexpr duration query_timeout = milliseconds(1000);

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

bool is_true(const http_reply& reply, std::string_view header) {
    return reply.header(header) == "true";
}

/// The attempt id that the executor returned, or 0, which is never assigned, if it is malformed.
attempt_id attempt_id_of(const http_reply& reply) {
    const std::string_view text = reply.header("attempt-id");
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool valid = error == std::errc() && end == text.data() + text.size();
    return static_cast<attempt_id>(valid ? number : 0);
}

attempt_result attempt_result_of(http_result result, std::string_view request) {
    if (std::holds_alternative<http_unreachable>(result)) {
        return attempt_unreachable{};
    }
    auto* reply = std::get_if<http_reply>(&result);
    if (reply == nullptr) {
        return attempt_lost{};
    }
    const bool leaving = is_true(*reply, "leaving");
    const std::string_view returned = reply->header("request-id");
    if (reply->status == status_unavailable && is_true(*reply, "not-run")) {
        // A refusal of another request is not a result of this attempt.
        if (!returned.empty() && returned != request) {
            return attempt_lost{};
        }
        return attempt_refused{leaving};
    }
    const attempt_id attempt = attempt_id_of(*reply);
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
    client_.call(to, {"GET", path, {}, {}, query_timeout},
                 [done = std::move(done)](const http_result& result) { done(outcome_of(result)); });
}

void http_executor_link::probe(const endpoint& to, probe_callback done) {
    client_.call(to, {"GET", "/healthz", {}, {}, query_timeout},
                 [done = std::move(done)](const http_result& result) {
                     const auto* reply = std::get_if<http_reply>(&result);
                     done(reply != nullptr && reply->status == status_ok,
                          reply != nullptr && is_true(*reply, "leaving"));
                 });
}

} // namespace citronford
