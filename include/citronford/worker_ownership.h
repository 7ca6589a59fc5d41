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
    endpoint address{}; ///< For messages of other nodes.
};

/// The member that owns `name` by rendezvous hash; none when there is no member. All members with
/// the same list name the same owner, and a change of the list moves only what it must.
const live_member* rendezvous_owner(std::span<const live_member> members, std::string_view name);

/// The owner of a worker among the members of its zone; among all members when its zone has none.
const live_member* worker_owner(std::span<const live_member> members, const worker_id& worker,
                                const zone_id& zone);

} // namespace citronford
