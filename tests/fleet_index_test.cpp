#include "test_support.h"

#include "citronford/fleet_index.h"

using namespace citronford;

// Guards against VMs or loads that are not found because their list is in another order.
Test(fleet_index, finds_entries_of_lists_in_any_order) {
    constexpr std::size_t servers = 50;
    std::vector<fleet_vm> vms(servers);
    std::vector<backend_load> loads(servers);
    for (std::size_t number = 0; number < servers; ++number) {
        // The identifiers "9", "10" and so on are not in the order of the texts.
        vms[number].id = vm_id(std::to_string(number));
        loads[number].backend = backend_id("i-" + std::to_string(servers - number));
        loads[number].runs = number;
    }
    const fleet_index fleet(vms, loads);
    for (std::size_t number = 0; number < servers; ++number) {
        cr_assert(fleet.vm(vms[number].id) == &vms[number]);
        cr_assert(fleet.load(loads[number].backend) == &loads[number]);
    }
    cr_assert(fleet.vm(vm_id("50")) == nullptr && fleet.vm(vm_id()) == nullptr);
    cr_assert(fleet.load(backend_id("i-0")) == nullptr);
    cr_assert(fleet.vms().data() == vms.data(), "the lists keep their order");
    cr_assert(fleet_index({}, {}).vm(vm_id("1")) == nullptr);
}
