#pragma once

#include "citronford/timer_service.h"
#include "stop_series/entry_vms.h"

#include <uv.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace citronford {

/// How a request of a caller ended.
enum class request_end {
    answered,
    cut,         ///< The connection ended before a whole answer.
    unanswered,  ///< No answer within the time that the caller waits.
    unreachable, ///< No connection, so nothing was sent.
    stale,       ///< The connection had ended since the last answer, which did not announce it.
};

struct request_outcome {
    std::string_view method;
    std::size_t vm = 0;
    request_end end = request_end::answered;
    int status = 0;               ///< Of the answer; 0 without one.
    duration since_last_byte{};   ///< From the last byte of the request that was sent.
    std::size_t answer_bytes = 0; ///< Received of the answer.
};

/// What became of the jobs that a caller has handed in.
struct submitted_jobs {
    std::vector<std::string> accepted;
    std::map<std::string, instant> accepted_at;
    std::vector<std::string> failing;   ///< Accepted; their tasks always fail.
    std::vector<std::string> cancelled; ///< Accepted before; an order to cancel them was sent.
    std::vector<std::string> refused;   ///< Every attempt was answered with a refusal.
};

/// Names that all callers use in their requests.
struct caller_target {
    std::string host;
    std::string prefix;
    std::string key;
};

/// Text of a task that always fails.
inline constexpr std::string_view failing_spec = "fails";

/// Text of a task that takes longer than the longest lease.
inline constexpr std::string_view long_spec = "long";

/// How a caller behaves.
struct caller_options {
    duration max_pause{};             ///< Between an answer and the next request.
    std::int64_t failing_percent = 0; ///< Of its jobs, those that can never be done.
    std::int64_t long_percent = 0;    ///< Of its other jobs, those that take long.
};

/// Deadline that callers give with each request.
inline constexpr duration caller_deadline = milliseconds(3000);

/// The id of a job: `number` in 16 hexadecimal digits.
std::string job_name(std::uint64_t number);

/// A caller that uses one connection for its requests until the connection is closed.
class kept_caller {
  public:
    using outcome_callback = std::function<void(const request_outcome&)>;

    /// `number` and `seed` decide what the caller sends.
    kept_caller(uv_loop_t* loop, timer_service& timers, const entry_vms& fleet,
                caller_target target, caller_options options, std::uint64_t number,
                std::uint64_t seed, outcome_callback done);
    kept_caller(const kept_caller&) = delete;
    kept_caller& operator=(const kept_caller&) = delete;
    kept_caller(kept_caller&&) = delete;
    kept_caller& operator=(kept_caller&&) = delete;
    ~kept_caller() = default;

    void start();
    /// Sends no further request.
    void finish() { finishing_ = true; }

    [[nodiscard]] bool waiting() const { return waiting_; }
    [[nodiscard]] const submitted_jobs& jobs() const { return jobs_; }

  private:
    struct connection;
    /// The request under way.
    struct open_request {
        std::string_view method;
        std::string job; ///< Empty when the queue is asked for.
        std::string text;
        instant sent_at;
    };
    /// A submission that has not been accepted yet.
    struct submission {
        std::string job;
        int attempts = 0;
        bool in_doubt = false; ///< An attempt ended without an answer that tells its result.
        std::string_view spec = "text"; ///< Of its tasks.
    };

    void send_next();
    void choose_request();
    void choose_submission();
    void connect();
    void write_request();
    void connected(connection* to, int status);
    void received(connection* from, std::string_view bytes);
    void connection_ended(connection* ended);
    void end_request(request_end end, int status);
    void note_submission(request_end end, int status);
    void drop_connection();
    [[nodiscard]] std::int64_t below(std::int64_t limit);

    uv_loop_t* loop_;
    timer_service& timers_;
    const entry_vms& fleet_;
    caller_target target_;
    caller_options options_;
    std::uint64_t number_;
    std::mt19937_64 random_;
    outcome_callback done_;
    connection* open_ = nullptr; ///< Freed by the loop once it is closed.
    open_request request_;
    submission submission_;
    submitted_jobs jobs_;
    std::uint64_t last_job_ = 0;
    std::string answer_;
    bool waiting_ = false;
    bool finishing_ = false;
    timer_subscription pause_;
    timer_subscription timeout_;
};

} // namespace citronford
