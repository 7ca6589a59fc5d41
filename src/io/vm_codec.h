#pragma once

#include "citronford/pool_controller.h"
#include "citronford/table_service.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace citronford {

/// Key prefixes of the rows of VMs, pools and pool leases.
inline constexpr std::string_view vm_prefix = "vm/";
inline constexpr std::string_view pool_prefix = "pool/";
inline constexpr std::string_view pool_lease_prefix = "lease/pool/";

/// The write of a VM row; it deletes a row in the state `removed`.
table_write vm_row_write(const vm_record& row);
table_write pool_row_write(const pool_record& row);
table_write lease_row_write(const lease_record& row);

/// Parses a scanned row and adds it to `rows`. Fails with `malformed_body` if the row cannot be
/// parsed or its key has none of the prefixes.
absl::Status add_row(const table_row& row, pool_rows_read& rows);

} // namespace citronford
