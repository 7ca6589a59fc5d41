#pragma once

#include "citronford/backend_link.h"
#include "citronford/dispatcher.h"
#include "citronford/table_service.h"
#include "citronford/timer_service.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace citronford {

/// Writes the progress of workflows for one ownership. Each transaction updates the fence row and
/// requires the version that this writer last wrote, so that neither an earlier owner nor a delayed
/// write of this one can overwrite newer progress.
class progress_writer {
  public:
    /// Called when the fence is acquired, or with an error when another owner holds it.
    using fence_callback = std::function<void(absl::Status)>;

    progress_writer(table_service& table, timer_service& timers, fencing_token token,
                    std::function<void()> superseded);

    /// Acquires the fence from the earlier owner; retries until the table answers.
    void acquire_fence(std::function<void()> done);

    /// Writes the rows; retries until they are committed. One call at a time.
    void write(std::span<const progress_row> rows, std::function<void()> done);

  private:
    void claim_fence(table_version expected);
    void send();
    void process_commit(const absl::StatusOr<table_commit>& result);
    void log_failure(const absl::Status& status);
    void schedule_retry(void (progress_writer::*next)());
    void read_fence();
    [[nodiscard]] std::string fence_value() const;

    table_service& table_;
    timer_service& timers_;
    fencing_token token_;
    std::function<void()> superseded_;
    table_version fence_ = absent_row;
    std::uint64_t sequence_ = 0; ///< Number of the write under way.
    int failures_ = 0;           ///< Failed attempts of the write under way.
    std::vector<table_write> writes_;
    std::function<void()> done_;
    timer_subscription retry_timer_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace citronford
