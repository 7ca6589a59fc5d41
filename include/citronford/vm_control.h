#pragma once

#include "citronford/identifier.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>

namespace citronford {

/// Number of one order to a VM; rises with every order, across pools and controllers.
using vm_order_number = std::uint64_t;

/// What the platform says of one VM.
struct vm_status {
    enum class condition { serving, draining, drained, rebooting, gone };

    condition state = condition::gone;
    vm_order_number order = 0; ///< Highest order that the platform has carried out for the VM.
};

/// Orders to single VMs. The platform carries out an order at most once and rejects one whose
/// number is below the highest that it has seen for the VM, so that a delayed order of an earlier
/// controller has no effect. Errors are `table_unavailable` (not carried out) and
/// `commit_in_doubt`; both may be followed by the same order again.
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

    /// Begins to drain a VM; it finishes its work and accepts no more.
    virtual void drain(const vm_id& vm, vm_order_number order, order_callback done) = 0;

    /// Reboots a drained VM; it serves afterwards.
    virtual void reboot(const vm_id& vm, vm_order_number order, order_callback done) = 0;

    virtual void query_status(const vm_id& vm, status_callback done) = 0;
};

} // namespace citronford
