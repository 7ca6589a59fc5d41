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

/// One backend server that runs tasks, as it registers itself. It is one life of a VM in a pool;
/// the VM gets another identifier when it moves or comes back from maintenance.
using backend_id = identifier<struct backend_tag>;

struct backend_registration {
    backend_id id;
    pool_id pool;
    endpoint address;
    zone_id zone;
    std::vector<std::string> labels; ///< Its kind and its rack.
    resources capacity;
    std::int64_t process_start_unix_ms =
        0;                    ///< Start of its process; another one has forgotten all runs.
    bool leaving = false;     ///< Takes no new tasks; all end when it exits.
    milliseconds remaining{}; ///< Least time until a leaving one exits.

    [[nodiscard]] bool has_label(std::string_view label) const {
        return std::ranges::find(labels, label) != labels.end();
    }

    friend bool operator==(const backend_registration&, const backend_registration&) = default;
};

} // namespace citronford
