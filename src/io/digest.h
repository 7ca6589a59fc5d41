#pragma once

#include "citronford/identifier.h"

#include <string>
#include <string_view>

namespace citronford {

/// The SHA-256 digest of a team's key.
key_digest digest_of_key(std::string_view key);

/// The digest of the key in an `Authorization: Bearer KEY` header; empty when there is none.
key_digest presented_digest(std::string_view authorization);

/// The raw 32 bytes of HMAC-SHA256 over `message`.
std::string hmac_sha256(std::string_view secret, std::string_view message);

/// Compares without an early exit.
bool equal_secrets(std::string_view left, std::string_view right);

/// `bytes` random bytes from the system, in lower-case hexadecimal.
std::string random_hex(std::size_t bytes);

} // namespace citronford
