#pragma once

#include "citronford/chart_machine.h"
#include "citronford/instant.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <variant>
#include <vector>

namespace citronford {

// Inputs of the health of one worker.

/// A task ended well.
struct task_succeeded {
    static constexpr std::string_view event_name = "task_succeeded";
};
/// A task failed.
struct task_broke {
    static constexpr std::string_view event_name = "task_broke";
};
/// A task is started on the worker.
struct task_sent {
    static constexpr std::string_view event_name = "task_sent";
};
/// The task that was to try the worker ended without saying anything of it.
struct probe_void {
    static constexpr std::string_view event_name = "probe_void";
};

/// The worker left the fleet.
struct worker_gone {
    static constexpr std::string_view event_name = "worker_gone";
};

using health_input = std::variant<task_succeeded, task_broke, task_sent, probe_void, worker_gone>;

struct health_options {
    double min_failures = 3;      ///< Failures before a worker is quarantined.
    double peer_factor = 4;       ///< Failure ratio over the ratio of its peers.
    double ratio_margin = 0.2;    ///< Added to the ratio of the peers.
    duration half_life{60000000}; ///< Of successes and failures.
    duration first_pause{10000000};
    duration longest_pause{600000000};
};

/// Finds workers whose tasks fail far more often than those of their peers. A quarantined worker
/// gets one task after a pause, and all tasks again when that succeeds; the pause doubles each time
/// that it fails.
class worker_health {
  public:
    /// `life_cycle` is the chart `worker_health`.
    static absl::StatusOr<worker_health> create(const chart& life_cycle, health_options options);

    /// Makes room for the worker with this index.
    void add(std::size_t worker);

    void handle(std::size_t worker, const health_input& input, instant now);

    /// Whether the worker may take one more task.
    [[nodiscard]] bool usable(std::size_t worker, instant now) const;

    [[nodiscard]] bool quarantined(std::size_t worker) const;

  private:
    struct record {
        chart_position position{};
        double successes = 0;
        double failures = 0;
        instant faded_at{};
        instant probe_at{};
        duration pause{};
    };
    struct step_context {
        worker_health& health;
        record& worker;
        instant now;
    };
    using machine = chart_machine<step_context, health_input>;

    worker_health(machine life_cycle, health_options options);

    void fade(record& entry, instant now) const;
    [[nodiscard]] bool stands_out(const record& entry) const;

    machine machine_;
    health_options options_;
    std::vector<record> workers_;
    double successes_ = 0; ///< Of all workers, not faded per worker.
    double failures_ = 0;
};

} // namespace citronford
