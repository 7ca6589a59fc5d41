#pragma once

#include "citronford/job.h"
#include "citronford/worker_link.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace citronford {

/// Prefix of the rows of jobs.
inline constexpr std::string_view job_prefix = "job/";

std::string job_key(const job_id& job);

/// The JSON document of a job row, as stored in the table.
std::string job_row_json(const job_row& row);

/// Fails with `malformed_body` when the text is not such a document.
absl::StatusOr<job_row> parse_job_row(std::string_view text);

/// Parses the job of a caller (docs/design.md, section 4.1); the team is not part of it. Fails with
/// `malformed_body` or `invalid_argument`; unknown members are faults.
absl::StatusOr<job_definition> parse_job(std::string_view text);

/// The JSON body of a message to a worker (docs/design.md, section 4.4).
std::string sync_json(const sync_request& message);

/// The answer of a worker; `sync_unanswered` when the text is not such a document.
sync_result parse_sync_answer(std::string_view text);

} // namespace citronford
