#pragma once

#include "citronford/caller_link.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>

namespace citronford {

/// Requests of one service that wait for an executor. Each team has its own FIFO queue and the
/// teams are served round-robin, so that neither a team at its limit nor a team with many requests
/// delays other teams.
class request_queue {
  public:
    /// Position in the queue of a team.
    using ticket = std::uint64_t;

    ticket push(const team_id& team, caller_id caller, instant now);
    void erase(const team_id& team, ticket position);

    /// Advances the rotation and returns the first request of the team whose turn it was; empty if
    /// every waiting team is blocked. The request stays queued.
    std::optional<caller_id> next();

    /// Skips `team` in the rotation until it is unblocked.
    void block(const team_id& team);
    void unblock(const team_id& team);
    void unblock_all();
    [[nodiscard]] bool blocked(const team_id& team) const;

    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] std::size_t size(const team_id& team) const;

    /// Records that an attempt was answered after `run_time`.
    void record_run_time(duration run_time);
    /// Records that a slot of an executor became free.
    void record_free_slot(instant now);

    /// Moving average of the run time of answered attempts; zero before the first one.
    [[nodiscard]] duration mean_run_time() const { return to_duration(mean_us_); }
    /// Estimated 95th percentile of the run time; zero before the first answered attempt.
    [[nodiscard]] duration p95_run_time() const { return to_duration(p95_us_); }

    /// Estimated wait of a new request of `team` if `capacity` requests run concurrently.
    [[nodiscard]] duration estimated_wait(const team_id& team, int capacity, instant now) const;

  private:
    struct team_queue {
        std::map<ticket, caller_id> waiting;
        bool blocked = false;
    };

    static duration to_duration(double us) { return duration(static_cast<std::int64_t>(us)); }
    void remove_from_rotation(const team_id& team);

    std::map<team_id, team_queue> team_queues_;
    std::list<team_id> rotation_; ///< Unblocked teams with waiting requests.
    std::size_t size_ = 0;
    ticket next_ticket_ = 1;
    double mean_us_ = 0;
    double p95_us_ = 0;
    double slot_interval_us_ = 0; ///< Mean time between two freed slots while requests waited.
    instant window_start_{};
    std::size_t window_slots_ = 0;
};

} // namespace citronford
