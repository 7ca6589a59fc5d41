#include "stop_series/job_checks.h"

#include <utility>
#include <variant>

namespace citronford {
namespace {

/// Time within which every accepted job has to end.
constexpr duration time_limit = seconds(60);

} // namespace

job_checks::job_checks(http_client& client, timer_service& timers, const entry_vms& fleet,
                       const caller_target& target, std::vector<expected_job> jobs,
                       std::function<void(std::size_t unfinished)> done)
    : client_(client), timers_(timers), fleet_(fleet), target_(target), unchecked_(std::move(jobs)),
      done_(std::move(done)) {}

void job_checks::start() {
    end_ = timers_.now() + time_limit;
    for (std::size_t count = 0; count < connections; ++count) {
        check_next();
    }
}

void job_checks::check_next() {
    if (unchecked_.empty() || timers_.now() > end_) {
        if (open_ == 0 && done_) {
            std::exchange(done_, nullptr)(unchecked_.size());
        }
        return;
    }
    expected_job job = std::move(unchecked_.back());
    unchecked_.pop_back();
    ++open_;
    const std::string authorization = "Token " + target_.key;
    const std::pair<std::string_view, std::string_view> headers[] = {
        {"host", target_.host}, {"authorization", authorization}};
    const std::string path = target_.prefix + job.id;
    const std::size_t vm = open_ % fleet_.size();
    client_.call(
        fleet_.callers(vm), {"GET", path, headers, {}, caller_deadline},
        [this, job = std::move(job)](const http_result& result) { process_reply(job, result); });
}

void job_checks::process_reply(expected_job job, const http_result& result) {
    --open_;
    const auto* reply = std::get_if<http_reply>(&result);
    if (reply == nullptr || reply->body.find(job.state) == std::string::npos) {
        // Read again after the other jobs.
        unchecked_.insert(unchecked_.begin(), std::move(job));
    }
    check_next();
}

} // namespace citronford
