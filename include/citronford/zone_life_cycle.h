#pragma once

#include "citronford/chart_machine.h"

#include <absl/status/statusor.h>

#include <string_view>
#include <variant>

namespace citronford {

// Events of the chart `zone`. Each pool keeps its own state of an availability zone.

struct removal_ordered {
    static constexpr std::string_view event_name = "removal_ordered";
};
struct zone_restored {
    static constexpr std::string_view event_name = "restored";
};
/// The pool has returned all borrowed VMs.
struct given_back {
    static constexpr std::string_view event_name = "given_back";
};
/// The pool has no VM left in the zone.
struct zone_emptied {
    static constexpr std::string_view event_name = "emptied";
};

using zone_event = std::variant<removal_ordered, zone_restored, given_back, zone_emptied>;

/// State of one zone in one pool.
struct zone_state {
    chart_position position{};
    bool has_borrowed = false;            ///< The pool has borrowed VMs.
    bool planned_steps_suspended = false; ///< No planned step may begin in the pool.
    bool giving_back = false;             ///< Borrowed VMs are being returned.
};

/// Applies the chart `zone` to zone states.
class zone_life_cycle {
  public:
    /// Fails with `chart_invalid`.
    static absl::StatusOr<zone_life_cycle> create(const chart& source);

    [[nodiscard]] zone_state initial_state() const;
    void apply_event(zone_state& zone, const zone_event& event) const;
    [[nodiscard]] bool is_empty(const zone_state& zone) const {
        return machine_.is_final(zone.position);
    }

  private:
    using machine = chart_machine<zone_state, zone_event>;

    explicit zone_life_cycle(machine bound) : machine_(std::move(bound)) {}

    machine machine_;
};

} // namespace citronford
