#pragma once

#include "citronford/chart_machine.h"
#include "citronford/instant.h"

#include <absl/status/statusor.h>

#include <memory>
#include <string_view>
#include <variant>
#include <vector>

namespace citronford {

// Inputs of a planned stop.

/// A planned stop was asked for; repeated requests change nothing.
struct stop_requested {
    static constexpr std::string_view event_name = "stop_requested";
};
/// Time passed.
struct drain_tick {
    static constexpr std::string_view event_name = "tick";
    std::size_t open_work = 0;      ///< Requests not finished yet.
    std::size_t open_handovers = 0; ///< Jobs and workers that no peer has taken over yet.
    /// Connections of callers, also idle ones: a request may arrive on each of them at any time.
    std::size_t open_connections = 0;
};

using drain_input = std::variant<stop_requested, drain_tick>;

// Effects of a planned stop.

/// Close the listening sockets.
struct stop_listening {};
/// Hand over what the node owns and tell its peers that it leaves.
struct hand_over {};
/// Answer the requests that are open and those that still arrive at once, as far as their result is
/// known.
struct answer_open_work {};
/// Leave the process.
struct leave {};

using drain_effect = std::variant<stop_listening, hand_over, answer_open_work, leave>;

struct drain_options {
    /// From the failed readiness until the load balancer has reacted to it.
    duration delay{};
    /// From the end of the delay to leaving with work open.
    duration timeout{};
    /// From the end of the delay to closing the listening sockets although callers hold
    /// connections.
    duration connection_wait{};
    /// From the end of the delay to answering the requests that are still open; never by default.
    duration answers_due = duration::max();
};

/// Decides the steps of a planned stop: fail readiness, wait for the load balancer, hand over,
/// wait until the callers have left, stop listening, finish the work under way, leave.
class drain {
  public:
    /// `life_cycle` is the chart `drain`.
    static absl::StatusOr<drain> create(const chart& life_cycle, drain_options options);

    /// Whether the node wants new work; false from the moment a stop was asked for.
    [[nodiscard]] bool ready() const;

    /// Name of the state in the chart.
    [[nodiscard]] std::string_view state() const { return machine_.name_of(position_); }

    std::vector<drain_effect> handle(const drain_input& input, instant now);

  private:
    struct step_context {
        drain_options options;
        instant now;
        instant stop_at; ///< When the stop was asked for.
        std::vector<drain_effect> effects;
    };
    using machine = chart_machine<step_context, drain_input>;

    drain(machine life_cycle, drain_options options);

    machine machine_;
    chart_position position_;
    step_context context_;
};

} // namespace citronford
