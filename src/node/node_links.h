#pragma once

#include "citronford/caller_link.h"
#include "citronford/executor_link.h"
#include "citronford/object_store.h"
#include "citronford/peer_link.h"
#include "citronford/table_service.h"
#include "citronford/timer_service.h"
#include "citronford/vm_control.h"
#include "citronford/vm_list.h"
#include "citronford/worker_link.h"

namespace citronford {

/// The interfaces through which a node reaches everything outside; all outlive the node.
struct node_links {
    timer_service& timers;
    table_service& table;
    object_store& objects;
    vm_list& vms;
    executor_link& executors;
    caller_link& callers;
    worker_link& workers;
    vm_control& vm_controls;
    peer_link& peers;
};

} // namespace citronford
