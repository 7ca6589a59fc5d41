#pragma once

#include "citronford/chart_machine.h"
#include "citronford/instant.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <variant>
#include <vector>

namespace citronford {

// Inputs of the health of one worker.

/// A task succeeded on the worker.
struct attempt_succeeded {
    static constexpr std::string_view event_name = "attempt_succeeded";
};
/// A task failed on the worker.
struct attempt_failed {
    static constexpr std::string_view event_name = "attempt_failed";
};
/// A task was placed on the worker.
struct attempt_started {
    static constexpr std::string_view event_name = "attempt_started";
};
/// The probe task ended without a result that tells whether the worker is healthy.
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
    double min_failures = 3;      ///< Decayed failures required for quarantine.
    double peer_ratio_factor = 4; ///< Tolerated multiple of the failure ratio of the peers.
    double ratio_margin = 0.2;    ///< Added to that multiple.
    duration half_life{60000000}; ///< Of the success and failure counts of a worker.
    duration initial_backoff{10000000};
    duration max_backoff{600000000};
};

/// Quarantines workers whose tasks fail far more often than those of their peers. After a backoff
/// delay, a quarantined worker gets one probe task: if it succeeds, the worker is healthy again; if
/// it fails, the delay doubles, up to `max_backoff`.
class worker_health {
  public:
    /// `life_cycle` is the chart `worker_health`.
    static absl::StatusOr<worker_health> create(const chart& life_cycle, health_options options);

    /// Adds the worker with this index as healthy, without counts.
    void add(std::size_t worker);

    void handle(std::size_t worker, const health_input& input, instant now);

    /// Whether the worker may be given another task.
    [[nodiscard]] bool usable(std::size_t worker, instant now) const;

    [[nodiscard]] bool quarantined(std::size_t worker) const;

    /// Whether more than half of the workers are quarantined. Then the tasks are more likely at
    /// fault than the workers, and all workers may be given tasks.
    [[nodiscard]] bool quarantine_suspended() const { return 2 * quarantined_ > present_; }

  private:
    struct record {
        bool present = false; ///< Added, and not removed.
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

    /// Adds `change` for `entry` to the numbers of workers.
    void count(const record& entry, int change);
    [[nodiscard]] bool is_healthy(const record& entry) const;
    void decay(record& entry, instant now) const;
    [[nodiscard]] bool is_failure_outlier(const record& entry) const;

    machine machine_;
    health_options options_;
    std::vector<record> workers_;
    int present_ = 0;
    int quarantined_ = 0;  ///< Of those present.
    double successes_ = 0; ///< Of all workers, without decay.
    double failures_ = 0;
};

} // namespace citronford
