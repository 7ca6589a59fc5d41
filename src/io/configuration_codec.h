#pragma once

#include "citronford/configuration_change.h"
#include "citronford/fleet_configuration.h"
#include "citronford/table_service.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace citronford {

/// Prefix of all rows of the configuration.
inline constexpr std::string_view configuration_prefix = "config/";
/// Row that holds the version of the configuration.
inline constexpr std::string_view configuration_version_key = "config/version";

/// The JSON document of the defaults, as operators edit it.
std::string defaults_json(const fleet_defaults& defaults);

/// Fails with `malformed_body` when the text is not such a document; unknown members are faults.
absl::StatusOr<fleet_defaults> parse_defaults(std::string_view text);

std::string exceptions_json(const std::vector<exception_rule>& exceptions);
absl::StatusOr<exception_rule> parse_exception(std::string_view text);

/// The rows that `change` writes, without the version row.
std::vector<table_write> rows_of(const configuration_change& change);

/// Applies one scanned row to `fleet`; rows that cannot be parsed fail with `malformed_body` and
/// change nothing.
absl::Status apply_row(const table_row& row, fleet_configuration& fleet);

} // namespace citronford
