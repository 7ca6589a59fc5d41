#pragma once

#include "citronford/timer_service.h"
#include "io/http_client.h"
#include "stop_series/entry_vms.h"
#include "stop_series/kept_caller.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace citronford {

/// An accepted job and the state in which it has to end.
struct expected_job {
    std::string id;
    std::string_view state;
};

/// Reads the states of jobs until each has ended as expected, or until a time limit.
class job_checks {
  public:
    /// Reads that may be under way at once.
    static constexpr std::size_t connections = 16;

    /// `done` gets the number of jobs that have not ended as expected.
    job_checks(http_client& client, timer_service& timers, const entry_vms& fleet,
               const caller_target& target, std::vector<expected_job> jobs,
               std::function<void(std::size_t unfinished)> done);

    void start();

  private:
    void check_next();
    void process_reply(expected_job job, const http_result& result);

    http_client& client_;
    timer_service& timers_;
    const entry_vms& fleet_;
    const caller_target& target_;
    std::vector<expected_job> unchecked_;
    std::function<void(std::size_t)> done_;
    std::size_t open_ = 0;
    instant end_;
};

} // namespace citronford
