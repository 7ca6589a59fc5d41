#pragma once

#include "citronford/endpoint.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citronford {

/// A value that is not allowed and that a daemon replaced by the default, since a fleet whose
/// deployment leaves the key out must still start.
struct replaced_setting {
    std::string section;
    std::string key;
    std::string value;   ///< As in the file; often empty.
    std::string allowed; ///< With the unit and the range.
    std::string default_value;
};

/// Settings of one daemon, read once at start from an INI file. What the whole fleet shares is not
/// here but in the fleet defaults.
struct settings {
    node_id node;
    zone_id zone;
    std::string charts = "charts"; ///< Directory of the state charts.
    std::string log_level = "info";
    endpoint callers{"127.0.0.1", 8080};
    endpoint operators{"127.0.0.1", 8081};
    endpoint peers{"127.0.0.1", 8082};
    endpoint platform{"127.0.0.1", 8090};
    std::string peer_secret; ///< Shared by all daemons of a fleet; at least 16 characters.
    std::size_t body_limit = 1048576;
    milliseconds drain_delay{5000};
    milliseconds drain_timeout{30000};
    milliseconds configuration_poll{1000};
    milliseconds vm_list_poll{1000};
    milliseconds platform_timeout{2000};
    milliseconds node_lease{10000};
    std::vector<replaced_setting> replaced; ///< Always empty: every fault is refused.
};

/// One key of the settings file, for the documentation and for messages.
struct setting_description {
    std::string_view section;
    std::string_view key;
    std::string_view type; ///< With the unit and the range.
    std::string default_value;
    bool required = false;
    std::string_view meaning;
    bool replaces_invalid = false; ///< A value that is not allowed is replaced by the default.
};

/// All keys, in the order of the documentation.
std::span<const setting_description> setting_descriptions();

/// Parses the text of a settings file. Reports every fault at once, one a line: section, key,
/// value and what is allowed; unknown sections and keys are faults. Fails with `setting_invalid`.
absl::StatusOr<settings> parse_settings(std::string_view text);

/// Reads and parses the file at `path`. Blocking; for start-up only.
absl::StatusOr<settings> load_settings(const std::string& path);

} // namespace citronford
