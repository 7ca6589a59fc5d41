#pragma once

#include "citronford/buffer_control.h"
#include "citronford/table_service.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace citronford {

inline constexpr std::string_view demand_prefix = "demand/";

std::string demand_key(const node_id& node);
table_write demand_row_write(const demand_record& record);

/// Parses a row under `demand_prefix`. Fails with `malformed_body` unless its value is an object of
/// numbers.
absl::StatusOr<demand_rows_read::row> parse_demand_row(const table_row& row);

} // namespace citronford
