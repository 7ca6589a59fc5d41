#include "citronford/zone_life_cycle.h"

#include <utility>

namespace citronford {

absl::StatusOr<zone_life_cycle> zone_life_cycle::create(const chart& source) {
    static constexpr machine::guard guards[] = {
        {"has_borrowed",
         [](const zone_state& zone, const zone_event&) { return zone.has_borrowed; }},
    };
    static constexpr machine::action actions[] = {
        {"suspend_planned_steps",
         [](zone_state& zone, const zone_event&) { zone.planned_steps_suspended = true; }},
        {"resume_planned_steps",
         [](zone_state& zone, const zone_event&) { zone.planned_steps_suspended = false; }},
        {"begin_give_back", [](zone_state& zone, const zone_event&) { zone.giving_back = true; }},
        {"end_give_back", [](zone_state& zone, const zone_event&) { zone.giving_back = false; }},
    };
    auto bound = machine::create(source, guards, actions);
    if (!bound.ok()) {
        return bound.status();
    }
    return zone_life_cycle(*std::move(bound));
}

zone_state zone_life_cycle::initial_state() const {
    zone_state zone;
    zone.position = machine_.initial();
    return zone;
}

void zone_life_cycle::apply_event(zone_state& zone, const zone_event& event) const {
    chart_position position = zone.position;
    machine_.step(position, zone, event);
    zone.position = position;
}

} // namespace citronford
