#include "node/fleet/observed_table.h"

#include "citronford/result_code.h"

#include <array>
#include <utility>

namespace citronford {

void observed_table::record(const absl::Status& status, std::string_view call, instant sent_at) {
    const result_code code = code_of(status);
    const bool answered =
        status.ok() || code == result_code::history_lost || code == result_code::write_rejected;
    if (answered) {
        last_answer_at_ = timers_.now();
        consecutive_failures_ = 0;
    } else {
        last_failure_at_ = timers_.now();
        ++consecutive_failures_;
    }
    const std::array labels = {metric_label{"call", call},
                               metric_label{"answered", answered ? "yes" : "no"}};
    registry_.observe("citronford_table_call_seconds", labels, timers_.now() - sent_at);
}

table_service::scan_callback observed_table::recording(scan_callback done, std::string_view call) {
    return [this, call, sent_at = timers_.now(),
            done = std::move(done)](absl::StatusOr<table_scan> result) {
        record(result.status(), call, sent_at);
        done(std::move(result));
    };
}

void observed_table::commit(std::span<const table_check> checks,
                            std::span<const table_write> writes, commit_callback done) {
    target_.commit(checks, writes,
                   [this, sent_at = timers_.now(),
                    done = std::move(done)](absl::StatusOr<table_commit> result) {
                       record(result.status(), "commit", sent_at);
                       done(std::move(result));
                   });
}

void observed_table::scan(std::string_view prefix, table_version since, scan_callback done) {
    target_.scan(prefix, since, recording(std::move(done), "scan"));
}

void observed_table::watch(std::string_view prefix, table_version since, duration wait,
                           scan_callback done) {
    target_.watch(prefix, since, wait, recording(std::move(done), "watch"));
}

} // namespace citronford
