#include "node/fleet/ended_work_marker.h"

#include "citronford/result_code.h"
#include "io/log.h"

#include <algorithm>
#include <string>

namespace citronford {
namespace {

/// A batch that is not full is written after this time, to save calls to the table.
constexpr duration batch_period = seconds(8);

/// Delay before a failed write is sent again.
constexpr duration retry_pause = seconds(1);

} // namespace

void ended_work_marker::add(const job_id& job, instant now) {
    part_batch& batch = parts_[work_part(job)];
    if (batch.jobs.empty()) {
        batch.not_before = now + batch_period;
    }
    batch.jobs.push_back(job);
}

void ended_work_marker::tick(instant now) {
    for (std::size_t part = 0; part < parts_.size(); ++part) {
        part_batch& batch = parts_[part];
        if (batch.jobs.empty() || batch.in_flight) {
            continue;
        }
        const bool full = batch.jobs.size() >= max_transaction_rows && !batch.failed;
        if (full || now >= batch.not_before) {
            write(part, now);
        }
    }
}

void ended_work_marker::write(std::size_t part, instant now) {
    part_batch& batch = parts_[part];
    const auto count = batch.row_by_row ? 1 : std::min(batch.jobs.size(), max_transaction_rows);
    std::vector<table_write> writes;
    writes.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        writes.push_back({work_row_key(batch.jobs[index]), std::string(ended_work_value)});
    }
    batch.in_flight = true;
    batch.not_before = now + batch_period;
    table_.commit({}, writes,
                  [this, part, count, now,
                   alive = std::weak_ptr(alive_)](const absl::StatusOr<table_commit>& result) {
                      if (alive.expired()) {
                          return;
                      }
                      process_commit(parts_[part], count, result.status(), now);
                  });
}

void ended_work_marker::process_commit(part_batch& batch, std::size_t count,
                                       const absl::Status& status, instant sent_at) {
    batch.in_flight = false;
    const bool rejected = code_of(status) == result_code::write_rejected;
    batch.failed = !status.ok() && !rejected;
    if (batch.failed) {
        batch.not_before = sent_at + retry_pause;
        return;
    }
    if (rejected) {
        log_event(log_level::error, "ended_work_rejected",
                  {{"rows", static_cast<std::int64_t>(count)}, {"reason", message_of(status)}});
        batch.not_before = sent_at;
        if (count > 1) {
            batch.row_by_row = true;
            return;
        }
    }
    // A single row that the table rejects is left as it is: its workflow has ended all the same.
    batch.jobs.erase(batch.jobs.begin(), batch.jobs.begin() + static_cast<std::ptrdiff_t>(count));
    batch.row_by_row = batch.row_by_row && !batch.jobs.empty();
    if (batch.row_by_row) {
        batch.not_before = sent_at;
    }
}

} // namespace citronford
