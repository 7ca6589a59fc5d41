#pragma once

#include "citronford/endpoint.h"
#include "citronford/identifier.h"

#include <absl/status/statusor.h>

#include <functional>
#include <span>
#include <vector>

namespace citronford {

/// One VM in the list of the platform. The list is out of date: it may lack running VMs and contain
/// VMs that no longer run.
struct vm_listing {
    vm_id id;
    zone_id zone;
    rack_id rack;
    pool_id pool; ///< Pool in which the platform started the VM.
    endpoint address;
    bool leaving = false;

    friend bool operator==(const vm_listing&, const vm_listing&) = default;
};

/// Source of the platform's list of live and leaving VMs.
class vm_list {
  public:
    using list_callback = std::function<void(absl::StatusOr<std::vector<vm_listing>>)>;

    vm_list() = default;
    vm_list(const vm_list&) = delete;
    vm_list& operator=(const vm_list&) = delete;
    vm_list(vm_list&&) = delete;
    vm_list& operator=(vm_list&&) = delete;
    virtual ~vm_list() = default;

    virtual void list(list_callback done) = 0;
};

} // namespace citronford
