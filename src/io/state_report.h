#pragma once

#include "citronford/instant.h"

#include <cstdint>
#include <string>

namespace citronford {

class node;

/// The state of the fleet as one node knows it at `now`, as `GET /v1/state` shows it. A snapshot
/// has a sequence number above zero.
std::string state_json(const node& target, instant now, std::uint64_t sequence);

} // namespace citronford
