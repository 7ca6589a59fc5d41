#pragma once

#include "citronford/caller_link.h"
#include "citronford/chart_machine.h"
#include "citronford/endpoint.h"
#include "citronford/executor_link.h"
#include "citronford/executor_set.h"
#include "citronford/fleet_configuration.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/team_limits.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citronford {

// Inputs of the request router.

/// An authorized request of a caller.
struct request_submission {
    caller_id caller{};
    request_id request;
    team_id team; ///< Empty for a caller without a key, which only an open queue accepts.
    service_id service;
    std::string body;
    duration timeout{};
    bool repeated = false; ///< The caller marked the request id as sent before.
};
/// The claim of the request id is recorded for this caller.
struct claim_granted {
    static constexpr std::string_view event_name = "claim_granted";
    caller_id caller{};
};
/// The request id was claimed before.
struct claim_duplicate {
    static constexpr std::string_view event_name = "claim_duplicate";
    caller_id caller{};
    std::string outcome; ///< Recorded outcome; empty while it is unknown.
};
/// The claim is known not to be recorded.
struct claim_unavailable {
    static constexpr std::string_view event_name = "claim_unavailable";
    caller_id caller{};
};
struct attempt_report {
    caller_id caller{};
    attempt_id attempt{};
    attempt_result result;
};
struct outcome_report {
    caller_id caller{};
    outcome_result result;
};
/// The caller closed its connection before it was answered.
struct caller_disconnected {
    static constexpr std::string_view event_name = "caller_disconnected";
    caller_id caller{};
};
/// Timer tick: deadlines and other timers are checked.
struct router_tick {};

using router_input = std::variant<request_submission, claim_granted, claim_duplicate,
                                  claim_unavailable, attempt_report, outcome_report,
                                  executor_listing, probe_report, caller_disconnected, router_tick>;

// Effects of the request router.

/// Record the request id in the table, unless it is recorded already.
struct commit_claim {
    caller_id caller{};
    request_id request;
};
/// The caller was answered "not run" before the result of its claim was known.
struct abandon_claim {
    caller_id caller{};
};
/// Record the outcome of a claimed request.
struct record_outcome {
    request_id request;
    std::string outcome; ///< "done" or "not_run".
};
/// The outcome of a claimed request will never be known.
struct forget_claim {
    request_id request;
};
struct send_attempt {
    caller_id caller{};
    endpoint to;
    attempt work; ///< The body is a view into the router and valid until the next input.
};
struct query_outcome {
    caller_id caller{};
    endpoint to;
    request_id request;
};
struct answer_caller {
    caller_id caller{};
    int status = 200;
    result_code code = result_code::ok;
    request_id request;
    std::string body;
};

using router_effect = std::variant<commit_claim, abandon_claim, record_outcome, forget_claim,
                                   send_attempt, query_outcome, probe_executor, answer_caller>;

struct router_options {
    executor_set_options executors;
    std::size_t queue_limit = 128; ///< Maximum number of queued requests per team and service.
    duration outcome_query_interval{200000}; ///< Delay between two queries for an outcome.
    /// How long a lost attempt, which may still be running, holds the unit of its team.
    duration lost_attempt_hold{30000000};
    /// Longer request timeouts are shortened to this value. It must not exceed
    /// `escrow_options::backend_lease`, the time after which the units of a node that lost its
    /// registration return to the fleet.
    duration max_timeout{30000000};
    duration max_query_reserve{1000000}; ///< Maximum time reserved to query an outcome.
};

/// State charts that the router interprets.
struct router_charts {
    const chart& request;
    const chart& connection;
};

/// Totals since the router was created.
struct router_counters {
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t shed = 0; ///< Refused on arrival because the deadline would be missed.
};

/// Queue length, retry budget and totals of one service on this node.
struct service_activity {
    std::size_t queued = 0;
    double retry_tokens = 0; ///< Additional attempts that may be sent.
    router_counters counters;
};

/// Routes requests to executors. Handles queues, claims, attempts, retries and outcomes.
class request_router {
  public:
    /// `limits` must outlive the router. Fails with `chart_invalid`.
    static absl::StatusOr<std::unique_ptr<request_router>>
    create(router_charts charts, router_options options, team_limits& limits);

    request_router(const request_router&) = delete;
    request_router& operator=(const request_router&) = delete;
    request_router(request_router&&) = delete;
    request_router& operator=(request_router&&) = delete;
    ~request_router();

    /// Applies a new configuration; open requests keep their service definition.
    void configure(const fleet_configuration& fleet);

    /// Processes an input. The effects must be performed in order.
    std::vector<router_effect> handle(const router_input& input, instant now);

    [[nodiscard]] std::size_t open_requests() const;
    [[nodiscard]] std::size_t queued(const service_id& service) const;
    /// Queued requests of `team` for `service`.
    [[nodiscard]] std::size_t queued(const service_id& service, const team_id& team) const;
    /// All zero for a service that was never configured.
    [[nodiscard]] service_activity activity(const service_id& service) const;
    /// Returns and resets the peak number of slots that the requests of each service used or waited
    /// for since the last call. A momentary value would miss requests that are shorter than the
    /// time between two calls.
    [[nodiscard]] std::map<service_id, std::size_t> take_peak_slots();
    [[nodiscard]] const router_counters& counters() const;
    /// State of an executor in the chart `connection`; empty for an unknown one.
    [[nodiscard]] std::string_view executor_state(const executor_id& executor) const;

  private:
    class implementation;
    explicit request_router(std::unique_ptr<implementation> impl);

    std::unique_ptr<implementation> impl_;
};

} // namespace citronford
