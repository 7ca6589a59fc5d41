#include "node/fleet/observed_table.h"

#include "citronford/result_code.h"

#include <utility>

namespace citronford {

void observed_table::note(const absl::Status& status) {
    const bool answered = status.ok() || code_of(status) == result_code::history_lost;
    if (answered) {
        last_answer_at_ = timers_.now();
        failures_in_row_ = 0;
    } else {
        last_failure_at_ = timers_.now();
        ++failures_in_row_;
    }
}

table_service::scan_callback observed_table::noted(scan_callback done) {
    return [this, done = std::move(done)](absl::StatusOr<table_scan> result) {
        note(result.status());
        done(std::move(result));
    };
}

void observed_table::commit(std::span<const table_check> checks,
                            std::span<const table_write> writes, commit_callback done) {
    target_.commit(checks, writes,
                   [this, done = std::move(done)](absl::StatusOr<table_commit> result) {
                       note(result.status());
                       done(std::move(result));
                   });
}

void observed_table::scan(std::string_view prefix, table_version since, scan_callback done) {
    target_.scan(prefix, since, noted(std::move(done)));
}

void observed_table::watch(std::string_view prefix, table_version since, duration wait,
                           scan_callback done) {
    target_.watch(prefix, since, wait, noted(std::move(done)));
}

} // namespace citronford
