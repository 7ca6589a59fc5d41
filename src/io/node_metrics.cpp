#include "io/node_metrics.h"

#include "citronford/availability_budget.h"
#include "citronford/invariant.h"
#include "node/node.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace citronford {
namespace {

double seconds_of(duration span) {
    return std::chrono::duration<double>(span).count();
}

/// Gauges whose label values are names of the configuration or of the VM list. All their series are
/// removed before each collection, so that those of removed names disappear.
constexpr std::string_view named_gauges[] = {
    "citronford_queue_length",
    "citronford_retry_budget",
    "citronford_team_queue_length",
    "citronford_team_units",
    "citronford_team_running",
    "citronford_team_limit",
    "citronford_team_entitlement_ratio",
    "citronford_team_use_ratio",
    "citronford_team_queued_jobs",
    "citronford_pool_wanted",
    "citronford_pool_available",
    "citronford_pool_budget",
    "citronford_pool_unavailable",
    "citronford_pool_zone_unavailable",
    "citronford_pool_roll_out_remaining",
    "citronford_zone_removed",
    "citronford_zone_entry_vms",
    "citronford_drain_state",
};

void collect_services(const node& target, const fleet_configuration& fleet, metrics& registry) {
    for (const service_definition& service : fleet.defaults.services) {
        const request_router& router = target.requests().router();
        const service_activity activity = router.activity(service.name);
        const metric_label labels[] = {{"service", service.name.view()}};
        registry.set("citronford_queue_length", labels, static_cast<double>(activity.queued));
        registry.set("citronford_retry_budget", labels, activity.retry_tokens);
        const auto count = [&](std::string_view name, std::uint64_t value) {
            registry.set_total(name, labels, static_cast<double>(value));
        };
        count("citronford_retries_total", activity.counters.retries);
        count("citronford_hedges_total", activity.counters.hedges);
        count("citronford_sheds_total", activity.counters.shed);
        for (const team_definition& team : fleet.defaults.teams) {
            const metric_label both[] = {{"service", service.name.view()},
                                         {"team", team.name.view()}};
            registry.set("citronford_team_queue_length", both,
                         static_cast<double>(router.queued(service.name, team.name)));
        }
    }
}

void collect_teams(const node& target, const fleet_configuration& fleet, metrics& registry) {
    for (const team_definition& team : fleet.defaults.teams) {
        const team_activity activity = target.tasks().activity(team.name);
        const metric_label labels[] = {{"team", team.name.view()}};
        const auto set = [&](std::string_view name, double value) {
            registry.set(name, labels, value);
        };
        set("citronford_team_units", static_cast<double>(target.limits().units(team.name)));
        set("citronford_team_running", static_cast<double>(target.limits().running(team.name)));
        set("citronford_team_limit", static_cast<double>(limit_of(fleet, team)));
        set("citronford_team_entitlement_ratio", entitlement_of(team, fleet));
        set("citronford_team_use_ratio", activity.used);
        set("citronford_team_queued_jobs", static_cast<double>(activity.queued));
    }
}

void collect_pools(const node& target, const fleet_configuration& fleet, metrics& registry) {
    const pool_controller& controller = target.pools().controller();
    for (const pool_id& pool : controller.pools()) {
        const pool_availability count = controller.availability(pool);
        const metric_label label{"pool", pool.view()};
        const auto set = [&](std::string_view name, std::int64_t value) {
            registry.set(name, std::span(&label, 1), static_cast<double>(value));
        };
        const pool_definition* definition = find_pool(fleet, pool.view());
        set("citronford_pool_wanted", definition == nullptr ? 0 : definition->wanted);
        set("citronford_pool_available", count.available);
        set("citronford_pool_budget", count.budget);
        const roll_out_view roll_out = controller.roll_out(pool);
        set("citronford_pool_roll_out_remaining", roll_out.number == 0 ? 0 : roll_out.remaining);
        const std::pair<std::string_view, std::int64_t> causes[] = {
            {"declared", count.declared},
            {"failed", count.failed},
            {"draining", count.draining},
            {"moving_out", count.moving_out},
            {"removed_zone", count.removed_zone}};
        for (const auto& [cause, value] : causes) {
            const metric_label labels[] = {label, {"cause", cause}};
            registry.set("citronford_pool_unavailable", labels, static_cast<double>(value));
        }
    }
    for (const auto& [place, value] : unavailable_by_zone(controller.vms(), fleet)) {
        const metric_label labels[] = {{"pool", place.first.view()}, {"zone", place.second.view()}};
        registry.set("citronford_pool_zone_unavailable", labels, static_cast<double>(value));
    }
}

void collect_zones(const node& target, const fleet_configuration& fleet, instant now,
                   metrics& registry) {
    std::map<zone_id, std::int64_t> entry_vms = {{target.node_settings().zone, 0}};
    for (const node_registration& item : target.configuration().members().live(now)) {
        ++entry_vms[item.zone];
    }
    for (const zone_removal& removal : fleet.removals) {
        entry_vms.try_emplace(removal.zone, 0);
    }
    for (const auto& [zone, count] : entry_vms) {
        const metric_label labels[] = {{"zone", zone.view()}};
        registry.set("citronford_zone_removed", labels, zone_removed(fleet, zone) ? 1 : 0);
        registry.set("citronford_zone_entry_vms", labels, static_cast<double>(count));
    }
}

void collect_tasks(const node& target, metrics& registry) {
    const task_scheduler& tasks = target.tasks();
    const scheduler_counts& counts = tasks.counts();
    registry.set_total("citronford_tasks_started_total", {}, static_cast<double>(counts.started));
    registry.set_total("citronford_tasks_failed_total", {}, static_cast<double>(counts.failed));
    registry.set_total("citronford_tasks_evicted_total", {}, static_cast<double>(counts.evicted));
    registry.set_total("citronford_tasks_lost_total", {}, static_cast<double>(counts.lost));
    registry.set("citronford_open_jobs", {}, static_cast<double>(tasks.open_jobs()));
    registry.set("citronford_quarantined_workers", {},
                 static_cast<double>(tasks.workers().quarantined));
}

void collect_leases(const node& target, metrics& registry) {
    const pool_controller& controller = target.pools().controller();
    const auto pools = std::ranges::count_if(controller.pools(), [&](const pool_id& pool) {
        return controller.lease_owner(pool) == target.node_settings().node;
    });
    const std::pair<std::string_view, double> leases[] = {
        {"registration", target.configuration().members().registered() ? 1 : 0},
        {"worker", static_cast<double>(target.tasks().workers().leases)},
        {"pool", static_cast<double>(pools)}};
    for (const auto& [kind, count] : leases) {
        const metric_label labels[] = {{"kind", kind}};
        registry.set("citronford_leases_held", labels, count);
    }
}

} // namespace

double entitlement_of(const team_definition& team, const fleet_configuration& fleet) {
    double shares = 0;
    for (const team_definition& each : fleet.defaults.teams) {
        shares += each.share;
    }
    return shares > 0 ? team.share / shares : 0;
}

std::map<std::pair<pool_id, zone_id>, std::int64_t>
unavailable_by_zone(const vm_table& vms, const fleet_configuration& fleet) {
    std::map<std::pair<pool_id, zone_id>, std::int64_t> counts;
    for (const auto& [id, vm] : vms.entries()) {
        const vm_availability kind = availability_of(vm, fleet);
        const bool lost = kind != vm_availability::available && kind != vm_availability::arriving;
        counts[{vm.row.pool, vm.row.zone}] += lost ? 1 : 0;
    }
    return counts;
}

void count_answer(const node& target, const answer_given& answer, metrics& registry) {
    const fleet_configuration& fleet = target.configuration().fleet();
    const bool known = find_service(fleet, answer.service.view()) != nullptr;
    const std::string_view service = known ? answer.service.view() : "unknown";
    const std::string code = std::to_string(static_cast<int>(answer.code));
    const metric_label labels[] = {{"service", service}, {"code", code}};
    registry.add("citronford_requests_total", labels);
    registry.observe("citronford_request_seconds", std::span(labels).first(1), answer.latency);
    if (find_team(fleet, answer.team.view()) != nullptr) {
        const metric_label team[] = {{"team", answer.team.view()}, {"code", code}};
        registry.add("citronford_team_requests_total", team);
        registry.observe("citronford_team_request_seconds", std::span(team).first(1),
                         answer.latency);
    }
}

void collect_gauges(const node& target, std::size_t open_connections, instant now,
                    metrics& registry) {
    const configuration_view view = target.configuration().view();
    const fleet_configuration& fleet = target.configuration().fleet();
    for (const std::string_view name : named_gauges) {
        registry.clear(name);
    }
    collect_services(target, fleet, registry);
    collect_teams(target, fleet, registry);
    collect_pools(target, fleet, registry);
    collect_zones(target, fleet, now, registry);
    collect_tasks(target, registry);
    collect_leases(target, registry);
    const metric_label drain_state[] = {{"state", target.drain_state()}};
    registry.set("citronford_drain_state", drain_state, 1);
    registry.set_total("citronford_claims_granted_total", {},
                       static_cast<double>(target.requests().claims_granted()));
    registry.set("citronford_open_requests", {}, static_cast<double>(target.open_requests()));
    registry.set("citronford_open_connections", {}, static_cast<double>(open_connections));
    registry.set("citronford_configuration_version", {}, static_cast<double>(fleet.version));
    registry.set("citronford_configuration_confirmation_age_seconds", {},
                 seconds_of(now - view.confirmed_at));
    const instant listed_at = target.pools().controller().vms().listed_at();
    registry.clear("citronford_vm_list_age_seconds");
    if (listed_at != instant::min()) {
        registry.set("citronford_vm_list_age_seconds", {}, seconds_of(now - listed_at));
    }
    registry.set("citronford_ready", {}, target.ready() ? 1 : 0);
    registry.set("citronford_invariant_violations", {},
                 static_cast<double>(invariant_monitor::violations()));
}

} // namespace citronford
