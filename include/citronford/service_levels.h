#pragma once

#include "citronford/fleet_configuration.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/result_code.h"

#include <cstdint>
#include <map>
#include <span>
#include <utility>
#include <variant>
#include <vector>

namespace citronford {

// Inputs of the service levels.

/// One answer to a caller.
struct answer_given {
    service_id service;
    team_id team; ///< Empty on an open queue.
    result_code code = result_code::ok;
    int http_status = 200; ///< Status sent to the caller.
    duration latency{};
};
/// A job was served well or badly (`job_sli_event` of the task scheduler).
struct job_served {
    team_id team; ///< Empty on an open queue.
    bool bad = false;
};
/// Time passed; alerts are checked.
struct service_level_tick {};

using service_level_input = std::variant<answer_given, job_served, service_level_tick>;

// Effects of the service levels.

/// How soon an operator has to act.
enum class alert_urgency { page, ticket };

/// The error budget burns above the rate of a rule, over its long and its short window.
struct alert_raised {
    service_id service; ///< Empty for the jobs of the team.
    team_id team;
    alert_urgency urgency = alert_urgency::page;
    duration window{}; ///< The long window of the rule.
    double burn_rate = 0;
};
/// The rule of an alert raised before no longer holds.
struct alert_cleared {
    service_id service;
    team_id team;
    alert_urgency urgency = alert_urgency::page;
    duration window{};
};

using service_level_effect = std::variant<alert_raised, alert_cleared>;

/// Raises an alert while the burn rate reaches `burn_rate` over both windows. The long window
/// shows that the loss matters, the short one that it goes on.
struct alert_rule {
    alert_urgency urgency = alert_urgency::page;
    duration long_window{};
    duration short_window{};
    double burn_rate = 1; ///< 1 spends exactly the whole budget in `budget_period`.
};

/// Period of the error budget.
inline constexpr duration budget_period = std::chrono::hours(24 * 30);

/// The rules in force. They spend 2% of the budget in one hour, 5% in six hours or 10% in three
/// days, as recommended in "The Site Reliability Workbook", chapter 5.
std::span<const alert_rule> alert_rules();

/// Good and counted answers of a window.
struct answer_counts {
    std::uint64_t total = 0;
    std::uint64_t bad = 0;
};

struct window_burn {
    duration window{};
    answer_counts answers;
    double burn_rate = 0;
};

/// State of the error budget of one service and team, or of the jobs of one team, since the start
/// of the process but at most over `budget_period`.
struct burn_report {
    service_id service; ///< Empty for the jobs of the team.
    team_id team;
    double objective = 0;
    milliseconds latency{}; ///< Of an answer, or the wait of a job that is not urgent.
    answer_counts answers;
    double budget = 0;      ///< Bad answers that the objective allows.
    double spent_share = 0; ///< Bad answers over `budget`; above 1 the objective is missed.
    std::vector<window_burn> windows;
    std::vector<alert_raised> alerts; ///< Raised at present.
};

/// Whether an answer counts for the service level: a caller's own errors do not.
bool counts_for_service(result_code code);

/// Keeps the error budget of every service and team, and of the jobs of every team. An answer is
/// good when the request was executed without a server error within the latency objective.
class service_levels {
  public:
    /// Objectives are those of the service, unless an exception for the team, then one for the
    /// service, overrides `objective` or `latency_ms`; those of jobs are in the defaults. Series of
    /// services and teams that are no longer configured are dropped.
    void configure(const fleet_configuration& fleet);

    std::vector<service_level_effect> handle(const service_level_input& input, instant now);

    /// One report per service and team that had an answer, in order of service, then team; those of
    /// jobs first.
    [[nodiscard]] std::vector<burn_report> reports(instant now) const;

  private:
    /// Counts of equal consecutive spans, the newest last.
    class count_ring {
      public:
        count_ring(duration span, std::size_t size) : span_(span), buckets_(size) {}
        void add(instant now, bool bad);
        /// Counts of the newest buckets that together cover `window`.
        [[nodiscard]] answer_counts sum(instant now, duration window) const;

      private:
        struct bucket {
            std::int64_t number = -1; ///< Count of spans since the epoch of the clock.
            std::uint32_t total = 0;
            std::uint32_t bad = 0;
        };
        duration span_;
        std::vector<bucket> buckets_;
    };
    struct series {
        series();
        count_ring minutes;       ///< For windows up to six hours.
        count_ring hours;         ///< For longer windows and the budget.
        std::vector<bool> raised; ///< By rule: whether its alert is raised.
    };
    /// The service is empty for the jobs of a team.
    using series_key = std::pair<service_id, team_id>;

    void take(const answer_given& answer, instant now, std::vector<service_level_effect>& effects);
    void take(const job_served& job, instant now, std::vector<service_level_effect>& effects);
    void take(const service_level_tick& tick, instant now,
              std::vector<service_level_effect>& effects);
    [[nodiscard]] double objective_of(const series_key& key) const;
    [[nodiscard]] milliseconds latency_of(const series_key& key) const;
    [[nodiscard]] window_burn burn_of(const series_key& key, const series& counts, instant now,
                                      duration window) const;
    [[nodiscard]] burn_report report_of(const series_key& key, const series& counts,
                                        instant now) const;

    fleet_configuration fleet_;
    std::map<series_key, series> series_;
};

} // namespace citronford
