#pragma once

#include "citronford/fleet_configuration.h"
#include "citronford/peer_link.h"
#include "citronford/table_service.h"

#include <cstdint>
#include <map>
#include <utility>

namespace citronford {

/// Row `escrow/{team}`: the division of a team's limit among the nodes.
struct escrow_row {
    table_version version = absent_row;
    std::int64_t limit = 0;                  ///< Limit that bounds the sum of `units`.
    configuration_version configuration = 0; ///< Version of the configuration that set `limit`.
    std::map<member_id, std::int64_t> units;
    /// Units moved from the first to the second node that `units` accounts for.
    std::map<std::pair<member_id, member_id>, std::int64_t> moved;

    friend bool operator==(const escrow_row&, const escrow_row&) = default;
};

/// The sum of all units of a row.
std::int64_t sum_of(const escrow_row& row);

/// Units that the row gives to `id`.
std::int64_t units_in(const escrow_row& row, const member_id& id);

/// Units moved from `from` to `to` that the row accounts for.
std::int64_t moved_in(const escrow_row& row, const member_id& from, const member_id& to);

/// What `id` may keep of a row that exceeds its limit: its even part, or more when that is enough
/// to end the excess.
std::int64_t part_in(const escrow_row& row, const member_id& id);

/// Records that `total` units were moved in all; a total that is already recorded changes nothing.
void record_transfer(escrow_row& row, const member_id& from, const member_id& to,
                     std::int64_t total);

} // namespace citronford
