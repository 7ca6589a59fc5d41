#pragma once

#include "citronford/backend_link.h"
#include "citronford/dispatcher.h"
#include "citronford/table_service.h"
#include "citronford/timer_service.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace citronford {

struct progress_writer_options {
    fencing_token token = 0;
    std::size_t row_bytes = default_row_bytes; ///< Largest value of a row of the table.
};

/// Writes the progress of workflows for one ownership. Each transaction updates the fence row and
/// requires the version that this writer last wrote, so that neither an earlier owner nor a delayed
/// write of this one can overwrite newer progress.
class progress_writer {
  public:
    /// Called when all rows are written, but for those of `rejected`, which the table rejects.
    using write_callback = std::function<void(std::span<const job_id> rejected)>;

    progress_writer(table_service& table, timer_service& timers, progress_writer_options options,
                    std::function<void()> superseded);

    /// Acquires the fence from the earlier owner; retries until the table answers.
    void acquire_fence(std::function<void()> done);

    /// Writes the rows, in as many transactions as their sizes need. While the table does not
    /// answer, a transaction is repeated; one that it rejects is repeated row by row, once. One
    /// call at a time.
    void write(std::span<const progress_row> rows, write_callback done);

  private:
    struct pending_row {
        job_id job;
        std::string text;
    };

    void enqueue(const progress_row& row);
    void send_next();
    void send();
    void process_commit(const absl::StatusOr<table_commit>& result);
    void process_rejection(const absl::Status& status);
    void process_written(table_version version);
    void log_failure(const absl::Status& status);
    void schedule_retry(void (progress_writer::*next)());
    void read_fence();
    [[nodiscard]] std::string fence_value() const;

    table_service& table_;
    timer_service& timers_;
    progress_writer_options options_;
    std::function<void()> superseded_;
    table_version fence_ = absent_row;
    bool acquiring_ = false;        ///< Until the first write of this owner to the fence row.
    std::uint64_t sequence_ = 0;    ///< Number of the transaction under way.
    std::deque<pending_row> queue_; ///< Rows of later transactions.
    std::vector<pending_row> sent_; ///< Rows of the transaction under way.
    bool row_by_row_ = false;       ///< After a transaction of several rows was rejected.
    std::vector<job_id> rejected_;
    int failures_ = 0; ///< Failed attempts of the transaction under way.
    write_callback done_;
    timer_subscription retry_timer_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace citronford
