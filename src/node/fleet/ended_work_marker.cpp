#include "node/fleet/ended_work_marker.h"

#include <algorithm>
#include <string>

namespace citronford {
namespace {

/// Rows in one transaction; the table accepts at most 100 entries.
constexpr std::size_t batch_rows = 90;

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
        const bool full = batch.jobs.size() >= batch_rows && !batch.failed;
        if (full || now >= batch.not_before) {
            write(part, now);
        }
    }
}

void ended_work_marker::write(std::size_t part, instant now) {
    part_batch& batch = parts_[part];
    const auto count = std::min(batch.jobs.size(), batch_rows);
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
                      part_batch& written = parts_[part];
                      written.in_flight = false;
                      written.failed = !result.ok();
                      if (written.failed) {
                          written.not_before = now + retry_pause;
                      } else {
                          written.jobs.erase(written.jobs.begin(),
                                             written.jobs.begin() +
                                                 static_cast<std::ptrdiff_t>(count));
                      }
                  });
}

} // namespace citronford
