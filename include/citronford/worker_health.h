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
struct attempt_succeeded {
    static constexpr std::string_view event_name = "attempt_succeeded";
};
/// A task failed.
struct attempt_failed {
    static constexpr std::string_view event_name = "attempt_failed";
};
/// A task is started on the worker.
struct attempt_started {
    static constexpr std::string_view event_name = "attempt_started";
};
/// The task that was to try the worker ended without saying anything of it.
struct probe_inconclusive {
    static constexpr std::string_view event_name = "probe_inconclusive";
};

/// The worker left the fleet.
struct worker_removed {
    static constexpr std::string_view event_name = "worker_removed";
};

using health_input = std::variant<attempt_succeeded, attempt_failed, attempt_started,
                                  probe_inconclusive, worker_removed>;

struct health_options {
    double min_failures = 3;      ///< Failures before a worker is quarantined.
    double peer_ratio_factor = 4; ///< Failure ratio over the ratio of its peers.
    double ratio_margin = 0.2;    ///< Added to the ratio of the peers.
    duration half_life{60000000}; ///< Of successes and failures.
    duration initial_backoff{10000000};
    duration max_backoff{600000000};
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
        instant decayed_at{};
        instant probe_at{};
        duration backoff{};
    };
    struct step_context {
        worker_health& health;
        record& worker;
        instant now;
    };
    using machine = chart_machine<step_context, health_input>;

    worker_health(machine life_cycle, health_options options);

    void decay(record& entry, instant now) const;
    [[nodiscard]] bool is_failure_outlier(const record& entry) const;

    machine machine_;
    health_options options_;
    std::vector<record> workers_;
    double successes_ = 0; ///< Of all workers, not faded per worker.
    double failures_ = 0;
};

} // namespace citronford
