#pragma once

#include "citronford/workflow.h"
#include "citronford/workflow_progress.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace citronford {

// Encoding of the stored progress of workflows: a JSON object with the state, the tasks that are
// done as a bit string, and the failures as a compact text, so that the size is bounded by
// `max_progress_bytes`. Decoding fails with `malformed_body`.

/// What is stored of the failed runs of each task.
enum class failure_detail {
    run_numbers, ///< All numbers.
    counts,      ///< How many runs failed, as if they were the first ones.
    none,
};

std::string encode_progress(const workflow_progress& progress,
                            failure_detail detail = failure_detail::run_numbers);

/// A progress row, and what had to be left out of it.
struct bounded_progress {
    std::string text;
    failure_detail detail = failure_detail::run_numbers;
};

/// Encodes with as much detail as fits `max_bytes`.
bounded_progress encode_progress_within(const workflow_progress& progress, std::size_t max_bytes);

/// Also reads rows with lists of steps and failures, which earlier versions wrote.
absl::StatusOr<workflow_progress> decode_progress(std::string_view text, const workflow_spec& spec);

absl::StatusOr<workflow_state> decode_progress_state(std::string_view text);

} // namespace citronford
