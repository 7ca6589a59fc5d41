#pragma once

#include "citronford/timer_service.h"
#include "io/http_server.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronford {

/// What all backend servers have run, by task.
class run_ledger {
  public:
    void note_start(const std::string& task, instant now);
    void note_end(const std::string& task, bool done);

    /// Whether a task of the job `id` was started.
    [[nodiscard]] bool has_run(const std::string& id) const;

    /// When the first task of the job `id` was started; none if nothing was.
    [[nodiscard]] std::optional<instant> first_start(const std::string& id) const;

    /// Tasks that ran twice at the same time, or were started again after they were done.
    [[nodiscard]] std::size_t doubled() const { return doubled_.size(); }

  private:
    struct task_history {
        int running = 0;
        bool done = false;
        instant first_start = instant::max();
    };
    std::map<std::string, task_history> tasks_;
    std::vector<std::string> doubled_;
};

/// Stand-in for a backend server that runs tasks under leases. Each task ends `done` after
/// `task_time`, or `failed` soon if its text is `failing_spec`.
class backend_model {
  public:
    backend_model(std::string id, duration task_time, timer_service& timers, run_ledger& ledger);

    void handle(const http_request& request, const http_responder& responder);

    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] std::int64_t born_unix_ms() const { return born_unix_ms_; }

  private:
    struct active_run {
        std::uint32_t run = 0;
        timer_subscription end;
    };
    struct listed_end {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
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
    void end(const std::string& task, const std::string& how);
    void answer_poll(const http_responder& responder);
    void refuse(const http_responder& responder, const char* reason);
    [[nodiscard]] nlohmann::json reply_document() const;
    [[nodiscard]] std::int64_t clock_ms() const;

    std::string id_;
    duration task_time_;
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
