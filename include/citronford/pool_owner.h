#pragma once

#include "citronford/identifier.h"

#include <span>

namespace citronford {

/// Assigns `pool` to one of the nodes `live_nodes`, by the highest rendezvous hash of (pool,
/// node): a node that joins or leaves changes the assignment of its own pools only. Empty if there
/// are no live nodes.
node_id pool_owner(const pool_id& pool, std::span<const node_id> live_nodes);

} // namespace citronford
