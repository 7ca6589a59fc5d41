#pragma once

#include "citronford/chart_machine.h"
#include "citronford/vm_record.h"

#include <absl/status/statusor.h>

#include <string_view>
#include <variant>

namespace citronford {

// Events of the chart `vm`.

struct step_planned {
    static constexpr std::string_view event_name = "step_planned";
    vm_step step = vm_step::none;
    pool_id target; ///< Empty to keep the target of the row.
};
struct vm_drained {
    static constexpr std::string_view event_name = "drained";
};
/// A drained VM begins its reboot, or its move if the row has a target pool.
struct vm_proceeds {
    static constexpr std::string_view event_name = "proceed";
};
/// The platform reports that a rebooted or failed VM serves again.
struct vm_returned_to_service {
    static constexpr std::string_view event_name = "returned_to_service";
};
/// The platform reports that the VM does not run.
struct vm_lost {
    static constexpr std::string_view event_name = "lost";
};
/// A failed VM has been missing in the VM list for `pool_controller_options::missing_vm_timeout`.
struct vm_gone {
    static constexpr std::string_view event_name = "gone";
};
struct vm_reboot_timed_out {
    static constexpr std::string_view event_name = "reboot_timed_out";
};

using vm_event = std::variant<step_planned, vm_drained, vm_proceeds, vm_returned_to_service,
                              vm_lost, vm_gone, vm_reboot_timed_out>;

/// Applies the chart `vm` to VM rows.
class vm_life_cycle {
  public:
    /// Fails with `chart_invalid`.
    static absl::StatusOr<vm_life_cycle> create(const chart& source);

    /// Applies one event to `row`. Returns false if the state of the row ignores the event.
    /// `known_version` is the highest table version known to the caller: a VM that is rebooted now
    /// counts as maintained for all roll-outs up to that version.
    bool apply_event(vm_record& row, const vm_event& event, table_version known_version) const;

  private:
    struct step_context {
        vm_record& row;
        table_version known_version;
    };
    using machine = chart_machine<step_context, vm_event>;

    explicit vm_life_cycle(machine bound) : machine_(std::move(bound)) {}

    machine machine_;
};

} // namespace citronford
