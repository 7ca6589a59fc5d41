#include "node/fleet/progress_writer.h"

#include "citronford/result_code.h"
#include "citronford/workflow_rows.h"
#include "io/log.h"
#include "io/progress_codec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace citronford {
namespace {

/// Delay before a failed read or write is sent again.
constexpr duration retry_pause = milliseconds(150);

} // namespace

progress_writer::progress_writer(table_service& table, timer_service& timers, fencing_token token,
                                 std::function<void()> superseded)
    : table_(table), timers_(timers), token_(token), superseded_(std::move(superseded)) {}

std::string progress_writer::fence_value() const {
    return std::to_string(token_) + ' ' + std::to_string(sequence_);
}

void progress_writer::schedule_retry(void (progress_writer::*next)()) {
    retry_timer_ = timers_.after(retry_pause, [this, next](instant) { (this->*next)(); });
}

void progress_writer::acquire_fence(std::function<void()> done) {
    done_ = std::move(done);
    writes_.clear();
    read_fence();
}

void progress_writer::read_fence() {
    table_.scan(progress_fence_key, 0,
                [this, alive = std::weak_ptr(alive_)](const absl::StatusOr<table_scan>& result) {
                    if (alive.expired()) {
                        return;
                    }
                    if (!result.ok()) {
                        schedule_retry(&progress_writer::read_fence);
                        return;
                    }
                    fence_ = result->rows.empty() ? absent_row : result->rows.front().version;
                    send();
                });
}

void progress_writer::write(std::span<const progress_row> rows, std::function<void()> done) {
    done_ = std::move(done);
    ++sequence_;
    writes_.clear();
    for (const progress_row& row : rows) {
        writes_.push_back({progress_row_key(row.job), encode_progress(row.progress)});
    }
    send();
}

void progress_writer::send() {
    const std::array checks = {table_check{std::string(progress_fence_key), fence_}};
    std::vector<table_write> writes = writes_;
    writes.push_back({std::string(progress_fence_key), fence_value()});
    table_.commit(
        checks, writes,
        [this, alive = std::weak_ptr(alive_)](const absl::StatusOr<table_commit>& result) {
            if (!alive.expired()) {
                process_commit(result);
            }
        });
}

void progress_writer::process_commit(const absl::StatusOr<table_commit>& result) {
    if (!result.ok()) {
        log_failure(result.status());
        schedule_retry(&progress_writer::send);
        return;
    }
    failures_ = 0;
    if (result->committed) {
        fence_ = result->version;
        std::exchange(done_, nullptr)();
        return;
    }
    for (const table_row& row : result->conflicts) {
        // An earlier attempt of the same write was committed and its reply was lost.
        if (row.key == progress_fence_key && row.value == fence_value()) {
            fence_ = row.version;
            std::exchange(done_, nullptr)();
            return;
        }
    }
    log_event(log_level::warning, "progress_superseded",
              {{"token", static_cast<std::int64_t>(token_)},
               {"expected", static_cast<std::int64_t>(fence_)}});
    superseded_();
}

void progress_writer::log_failure(const absl::Status& status) {
    // A line for each retry would fill the log during an outage.
    constexpr int failures_per_line = 20;
    if (failures_++ % failures_per_line != 0) {
        return;
    }
    std::size_t bytes = 0;
    std::size_t largest = 0;
    for (const table_write& write : writes_) {
        bytes += write.value->size();
        largest = std::max(largest, write.value->size());
    }
    log_event(log_level::warning, "progress_write_failed",
              {{"code", static_cast<std::int64_t>(code_of(status))},
               {"reason", message_of(status)},
               {"failures", failures_},
               {"rows", static_cast<std::int64_t>(writes_.size())},
               {"bytes", static_cast<std::int64_t>(bytes)},
               {"largest_row", static_cast<std::int64_t>(largest)}});
}

} // namespace citronford
