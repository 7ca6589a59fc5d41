#pragma once

#include "citronford/chart_machine.h"
#include "citronford/dispatcher.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace citronford::dispatch {

struct task_run;

/// A reading of the clock of a server.
struct clock_reading {
    backend_clock_ms clock = 0;
    instant read_at{}; ///< When the answer that carried it arrived.
};

/// What the dispatcher knows of one backend server.
struct backend_entry {
    backend_registration registration;
    bool registered = false;      ///< Registered at present.
    int consecutive_absences = 0; ///< Lists of VMs in a row that do not name it.
    bool drain_requested = false; ///< Its VM is about to be maintained or moved.
    bool drain_planned = false;   ///< Its VM will be maintained or moved before long.
    chart_position contact{};
    resources used; ///< By all runs that may exist on it.
    std::vector<task_run*> runs;

    std::optional<clock_reading> clock;
    instant leases_expire_by = instant::min(); ///< By then every lease given by this owner is over.
    std::int64_t process_start_unix_ms = 0;

    bool poll_pending = false;
    bool poll_renews_lease = false; ///< The last look that was sent renews the lease.
    instant poll_sent_at{};
    instant next_poll_at{};
    instant last_reply_at = instant::min();
    bool incarnation_confirmed =
        false;               ///< The last look succeeded, so that `ends_saved` is valid there.
    bool has_strays = false; ///< The last view showed runs that are not followed.
    std::uint64_t last_completion_applied = 0; ///< Highest number of an end that was taken in.
    std::uint64_t last_completion_saving = 0;  ///< `ends_taken` when the save under way began.
    std::uint64_t last_completion_saved = 0;
    /// Lists of the first look, kept until the pool is settled.
    std::optional<poll_reply> initial_reply;

    bool poll_wanted = false; ///< Tasks wait, and it was not looked at for a while.

    /// Whether it cannot have restarted unseen: a look is open, or was answered a moment ago. The
    /// lease of a start is meant for the clock of the life that was looked at.
    [[nodiscard]] bool has_recent_contact(instant now) const {
        constexpr duration longest_gap = milliseconds(250);
        return incarnation_confirmed && (poll_pending || now - longest_gap <= last_reply_at);
    }

    instant start_backoff_until{}; ///< It has refused a start for want of room or health.
    double failure_ratio = 0;      ///< Moving share of failed ends.
    instant quarantined_until{};

    /// Whether `size` fits beside what may be running; `Fills` steps reserve no processors.
    [[nodiscard]] resources free_capacity() const { return registration.capacity - used; }
};

// Events of the contact with a server.

struct poll_succeeded {
    static constexpr std::string_view event_name = "poll_succeeded";
};
struct call_failed {
    static constexpr std::string_view event_name = "call_failed";
};
/// No lease that an earlier owner gave can be left.
struct previous_leases_expired {
    static constexpr std::string_view event_name = "previous_leases_expired";
};
/// No lease that this owner gave can be left.
struct own_leases_expired {
    static constexpr std::string_view event_name = "own_leases_expired";
};
struct replaced {
    static constexpr std::string_view event_name = "replaced";
};

using contact_event = std::variant<poll_succeeded, call_failed, previous_leases_expired,
                                   own_leases_expired, replaced>;

} // namespace citronford::dispatch
