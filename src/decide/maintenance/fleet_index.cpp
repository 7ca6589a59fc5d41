#include "citronford/fleet_index.h"

namespace citronford {
namespace {

template <class Value>
const Value* find(const std::unordered_map<std::string_view, const Value*>& values,
                  std::string_view id) {
    const auto found = values.find(id);
    return found == values.end() ? nullptr : found->second;
}

} // namespace

fleet_index::fleet_index(std::span<const fleet_vm> vms, std::span<const backend_load> loads)
    : vms_(vms), loads_(loads) {
    vms_by_id_.reserve(vms.size());
    for (const fleet_vm& item : vms) {
        vms_by_id_.emplace(item.id.view(), &item);
    }
    loads_by_id_.reserve(loads.size());
    for (const backend_load& item : loads) {
        loads_by_id_.emplace(item.backend.view(), &item);
    }
}

const fleet_vm* fleet_index::vm(const vm_id& id) const {
    return find(vms_by_id_, id.view());
}

const backend_load* fleet_index::load(const backend_id& id) const {
    return find(loads_by_id_, id.view());
}

} // namespace citronford
