#pragma once

#include "citronford/instant.h"
#include "citronford/table_service.h"
#include "citronford/timer_service.h"
#include "io/metrics.h"

namespace citronford {

/// Forwards calls to a table, records their duration in the metrics, and remembers when a call was
/// last answered and when one last failed.
class observed_table final : public table_service {
  public:
    observed_table(table_service& target, const timer_service& timers, metrics& registry)
        : target_(target), timers_(timers), registry_(registry) {}

    void commit(std::span<const table_check> checks, std::span<const table_write> writes,
                commit_callback done) override;
    void scan(std::string_view prefix, table_version since, scan_callback done) override;
    void watch(std::string_view prefix, table_version since, duration wait,
               scan_callback done) override;

    /// `instant::min()` before the first answer or failure, respectively.
    [[nodiscard]] instant last_answer_at() const { return last_answer_at_; }
    [[nodiscard]] instant last_failure_at() const { return last_failure_at_; }

    /// Whether the last call that ended was answered.
    [[nodiscard]] bool answers() const { return consecutive_failures_ == 0; }

    /// Number of failed calls since the last answer.
    [[nodiscard]] int consecutive_failures() const { return consecutive_failures_; }

  private:
    void record(const absl::Status& status, std::string_view call, instant sent_at);
    scan_callback recording(scan_callback done, std::string_view call);

    table_service& target_;
    const timer_service& timers_;
    metrics& registry_;
    instant last_answer_at_ = instant::min();
    instant last_failure_at_ = instant::min();
    int consecutive_failures_ = 0;
};

} // namespace citronford
