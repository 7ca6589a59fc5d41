#pragma once

#include "citronford/endpoint.h"
#include "citronford/identifier.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace citronford {

/// A live entry VM.
struct live_member {
    node_id id;
    zone_id zone;
    std::uint64_t incarnation = 0;
    endpoint address{}; ///< For messages from other nodes.
};

/// The member that owns `name` by rendezvous hashing; null if `members` is empty. All nodes that
/// have the same list compute the same owner, and adding or removing a member moves only the names
/// that the member gains or loses.
const live_member* rendezvous_owner(std::span<const live_member> members, std::string_view name);

/// The owner of a worker among the members in its zone, or among all members if its zone has none.
/// Null if `members` is empty.
const live_member* worker_owner(std::span<const live_member> members, const worker_id& worker,
                                const zone_id& zone);

} // namespace citronford
