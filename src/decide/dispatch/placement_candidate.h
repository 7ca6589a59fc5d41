#pragma once

#include "decide/dispatch/dispatcher_state.h"

#include "citronford/overload_order.h"

#include <cstdint>
#include <tuple>

namespace citronford {

namespace dispatch {

/// Waiting work is placed in the order of these classes.
enum class urgency {
    long_running, ///< Serves users and must be restarted soon after a loss.
    on_time,      ///< Can still meet its objective. With `overload_order`, all other work.
    over_quota,   ///< On time, but beyond the submission rate or the share of its team.
    late,         ///< Will miss its objective, but is still useful.
    expired,
};

} // namespace dispatch

/// A step with waiting tasks.
struct dispatcher::implementation::candidate {
    workflow_entry* workflow = nullptr;
    occurrence_state* occurrence = nullptr;
    std::uint32_t step = 0;
    dispatch::urgency rank = dispatch::urgency::on_time;
    int priority = 0;
    duration slack{};                ///< Time left to the latest start that meets the objective.
    duration critical_path{};        ///< Of the incomplete steps of the occurrence.
    std::uint32_t active_before = 0; ///< Tasks of the step that had a run before the pass.
    ordered_work order{};            ///< Of the occurrence; all equal without `overload_order`.

    [[nodiscard]] const workflow_step& definition() const { return workflow->step(step); }
    [[nodiscard]] const dispatch::step_state& state() const { return occurrence->steps[step]; }
    /// What each task takes from the free capacity of its server.
    [[nodiscard]] resources reserved() const {
        resources size = definition().size;
        if (definition().best_effort_cpu) {
            size.millicores = 0;
        }
        return size;
    }
    [[nodiscard]] auto key() const { return std::tuple(rank, order.place, priority, slack); }
};

} // namespace citronford
