#pragma once

#include <cstdint>
#include <string>

namespace citronford {

class node;

/// The state of a node as `GET /v1/state` shows it. A snapshot has a sequence number above zero.
std::string state_json(node& target, std::uint64_t sequence);

} // namespace citronford
