#include "stop_series/server_faults.h"

#include "io/log.h"

#include <algorithm>
#include <csignal>

namespace citronford {
namespace {

/// Time for which servers are cut off: about as long as the longest leases last.
constexpr duration least_cut = seconds(9);
constexpr duration longest_cut = seconds(11);

/// Servers that no round touches.
constexpr std::size_t steady_servers = 2;

} // namespace

server_faults::server_faults(timer_service& timers, const entry_vms& fleet,
                             std::span<const std::unique_ptr<backend_vm>> backends,
                             std::uint64_t seed, blocked_traffic held)
    : timers_(timers), fleet_(fleet), backends_(backends), random_(seed), held_(held) {}

duration server_faults::between(duration least, duration most) {
    return duration(
        std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random_));
}

bool server_faults::one_in(int cases) {
    return std::uniform_int_distribution<int>(1, cases)(random_) == 1;
}

duration server_faults::pause() {
    // Another takeover begins the waiting for leases anew, so most rounds leave time for it to end.
    return one_in(3) ? between(seconds(3), seconds(7)) : between(seconds(10), seconds(11));
}

duration server_faults::relaunch_delay() {
    return one_in(3) ? seconds(12) : milliseconds(700);
}

std::vector<backend_vm*> server_faults::draw_group() {
    std::vector<backend_vm*> candidates;
    for (const auto& backend : backends_) {
        if (backend->reachable()) {
            candidates.push_back(backend.get());
        }
    }
    std::ranges::shuffle(candidates, random_);
    const std::size_t most = candidates.size() - std::min(candidates.size(), steady_servers);
    const std::size_t least = std::min<std::size_t>(most, 2);
    candidates.resize(std::uniform_int_distribution<std::size_t>(least, most)(random_));
    return candidates;
}

void server_faults::begin_round(std::size_t owner) {
    const duration silence = between(milliseconds(200), milliseconds(1000));
    const duration kill_at = silence + between(milliseconds(100), milliseconds(800));
    for (backend_vm* backend : draw_group()) {
        ++restarts_;
        backend->restart_server(silence, one_in(3) ? blocked_traffic::dropped : held_);
        const duration cut_at = kill_at + between(milliseconds(-50), milliseconds(500));
        timers_.once(cut_at, [backend, length = between(least_cut, longest_cut)](instant) {
            backend->cut_off(length);
        });
    }
    if (one_in(4)) {
        return;
    }
    timers_.once(kill_at, [this, owner](instant) {
        kills_ += fleet_.running(owner) ? 1 : 0;
        log_event(log_level::info, "owner_killed", {{"vm", static_cast<std::int64_t>(owner)}});
        fleet_.send(owner, SIGKILL);
    });
}

} // namespace citronford
