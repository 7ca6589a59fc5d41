#pragma once

#include "citronford/instant.h"
#include "citronford/pool_workload.h"
#include "citronford/vm_division.h"

#include <array>
#include <cstdint>
#include <deque>
#include <span>

namespace citronford {

/// Expects the arrivals of one class of work in one pool, and remembers the rate of its bursts.
class arrival_forecast {
  public:
    /// Cores that the arrivals will need while a VM moves, at most `room_cores`. `index` is the
    /// class in `accepted_work::classes`. A rate in core-seconds per second is a number of cores.
    double update(std::span<const accepted_work> accepted, std::size_t index, double room_cores,
                  instant now);

    /// Whether a burst is under way.
    [[nodiscard]] bool in_burst() const { return in_burst_; }

    /// Rate of the last bursts, in cores, as far as it still counts.
    [[nodiscard]] double remembered(instant now) const;

  private:
    void begin_or_end_burst(std::span<const accepted_work> accepted, std::size_t index,
                            instant now);

    bool in_burst_ = false;
    instant burst_since_{};
    double burst_rate_ = 0; ///< Highest rate of the burst that is under way.
    double memory_ = 0;     ///< Cores, at `memory_at_`.
    instant memory_at_{};
};

/// Servers of one pool, for `pool_demand_tracker`.
struct pool_servers {
    double server_cores = 0; ///< Mean; one core when it is not a positive finite number.
    std::int64_t long_running_hosts = 0; ///< Servers that run long-running tasks.
    double long_running_cores = 0;       ///< Used by long-running tasks.
    std::int64_t fleet_vms = 0;          ///< A need is never larger than the fleet.
};

/// How many VMs one pool needs in each tier. State of one ownership: a new owner has no memory of
/// earlier bursts.
class pool_demand_tracker {
  public:
    /// The needs at `now`, which must not go backwards.
    const vm_needs& update(const pool_workload& work, const pool_servers& servers, instant now);

    [[nodiscard]] const vm_needs& needs() const { return needs_; }

    /// Whether no burst is under way and the waiting work of the first three ranks is less than one
    /// server, so that VMs beyond the need can be released early.
    [[nodiscard]] bool is_calm() const { return calm_; }

  private:
    struct sample {
        instant at{};
        vm_needs needs{};
    };

    [[nodiscard]] std::array<double, work_tier_count> cores_by_tier(const pool_workload& work,
                                                                    double room_cores, instant now);
    /// Keeps the needs of work on time for a while after they have fallen.
    void apply_hold(const vm_needs& present, instant now);

    std::array<arrival_forecast, arrival_class_count> forecasts_;
    std::deque<sample> recent_;
    vm_needs needs_{};
    bool calm_ = true;
};

} // namespace citronford
