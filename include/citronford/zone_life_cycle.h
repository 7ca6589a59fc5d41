#pragma once

#include "citronford/chart_machine.h"

#include <absl/status/statusor.h>

#include <string_view>
#include <variant>

namespace citronford {

// Events of one availability zone as one pool sees it.

struct removal_ordered {
    static constexpr std::string_view event_name = "removal_ordered";
};
struct zone_restored {
    static constexpr std::string_view event_name = "restored";
};
/// The pool holds no borrowed VM any more.
struct given_back {
    static constexpr std::string_view event_name = "given_back";
};
/// The pool has no VM in the zone any more.
struct zone_emptied {
    static constexpr std::string_view event_name = "emptied";
};

using zone_event = std::variant<removal_ordered, zone_restored, given_back, zone_emptied>;

/// One zone of one pool and what its state allows.
struct zone_situation {
    chart_position position{};
    bool has_borrowed = false;       ///< The pool holds borrowed VMs.
    bool planned_steps_held = false; ///< No planned step may begin in the pool.
    bool giving_back = false;        ///< Borrowed VMs go back.
};

/// Steps zones by the chart `zone`.
class zone_life_cycle {
  public:
    /// Fails with `chart_invalid`.
    static absl::StatusOr<zone_life_cycle> create(const chart& source);

    [[nodiscard]] zone_situation begin() const;
    void step(zone_situation& zone, const zone_event& event) const;
    [[nodiscard]] bool closed(const zone_situation& zone) const {
        return machine_.is_final(zone.position);
    }

  private:
    using machine = chart_machine<zone_situation, zone_event>;

    explicit zone_life_cycle(machine bound) : machine_(std::move(bound)) {}

    machine machine_;
};

} // namespace citronford
