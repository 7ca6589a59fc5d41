#pragma once

#include <cstdint>
#include <string_view>
#include <variant>

namespace citronford {

// Events of the chart `worker_lease`.

/// Rendezvous hashing names this node as the owner of the worker.
struct ownership_gained {
    static constexpr std::string_view event_name = "ownership_gained";
};
/// Rendezvous hashing names another node as the owner, or this node releases the worker as it
/// stops.
struct ownership_lost {
    static constexpr std::string_view event_name = "ownership_lost";
};
/// The worker is no longer in the list of workers.
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
/// The last lease that this node may have renewed has expired, so no task runs under it.
struct lease_expired {
    static constexpr std::string_view event_name = "lease_expired";
};
/// The worker accepted a message of this epoch.
struct worker_synced {
    static constexpr std::string_view event_name = "synced";
};
/// The worker rejected a message: it has seen a higher epoch or sequence.
struct epoch_rejected {
    static constexpr std::string_view event_name = "rejected";
};

using lease_event = std::variant<ownership_gained, ownership_lost, worker_delisted, lease_granted,
                                 lease_refused, lease_expired, worker_synced, epoch_rejected>;

} // namespace citronford
