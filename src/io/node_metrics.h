#pragma once

#include "citronford/fleet_configuration.h"
#include "citronford/service_levels.h"
#include "citronford/vm_table.h"
#include "io/metrics.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace citronford {

class node;

/// The part of the fleet that the share of `team` gives it under full load, from 0 to 1.
double entitlement_of(const team_definition& team, const fleet_configuration& fleet);

/// VMs that count against the budget of their pool, by pool and zone; pairs without one are listed
/// with zero.
std::map<std::pair<pool_id, zone_id>, std::int64_t>
unavailable_by_zone(const vm_table& vms, const fleet_configuration& fleet);

/// Counts one answer to a caller by service, team and result code, and its latency by service and
/// team. Services that are not configured share one label.
void count_answer(const node& target, const answer_given& answer, metrics& registry);

/// Sets the figures of a node that are read rather than counted (docs/figures.md).
void collect_gauges(const node& target, std::size_t open_connections, instant now,
                    metrics& registry);

} // namespace citronford
