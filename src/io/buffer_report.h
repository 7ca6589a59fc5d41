#pragma once

#include "citronford/buffer_control.h"

#include <nlohmann/json.hpp>

namespace citronford {

/// JSON object that describes a buffer in reports; all numbers except `samples` are VMs.
inline nlohmann::json buffer_json(const pool_buffer& buffer) {
    return {{"demand", buffer.demand},
            {"samples", buffer.samples},
            {"burst", buffer.plan.burst},
            {"largest_loss", buffer.plan.largest_loss},
            {"total", buffer.plan.total}};
}

} // namespace citronford
