#include "citronford/result_code.h"

#include "citronford/planted_fault.h"

#include <absl/strings/cord.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

namespace citronford {
namespace {

constexpr std::string_view payload_type = "citronford/result-code";

using enum run_state;

constexpr std::array table{
    result_code_entry{result_code::ok, "ok", 200, run, "The request was executed and answered."},
    result_code_entry{result_code::internal_error, "internal_error", 500, unknown,
                      "An invariant of the program failed; see the log."},
    result_code_entry{result_code::unknown_path, "unknown_path", 404, not_run,
                      "No resource has this path."},
    result_code_entry{result_code::method_not_allowed, "method_not_allowed", 405, not_run,
                      "The resource does not support this method."},
    result_code_entry{result_code::body_too_large, "body_too_large", 413, not_run,
                      "The body exceeds the size limit."},
    result_code_entry{result_code::malformed_body, "malformed_body", 400, not_run,
                      "The body is not the JSON document that the resource expects."},
    result_code_entry{result_code::missing_request_id, "missing_request_id", 400, not_run,
                      "A request to a service that is not idempotent needs a Request-Id."},
    result_code_entry{result_code::invalid_argument, "invalid_argument", 400, not_run,
                      "A field has a value outside its range."},
    result_code_entry{result_code::unknown_service, "unknown_service", 404, not_run,
                      "No service has this name."},
    result_code_entry{result_code::not_found, "not_found", 404, not_run,
                      "The named object does not exist."},
    result_code_entry{result_code::conflict, "conflict", 409, not_run,
                      "Another change was committed first."},
    result_code_entry{result_code::key_missing, "key_missing", 401, not_run,
                      "The queue is not open to all and no key was presented."},
    result_code_entry{result_code::key_rejected, "key_rejected", 403, not_run,
                      "The key is unknown or withdrawn."},
    result_code_entry{result_code::key_unconfirmed, "key_unconfirmed", 503, not_run,
                      "The configuration could not be confirmed within its limit, so keys "
                      "cannot be checked."},
    result_code_entry{result_code::queue_full, "queue_full", 503, not_run,
                      "The queue of the service is full."},
    result_code_entry{result_code::deadline_passed, "deadline_passed", 504, not_run,
                      "The deadline passed before the request was sent to a backend server."},
    result_code_entry{result_code::team_limit_reached, "team_limit_reached", 429, not_run,
                      "The team runs as much as its upper limit allows."},
    result_code_entry{result_code::no_backend_server, "no_backend_server", 503, not_run,
                      "No backend server of the service accepts work."},
    result_code_entry{result_code::retry_budget_spent, "retry_budget_spent", 503, not_run,
                      "Every attempt was refused and the retry budget is spent."},
    result_code_entry{result_code::node_stopping, "node_stopping", 503, not_run,
                      "This entry VM is stopping."},
    result_code_entry{result_code::table_unavailable, "table_unavailable", 503, not_run,
                      "The table service is unavailable and the operation needs it."},
    result_code_entry{result_code::duplicate_request, "duplicate_request", 409, unknown,
                      "The request id was claimed before; the recorded outcome is in the body."},
    result_code_entry{result_code::outcome_unknown, "outcome_unknown", 504, unknown,
                      "The request may have been executed and its outcome could not be learned."},
    result_code_entry{result_code::lease_lost, "lease_lost", 503, not_run,
                      "This entry VM lost the lease that the operation needs."},
    result_code_entry{result_code::commit_in_doubt, "commit_in_doubt", 503, unknown,
                      "The reply to a table write was lost; read the object again."},
    result_code_entry{result_code::node_joining, "node_joining", 503, not_run,
                      "This entry VM is not known to every other one yet; ask another one."},
    result_code_entry{result_code::repetition_refused, "repetition_refused", 503, unknown,
                      "A repeated request was refused before its id was looked up; an earlier "
                      "sending may have run."},
    result_code_entry{result_code::history_lost, "history_lost", 503, not_run,
                      "The changes since a version of the table are no longer known."},
    result_code_entry{result_code::write_rejected, "write_rejected", 422, not_run,
                      "The table rejects the rows of a write, and would reject them again."},
    result_code_entry{result_code::setting_invalid, "setting_invalid", 500, not_run,
                      "A setting is unknown, missing or out of range."},
    result_code_entry{result_code::chart_invalid, "chart_invalid", 500, not_run,
                      "A state chart is malformed or names an unknown event, guard or action."},
    result_code_entry{result_code::listen_failed, "listen_failed", 500, not_run,
                      "A listening socket could not be opened."},
    result_code_entry{result_code::peer_rejected, "peer_rejected", 403, not_run,
                      "A peer message failed authentication."},
    result_code_entry{result_code::job_cannot_run, "job_cannot_run", 422, not_run,
                      "No worker is large enough for the job."},
    result_code_entry{result_code::zone_removed, "zone_removed", 409, not_run,
                      "The availability zone is taken out."},
    result_code_entry{result_code::budget_exhausted, "budget_exhausted", 409, not_run,
                      "The availability budget of the pool has nothing left."},
    result_code_entry{result_code::vm_busy, "vm_busy", 409, not_run,
                      "The VM is already being moved or maintained."},
};

absl::StatusCode status_code_for(int http_status) {
    switch (http_status) {
    case 400:
    case 405:
    case 413:
    case 422:
        return absl::StatusCode::kInvalidArgument;
    case 401:
        return absl::StatusCode::kUnauthenticated;
    case 403:
        return absl::StatusCode::kPermissionDenied;
    case 404:
        return absl::StatusCode::kNotFound;
    case 409:
        return absl::StatusCode::kAborted;
    case 429:
        return absl::StatusCode::kResourceExhausted;
    case 503:
        return absl::StatusCode::kUnavailable;
    case 504:
        return absl::StatusCode::kDeadlineExceeded;
    default:
        return absl::StatusCode::kInternal;
    }
}

} // namespace

std::span<const result_code_entry> result_code_table() {
    return table;
}

const result_code_entry& entry_of(result_code code) {
    const auto* row = std::ranges::lower_bound(table, code, {}, &result_code_entry::code);
    return row != table.end() && row->code == code ? *row : table[1];
}

std::string reason_of(result_code code) {
    return std::string(entry_of(code).name) + ": " + std::string(entry_of(code).meaning);
}

result_code refusal_before_claim(result_code code, bool repeated) {
    const bool claims_not_run =
        entry_of(code).state == not_run && !fault_planted("repeated-refusal");
    return repeated && claims_not_run ? result_code::repetition_refused : code;
}

std::string_view name_of(run_state state) {
    switch (state) {
    case run:
        return "run";
    case not_run:
        return "not-run";
    case unknown:
        break;
    }
    return "unknown";
}

int exit_code_of(result_code code) {
    // Shells use the exit codes from 126 on. Each of the six hundreds of the table gets 17 codes
    // from 4 on.
    constexpr int hundred = 100;
    constexpr int codes_per_hundred = 17;
    constexpr int first = 4;
    const int number = static_cast<int>(entry_of(code).code);
    if (number < hundred) {
        return number;
    }
    return first + (number / hundred - 1) * codes_per_hundred + number % hundred;
}

absl::Status make_status(result_code code, std::string_view message) {
    if (code == result_code::ok) {
        return absl::OkStatus();
    }
    absl::Status status(status_code_for(entry_of(code).http_status),
                        absl::string_view(message.data(), message.size()));
    status.SetPayload(absl::string_view(payload_type.data(), payload_type.size()),
                      absl::Cord(std::to_string(static_cast<int>(code))));
    return status;
}

result_code code_of(const absl::Status& status) {
    if (status.ok()) {
        return result_code::ok;
    }
    const auto payload =
        status.GetPayload(absl::string_view(payload_type.data(), payload_type.size()));
    if (!payload) {
        return result_code::internal_error;
    }
    const std::string digits(*payload);
    int number = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return entry_of(static_cast<result_code>(number)).code;
}

std::string_view message_of(const absl::Status& status) {
    return {status.message().data(), status.message().size()};
}

} // namespace citronford
