#pragma once

#include "citronford/dispatcher.h"
#include "io/metrics.h"

namespace citronford {

/// Sets the metrics of the scheduler. A node that is not the owner passes empty counts.
void set_dispatch_figures(metrics& registry, const dispatch_counts& counts);

} // namespace citronford
