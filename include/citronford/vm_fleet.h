#pragma once

#include "citronford/backend.h"
#include "citronford/backend_link.h"
#include "citronford/fleet_rows.h"
#include "citronford/identifier.h"
#include "citronford/resources.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string_view>
#include <vector>

namespace citronford {

/// One VM as the platform lists it.
struct fleet_vm {
    enum class condition { up, moving, in_maintenance, down };

    vm_id id;
    pool_id pool;
    condition state = condition::down;
    zone_id zone;
    resources capacity;
    backend_id backend; ///< The backend server that runs on it; empty while there is none.

    friend bool operator==(const fleet_vm&, const fleet_vm&) = default;
};

/// The owner that sends an order. The platform can reject a token lower than one that it has seen.
struct vm_order_origin {
    node_id holder;
    fencing_token token = 0;
};

enum class vm_order_result {
    carried_out, ///< Also when an earlier sending was carried out.
    busy,        ///< The VM is not up, or is leaving.
    rejected,    ///< The VM is not part of the wave, or there is no such VM or pool.
    fenced,      ///< The platform has seen a higher token for the VM.
    not_sent,    ///< Not carried out: over the rate limit, or the platform is unreachable.
    in_doubt,    ///< May have been carried out.
};

std::string_view name_of(vm_order_result result);

/// The platform's VM service. An order ends all tasks on its VM at once, and the VM comes back as
/// another backend server. Callbacks are called exactly once and never from inside the call.
class vm_fleet {
  public:
    using list_callback = std::function<void(absl::StatusOr<std::vector<fleet_vm>>)>;
    using order_callback = std::function<void(vm_order_result)>;

    vm_fleet() = default;
    vm_fleet(const vm_fleet&) = delete;
    vm_fleet& operator=(const vm_fleet&) = delete;
    vm_fleet(vm_fleet&&) = delete;
    vm_fleet& operator=(vm_fleet&&) = delete;
    virtual ~vm_fleet() = default;

    virtual void list(list_callback done) = 0;
    virtual void move(const vm_id& vm, const pool_id& target, const vm_order_origin& origin,
                      order_callback done) = 0;
    virtual void maintain(const vm_id& vm, wave_number wave, const vm_order_origin& origin,
                          order_callback done) = 0;
};

} // namespace citronford
