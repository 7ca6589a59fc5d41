#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citronford {

/// Encodes each number in characters of five bits: one for numbers below 32, at most seven.
std::string encode_compact(std::span<const std::uint32_t> numbers);

/// Fails with `malformed_body` for a text that `encode_compact` does not write.
absl::StatusOr<std::vector<std::uint32_t>> decode_compact(std::string_view text);

} // namespace citronford
