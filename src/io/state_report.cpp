#include "io/state_report.h"

#include "citronford/invariant.h"
#include "io/buffer_report.h"
#include "node/node.h"

#include <nlohmann/json.hpp>

namespace citronford {

std::string state_json(node& target, std::uint64_t sequence) {
    using nlohmann::json;
    const fleet_configuration& fleet = target.configuration().fleet();
    json teams = json::array();
    for (const team_definition& team : fleet.defaults.teams) {
        teams.push_back({{"name", team.name.str()},
                         {"share", team.share},
                         {"limit", team.limit},
                         {"units", target.limits().units(team.name)},
                         {"running", target.limits().running(team.name)}});
    }
    json removals = json::array();
    for (const zone_removal& removal : fleet.removals) {
        removals.push_back({{"zone", removal.zone.str()}, {"reason", removal.reason}});
    }
    json members = json::array();
    for (const auto& [id, item] : target.configuration().members().members()) {
        members.push_back({{"node", id.str()},
                           {"zone", item.registration.zone.str()},
                           {"state", target.configuration().members().state_of(item)},
                           {"configuration_version", item.last.version}});
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
                     {"registration", target.configuration().members().lease_state()},
                     {"members", members},
                     {"configuration_version", fleet.version},
                     {"open_requests", target.open_requests()},
                     {"teams", teams},
                     {"buffers", buffers},
                     {"removed_zones", removals},
                     {"invariant_violations", invariant_monitor::violations()}};
    if (sequence > 0) {
        document["sequence"] = sequence;
    }
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace citronford
