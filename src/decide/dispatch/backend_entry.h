#pragma once

#include "decide/dispatch/unsaved_completions.h"

#include "citronford/chart_machine.h"
#include "citronford/dispatcher.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace citronford::dispatch {

struct pool_state;
struct task_run;

/// The clock of a server at the time of its last reply.
struct clock_reading {
    backend_clock_ms clock = 0;
    instant read_at{}; ///< When the reply arrived.
};

/// State of one backend server as far as the dispatcher knows it.
struct backend_entry {
    backend_registration registration;
    pool_state* pool = nullptr;   ///< Of the registration.
    bool registered = false;      ///< Its registration is in the store.
    int consecutive_absences = 0; ///< VM lists in a row without this server.
    bool drain_requested = false; ///< Its VM is about to be maintained or moved.
    bool drain_planned = false;   ///< Its VM will be maintained or moved later.
    chart_position contact{};
    resources used; ///< Reserved by all runs that may exist on the server.
    std::vector<task_run*> runs;
    // Numbers of runs by the kind of their steps.
    int long_running_runs = 0;
    int serving_runs = 0; ///< With a response target.
    int best_effort_runs = 0;
    std::int64_t long_running_millicores = 0; ///< Reserved by the long-running runs.

    std::optional<clock_reading> clock;
    instant leases_expire_by = instant::min(); ///< Bound for all leases given by this owner.
    std::int64_t process_start_unix_ms = 0;
    instant process_known_since = instant::max(); ///< First answered poll of the present process.

    bool poll_pending = false;
    bool poll_renews_lease = false; ///< Whether the last poll renewed the lease.
    instant poll_sent_at{};
    instant next_poll_at{};
    instant last_reply_at = instant::min();
    /// The last poll succeeded, so `clock` and the completion numbers are those of the
    /// incarnation that answers at present.
    bool incarnation_confirmed = false;
    bool has_strays = false; ///< The last reply contained runs that are not tracked.
    unsaved_completions completions;
    /// Latest reply before the pool is recovered, kept until then.
    std::optional<poll_reply> initial_reply;
    /// The last reply did not hold all completions: the server lists the others once those of the
    /// reply are acknowledged.
    bool has_unlisted_completions = false;

    bool poll_wanted = false; ///< Tasks wait and the last contact is not recent.

    /// Whether the server seems to be in contact: a poll is pending or was answered within the last
    /// 250 ms. A poll that is pending at a process that has ended does not show the restart.
    [[nodiscard]] bool has_recent_contact(instant now) const {
        constexpr duration longest_gap = milliseconds(250);
        return incarnation_confirmed && (poll_pending || now - longest_gap <= last_reply_at);
    }

    instant start_backoff_until{}; ///< After a refusal for lack of capacity or health.
    double failure_ratio = 0;      ///< Exponential moving average of failed runs.
    instant quarantined_until{};
    bool slow = false; ///< Gets tasks only where no other server has room.

    void update_clock(backend_clock_ms read, instant now);

    /// Whether a reply with this time comes from another process than the one whose clock is known.
    /// The clock of a new process may show an earlier or a later time.
    [[nodiscard]] bool shows_restart(backend_clock_ms read, instant now) const;

    /// Capacity beside the reservations of all runs that may exist. Steps with `best_effort_cpu`
    /// reserve no CPU.
    [[nodiscard]] resources free_capacity() const { return registration.capacity - used; }
};

// Events of the contact with a server.

struct poll_succeeded {
    static constexpr std::string_view event_name = "poll_succeeded";
};
struct call_failed {
    static constexpr std::string_view event_name = "call_failed";
};
/// All leases given by an earlier owner have expired.
struct previous_leases_expired {
    static constexpr std::string_view event_name = "previous_leases_expired";
};
/// All leases given by this owner have expired.
struct own_leases_expired {
    static constexpr std::string_view event_name = "own_leases_expired";
};
/// Another incarnation of the VM answered.
struct replaced {
    static constexpr std::string_view event_name = "replaced";
};

using contact_event = std::variant<poll_succeeded, call_failed, previous_leases_expired,
                                   own_leases_expired, replaced>;

} // namespace citronford::dispatch
