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

/// Requests of one service that wait for an executor: one line per team, served in turn, so that
/// neither a team at its limit nor a team with many requests holds up another.
class request_queue {
  public:
    /// Place in the line of a team.
    using ticket = std::uint64_t;

    ticket push(const team_id& team, caller_id caller, instant now);
    void erase(const team_id& team, ticket place);

    /// The first request of the team whose turn it is; the turn passes on. Empty when every
    /// waiting team is blocked. The request stays in its line.
    std::optional<caller_id> next();

    /// Passes over `team` until it is unblocked.
    void block(const team_id& team);
    void unblock(const team_id& team);
    void unblock_all();
    [[nodiscard]] bool blocked(const team_id& team) const;

    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] std::size_t size(const team_id& team) const;

    /// An attempt was answered after `run_time`.
    void note_answer(duration run_time);
    /// A slot became free.
    void note_free_slot(instant now);

    /// Mean run time of the answered attempts; zero while there is none.
    [[nodiscard]] duration mean_run_time() const { return to_duration(mean_us_); }
    /// 95th percentile of the run time; zero while there is none.
    [[nodiscard]] duration high_run_time() const { return to_duration(high_us_); }

    /// How long a new request of `team` would wait while `capacity` requests run at once.
    [[nodiscard]] duration estimated_wait(const team_id& team, int capacity, instant now) const;

  private:
    struct line {
        std::map<ticket, caller_id> waiting;
        bool blocked = false;
    };

    static duration to_duration(double us) { return duration(static_cast<std::int64_t>(us)); }
    void leave_turn(const team_id& team);

    std::map<team_id, line> lines_;
    std::list<team_id> turn_; ///< Teams with waiting requests that are not blocked.
    std::size_t size_ = 0;
    ticket next_ticket_ = 1;
    double mean_us_ = 0;
    double high_us_ = 0;
    double slot_gap_us_ = 0; ///< Time between two free slots while requests waited.
    instant window_start_{};
    std::size_t window_slots_ = 0;
};

} // namespace citronford
