#pragma once

#include <absl/status/statusor.h>

#include <cstdint>

namespace citronford {

/// Bytes of this process that are in memory, from /proc/self/statm. Fails with `internal_error`
/// where the file cannot be read.
absl::StatusOr<std::uint64_t> resident_bytes();

} // namespace citronford
