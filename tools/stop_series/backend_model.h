#pragma once

#include "citronford/timer_service.h"
#include "io/http_server.h"
#include "stop_series/run_ledger.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace citronford {

/// How a process of a backend server behaves.
struct backend_options {
    duration task_time{};
    duration long_task_time{}; ///< Of a task whose text is `long_spec`.
    duration longest_lease{};
    std::int64_t processors = 64;
    std::int64_t clock_start_ms = 1;
    double clock_rate = 1.0; ///< Seconds of its clock in one second.
};

/// Stand-in for a process of a backend server that runs tasks under leases. Each task ends `done`
/// after its time, or `failed` soon if its text is `failing_spec`. All runs end with the process.
class backend_model {
  public:
    backend_model(std::string id, backend_options options, timer_service& timers,
                  run_ledger& ledger);
    backend_model(const backend_model&) = delete;
    backend_model& operator=(const backend_model&) = delete;
    backend_model(backend_model&&) = delete;
    backend_model& operator=(backend_model&&) = delete;
    ~backend_model();

    void handle(const http_request& request, const http_responder& responder);

    [[nodiscard]] std::size_t running() const { return running_.size(); }
    /// Rest of the lease on its clock; negative without one.
    [[nodiscard]] std::int64_t lease_left_ms() const { return lease_until_ms_ - clock_ms(); }
    [[nodiscard]] std::int64_t born_unix_ms() const { return born_unix_ms_; }

  private:
    struct active_run {
        std::uint32_t run = 0;
        std::shared_ptr<run_record> record;
        timer_subscription end;
    };
    struct listed_end {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
        std::shared_ptr<run_record> record;
    };
    struct waiting_poll {
        instant until;
        http_responder responder;
    };

    void start(const nlohmann::json& call, const http_responder& responder);
    void stop(const nlohmann::json& call, const http_responder& responder);
    void poll(const nlohmann::json& call, const http_responder& responder);
    void extend_lease(const nlohmann::json& call);
    void tick(instant now);
    void end_lease();
    void end(const std::string& task, const std::string& how);
    void forfeit_ends();
    [[nodiscard]] duration time_of(std::string_view spec) const;
    void answer_poll(const http_responder& responder);
    void refuse(const http_responder& responder, const char* reason);
    [[nodiscard]] nlohmann::json reply_document() const;
    [[nodiscard]] std::int64_t clock_ms() const;

    std::string id_;
    backend_options options_;
    timer_service& timers_;
    run_ledger& ledger_;
    instant born_;
    std::int64_t born_unix_ms_;
    std::uint64_t token_ = 0;
    std::int64_t lease_until_ms_ = 0;
    std::map<std::string, active_run> running_;
    std::map<std::string, std::uint32_t> highest_run_; ///< That was stopped or has ended.
    std::deque<listed_end> ended_;
    std::uint64_t last_end_ = 0;
    std::list<waiting_poll> polls_;
    timer_subscription ticks_;
};

} // namespace citronford
