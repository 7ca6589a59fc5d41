#pragma once

#include "citronford/chart.h"
#include "citronford/result_code.h"

#include <absl/status/statusor.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace citronford {

/// State of one life cycle; an index into the states of its chart.
enum class chart_position : std::uint16_t {};

/// Binds a chart to the guards and actions of a program and interprets it.
///
/// `Event` is a `std::variant`; each alternative has a `static constexpr std::string_view
/// event_name`. Guards and actions receive the context of the one life cycle that is stepped.
/// A machine is immutable after creation, so all life cycles of a kind share one.
template <class Context, class Event> class chart_machine {
  public:
    struct guard {
        std::string_view name;
        bool (*function)(const Context&, const Event&);
    };
    struct action {
        std::string_view name;
        void (*function)(Context&, const Event&);
    };

    /// Fails with `chart_invalid` and "file:line: reason" when the chart names an event, guard or
    /// action that the program does not have.
    static absl::StatusOr<chart_machine> create(const chart& source, std::span<const guard> guards,
                                                std::span<const action> actions) {
        chart_machine machine;
        machine.initial_ = static_cast<chart_position>(source.initial());
        for (const chart_state& state : source.states()) {
            bound_state bound;
            bound.id = state.id;
            bound.is_final = state.is_final;
            for (const chart_transition& transition : state.transitions) {
                absl::Status status = bind_transition(source, transition, guards, actions, bound);
                if (!status.ok()) {
                    return status;
                }
            }
            absl::Status status =
                bind_actions(source, state.line, state.entry_actions, actions, bound.entry);
            if (status.ok()) {
                status = bind_actions(source, state.line, state.exit_actions, actions, bound.exit);
            }
            if (!status.ok()) {
                return status;
            }
            machine.states_.push_back(std::move(bound));
        }
        return machine;
    }

    [[nodiscard]] chart_position initial() const { return initial_; }
    [[nodiscard]] std::string_view name_of(chart_position position) const {
        return state_at(position).id;
    }
    [[nodiscard]] bool is_final(chart_position position) const {
        return state_at(position).is_final;
    }

    /// The position named `id`; the initial position when there is none.
    [[nodiscard]] chart_position position_of(std::string_view id) const {
        for (std::size_t index = 0; index < states_.size(); ++index) {
            if (states_[index].id == id) {
                return static_cast<chart_position>(index);
            }
        }
        return initial_;
    }

    /// Takes the first enabled transition for `event` and runs its actions: exit actions of the
    /// old state, actions of the transition, entry actions of the new state. `position` is already
    /// the new state when the entry actions run. Returns false, changing nothing, when the state
    /// has no enabled transition for the event. Actions must not step the same life cycle.
    bool step(chart_position& position, Context& context, const Event& event) const {
        const bound_state& from = state_at(position);
        for (const bound_transition& transition : from.by_event[event.index()]) {
            if (transition.guard != nullptr && !transition.guard(context, event)) {
                continue;
            }
            if (!transition.target) {
                run(transition.actions, context, event);
                return true;
            }
            run(from.exit, context, event);
            run(transition.actions, context, event);
            position = static_cast<chart_position>(*transition.target);
            run(states_[*transition.target].entry, context, event);
            return true;
        }
        return false;
    }

  private:
    using guard_function = bool (*)(const Context&, const Event&);
    using action_function = void (*)(Context&, const Event&);

    struct bound_transition {
        guard_function guard = nullptr;
        std::optional<std::size_t> target;
        std::vector<action_function> actions;
    };
    struct bound_state {
        std::string id;
        bool is_final = false;
        std::vector<action_function> entry;
        std::vector<action_function> exit;
        std::array<std::vector<bound_transition>, std::variant_size_v<Event>> by_event;
    };

    chart_machine() = default;

    template <std::size_t... Index>
    static constexpr std::array<std::string_view, sizeof...(Index)>
    event_names(std::index_sequence<Index...> /*indices*/) {
        return {std::variant_alternative_t<Index, Event>::event_name...};
    }

    static absl::Status error(const chart& source, int line, std::string_view kind,
                              std::string_view name) {
        std::string message(source.file_name());
        message += ':' + std::to_string(line) + ": unknown ";
        message += kind;
        message += " '";
        message += name;
        message += '\'';
        return make_status(result_code::chart_invalid, message);
    }

    static absl::Status bind_actions(const chart& source, int line,
                                     std::span<const std::string> names,
                                     std::span<const action> actions,
                                     std::vector<action_function>& bound) {
        for (const std::string& name : names) {
            action_function function = nullptr;
            for (const action& candidate : actions) {
                if (candidate.name == name) {
                    function = candidate.function;
                }
            }
            if (function == nullptr) {
                return error(source, line, "action", name);
            }
            bound.push_back(function);
        }
        return absl::OkStatus();
    }

    static absl::Status bind_transition(const chart& source, const chart_transition& transition,
                                        std::span<const guard> guards,
                                        std::span<const action> actions, bound_state& state) {
        constexpr auto names = event_names(std::make_index_sequence<std::variant_size_v<Event>>());
        std::size_t event = 0;
        while (event < names.size() && names[event] != transition.event) {
            ++event;
        }
        if (event == names.size()) {
            return error(source, transition.line, "event", transition.event);
        }
        bound_transition bound;
        bound.target = transition.target;
        for (const guard& candidate : guards) {
            if (candidate.name == transition.guard) {
                bound.guard = candidate.function;
            }
        }
        if (!transition.guard.empty() && bound.guard == nullptr) {
            return error(source, transition.line, "guard", transition.guard);
        }
        absl::Status status =
            bind_actions(source, transition.line, transition.actions, actions, bound.actions);
        state.by_event[event].push_back(std::move(bound));
        return status;
    }

    [[nodiscard]] const bound_state& state_at(chart_position position) const {
        return states_[static_cast<std::size_t>(position)];
    }

    static void run(std::span<const action_function> actions, Context& context,
                    const Event& event) {
        for (const action_function function : actions) {
            function(context, event);
        }
    }

    std::vector<bound_state> states_;
    chart_position initial_{};
};

} // namespace citronford
