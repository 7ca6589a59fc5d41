#include "citronford/service_levels.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>

namespace citronford {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr alert_rule rules[] = {
    {alert_urgency::page, hours(1), minutes(5), 14.4},
    {alert_urgency::page, hours(6), minutes(30), 6},
    {alert_urgency::ticket, hours(72), hours(6), 1},
};
constexpr std::size_t rule_count = std::size(rules);

/// Windows that reports show; they are those of the rules.
constexpr duration report_windows[] = {minutes(5), minutes(30), hours(1), hours(6), hours(72)};

constexpr duration longest_minute_window = hours(6);

/// With fewer answers in the long window one bad answer would raise an alert by itself.
constexpr std::uint64_t least_answers = 20;

/// The number in an exception; empty when there is none or when it is outside of the range.
std::optional<double> overridden(const fleet_configuration& fleet, const std::string& scope,
                                 std::string_view setting, double least, double most) {
    const auto text = exception_value(fleet, scope, setting);
    if (!text) {
        return std::nullopt;
    }
    double number = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), number);
    if (error != std::errc() || end != text->data() + text->size() || !(number > least) ||
        !(number < most)) {
        return std::nullopt;
    }
    return number;
}

std::optional<double> overridden(const fleet_configuration& fleet, const service_id& service,
                                 const team_id& team, std::string_view setting, double least,
                                 double most) {
    auto number = overridden(fleet, "team/" + team.str(), setting, least, most);
    return number ? number : overridden(fleet, "service/" + service.str(), setting, least, most);
}

double burn_rate_of(const answer_counts& answers, double objective) {
    if (answers.total == 0) {
        return 0;
    }
    return static_cast<double>(answers.bad) / static_cast<double>(answers.total) / (1 - objective);
}

} // namespace

std::span<const alert_rule> alert_rules() {
    return rules;
}

bool counts_for_service(result_code code) {
    constexpr int first_caller_error = 400;
    constexpr int first_server_error = 500;
    const int status = entry_of(code).http_status;
    return status < first_caller_error || status >= first_server_error;
}

void service_levels::count_ring::add(instant now, bool bad) {
    const std::int64_t number = now.time_since_epoch() / span_;
    bucket& place = buckets_[static_cast<std::size_t>(number) % buckets_.size()];
    if (place.number != number) {
        place = {number};
    }
    ++place.total;
    place.bad += bad ? 1 : 0;
}

answer_counts service_levels::count_ring::sum(instant now, duration window) const {
    const std::int64_t newest = now.time_since_epoch() / span_;
    const std::int64_t oldest = newest - window / span_;
    answer_counts counts;
    for (const bucket& item : buckets_) {
        if (item.number > oldest && item.number <= newest) {
            counts.total += item.total;
            counts.bad += item.bad;
        }
    }
    return counts;
}

service_levels::series::series()
    : minutes(std::chrono::minutes(1),
              static_cast<std::size_t>(longest_minute_window / std::chrono::minutes(1))),
      hours(std::chrono::hours(1), static_cast<std::size_t>(budget_period / std::chrono::hours(1))),
      raised(rule_count) {}

void service_levels::configure(const fleet_configuration& fleet) {
    fleet_ = fleet;
    std::erase_if(series_, [this](const auto& item) {
        const auto& [service, team] = item.first;
        return (!service.empty() && find_service(fleet_, service.view()) == nullptr) ||
               (!team.empty() && find_team(fleet_, team.view()) == nullptr);
    });
}

std::vector<service_level_effect> service_levels::handle(const service_level_input& input,
                                                         instant now) {
    std::vector<service_level_effect> effects;
    std::visit([&](const auto& item) { take(item, now, effects); }, input);
    return effects;
}

void service_levels::take(const answer_given& answer, instant now,
                          std::vector<service_level_effect>& /*effects*/) {
    // Only configured names get a series, which bounds their number.
    if (!counts_for_service(answer.code) ||
        find_service(fleet_, answer.service.view()) == nullptr ||
        (!answer.team.empty() && find_team(fleet_, answer.team.view()) == nullptr)) {
        return;
    }
    constexpr int first_server_error = 500;
    const series_key key{answer.service, answer.team};
    const bool bad = answer.code != result_code::ok || answer.http_status >= first_server_error ||
                     answer.latency > latency_of(key);
    series& counts = series_[key];
    counts.minutes.add(now, bad);
    counts.hours.add(now, bad);
}

void service_levels::take(const job_served& job, instant now,
                          std::vector<service_level_effect>& /*effects*/) {
    if (!job.team.empty() && find_team(fleet_, job.team.view()) == nullptr) {
        return;
    }
    series& counts = series_[{service_id(), job.team}];
    counts.minutes.add(now, job.bad);
    counts.hours.add(now, job.bad);
}

void service_levels::take(const service_level_tick& /*tick*/, instant now,
                          std::vector<service_level_effect>& effects) {
    for (auto& [key, counts] : series_) {
        for (std::size_t index = 0; index < rule_count; ++index) {
            const alert_rule& rule = rules[index];
            const window_burn across = burn_of(key, counts, now, rule.long_window);
            const window_burn lately = burn_of(key, counts, now, rule.short_window);
            const bool holds = across.answers.total >= least_answers &&
                               across.burn_rate >= rule.burn_rate &&
                               lately.burn_rate >= rule.burn_rate;
            if (holds == counts.raised[index]) {
                continue;
            }
            counts.raised[index] = holds;
            if (holds) {
                effects.emplace_back(alert_raised{key.first, key.second, rule.urgency,
                                                  rule.long_window, across.burn_rate});
            } else {
                effects.emplace_back(
                    alert_cleared{key.first, key.second, rule.urgency, rule.long_window});
            }
        }
    }
}

double service_levels::objective_of(const series_key& key) const {
    const auto& [service, team] = key;
    if (service.empty()) {
        return fleet_.defaults.job_objective;
    }
    const service_definition* definition = find_service(fleet_, service.view());
    return overridden(fleet_, service, team, "objective", 0, 1)
        .value_or(definition == nullptr ? service_definition().objective : definition->objective);
}

milliseconds service_levels::latency_of(const series_key& key) const {
    const auto& [service, team] = key;
    if (service.empty()) {
        return fleet_.defaults.job_wait;
    }
    constexpr double longest_ms = 600000;
    const auto number = overridden(fleet_, service, team, "latency_ms", 0, longest_ms);
    if (number) {
        return milliseconds(static_cast<std::int64_t>(*number));
    }
    const service_definition* definition = find_service(fleet_, service.view());
    return definition == nullptr ? service_definition().latency : definition->latency;
}

window_burn service_levels::burn_of(const series_key& key, const series& counts, instant now,
                                    duration window) const {
    const count_ring& ring = window <= longest_minute_window ? counts.minutes : counts.hours;
    const answer_counts answers = ring.sum(now, window);
    return {window, answers, burn_rate_of(answers, objective_of(key))};
}

burn_report service_levels::report_of(const series_key& key, const series& counts,
                                      instant now) const {
    burn_report report;
    report.service = key.first;
    report.team = key.second;
    report.objective = objective_of(key);
    report.latency = latency_of(key);
    report.answers = counts.hours.sum(now, budget_period);
    report.budget = (1 - report.objective) * static_cast<double>(report.answers.total);
    report.spent_share = burn_rate_of(report.answers, report.objective);
    for (const duration window : report_windows) {
        report.windows.push_back(burn_of(key, counts, now, window));
    }
    for (std::size_t index = 0; index < rule_count; ++index) {
        if (counts.raised[index]) {
            const alert_rule& rule = rules[index];
            report.alerts.push_back({key.first, key.second, rule.urgency, rule.long_window,
                                     burn_of(key, counts, now, rule.long_window).burn_rate});
        }
    }
    return report;
}

std::vector<burn_report> service_levels::reports(instant now) const {
    std::vector<burn_report> all;
    for (const auto& [key, counts] : series_) {
        all.push_back(report_of(key, counts, now));
    }
    return all;
}

} // namespace citronford
