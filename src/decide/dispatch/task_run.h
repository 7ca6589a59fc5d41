#pragma once

#include "citronford/chart_machine.h"
#include "citronford/dispatcher.h"
#include "citronford/server_pace.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace citronford::dispatch {

struct backend_entry;
struct workflow_entry;

/// The server reported the completion of the run.
struct run_ended {
    completion_kind kind = completion_kind::done;
    std::string checkpoint;
};
/// The server did not start the run.
struct run_not_started {};
enum class loss_cause { not_reported, lease_expired };
/// The run is over and its completion is not known.
struct run_lost {
    loss_cause cause = loss_cause::not_reported;
};

using run_outcome = std::variant<run_lost, run_not_started, run_ended>;

/// A run that may exist on a server.
struct task_run {
    run_id id{};
    workflow_entry* workflow = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t number = 0;
    backend_entry* server = nullptr;
    resources reserved; ///< On the server.
    resources charged;  ///< Against the limit of its team.
    chart_position position{};
    instant start_sent_at{};
    backend_clock_ms lease_until = 0; ///< In the start command.
    instant in_doubt_since{};
    std::optional<instant> last_seen_at;     ///< Last report that the run exists.
    instant first_seen_at = instant::max();  ///< First report that the run exists.
    std::optional<instant> stop_accepted_at; ///< When the server accepted the stop.
    std::optional<instant> stop_retry_at;    ///< When to send an unconfirmed stop again.
    bool follows_unknown_runs = false;       ///< An earlier owner may have started the task unseen.
    int percent = 0;                         ///< As reported; zero before the first report.
    std::int64_t load = 0;
    bool in_last_reply = false; ///< Of its server; set during reconciliation.
    run_outcome outcome;        ///< Set when its life cycle ends.
    run_progress progress;      ///< Kept with the switch `slow_servers` only.
    duration expected{};        ///< Run time of its kind; zero while it is not known.

    [[nodiscard]] task_key key() const;
};

// Events of a run.

struct start_accepted {
    static constexpr std::string_view event_name = "start_accepted";
};
struct start_refused {
    static constexpr std::string_view event_name = "start_refused";
};
struct start_in_doubt {
    static constexpr std::string_view event_name = "start_in_doubt";
};
struct reported_running {
    static constexpr std::string_view event_name = "reported_running";
    const running_task* reported = nullptr;
};
/// The reply to a poll sent at `polled_at` contains neither the run nor its completion.
struct not_reported {
    static constexpr std::string_view event_name = "not_reported";
    instant polled_at{};
};
struct stop_requested {
    static constexpr std::string_view event_name = "stop_requested";
};
struct stop_accepted {
    static constexpr std::string_view event_name = "stop_accepted";
};
struct stop_unconfirmed {
    static constexpr std::string_view event_name = "stop_unconfirmed";
};
/// The retry delay of an unconfirmed stop is over.
struct stop_retry_due {
    static constexpr std::string_view event_name = "stop_retry_due";
};
struct completion_reported {
    static constexpr std::string_view event_name = "completion_reported";
    const run_completion* completion = nullptr;
};
struct lease_expired {
    static constexpr std::string_view event_name = "lease_expired";
};

using run_event = std::variant<start_accepted, start_refused, start_in_doubt, reported_running,
                               not_reported, stop_requested, stop_accepted, stop_unconfirmed,
                               stop_retry_due, completion_reported, lease_expired>;

} // namespace citronford::dispatch
