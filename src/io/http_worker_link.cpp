#include "io/http_worker_link.h"

#include "io/job_codec.h"

#include <nlohmann/json.hpp>

#include <string>
#include <utility>

namespace citronford {
namespace {

constexpr int status_ok = 200;
constexpr int status_conflict = 409;

sync_result sync_result_of(const http_result& result) {
    if (std::holds_alternative<http_unreachable>(result)) {
        return sync_unreachable{};
    }
    const auto* reply = std::get_if<http_reply>(&result);
    if (reply == nullptr) {
        return sync_unanswered{};
    }
    if (reply->status == status_conflict) {
        const auto document = nlohmann::json::parse(reply->body, nullptr, false);
        const bool numbered = document.is_object() && document.contains("epoch") &&
                              document["epoch"].is_number_unsigned();
        return sync_rejected{numbered ? document["epoch"].get<std::uint64_t>() : 0};
    }
    return reply->status == status_ok ? parse_sync_answer(reply->body) : sync_unanswered{};
}

} // namespace

void http_worker_link::sync(const endpoint& to, const sync_request& message, duration timeout,
                            sync_callback done) {
    const std::string body = sync_json(message);
    client_.call(
        to, {"POST", "/sync", {}, body, timeout},
        [done = std::move(done)](const http_result& result) { done(sync_result_of(result)); });
}

} // namespace citronford
