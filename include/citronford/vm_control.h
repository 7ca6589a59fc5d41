#pragma once

#include "citronford/identifier.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>

namespace citronford {

/// Sequence number of an order to a VM; increases with every order, across pools and controllers.
using vm_order_number = std::uint64_t;

/// Status of one VM as reported by the platform.
struct vm_status {
    enum class condition { serving, draining, drained, rebooting, gone };

    condition state = condition::gone;
    vm_order_number order = 0; ///< Highest order number carried out for the VM.
};

/// Sends orders for single VMs to the platform. The platform carries out an order at most once and
/// rejects an order whose number is below the highest one received for the VM, so that a delayed
/// order of an earlier controller has no effect. An order fails with `table_unavailable` if it was
/// not carried out and with `commit_in_doubt` if that is not known; in both cases it may be
/// repeated with the same number.
class vm_control {
  public:
    using order_callback = std::function<void(absl::Status)>;
    using status_callback = std::function<void(absl::StatusOr<vm_status>)>;

    vm_control() = default;
    vm_control(const vm_control&) = delete;
    vm_control& operator=(const vm_control&) = delete;
    vm_control(vm_control&&) = delete;
    vm_control& operator=(vm_control&&) = delete;
    virtual ~vm_control() = default;

    /// Starts the drain of a VM: it finishes its current work and accepts no new work.
    virtual void drain(const vm_id& vm, vm_order_number order, order_callback done) = 0;

    /// Reboots a drained VM, which then returns to service.
    virtual void reboot(const vm_id& vm, vm_order_number order, order_callback done) = 0;

    /// Fails with `table_unavailable`. A VM unknown to the platform has the condition `gone`.
    virtual void query_status(const vm_id& vm, status_callback done) = 0;
};

} // namespace citronford
