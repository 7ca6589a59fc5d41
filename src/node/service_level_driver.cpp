#include "node/service_level_driver.h"

#include "citronford/overloaded.h"

#include <string>
#include <utility>

namespace citronford {
namespace {

/// Pause between two checks of the alerts; the shortest window has five minutes.
constexpr duration tick_period = seconds(10);

std::string_view name_of(alert_urgency urgency) {
    return urgency == alert_urgency::page ? "page" : "ticket";
}

} // namespace

service_level_driver::service_level_driver(timer_service& timers, zone_id zone)
    : timers_(timers), zone_(std::move(zone)), started_at_(timers.now()) {}

void service_level_driver::start() {
    tick_timer_ = timers_.every(tick_period, [this](instant) { handle(service_level_tick{}); });
}

void service_level_driver::configure(const fleet_configuration& fleet) {
    version_ = fleet.version;
    levels_.configure(fleet);
}

void service_level_driver::received(caller_id caller, const service_id& service,
                                    const team_id& team) {
    open_[caller] = {service, team, timers_.now()};
}

void service_level_driver::answered(caller_id caller, const request_id& request, result_code code,
                                    int http_status) {
    const auto found = open_.find(caller);
    if (found == open_.end()) {
        return;
    }
    const open_request entry = found->second;
    open_.erase(found);
    observe({entry.service, entry.team, code, http_status, timers_.now() - entry.received_at},
            request);
}

void service_level_driver::refused(const service_id& service, const request_id& request,
                                   result_code code) {
    observe({service, {}, code, entry_of(code).http_status, {}}, request);
}

void service_level_driver::job_refused(const job_id& job, const team_id& team, result_code code) {
    limiter_.log_repeated(log_level::warning, "job_refused", std::to_string(static_cast<int>(code)),
                          timers_.now(),
                          {{"code", static_cast<std::int64_t>(code)},
                           {"job", job.view()},
                           {"team", team.view()},
                           {"zone", zone_.view()},
                           {"version", static_cast<std::int64_t>(version_)}});
}

void service_level_driver::left(caller_id caller) {
    open_.erase(caller);
}

void service_level_driver::observe(const answer_given& answer, const request_id& request) {
    handle(answer);
    for (const listener& function : listeners_) {
        function(answer);
    }
    if (answer.code != result_code::ok) {
        limiter_.log_repeated(log_level::warning, "request_failed",
                              std::to_string(static_cast<int>(answer.code)), timers_.now(),
                              {{"code", static_cast<std::int64_t>(answer.code)},
                               {"request", request.view()},
                               {"service", answer.service.view()},
                               {"team", answer.team.view()},
                               {"zone", zone_.view()},
                               {"version", static_cast<std::int64_t>(version_)}});
    }
}

void service_level_driver::handle(const service_level_input& input) {
    for (const service_level_effect& effect : levels_.handle(input, timers_.now())) {
        std::visit(overloaded{
                       [](const alert_raised& alert) {
                           log_event(log_level::warning, "burn_alert_raised",
                                     {{"service", alert.service.view()},
                                      {"team", alert.team.view()},
                                      {"urgency", name_of(alert.urgency)},
                                      {"window_ms", to_ms(alert.window)},
                                      {"burn_rate", alert.burn_rate}});
                       },
                       [](const alert_cleared& alert) {
                           log_event(log_level::info, "burn_alert_cleared",
                                     {{"service", alert.service.view()},
                                      {"team", alert.team.view()},
                                      {"urgency", name_of(alert.urgency)},
                                      {"window_ms", to_ms(alert.window)}});
                       },
                   },
                   effect);
    }
}

std::vector<burn_report> service_level_driver::reports() const {
    return levels_.reports(timers_.now());
}

duration service_level_driver::covered() const {
    return std::min<duration>(timers_.now() - started_at_, budget_period);
}

} // namespace citronford
