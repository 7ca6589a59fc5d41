#include "io/node_metrics.h"

#include "citronford/invariant.h"
#include "node/node.h"

#include <chrono>
#include <string>

namespace citronford {
namespace {

double seconds_of(duration span) {
    return std::chrono::duration<double>(span).count();
}

void collect_queues(const node& target, const fleet_configuration& fleet, metrics& registry) {
    constexpr std::string_view name = "citronford_queue_length";
    registry.clear(name);
    for (const service_definition& service : fleet.defaults.services) {
        const metric_label labels[] = {{"service", service.name.view()}};
        registry.set(name, labels, static_cast<double>(target.queued(service.name)));
    }
}

void collect_teams(const node& target, const fleet_configuration& fleet, metrics& registry) {
    registry.clear("citronford_team_units");
    registry.clear("citronford_team_running");
    for (const team_definition& team : fleet.defaults.teams) {
        const metric_label labels[] = {{"team", team.name.view()}};
        registry.set("citronford_team_units", labels,
                     static_cast<double>(target.limits().units(team.name)));
        registry.set("citronford_team_running", labels,
                     static_cast<double>(target.limits().running(team.name)));
    }
}

} // namespace

void count_answer(const node& target, const answer_given& answer, metrics& registry) {
    const bool known =
        find_service(target.configuration().fleet(), answer.service.view()) != nullptr;
    const std::string_view service = known ? answer.service.view() : "unknown";
    const std::string code = std::to_string(static_cast<int>(answer.code));
    const metric_label labels[] = {{"service", service}, {"code", code}};
    registry.add("citronford_requests_total", labels);
    registry.observe("citronford_request_seconds", std::span(labels).first(1), answer.latency);
}

void collect_gauges(node& target, std::size_t open_connections, instant now, metrics& registry) {
    const configuration_view view = target.configuration().view();
    const fleet_configuration& fleet = target.configuration().fleet();
    collect_queues(target, fleet, registry);
    collect_teams(target, fleet, registry);
    registry.set("citronford_open_requests", {}, static_cast<double>(target.open_requests()));
    registry.set("citronford_open_connections", {}, static_cast<double>(open_connections));
    registry.set("citronford_configuration_version", {}, static_cast<double>(fleet.version));
    registry.set("citronford_configuration_confirmation_age_seconds", {},
                 seconds_of(now - view.confirmed_at));
    registry.set("citronford_ready", {}, target.ready() ? 1 : 0);
    registry.set("citronford_invariant_violations", {},
                 static_cast<double>(invariant_monitor::violations()));
}

} // namespace citronford
