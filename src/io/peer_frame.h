#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronford {

/// Largest frame, without its length prefix.
inline constexpr std::size_t frame_limit = 1048576;
/// Random bytes that each end contributes to a connection.
inline constexpr std::size_t nonce_bytes = 16;

/// Frames of one direction of a connection: 4 bytes length (big endian), 32 bytes HMAC-SHA256,
/// content. The HMAC covers the nonces of both ends, the direction and the number of the frame, so
/// a frame repeated on this or another connection fails.
class frame_seal {
  public:
    /// `key` identifies connection and direction; see `seal_key`.
    frame_seal(std::string secret, std::string key)
        : secret_(std::move(secret)), key_(std::move(key)) {}

    /// The next frame as sent.
    std::string sealed(std::string_view content);

    /// Takes the next frame from the front of `input`: its content, or nothing while incomplete.
    /// Fails with `peer_rejected` for a frame that is too long or not authentic.
    absl::StatusOr<std::optional<std::string>> opened(std::string& input);

  private:
    [[nodiscard]] std::string digest(std::string_view content) const;

    std::string secret_;
    std::string key_;
    std::uint64_t number_ = 0;
};

} // namespace citronford
