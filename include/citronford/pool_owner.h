#pragma once

#include "citronford/identifier.h"

#include <span>

namespace citronford {

/// The node that controls `pool`: the highest rendezvous hash of (pool, node), so that a change of
/// the members moves only the pools of the node that came or went. Empty without members.
node_id pool_owner(const pool_id& pool, std::span<const node_id> members);

} // namespace citronford
