#pragma once

#include "citronford/chart_machine.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/vm_fleet.h"

#include <absl/status/statusor.h>

#include <optional>
#include <span>
#include <string_view>
#include <variant>

namespace citronford {

/// One VM that is to be maintained or moved.
struct vm_under_order {
    vm_id vm;
    chart_position position{};
    instant since{}; ///< When the present state was entered.
};

// Events.

struct vm_chosen {
    static constexpr std::string_view event_name = "vm_chosen";
};
/// Nothing that matters runs on it any more.
struct vm_clear {
    static constexpr std::string_view event_name = "vm_clear";
};
/// The order is not wanted any more.
struct vm_released {
    static constexpr std::string_view event_name = "vm_released";
};
struct vm_absent {
    static constexpr std::string_view event_name = "vm_absent";
};
struct vm_order_done {
    static constexpr std::string_view event_name = "order_done";
};
struct vm_order_postponed {
    static constexpr std::string_view event_name = "order_postponed";
};
struct vm_order_doubtful {
    static constexpr std::string_view event_name = "order_in_doubt";
};
struct vm_order_rejected {
    static constexpr std::string_view event_name = "order_rejected";
};
struct vm_repeat_due {
    static constexpr std::string_view event_name = "repeat_due";
};
struct vm_back {
    static constexpr std::string_view event_name = "vm_back";
};

using vm_order_event =
    std::variant<vm_chosen, vm_clear, vm_released, vm_absent, vm_order_done, vm_order_postponed,
                 vm_order_doubtful, vm_order_rejected, vm_repeat_due, vm_back>;

/// The event that the platform's answer to an order is.
vm_order_event event_of(vm_order_result result);

/// Steps VMs through the chart `vm_order`.
class vm_order_cycle {
  public:
    static absl::StatusOr<vm_order_cycle> create(const chart& life_cycle);

    [[nodiscard]] vm_under_order begin(const vm_id& vm, instant now) const {
        return {vm, machine_.initial(), now};
    }

    /// Takes an event; returns whether the order is to be sent now.
    bool step(vm_under_order& item, const vm_order_event& event, instant now) const;

    [[nodiscard]] bool is(const vm_under_order& item, std::string_view state) const {
        return machine_.name_of(item.position) == state;
    }
    [[nodiscard]] bool closed(const vm_under_order& item) const {
        return machine_.is_final(item.position);
    }
    /// Whether the platform may have carried the order out and the VM is not back.
    [[nodiscard]] bool may_be_away(const vm_under_order& item) const;

    /// Marks a VM whose order was carried out earlier.
    void finish(vm_under_order& item) const { item.position = machine_.position_of("finished"); }

  private:
    struct step_context {
        vm_under_order& item;
        instant now{};
        bool order_due = false;
    };
    using machine = chart_machine<step_context, vm_order_event>;

    explicit vm_order_cycle(machine life_cycle) : machine_(std::move(life_cycle)) {}

    machine machine_;
};

/// The VM `id`; null when it is not listed.
const fleet_vm* find_vm(std::span<const fleet_vm> vms, const vm_id& id);

} // namespace citronford
