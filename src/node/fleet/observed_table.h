#pragma once

#include "citronford/instant.h"
#include "citronford/table_service.h"
#include "citronford/timer_service.h"
#include "io/metrics.h"

namespace citronford {

/// Passes calls on to a table, records how long they take, and notes when it last answered and when
/// it last did not.
class observed_table final : public table_service {
  public:
    observed_table(table_service& target, const timer_service& timers, metrics& registry)
        : target_(target), timers_(timers), registry_(registry) {}

    void commit(std::span<const table_check> checks, std::span<const table_write> writes,
                commit_callback done) override;
    void scan(std::string_view prefix, table_version since, scan_callback done) override;
    void watch(std::string_view prefix, table_version since, duration wait,
               scan_callback done) override;

    /// `instant::min()` before the first answer, or failure.
    [[nodiscard]] instant last_answer_at() const { return last_answer_at_; }
    [[nodiscard]] instant last_failure_at() const { return last_failure_at_; }

    /// Whether the last call that ended was answered.
    [[nodiscard]] bool answers() const { return failures_in_row_ == 0; }

    /// Calls that ended without an answer since the last answer.
    [[nodiscard]] int failures_in_row() const { return failures_in_row_; }

  private:
    void note(const absl::Status& status, std::string_view call, instant sent_at);
    scan_callback noted(scan_callback done, std::string_view call);

    table_service& target_;
    const timer_service& timers_;
    metrics& registry_;
    instant last_answer_at_ = instant::min();
    instant last_failure_at_ = instant::min();
    int failures_in_row_ = 0;
};

} // namespace citronford
