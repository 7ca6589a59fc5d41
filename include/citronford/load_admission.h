#pragma once

#include "citronford/chart_machine.h"
#include "citronford/load_report.h"
#include "citronford/ownership.h"
#include "citronford/queue_catalog.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace citronford {

// Inputs.

/// A report of the owner arrived.
struct load_report_received {
    fencing_token token = 0; ///< Of the owner that wrote it.
    load_report report;
    instant stored_after{}; ///< The report was stored after this time; bounds its age.
};
struct load_tick {};

using load_input = std::variant<load_report_received, load_tick>;

/// A workflow that a caller submits.
struct load_submission {
    const accepted_workflow& row;
    const queue_definition* queue = nullptr; ///< Null when the catalogue does not have it any more.
};

// Decisions.

struct submission_admitted {};

enum class load_refusal {
    useless,      ///< Would end after its useful time.
    beyond_share, ///< Its team is beyond its share, and it would end after its objective.
    owner_behind, ///< The owner cannot start the work that is accepted already within its time.
};
std::string_view name_of(load_refusal reason);

/// Nothing of the workflow may be stored.
struct submission_refused_by_load {
    load_refusal reason = load_refusal::useless;
    duration predicted_wait{}; ///< For the work ahead.
    duration report_age{};     ///< Since the report arrived.
    duration retry_after{};    ///< At least 1 s; differs between jobs.
};

using load_decision = std::variant<submission_admitted, submission_refused_by_load>;

struct load_admission_options {
    duration report_lifetime = seconds(3); ///< An older report is not used.
    /// A pool is pressed from this pressure on, until it is below `reported_pressure`.
    duration high_pressure = milliseconds(500);
    /// Longest time that the owner may need for the accepted work. Callers wait a few seconds.
    duration max_owner_backlog = seconds(3);
};

/// Decides on one entry VM whether to admit a submission, from the last report of the owner and the
/// work that this VM admitted since. Without a current report it admits everything.
class load_admission {
  public:
    /// `life_cycle` is the chart `load_admission`.
    static absl::StatusOr<load_admission> create(const chart& life_cycle,
                                                 load_admission_options options);

    /// Returns whether the input changed what is known: a repeated or outdated report does not.
    bool handle(const load_input& input, instant now);

    /// Decides about a submission; counts its work when it is admitted. O(priorities of the pool).
    load_decision decide(const load_submission& submission, instant now);

    /// Number of pools under pressure.
    [[nodiscard]] std::size_t pressed_pools() const;

    /// Time since the last report arrived; nothing when there is none that is current.
    [[nodiscard]] std::optional<duration> report_age(instant now) const;

    // Events of one pool.
    struct load_reported {
        static constexpr std::string_view event_name = "load_reported";
    };
    /// The owner does not report the pool any more.
    struct pressure_ended {
        static constexpr std::string_view event_name = "pressure_ended";
    };
    struct report_outdated {
        static constexpr std::string_view event_name = "report_outdated";
    };
    using event = std::variant<load_reported, pressure_ended, report_outdated>;

  private:
    /// Work of this VM that the report does not contain.
    struct own_work {
        instant admitted_at{};
        int priority = 0;
        bool beyond_share = false;
        double core_s = 0;
    };
    struct pool_entry {
        reported_pool load;
        chart_position position{};
        std::deque<own_work> admitted;
        instant steady_since{}; ///< Since when the cores are about those of `steady_cores`.
        double steady_cores = 0;
    };
    struct step_context {
        const load_admission& admission;
        pool_entry& pool;
        instant now;
    };
    using machine = chart_machine<step_context, event>;

    load_admission(machine life_cycle, load_admission_options options)
        : machine_(std::move(life_cycle)), options_(options) {}

    bool apply(const load_report_received& input, instant now);
    bool apply(const load_tick& input, instant now);
    void step(pool_entry& pool, const event& trigger, instant now);
    void drop_ended_pools();
    [[nodiscard]] bool is_current(instant now) const;
    /// The refusal of a submission that the owner would not get to in time.
    [[nodiscard]] std::optional<submission_refused_by_load>
    judge_owner(const load_submission& submission, instant now) const;
    [[nodiscard]] bool is_pressed(const pool_entry& pool) const;
    [[nodiscard]] load_decision judge(const pool_entry& pool, const load_submission& submission,
                                      duration objective, instant now) const;
    /// Work ahead of a submission, in core-seconds.
    struct work_ahead {
        double in_time = 0; ///< That precedes it while it can meet its objective.
        double all = 0;     ///< That precedes it also when it is late.
    };
    [[nodiscard]] static work_ahead ahead_of(const pool_entry& pool, int priority,
                                             bool beyond_share);
    /// Time from the report until the pool has done `core_s`.
    [[nodiscard]] static duration time_to_do(const pool_entry& pool, double core_s, instant now);

    machine machine_;
    load_admission_options options_;
    std::map<pool_id, pool_entry> pools_;
    std::set<team_id> teams_beyond_share_;
    duration owner_backlog_{};
    fencing_token token_ = 0;
    std::uint64_t sequence_ = 0;
    bool received_ = false; ///< Whether any report was received.
    instant received_at_{};
    instant expires_at_ = instant::min();
};

/// Whether `stretch` is a positive number and `objective_slack` is not negative.
bool has_usable_objective(const queue_definition& queue);

/// The objective of a workflow on `queue`: `stretch` times its critical path, plus
/// `objective_slack`. Nothing for a queue without an objective: its stretch is not a positive
/// number, its slack is negative, or both have the values of a queue that names neither.
std::optional<duration> objective_of(const queue_definition& queue, duration critical_path);

} // namespace citronford
