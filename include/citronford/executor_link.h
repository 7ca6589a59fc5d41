#pragma once

#include "citronford/endpoint.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace citronford {

/// Identifies an attempt of a node; never reused within an incarnation of the node.
enum class attempt_id : std::uint64_t {};

/// One attempt to run a request on an executor.
struct attempt {
    attempt_id id{};
    request_id request;
    service_id service;
    std::string_view body;
    duration timeout{};
};

/// A complete answer arrived on the connection of this attempt. The receiver must compare the
/// returned ids with those of the attempt: a misrouted answer belongs to another request.
struct attempt_answered {
    int status = 0;
    std::string body;
    bool leaving = false;
    request_id request;   ///< As returned by the executor.
    attempt_id attempt{}; ///< As returned by the executor.
};
/// The executor refused the request before execution.
struct attempt_refused {
    bool leaving = false;
};
/// The connection could not be established, so no byte was sent.
struct attempt_unreachable {};
/// The executor may have received the request, but no matching answer came: the attempt timed out,
/// the connection was closed or the answer was misrouted.
struct attempt_lost {};

using attempt_result =
    std::variant<attempt_answered, attempt_refused, attempt_unreachable, attempt_lost>;

/// The executor finished the request with this answer.
struct outcome_done {
    int status = 0;
    std::string body;
};
/// The executor is still running the request.
struct outcome_running {};
/// The executor has not received the request; a delayed message may still deliver it.
struct outcome_not_seen {};
/// The query failed.
struct outcome_unavailable {};

using outcome_result =
    std::variant<outcome_done, outcome_running, outcome_not_seen, outcome_unavailable>;

/// Connections to the executors of services.
class executor_link {
  public:
    using attempt_callback = std::function<void(attempt_result)>;
    using outcome_callback = std::function<void(outcome_result)>;
    using probe_callback = std::function<void(bool healthy, bool leaving)>;

    executor_link() = default;
    executor_link(const executor_link&) = delete;
    executor_link& operator=(const executor_link&) = delete;
    executor_link(executor_link&&) = delete;
    executor_link& operator=(executor_link&&) = delete;
    virtual ~executor_link() = default;

    /// Sends an attempt. `done` is called exactly once, within the timeout of the attempt.
    virtual void send(const endpoint& to, const attempt& work, attempt_callback done) = 0;

    /// Queries the outcome of a request that was sent before.
    virtual void query_outcome(const endpoint& to, const request_id& request,
                               outcome_callback done) = 0;

    /// Checks the health of an executor on a new connection.
    virtual void probe(const endpoint& to, probe_callback done) = 0;
};

} // namespace citronford
