#include "citronford/vm_order_cycle.h"

namespace citronford {

absl::StatusOr<vm_order_cycle> vm_order_cycle::create(const chart& life_cycle) {
    static constexpr machine::action actions[] = {
        {"note_time", [](step_context& context,
                         const vm_order_event&) { context.entry.recorded_at = context.now; }},
        {"send_order",
         [](step_context& context, const vm_order_event&) {
             context.entry.recorded_at = context.now;
             context.order_due = true;
         }},
    };
    auto bound = machine::create(life_cycle, {}, actions);
    if (!bound.ok()) {
        return bound.status();
    }
    return vm_order_cycle(*std::move(bound));
}

bool vm_order_cycle::step(vm_order_entry& entry, const vm_order_event& event, instant now) const {
    step_context context{entry, now};
    machine_.step(entry.position, context, event);
    return context.order_due;
}

bool vm_order_cycle::may_be_unavailable(const vm_order_entry& entry) const {
    return in_state(entry, "order_sent") || in_state(entry, "in_doubt") ||
           in_state(entry, "executing");
}

vm_order_event event_of(vm_order_result result) {
    switch (result) {
    case vm_order_result::carried_out:
        return vm_order_done{};
    case vm_order_result::busy:
    case vm_order_result::fenced:
    case vm_order_result::not_sent:
        return vm_order_postponed{};
    case vm_order_result::rejected:
        return vm_order_rejected{};
    case vm_order_result::in_doubt:
        break;
    }
    return vm_order_in_doubt{};
}

std::string_view name_of(vm_order_result result) {
    constexpr std::string_view names[] = {"carried_out", "busy",     "rejected",
                                          "fenced",      "not_sent", "in_doubt"};
    return names[static_cast<std::size_t>(result)];
}

} // namespace citronford
