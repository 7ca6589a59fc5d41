#pragma once

#include "citronford/load_report.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace citronford {

// JSON encoding of the load report of the owner. Figures are rounded to hundredths.

std::string encode_load_report(const load_report& report);

/// Fails with `malformed_body` when the text is no report, or a figure of it is negative, absurdly
/// large or no number. A report with more pools, priorities or teams than an owner writes is
/// malformed, too.
absl::StatusOr<load_report> decode_load_report(std::string_view text);

} // namespace citronford
