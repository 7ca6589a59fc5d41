#pragma once

#include "citronford/escrow_row.h"
#include "citronford/membership.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace citronford {

/// The value of the row `node/{id}`.
std::string registration_json(const node_registration& registration);
absl::StatusOr<node_registration> parse_registration(std::string_view text);

/// The value of the row `escrow/{team}`, without its version.
std::string escrow_json(const escrow_row& row);
absl::StatusOr<escrow_row> parse_escrow(std::string_view text);

/// The value of the row `config/version`: version, node and incarnation of the writer.
std::string version_text(std::uint64_t version, const member_id& author);
member_id author_of(std::string_view text);

} // namespace citronford
