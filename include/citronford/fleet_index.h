#pragma once

#include "citronford/dispatcher.h"
#include "citronford/vm_fleet.h"

#include <span>
#include <string_view>
#include <unordered_map>

namespace citronford {

/// The VMs of the fleet and the loads of their backend servers, each found by its identifier in
/// constant time. Refers to the lists from which it was created; these must outlive it.
class fleet_index {
  public:
    fleet_index(std::span<const fleet_vm> vms, std::span<const backend_load> loads);

    [[nodiscard]] std::span<const fleet_vm> vms() const { return vms_; }
    [[nodiscard]] std::span<const backend_load> loads() const { return loads_; }

    /// The VM `id`; null when it is not in the list.
    [[nodiscard]] const fleet_vm* vm(const vm_id& id) const;

    /// The load of the backend server `id`; null when it is not known.
    [[nodiscard]] const backend_load* load(const backend_id& id) const;

  private:
    std::span<const fleet_vm> vms_;
    std::span<const backend_load> loads_;
    std::unordered_map<std::string_view, const fleet_vm*> vms_by_id_;
    std::unordered_map<std::string_view, const backend_load*> loads_by_id_;
};

} // namespace citronford
