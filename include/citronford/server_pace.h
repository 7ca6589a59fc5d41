#pragma once

#include "citronford/backend.h"
#include "citronford/chart_machine.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace citronford {

/// Progress of one run as its reports show it. Servers report when a task ends or after the wait
/// of a poll, so reports come irregularly.
struct run_progress {
    instant since{};         ///< The rate of progress is measured from here.
    bool start_known = true; ///< `since` is the start; false for a run of an earlier owner.
    /// Percent of the work that was done at `since`; nothing before the first report of a run that
    /// may have begun with a part of its work done.
    std::optional<int> first_percent;
    int percent = 0; ///< Of the work, as last reported.
    int reports = 0;
    int reports_since_rise = 0;
    instant reported_at{};
    instant rose_at{};
    bool judged = false; ///< It counts for the pace of its server once.

    /// A run that starts now; `resumed` when it continues from a checkpoint.
    static run_progress started(instant now, bool resumed);
    /// A run of an earlier owner that was found now.
    static run_progress adopted(instant now);

    /// Takes in a report; returns whether the run has progressed. A first report of 100 is taken
    /// as one of a server that does not measure progress.
    bool report(int reported_percent, instant now);

    /// Least time that the whole work takes at the rate seen so far, if that is known. Rates
    /// measured over less than `least_span` are not used.
    [[nodiscard]] std::optional<duration> projected_time(instant now, duration least_span) const;
};

/// One run and what it is compared with.
struct paced_run {
    const pool_id& pool;
    const backend_id& server;
    std::size_t workflow = 0; ///< Hash of the workflow, to tell workflows from each other.
    duration expected{};      ///< Run time of its kind, from `run_time_estimates`.
    run_progress& progress;
};

/// Why a run takes too long.
enum class delay_cause { none, slow_progress, no_progress };

/// Limits for `server_pace`.
struct pace_limits {
    /// A run is slow when it takes more than this multiple of the expected time. Three: the third
    /// of the expected progress in docs/load_control.md.
    double slow_factor = 3;
    /// Added to the limit, for the time between the end of a task and the owner's view of it.
    duration tolerance = milliseconds(500);
    /// Slow runs, less the normal ones, that make a server slow. With three, heavy-tailed work
    /// makes sound servers count as slow.
    int slow_runs = 4;
    /// Highest count of evidence, so that a server that recovers is sound after as many runs.
    int max_evidence = 5;
    /// A run stands still when no report within this time shows progress.
    duration standstill = seconds(2);
    duration first_pause = seconds(4); ///< Until a slow server is tried again.
    duration longest_pause = seconds(16);
};

/// Result of a change, for the log.
struct pace_change {
    backend_id server;
    pool_id pool;
    bool slow = false;
    int evidence = 0;     ///< Slow runs, less the normal ones.
    duration expected{};  ///< Of the run that decided.
    duration projected{}; ///< Run time of that run, measured or at its rate of progress.
};

/// Decides which backend servers are slow. It compares each run with the expected time of its kind
/// and with the progress of other servers of its pool. A task that is longer than others of its
/// kind looks like one on a slow server, so several runs, of at least two workflows, decide.
class server_pace {
  public:
    /// Fails with `chart_invalid` when the chart does not fit.
    static absl::StatusOr<server_pace> create(const chart& life_cycle, pace_limits limits = {});

    /// A task was started on the server.
    void note_start(const backend_id& server, instant now);
    /// A server reported the progress of a run that goes on.
    void note_report(const paced_run& run, int percent, instant now);
    /// A run ended as done.
    void note_done(const paced_run& run, instant now);
    /// Judges a run that goes on. To be called regularly, since a run that hangs does not report.
    void review(const paced_run& run, instant now);
    /// Lets slow servers whose pause is over be tried. To be called regularly.
    void update(instant now);
    /// The server is gone.
    void forget(const backend_id& server, instant now);

    /// Whether the server is slow and not to be tried now.
    [[nodiscard]] bool is_slow(const backend_id& server) const;
    /// Whether the server is not known to be sound.
    [[nodiscard]] bool is_doubtful(const backend_id& server) const;

    [[nodiscard]] delay_cause delay_of(const paced_run& run, instant now) const;
    /// Time until the end of the run at its rate. For a run without measured progress, as long as
    /// it has lasted.
    [[nodiscard]] duration remaining_time(const paced_run& run, instant now) const;

    /// Changes between sound and slow since the last call.
    std::vector<pace_change> take_changes() { return std::exchange(changes_, {}); }

  private:
    struct run_slow {
        static constexpr std::string_view event_name = "run_slow";
        instant started_at{};
        std::size_t workflow = 0;
    };
    struct run_normal {
        static constexpr std::string_view event_name = "run_normal";
        instant started_at{};
    };
    struct retry_due {
        static constexpr std::string_view event_name = "retry_due";
    };
    struct server_removed {
        static constexpr std::string_view event_name = "server_removed";
    };
    using pace_event = std::variant<run_slow, run_normal, retry_due, server_removed>;

    struct server_state {
        chart_position position{};
        int evidence = 0;
        std::optional<std::size_t> first_workflow; ///< Of the evidence.
        bool several_workflows = false;
        duration pause{};
        instant retry_at{};
        instant trial_began_at{};
        bool trial_started = false; ///< The task of the trial has been started.
    };
    struct step_context {
        const pace_limits& limits;
        server_state& server;
        instant now{};
    };
    using machine = chart_machine<step_context, pace_event>;

    /// The latest progress in a pool, on two different servers.
    struct pool_progress {
        backend_id latest_server;
        instant latest_at = instant::min();
        instant earlier_at = instant::min(); ///< Latest on any other server.
    };

    server_pace(machine life_cycle, pace_limits limits)
        : machine_(std::move(life_cycle)), limits_(limits) {}

    void judge(const paced_run& run, bool slow, duration projected, instant now);
    void note_progress(const paced_run& run, instant now);
    [[nodiscard]] bool progressed_elsewhere(const paced_run& run, instant since) const;
    [[nodiscard]] bool stands_still(const paced_run& run, instant now) const;
    [[nodiscard]] duration slow_limit(duration expected) const;
    [[nodiscard]] static std::optional<duration> projected_time(const paced_run& run, instant now) {
        // Before half of the expected time, the first report decides too much.
        return run.progress.projected_time(now, run.expected / 2);
    }
    [[nodiscard]] bool in_state(const server_state& server, std::string_view state) const {
        return machine_.name_of(server.position) == state;
    }

    machine machine_;
    pace_limits limits_;
    std::unordered_map<backend_id, server_state> servers_; ///< Those that are not sound.
    std::unordered_map<pool_id, pool_progress> pools_;
    std::vector<pace_change> changes_;
};

} // namespace citronford
