#pragma once

#include "citronford/endpoint.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/resources.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronford {

/// Identifies one incarnation of a VM that runs tasks as a backend server. The VM gets another
/// identifier when it moves or comes back from maintenance.
using backend_id = identifier<struct backend_tag>;

/// What a backend server registers about itself.
struct backend_registration {
    backend_id id;
    pool_id pool;
    endpoint address;
    zone_id zone;
    std::vector<std::string> labels; ///< Kind and rack of the server.
    resources capacity;
    std::int64_t process_start_unix_ms = 0; ///< A restart loses all runs.
    bool leaving = false;                   ///< Accepts no new tasks; its tasks end when it exits.
    milliseconds remaining{};               ///< Least time until a leaving server exits.

    [[nodiscard]] bool has_label(std::string_view label) const {
        return std::ranges::find(labels, label) != labels.end();
    }

    friend bool operator==(const backend_registration&, const backend_registration&) = default;
};

} // namespace citronford
