#pragma once

#include "citronford/backend.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/queue_catalog.h"
#include "citronford/table_service.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string_view>
#include <variant>
#include <vector>

namespace citronford {

using wave_number = std::int64_t;

/// An order to maintain each of `vms` once within `time_limit`, at most `max_concurrent` of them at
/// the same time.
struct wave_order {
    wave_number number = 0;
    std::vector<vm_id> vms;
    duration time_limit{};
    std::uint32_t max_concurrent = 1;

    friend bool operator==(const wave_order&, const wave_order&) = default;
};
/// The operators have deleted the order of a wave.
struct wave_withdrawn {
    wave_number number = 0;
};
/// An order to remove an availability zone from use, or to use it again.
struct zone_order {
    zone_id zone;
    bool removed = true; ///< False: the zone is to be used again.
};
/// A row that orders nothing, or whose kind this version does not know.
struct order_ignored {};

using operator_order = std::variant<order_ignored, std::shared_ptr<const queue_catalog>, zone_order,
                                    wave_order, wave_withdrawn>;

/// Decodes the rows of operators and backend servers in the platform's table, and encodes those for
/// operators. Keys are as in `table_service`. Errors carry `malformed_body` and the reason.
class fleet_rows {
  public:
    fleet_rows() = default;
    fleet_rows(const fleet_rows&) = delete;
    fleet_rows& operator=(const fleet_rows&) = delete;
    fleet_rows(fleet_rows&&) = delete;
    fleet_rows& operator=(fleet_rows&&) = delete;
    virtual ~fleet_rows() = default;

    /// Key prefix of the rows that operators write.
    [[nodiscard]] virtual std::string_view orders_prefix() const = 0;

    /// Key prefix of the rows in which backend servers register.
    [[nodiscard]] virtual std::string_view backends_prefix() const = 0;

    /// The order in a row; a deleted row withdraws what it ordered.
    [[nodiscard]] virtual absl::StatusOr<operator_order>
    decode_order(const table_row& row) const = 0;

    /// The backend server whose registration has this key.
    [[nodiscard]] virtual backend_id decode_backend_id(std::string_view key) const = 0;

    /// The registration in a row; fails for a deleted row.
    [[nodiscard]] virtual absl::StatusOr<backend_registration>
    decode_registration(const table_row& row) const = 0;

    /// The write that shows the state of a wave to operators.
    [[nodiscard]] virtual table_write wave_status_write(wave_number wave, bool completed) const = 0;
};

} // namespace citronford
