#pragma once

#include <cstdint>
#include <string_view>
#include <variant>

namespace citronford {

// Events of the chart `worker_lease`.

/// This node owns the worker by rendezvous hash.
struct ownership_gained {
    static constexpr std::string_view event_name = "ownership_gained";
};
/// Another node owns the worker by rendezvous hash.
struct ownership_lost {
    static constexpr std::string_view event_name = "ownership_lost";
};
/// The worker is not listed any more.
struct worker_delisted {
    static constexpr std::string_view event_name = "delisted";
};
struct lease_granted {
    static constexpr std::string_view event_name = "lease_granted";
    std::uint64_t epoch = 0;
};
struct lease_refused {
    static constexpr std::string_view event_name = "lease_refused";
};
/// No message of this node can keep the tasks of the worker running any more.
struct lease_expired {
    static constexpr std::string_view event_name = "lease_expired";
};
/// The worker accepted a message of this epoch.
struct worker_synced {
    static constexpr std::string_view event_name = "synced";
};
/// The worker has seen a higher epoch.
struct epoch_rejected {
    static constexpr std::string_view event_name = "rejected";
};

using lease_event = std::variant<ownership_gained, ownership_lost, worker_delisted, lease_granted,
                                 lease_refused, lease_expired, worker_synced, epoch_rejected>;

} // namespace citronford
