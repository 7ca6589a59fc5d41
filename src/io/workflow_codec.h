#pragma once

#include "citronford/ownership.h"
#include "citronford/queue_catalog.h"
#include "citronford/wave_planner.h"
#include "citronford/workflow.h"
#include "citronford/workflow_progress.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>

namespace citronford {

// JSON of the scheduler's own rows. Decoding fails with `malformed_body`.

std::string encode_workflow(const accepted_workflow& row);
/// The identifier of the job is in the key of its row.
absl::StatusOr<accepted_workflow> decode_workflow(const job_id& job, std::string_view text);

std::string encode_progress(const workflow_progress& progress);
absl::StatusOr<workflow_progress> decode_progress(std::string_view text);

std::string encode_owner(const owner_row& row);
absl::StatusOr<owner_row> decode_owner(std::string_view text);

/// Value of a row that only the owner writes.
struct owned_value {
    fencing_token token = 0; ///< Of the owner that wrote it.
    std::string text;
};
std::string encode_owned(const owned_value& value);
absl::StatusOr<owned_value> decode_owned(std::string_view text);

/// Workflows of each queue that have not begun.
using waiting_counts = std::map<queue_id, std::uint64_t>;
std::string encode_waiting_counts(const waiting_counts& counts);
absl::StatusOr<waiting_counts> decode_waiting_counts(std::string_view text);

std::string encode_wave(const wave_record& record);
absl::StatusOr<wave_record> decode_wave(std::string_view text);

std::string_view name_of(workflow_state state);

} // namespace citronford
