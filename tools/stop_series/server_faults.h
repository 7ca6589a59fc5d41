#pragma once

#include "stop_series/backend_vm.h"
#include "stop_series/entry_vms.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <span>
#include <vector>

namespace citronford {

/// Rounds of faults of backend servers: a group restarts under its identifiers, the owner of the
/// scheduler is killed soon after or goes on, and the group is cut off while its leases last.
class server_faults {
  public:
    /// `held` is what becomes of traffic that restarting servers do not lose.
    server_faults(timer_service& timers, const entry_vms& fleet,
                  std::span<const std::unique_ptr<backend_vm>> backends, std::uint64_t seed,
                  blocked_traffic held);

    /// Begins a round, which lasts beyond the call; rounds may overlap.
    void begin_round(std::size_t owner);

    /// Time until the next round.
    [[nodiscard]] duration pause();

    /// Time that the platform takes to start a killed daemon again.
    [[nodiscard]] duration relaunch_delay();

    [[nodiscard]] std::uint64_t restarts() const { return restarts_; }
    [[nodiscard]] std::uint64_t kills() const { return kills_; }

  private:
    [[nodiscard]] std::vector<backend_vm*> draw_group();
    [[nodiscard]] duration between(duration least, duration most);
    [[nodiscard]] bool one_in(int cases);

    timer_service& timers_;
    const entry_vms& fleet_;
    std::span<const std::unique_ptr<backend_vm>> backends_;
    std::mt19937_64 random_;
    blocked_traffic held_;
    std::uint64_t restarts_ = 0;
    std::uint64_t kills_ = 0;
};

} // namespace citronford
