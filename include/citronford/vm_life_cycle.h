#pragma once

#include "citronford/chart_machine.h"
#include "citronford/vm_record.h"

#include <absl/status/statusor.h>

#include <string_view>
#include <variant>

namespace citronford {

// Events of one VM.

struct step_planned {
    static constexpr std::string_view event_name = "step_planned";
    vm_step step = vm_step::none;
    pool_id target; ///< Empty to keep the target of the row.
};
struct vm_drained {
    static constexpr std::string_view event_name = "drained";
};
/// The next part of the step of a drained VM begins.
struct vm_proceeds {
    static constexpr std::string_view event_name = "proceed";
};
struct vm_came_back {
    static constexpr std::string_view event_name = "came_back";
};
/// The platform does not run the VM.
struct vm_lost {
    static constexpr std::string_view event_name = "lost";
};
/// The platform has dropped the VM for good.
struct vm_gone {
    static constexpr std::string_view event_name = "gone";
};
struct vm_overdue {
    static constexpr std::string_view event_name = "overdue";
};

using vm_event =
    std::variant<step_planned, vm_drained, vm_proceeds, vm_came_back, vm_lost, vm_gone, vm_overdue>;

/// Steps the rows of VMs by the chart `vm`.
class vm_life_cycle {
  public:
    /// Fails with `chart_invalid`.
    static absl::StatusOr<vm_life_cycle> create(const chart& source);

    /// Takes `row` through one event; false when its state ignores the event. `seen` is the version
    /// of the table that the caller knows: a VM rebooted now is up to date for all older roll-outs.
    bool step(vm_record& row, const vm_event& event, table_version seen) const;

  private:
    struct step_context {
        vm_record& row;
        table_version seen;
    };
    using machine = chart_machine<step_context, vm_event>;

    explicit vm_life_cycle(machine bound) : machine_(std::move(bound)) {}

    machine machine_;
};

} // namespace citronford
