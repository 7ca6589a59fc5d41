#include "node/fleet/progress_writer.h"

#include "citronford/result_code.h"
#include "citronford/workflow_rows.h"
#include "io/log.h"
#include "io/progress_codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <optional>
#include <string_view>
#include <system_error>
#include <utility>

namespace citronford {
namespace {

/// Delay before a failed read or write is sent again.
constexpr duration retry_pause = milliseconds(150);

/// Token of the owner that wrote a value of the fence row; none if the value cannot be read.
std::optional<fencing_token> token_of(std::string_view fence_value) {
    fencing_token token = 0;
    const char* end = fence_value.data() + fence_value.size();
    const auto parsed = std::from_chars(fence_value.data(), end, token);
    return parsed.ec == std::errc() ? std::optional(token) : std::nullopt;
}

} // namespace

progress_writer::progress_writer(table_service& table, timer_service& timers,
                                 progress_writer_options options, std::function<void()> superseded)
    : table_(table), timers_(timers), options_(options), superseded_(std::move(superseded)) {}

std::string progress_writer::fence_value() const {
    return std::to_string(options_.token) + ' ' + std::to_string(sequence_);
}

void progress_writer::schedule_retry(void (progress_writer::*next)()) {
    retry_timer_ = timers_.after(retry_pause, [this, next](instant) { (this->*next)(); });
}

void progress_writer::acquire_fence(std::function<void()> done) {
    done_ = [done = std::move(done)](std::span<const job_id>) { done(); };
    sent_.clear();
    acquiring_ = true;
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

void progress_writer::write(std::span<const progress_row> rows, write_callback done) {
    done_ = std::move(done);
    row_by_row_ = false;
    rejected_.clear();
    for (const progress_row& row : rows) {
        enqueue(row);
    }
    send_next();
}

void progress_writer::enqueue(const progress_row& row) {
    const std::size_t max_bytes = max_progress_text(options_.row_bytes);
    bounded_progress encoded = encode_progress_within(row.progress, max_bytes);
    if (encoded.detail != failure_detail::run_numbers) {
        log_event(log_level::error, "progress_shortened",
                  {{"job", row.job.view()},
                   {"kept", encoded.detail == failure_detail::counts ? "counts" : "no failures"},
                   {"bytes", static_cast<std::int64_t>(encoded.text.size())}});
    }
    queue_.push_back({row.job, std::move(encoded.text)});
}

void progress_writer::send_next() {
    sent_.clear();
    const std::size_t max_rows = row_by_row_ ? 1 : max_transaction_rows;
    std::size_t bytes = 0;
    while (!queue_.empty() && sent_.size() < max_rows) {
        bytes += queue_.front().text.size();
        if (!sent_.empty() && bytes > max_transaction_bytes) {
            break;
        }
        sent_.push_back(std::move(queue_.front()));
        queue_.pop_front();
    }
    if (sent_.empty()) {
        std::exchange(done_, nullptr)(std::exchange(rejected_, {}));
        return;
    }
    ++sequence_;
    send();
}

void progress_writer::send() {
    const std::array checks = {table_check{std::string(progress_fence_key), fence_}};
    std::vector<table_write> writes;
    writes.reserve(sent_.size() + 1);
    for (const pending_row& row : sent_) {
        writes.push_back({progress_row_key(row.job), row.text});
    }
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
        if (code_of(result.status()) == result_code::write_rejected && !sent_.empty()) {
            process_rejection(result.status());
        } else {
            schedule_retry(&progress_writer::send);
        }
        return;
    }
    if (result->committed) {
        process_written(result->version);
        return;
    }
    for (const table_row& row : result->conflicts) {
        // An earlier attempt of the same write was committed and its reply was lost.
        if (row.key == progress_fence_key && row.value == fence_value()) {
            process_written(row.version);
            return;
        }
        // A write of an earlier owner that was under way when this ownership began was carried out
        // after the fence had been read.
        const auto writer =
            row.key == progress_fence_key && row.value ? token_of(*row.value) : std::nullopt;
        if (acquiring_ && writer && *writer <= options_.token) {
            read_fence();
            return;
        }
    }
    log_event(log_level::warning, "progress_superseded",
              {{"token", static_cast<std::int64_t>(options_.token)},
               {"expected", static_cast<std::int64_t>(fence_)}});
    superseded_();
}

void progress_writer::process_written(table_version version) {
    failures_ = 0;
    acquiring_ = false;
    fence_ = version;
    send_next();
}

void progress_writer::process_rejection(const absl::Status& status) {
    failures_ = 0;
    if (sent_.size() > 1) {
        row_by_row_ = true;
        queue_.insert(queue_.begin(), std::make_move_iterator(sent_.begin()),
                      std::make_move_iterator(sent_.end()));
    } else {
        const pending_row& row = sent_.front();
        log_event(log_level::error, "progress_row_rejected",
                  {{"job", row.job.view()},
                   {"bytes", static_cast<std::int64_t>(row.text.size())},
                   {"reason", message_of(status)}});
        rejected_.push_back(row.job);
    }
    send_next();
}

void progress_writer::log_failure(const absl::Status& status) {
    // A line for each retry would fill the log during an outage.
    constexpr int failures_per_line = 20;
    if (failures_++ % failures_per_line != 0) {
        return;
    }
    std::size_t bytes = 0;
    std::size_t largest = 0;
    for (const pending_row& row : sent_) {
        bytes += row.text.size();
        largest = std::max(largest, row.text.size());
    }
    log_event(log_level::warning, "progress_write_failed",
              {{"code", static_cast<std::int64_t>(code_of(status))},
               {"reason", message_of(status)},
               {"failures", failures_},
               {"rows", static_cast<std::int64_t>(sent_.size())},
               {"bytes", static_cast<std::int64_t>(bytes)},
               {"largest_row", static_cast<std::int64_t>(largest)}});
}

} // namespace citronford
