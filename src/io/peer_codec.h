#pragma once

#include "citronford/peer_link.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace citronford {

struct peer_envelope {
    member_id sender;
    peer_message message;
};

/// The Thrift compact encoding of a message with its sender.
std::string encoded(const member_id& sender, const peer_message& message);

/// Fails with `malformed_body` for anything that is not exactly one message.
absl::StatusOr<peer_envelope> decoded(std::string_view text);

} // namespace citronford
