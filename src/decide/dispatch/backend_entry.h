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
    instant at{}; ///< When the answer that carried it arrived.
};

/// What the dispatcher knows of one backend server.
struct backend_entry {
    backend_registration listing;
    bool listed = false;        ///< Registered at present.
    int missing_lists = 0;      ///< Lists of VMs in a row that do not name it.
    bool closing = false;       ///< Its VM is about to be maintained or moved.
    bool closing_later = false; ///< Its VM will be maintained or moved before long.
    chart_position contact{};
    resources used; ///< By all runs that may exist on it.
    std::vector<task_run*> runs;

    std::optional<clock_reading> clock;
    instant lease_bound = instant::min(); ///< By then every lease given by this owner is over.
    std::int64_t born_unix_ms = 0;

    bool look_open = false;
    bool look_renews = false; ///< The last look that was sent renews the lease.
    instant look_sent_at{};
    instant next_look_at{};
    instant last_view_at = instant::min();
    bool confirmed = false;       ///< The last look succeeded, so that `ends_saved` is valid there.
    bool has_strays = false;      ///< The last view showed runs that are not followed.
    std::uint64_t ends_taken = 0; ///< Highest number of an end that was taken in.
    std::uint64_t ends_saving = 0; ///< `ends_taken` when the save under way began.
    std::uint64_t ends_saved = 0;
    /// Lists of the first look, kept until the pool is settled.
    std::optional<backend_view> first_view;

    bool look_wanted = false; ///< Tasks wait, and it was not looked at for a while.

    /// Whether it cannot have restarted unseen: a look is open, or was answered a moment ago. The
    /// lease of a start is meant for the clock of the life that was looked at.
    [[nodiscard]] bool fresh(instant now) const {
        constexpr duration longest_gap = milliseconds(250);
        return confirmed && (look_open || now - longest_gap <= last_view_at);
    }

    instant refused_until{};  ///< It has refused a start for want of room or health.
    double failure_ratio = 0; ///< Moving share of failed ends.
    instant quarantined_until{};

    /// Whether `size` fits beside what may be running; `Fills` steps reserve no processors.
    [[nodiscard]] resources room() const { return listing.capacity - used; }
};

// Events of the contact with a server.

struct lists_read {
    static constexpr std::string_view event_name = "lists_read";
};
struct call_failed {
    static constexpr std::string_view event_name = "call_failed";
};
/// No lease that an earlier owner gave can be left.
struct earlier_leases_over {
    static constexpr std::string_view event_name = "earlier_leases_over";
};
/// No lease that this owner gave can be left.
struct own_leases_over {
    static constexpr std::string_view event_name = "own_leases_over";
};
struct replaced {
    static constexpr std::string_view event_name = "replaced";
};

using contact_event =
    std::variant<lists_read, call_failed, earlier_leases_over, own_leases_over, replaced>;

} // namespace citronford::dispatch
