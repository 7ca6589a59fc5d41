#pragma once

#include "citronford/job.h"
#include "citronford/worker_link.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace citronford {

/// Key prefix of the job rows.
inline constexpr std::string_view job_prefix = "job/";

std::string job_key(const job_id& job);

/// The JSON document of a job row, as stored in the table.
std::string job_row_json(const job_row& row);

/// Parses a job row. Fails with `malformed_body` if the text is not such a document.
absl::StatusOr<job_row> parse_job_row(std::string_view text);

/// Parses a job submitted by a caller (docs/design.md, section 4.1); the team is not part of the
/// document. Fails with `malformed_body`, also on unknown members, or `invalid_argument`.
absl::StatusOr<job_definition> parse_job(std::string_view text);

/// The JSON body of a message to a worker (docs/design.md, section 4.4).
std::string sync_json(const sync_request& message);

/// Parses the answer of a worker. Returns `sync_unanswered` if the text is not such a document.
sync_result parse_sync_answer(std::string_view text);

} // namespace citronford
