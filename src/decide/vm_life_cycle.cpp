#include "citronford/vm_life_cycle.h"

#include <utility>

namespace citronford {

absl::StatusOr<vm_life_cycle> vm_life_cycle::create(const chart& source) {
    static constexpr machine::guard guards[] = {
        {"has_target",
         [](const step_context& context, const vm_event&) { return !context.row.target.empty(); }},
    };
    static constexpr machine::action actions[] = {
        {"record_step",
         [](step_context& context, const vm_event& event) {
             const auto& planned = std::get<step_planned>(event);
             context.row.step = planned.step;
             if (!planned.target.empty()) {
                 context.row.target = planned.target;
             }
         }},
        {"assign_order_number",
         [](step_context& context, const vm_event&) { ++context.row.order; }},
        {"assign_pool",
         [](step_context& context, const vm_event&) {
             vm_record& row = context.row;
             row.home = row.step == vm_step::lend ? row.pool : pool_id();
             row.pool = std::exchange(row.target, pool_id());
         }},
        {"record_maintenance",
         [](step_context& context, const vm_event&) {
             context.row.maintained = context.known_version;
         }},
        {"clear_step",
         [](step_context& context, const vm_event&) {
             vm_record& row = context.row;
             row.step = row.target.empty() ? vm_step::none : vm_step::move;
         }},
    };
    auto bound = machine::create(source, guards, actions);
    if (!bound.ok()) {
        return bound.status();
    }
    return vm_life_cycle(*std::move(bound));
}

bool vm_life_cycle::apply_event(vm_record& row, const vm_event& event,
                                table_version known_version) const {
    chart_position position = machine_.position_of(row.state);
    step_context context{row, known_version};
    if (!machine_.step(position, context, event)) {
        return false;
    }
    row.state = machine_.name_of(position);
    return true;
}

} // namespace citronford
