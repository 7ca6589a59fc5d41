#include "io/state_report.h"

#include "citronford/invariant.h"
#include "io/buffer_report.h"
#include "io/node_metrics.h"
#include "node/node.h"

#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace citronford {
namespace {

using nlohmann::json;

/// Sources that are read every second or more often are stale after this time.
constexpr duration stale_after = seconds(5);

json teams_of(const node& target, const fleet_configuration& fleet) {
    json teams = json::array();
    for (const team_definition& team : fleet.defaults.teams) {
        const team_activity activity = target.tasks().activity(team.name);
        teams.push_back({{"name", team.name.str()},
                         {"share", team.share},
                         {"entitlement", entitlement_of(team, fleet)},
                         {"used", activity.used},
                         {"queued_jobs", activity.queued},
                         {"limit", limit_of(fleet, team)},
                         {"units", target.limits().units(team.name)},
                         {"running", target.limits().running(team.name)}});
    }
    return teams;
}

json zones_of(const node& target, const fleet_configuration& fleet, instant now) {
    const vm_table& vms = target.pools().controller().vms();
    std::map<zone_id, std::int64_t> unavailable;
    for (const auto& [place, count] : unavailable_by_zone(vms, fleet)) {
        unavailable[place.second] += count;
    }
    std::map<zone_id, std::int64_t> members;
    for (const auto& [id, vm] : vms.entries()) {
        ++members[vm.row.zone];
    }
    std::map<zone_id, std::int64_t> entry_vms;
    for (const node_registration& item : target.configuration().members().live(now)) {
        ++entry_vms[item.zone];
    }
    std::set<zone_id> names = {target.node_settings().zone};
    for (const auto* counts : {&members, &entry_vms}) {
        for (const auto& [zone, count] : *counts) {
            names.insert(zone);
        }
    }
    for (const zone_removal& removal : fleet.removals) {
        names.insert(removal.zone);
    }
    json zones = json::array();
    for (const zone_id& zone : names) {
        zones.push_back({{"zone", zone.str()},
                         {"removed", zone_removed(fleet, zone)},
                         {"entry_vms", entry_vms[zone]},
                         {"vms", members[zone]},
                         {"unavailable", unavailable[zone]}});
    }
    return zones;
}

json pools_of(const node& target, const fleet_configuration& fleet) {
    const pool_controller& controller = target.pools().controller();
    json pools = json::array();
    for (const pool_id& pool : controller.pools()) {
        const pool_availability count = controller.availability(pool);
        const pool_definition* definition = find_pool(fleet, pool.view());
        pools.push_back({{"name", pool.str()},
                         {"wanted", definition == nullptr ? 0 : definition->wanted},
                         {"vms", count.members},
                         {"available", count.available},
                         {"arriving", count.arriving},
                         {"budget", count.budget},
                         {"budget_left", count.remaining_budget()},
                         {"unavailable", count.unavailable()},
                         {"declared", count.declared},
                         {"failed", count.failed},
                         {"draining", count.draining},
                         {"moving_out", count.moving_out},
                         {"removed_zone", count.removed_zone}});
    }
    return pools;
}

/// The roll-outs in progress.
json waves_of(const node& target) {
    const pool_controller& controller = target.pools().controller();
    json waves = json::array();
    for (const pool_id& pool : controller.pools()) {
        const roll_out_view roll_out = controller.roll_out(pool);
        if (roll_out.number != 0 && roll_out.remaining > 0) {
            waves.push_back({{"pool", pool.str()},
                             {"number", roll_out.number},
                             {"remaining", roll_out.remaining},
                             {"reason", roll_out.reason}});
        }
    }
    return waves;
}

json exceptions_of(const fleet_configuration& fleet) {
    json exceptions = json::array();
    for (const exception_rule& rule : fleet.exceptions) {
        exceptions.push_back({{"id", rule.id.str()},
                              {"scope", rule.scope},
                              {"setting", rule.setting},
                              {"value", rule.value},
                              {"reason", rule.reason}});
    }
    return exceptions;
}

json source_of(std::string_view figures, instant read_at, instant now, duration limit) {
    const bool read = read_at > instant();
    return {{"name", figures},
            {"age_ms", read ? json(to_ms(now - read_at)) : json()},
            {"stale", !read || now - read_at > limit}};
}

/// Where the figures come from and how old they are.
json sources_of(const node& target, instant now) {
    const control_driver& control = target.configuration();
    const pool_controller& controller = target.pools().controller();
    return {source_of("configuration", control.view().confirmed_at, now,
                      confirmation_limit(control.view())),
            source_of("members", control.members().read_at(), now, stale_after),
            source_of("pools", controller.rows_read_at(), now, stale_after),
            source_of("vm_list", controller.vms().listed_at(), now, stale_after)};
}

json members_of(const node& target) {
    json members = json::array();
    for (const auto& [id, item] : target.configuration().members().members()) {
        members.push_back({{"node", id.str()},
                           {"zone", item.registration.zone.str()},
                           {"state", target.configuration().members().state_of(item)},
                           {"configuration_version", item.last.version}});
    }
    return members;
}

} // namespace

std::string state_json(const node& target, instant now, std::uint64_t sequence) {
    const fleet_configuration& fleet = target.configuration().fleet();
    json removals = json::array();
    for (const zone_removal& removal : fleet.removals) {
        removals.push_back({{"zone", removal.zone.str()}, {"reason", removal.reason}});
    }
    json quarantined = json::array();
    for (const worker_id& worker : target.tasks().quarantined_workers()) {
        quarantined.push_back(worker.str());
    }
    json buffers = json::array();
    for (const auto& [pool, buffer] : target.buffers()) {
        json item = buffer_json(buffer);
        item["name"] = pool.str();
        item["vms"] = target.pools().controller().vms().members(pool).size();
        buffers.push_back(std::move(item));
    }
    json document = {{"node", target.node_settings().node.str()},
                     {"zone", target.node_settings().zone.str()},
                     {"ready", target.ready()},
                     {"drain", target.drain_state()},
                     {"registration", target.configuration().members().lease_state()},
                     {"members", members_of(target)},
                     {"configuration_version", fleet.version},
                     {"open_requests", target.open_requests()},
                     {"zones", zones_of(target, fleet, now)},
                     {"pools", pools_of(target, fleet)},
                     {"waves", waves_of(target)},
                     {"teams", teams_of(target, fleet)},
                     {"exceptions", exceptions_of(fleet)},
                     {"buffers", buffers},
                     {"removed_zones", removals},
                     {"quarantined_workers", quarantined},
                     {"sources", sources_of(target, now)},
                     {"invariant_violations", invariant_monitor::violations()}};
    if (sequence > 0) {
        document["sequence"] = sequence;
    }
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace citronford
