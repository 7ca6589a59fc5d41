#pragma once

#include <absl/status/status.h>

#include <span>
#include <string>
#include <string_view>

namespace citronford {

/// What a caller may conclude about the execution of its request.
enum class run_state {
    run,     ///< The work was executed.
    not_run, ///< The work was certainly not executed and will not be.
    unknown, ///< The work may or may not have been executed.
};

/// Numbered results. A number never changes its meaning; docs/errors.md lists them all.
enum class result_code : int {
    ok = 0,
    internal_error = 1,

    unknown_path = 100,
    method_not_allowed = 101,
    body_too_large = 102,
    malformed_body = 103,
    missing_request_id = 104,
    invalid_argument = 105,
    unknown_service = 106,
    not_found = 107,
    conflict = 108,

    key_missing = 200,
    key_rejected = 201,
    key_unconfirmed = 202,

    queue_full = 300,
    deadline_passed = 301,
    team_limit_reached = 302,
    no_backend_server = 303,
    retry_budget_spent = 304,
    node_stopping = 305,

    table_unavailable = 400,
    duplicate_request = 401,
    outcome_unknown = 402,
    lease_lost = 403,
    commit_in_doubt = 404,
    node_joining = 405,
    repetition_refused = 406,
    history_lost = 407,
    write_rejected = 408,

    setting_invalid = 500,
    chart_invalid = 501,
    listen_failed = 502,
    peer_rejected = 503,

    job_cannot_run = 600,
    zone_removed = 601,
    budget_exhausted = 602,
    vm_busy = 603,
};

/// One row of the code table.
struct result_code_entry {
    result_code code;
    std::string_view name; ///< Stable identifier in snake case.
    int http_status;
    run_state state; ///< What the code says about execution of the request it answers.
    std::string_view meaning;
};

/// All codes in rising order.
std::span<const result_code_entry> result_code_table();

/// The row of `code`; the row of `internal_error` for a number outside the table.
const result_code_entry& entry_of(result_code code);

/// The code of a refusal before the request id was looked up. An earlier sending of a repeated
/// request may have run, so that "not run" becomes `repetition_refused`.
result_code refusal_before_claim(result_code code, bool repeated);

/// "name: meaning" of a code, for the message of an answer that carries another code.
std::string reason_of(result_code code);

std::string_view name_of(run_state state);

/// The exit code of a program that ends because of `code`, from 0 to 125; distinct for each code.
/// 2 is wrong usage and 3 a missing answer (docs/errors.md).
int exit_code_of(result_code code);

/// A status that carries `code`. `ok` gives an OK status and drops the message.
absl::Status make_status(result_code code, std::string_view message);

/// The code carried by `status`; `internal_error` when a failed status carries none.
result_code code_of(const absl::Status& status);

/// The message of `status`, valid as long as the status.
std::string_view message_of(const absl::Status& status);

} // namespace citronford
