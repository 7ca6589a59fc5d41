#pragma once

#include "test_support.h"

#include "citronford/table_service.h"
#include "citronford/vm_control.h"
#include "citronford/vm_list.h"

namespace citronford {

struct mock_table_service : trompeloeil::mock_interface<table_service> {
    IMPLEMENT_MOCK3(commit);
    IMPLEMENT_MOCK3(scan);
};

struct mock_vm_list : trompeloeil::mock_interface<vm_list> {
    IMPLEMENT_MOCK1(list);
};

struct mock_vm_control : trompeloeil::mock_interface<vm_control> {
    IMPLEMENT_MOCK3(drain);
    IMPLEMENT_MOCK3(reboot);
    IMPLEMENT_MOCK2(state);
};

} // namespace citronford
