#pragma once

#include "citronford/ownership.h"
#include "citronford/queue_catalog.h"
#include "citronford/wave_planner.h"
#include "citronford/workflow.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>

namespace citronford {

// JSON encoding of the scheduler's own rows. Decoding fails with `malformed_body`.

std::string encode_workflow(const accepted_workflow& row);
/// `job` comes from the key of the row.
absl::StatusOr<accepted_workflow> decode_workflow(const job_id& job, std::string_view text);

std::string encode_owner(const owner_row& row);
absl::StatusOr<owner_row> decode_owner(std::string_view text);

std::string encode_offer(const takeover_offer& offer);
absl::StatusOr<takeover_offer> decode_offer(std::string_view text);

/// Value of a row that only the owner writes, with its fencing token.
struct fenced_value {
    fencing_token token = 0; ///< Token of the owner that wrote the row.
    std::string text;
};
std::string encode_fenced_value(const fenced_value& value);
absl::StatusOr<fenced_value> decode_fenced_value(std::string_view text);

/// Number of workflows of each queue none of whose tasks has started.
using waiting_counts = std::map<queue_id, std::uint64_t>;
std::string encode_waiting_counts(const waiting_counts& counts);
absl::StatusOr<waiting_counts> decode_waiting_counts(std::string_view text);

std::string encode_wave(const wave_record& record);
absl::StatusOr<wave_record> decode_wave(std::string_view text);

std::string_view name_of(workflow_state state);

} // namespace citronford
