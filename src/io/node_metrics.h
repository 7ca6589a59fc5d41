#pragma once

#include "citronford/service_levels.h"
#include "io/metrics.h"

#include <cstddef>

namespace citronford {

class node;

/// Counts one answer to a caller by service and result code, and its latency by service. Services
/// that are not configured share one label.
void count_answer(const node& target, const answer_given& answer, metrics& registry);

/// Sets the gauges of a node: queues, units, configuration, connections, invariants.
void collect_gauges(node& target, std::size_t open_connections, instant now, metrics& registry);

} // namespace citronford
