#pragma once

#include "citronford/chart_machine.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/vm_fleet.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string_view>
#include <variant>

namespace citronford {

/// The order to maintain or move one VM.
struct vm_order_entry {
    vm_id vm;
    chart_position position{};
    instant recorded_at{}; ///< When the chart last noted the time; a postponement does not.
};

// Events.

/// The VM is to be maintained or moved next.
struct vm_chosen {
    static constexpr std::string_view event_name = "vm_chosen";
};
/// The order is to be sent: nothing runs on the VM that it must wait for.
struct vm_order_due {
    static constexpr std::string_view event_name = "order_due";
};
/// The order is no longer wanted.
struct vm_order_cancelled {
    static constexpr std::string_view event_name = "order_cancelled";
};
/// The VM is no longer listed, or did not come back in time.
struct vm_absent {
    static constexpr std::string_view event_name = "vm_absent";
};
/// The platform carries out the order.
struct vm_order_done {
    static constexpr std::string_view event_name = "order_done";
};
/// The order was not carried out and can be sent again.
struct vm_order_postponed {
    static constexpr std::string_view event_name = "order_postponed";
};
/// The order may have been carried out.
struct vm_order_in_doubt {
    static constexpr std::string_view event_name = "order_in_doubt";
};
struct vm_order_rejected {
    static constexpr std::string_view event_name = "order_rejected";
};
struct vm_order_retry_due {
    static constexpr std::string_view event_name = "retry_due";
};
/// The VM is up after the order.
struct vm_returned {
    static constexpr std::string_view event_name = "vm_returned";
};

using vm_order_event = std::variant<vm_chosen, vm_order_due, vm_order_cancelled, vm_absent,
                                    vm_order_done, vm_order_postponed, vm_order_in_doubt,
                                    vm_order_rejected, vm_order_retry_due, vm_returned>;

/// The event for the result of an order.
vm_order_event event_of(vm_order_result result);

/// Steps orders to VMs through the chart `vm_order`.
class vm_order_cycle {
  public:
    static absl::StatusOr<vm_order_cycle> create(const chart& life_cycle);

    [[nodiscard]] vm_order_entry begin(const vm_id& vm, instant now) const {
        return {vm, machine_.initial(), now};
    }

    /// Applies an event; returns whether the order is to be sent now.
    bool step(vm_order_entry& entry, const vm_order_event& event, instant now) const;

    [[nodiscard]] bool in_state(const vm_order_entry& entry, std::string_view state) const {
        return machine_.name_of(entry.position) == state;
    }
    [[nodiscard]] bool has_ended(const vm_order_entry& entry) const {
        return machine_.is_final(entry.position);
    }
    /// Whether the platform may have carried out the order while the VM is not yet back.
    [[nodiscard]] bool may_be_unavailable(const vm_order_entry& entry) const;

    /// Marks an order that an earlier owner completed.
    void mark_finished(vm_order_entry& entry) const {
        entry.position = machine_.position_of("finished");
    }

  private:
    struct step_context {
        vm_order_entry& entry;
        instant now{};
        bool order_due = false;
    };
    using machine = chart_machine<step_context, vm_order_event>;

    explicit vm_order_cycle(machine life_cycle) : machine_(std::move(life_cycle)) {}

    machine machine_;
};

} // namespace citronford
