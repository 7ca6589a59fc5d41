#include "citronford/drain.h"

#include "citronford/invariant.h"
#include "citronford/planted_fault.h"

#include <utility>

namespace citronford {

absl::StatusOr<drain> drain::create(const chart& life_cycle, drain_options options) {
    static constexpr auto since_delay = [](const step_context& context) {
        return context.now - context.stop_at - context.options.delay;
    };
    static constexpr auto delay_passed = [](const step_context& context, const drain_input&) {
        return since_delay(context) >= duration::zero();
    };
    static constexpr auto no_connections = [](const step_context&, const drain_input& input) {
        return std::get<drain_tick>(input).open_connections == 0;
    };
    static constexpr machine::guard guards[] = {
        {"delay_passed", delay_passed},
        {"delay_passed_without_connections",
         [](const step_context& context, const drain_input& input) {
             return delay_passed(context, input) && no_connections(context, input);
         }},
        {"no_connections", no_connections},
        {"connection_wait_passed",
         [](const step_context& context, const drain_input&) {
             return since_delay(context) >= context.options.connection_wait;
         }},
        {"idle",
         [](const step_context&, const drain_input& input) {
             const auto& tick = std::get<drain_tick>(input);
             return (tick.open_work == 0 && tick.open_handovers == 0 &&
                     tick.open_connections == 0) ||
                    fault_planted("graceful-stop");
         }},
        {"answers_due",
         [](const step_context& context, const drain_input&) {
             return since_delay(context) >= context.options.answers_due;
         }},
        {"timeout_passed",
         [](const step_context& context, const drain_input&) {
             return since_delay(context) >= context.options.timeout;
         }},
    };
    static constexpr machine::action actions[] = {
        {"note_time",
         [](step_context& context, const drain_input&) { context.stop_at = context.now; }},
        {"stop_listening",
         [](step_context& context, const drain_input&) {
             context.effects.emplace_back(stop_listening{});
         }},
        {"hand_over", [](step_context& context,
                         const drain_input&) { context.effects.emplace_back(hand_over{}); }},
        {"answer_open_work",
         [](step_context& context, const drain_input&) {
             context.effects.emplace_back(answer_open_work{});
         }},
        {"leave",
         [](step_context& context, const drain_input& input) {
             invariant_monitor::check(std::get<drain_tick>(input).open_work == 0, "graceful-stop",
                                      "the drain timeout passed with work under way");
             context.effects.emplace_back(leave{});
         }},
    };
    auto bound = machine::create(life_cycle, guards, actions);
    if (!bound.ok()) {
        return bound.status();
    }
    return drain(*std::move(bound), options);
}

drain::drain(machine life_cycle, drain_options options)
    : machine_(std::move(life_cycle)),
      position_(machine_.initial()), context_{options, instant(), instant(), {}} {}

bool drain::ready() const {
    return position_ == machine_.initial();
}

std::vector<drain_effect> drain::handle(const drain_input& input, instant now) {
    context_.now = now;
    machine_.step(position_, context_, input);
    return std::exchange(context_.effects, {});
}

} // namespace citronford
