#include "citronford/fleet_configuration.h"

#include <algorithm>
#include <charconv>

namespace citronford {
namespace {

template <class Definition>
const Definition* find_by_name(const std::vector<Definition>& definitions, std::string_view name) {
    const auto found = std::ranges::find_if(
        definitions, [&](const Definition& definition) { return definition.name.view() == name; });
    return found == definitions.end() ? nullptr : &*found;
}

} // namespace

const service_definition* find_service(const fleet_configuration& fleet, std::string_view name) {
    return find_by_name(fleet.defaults.services, name);
}

const team_definition* find_team(const fleet_configuration& fleet, std::string_view name) {
    return find_by_name(fleet.defaults.teams, name);
}

const pool_definition* find_pool(const fleet_configuration& fleet, std::string_view name) {
    return find_by_name(fleet.defaults.pools, name);
}

bool zone_removed(const fleet_configuration& fleet, const zone_id& zone) {
    return std::ranges::any_of(fleet.removals,
                               [&](const zone_removal& removal) { return removal.zone == zone; });
}

std::optional<std::string_view> exception_value(const fleet_configuration& fleet,
                                                std::string_view scope, std::string_view setting) {
    const auto found = std::ranges::find_if(fleet.exceptions, [&](const exception_rule& rule) {
        return rule.scope == scope && rule.setting == setting;
    });
    if (found == fleet.exceptions.end()) {
        return std::nullopt;
    }
    return found->value;
}

std::int64_t limit_of(const fleet_configuration& fleet, const team_definition& team) {
    std::int64_t limit = team.limit;
    const auto text = exception_value(fleet, "team/" + team.name.str(), "limit");
    if (text) {
        std::from_chars(text->data(), text->data() + text->size(), limit);
    }
    return limit;
}

} // namespace citronford
