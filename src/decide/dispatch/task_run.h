#pragma once

#include "citronford/chart_machine.h"
#include "citronford/dispatcher.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace citronford::dispatch {

struct backend_entry;
struct workflow_entry;

/// The run took place and its end was listed.
struct run_ended {
    run_end how = run_end::done;
    std::string checkpoint;
};
/// The server did not begin the run.
struct run_not_begun {};
/// The run is over and no end of it is known.
struct run_lost {};

using run_outcome = std::variant<run_lost, run_not_begun, run_ended>;

/// A run that may exist on a server.
struct task_run {
    run_id id{};
    workflow_entry* workflow = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t number = 0;
    backend_entry* server = nullptr;
    resources reserved; ///< Room that it holds on the server.
    resources charged;  ///< What its team has running by it.
    chart_position position{};
    instant ordered_at{};
    instant doubtful_at{};
    std::optional<instant> present_at;    ///< Last time that it was known to exist.
    instant known_since = instant::max(); ///< When it was first known to exist.
    std::optional<instant> stopped_at;    ///< When the server had confirmed the stop.
    std::optional<instant> stop_again_at; ///< When an unanswered stop is sent again.
    int percent = 0;                      ///< Share at which it works; zero until it was seen.
    std::int64_t load = 0;
    bool listed = false; ///< By the view that is being taken in.
    run_outcome outcome; ///< Set when its life cycle ends.

    [[nodiscard]] task_key key() const;
};

// Events of a run.

struct start_accepted {
    static constexpr std::string_view event_name = "start_accepted";
};
struct start_refused {
    static constexpr std::string_view event_name = "start_refused";
};
struct start_unanswered {
    static constexpr std::string_view event_name = "start_unanswered";
};
struct seen_running {
    static constexpr std::string_view event_name = "seen_running";
    const running_task* shown = nullptr;
};
/// A look sent at `asked_at` listed neither the run nor its end.
struct not_listed {
    static constexpr std::string_view event_name = "not_listed";
    instant asked_at{};
};
struct stop_wanted {
    static constexpr std::string_view event_name = "stop_wanted";
};
struct stop_accepted {
    static constexpr std::string_view event_name = "stop_accepted";
};
struct stop_unanswered {
    static constexpr std::string_view event_name = "stop_unanswered";
};
/// A stop that was not answered is to be sent again.
struct stop_due {
    static constexpr std::string_view event_name = "stop_due";
};
struct end_listed {
    static constexpr std::string_view event_name = "end_listed";
    const ended_task* end = nullptr;
};
struct lease_over {
    static constexpr std::string_view event_name = "lease_over";
};

using run_event =
    std::variant<start_accepted, start_refused, start_unanswered, seen_running, not_listed,
                 stop_wanted, stop_accepted, stop_unanswered, stop_due, end_listed, lease_over>;

} // namespace citronford::dispatch
