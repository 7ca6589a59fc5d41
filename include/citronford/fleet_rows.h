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

/// An order to maintain VMs: each once within `time`, at most `most_at_once` at the same time.
struct wave_order {
    wave_number number = 0;
    std::vector<vm_id> vms;
    duration time{};
    std::uint32_t most_at_once = 1;

    friend bool operator==(const wave_order&, const wave_order&) = default;
};
struct wave_withdrawn {
    wave_number number = 0;
};
struct zone_order {
    zone_id zone;
    bool removed = true; ///< False: the zone is taken back.
};
/// A row of a kind that this version does not know.
struct order_ignored {};

using operator_order = std::variant<order_ignored, std::shared_ptr<const queue_catalog>, zone_order,
                                    wave_order, wave_withdrawn>;

/// The rows of operators and backend servers in the platform's table. Keys are as in
/// `table_service`. Errors carry `malformed_body` and the reason.
class fleet_rows {
  public:
    fleet_rows() = default;
    fleet_rows(const fleet_rows&) = delete;
    fleet_rows& operator=(const fleet_rows&) = delete;
    fleet_rows(fleet_rows&&) = delete;
    fleet_rows& operator=(fleet_rows&&) = delete;
    virtual ~fleet_rows() = default;

    /// Prefix of the rows of operators.
    [[nodiscard]] virtual std::string_view orders_prefix() const = 0;

    /// Prefix of the rows in which backend servers register.
    [[nodiscard]] virtual std::string_view backends_prefix() const = 0;

    /// The order of a row; a deleted row withdraws what it ordered.
    [[nodiscard]] virtual absl::StatusOr<operator_order> order_of(const table_row& row) const = 0;

    [[nodiscard]] virtual backend_id backend_named(std::string_view key) const = 0;

    /// The registration in a row that is not deleted.
    [[nodiscard]] virtual absl::StatusOr<backend_registration>
    listing_of(const table_row& row) const = 0;

    /// The row that tells operators how far a wave is.
    [[nodiscard]] virtual table_write wave_status(wave_number wave, bool completed) const = 0;
};

} // namespace citronford
