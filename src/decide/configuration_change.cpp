#include "citronford/configuration_change.h"

#include "citronford/overloaded.h"
#include "citronford/result_code.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <string>

namespace citronford {
namespace {

absl::Status invalid(std::string_view message) {
    return make_status(result_code::invalid_argument, message);
}

absl::Status missing(std::string_view message) {
    return make_status(result_code::not_found, message);
}

template <class Definition>
absl::Status distinct_names(const std::vector<Definition>& definitions, std::string_view kind) {
    std::set<std::string_view> names;
    for (const Definition& definition : definitions) {
        if (definition.name.empty() || !names.insert(definition.name.view()).second) {
            return invalid(std::string(kind) + ": names must be given and distinct");
        }
    }
    return absl::OkStatus();
}

absl::Status valid_service(const service_definition& service) {
    if (service.objective <= 0 || service.objective >= 1) {
        return invalid("service " + service.name.str() + ": objective must lie between 0 and 1");
    }
    if (service.latency <= milliseconds(0)) {
        return invalid("service " + service.name.str() + ": latency_ms must be above 0");
    }
    return absl::OkStatus();
}

absl::Status valid_team(const team_definition& team) {
    if (team.share <= 0) {
        return invalid("team " + team.name.str() + ": share must be above 0");
    }
    if (team.limit < 0) {
        return invalid("team " + team.name.str() + ": limit must not be negative");
    }
    return absl::OkStatus();
}

absl::Status valid_pool(const pool_definition& pool) {
    if (pool.wanted < 0 || pool.unavailable < 0) {
        return invalid("pool " + pool.name.str() + ": wanted and unavailable must not be negative");
    }
    return absl::OkStatus();
}

template <class Definition, class Check>
absl::Status valid_all(const std::vector<Definition>& definitions, std::string_view kind,
                       Check check) {
    absl::Status status = distinct_names(definitions, kind);
    for (auto item = definitions.begin(); status.ok() && item != definitions.end(); ++item) {
        status = check(*item);
    }
    return status;
}

/// A member whose address refuses connections counts as asked for its last changes only if it was
/// heard within two seconds before (`membership_options::refusal_window`).
constexpr milliseconds least_confirmation_limit{2000};

absl::Status valid_exception(const exception_rule& rule) {
    if (rule.id.empty() || rule.scope.empty() || rule.setting.empty()) {
        return invalid("an exception needs an id, a scope and a setting");
    }
    std::int64_t number = 0;
    const char* const end = rule.value.data() + rule.value.size();
    if (rule.setting == "key_confirmation_limit_ms" &&
        (std::from_chars(rule.value.data(), end, number).ptr != end || rule.value.empty() ||
         number < least_confirmation_limit.count())) {
        return invalid("key_confirmation_limit_ms must be at least 2000");
    }
    return rule.reason.empty() ? invalid("an exception needs a reason") : absl::OkStatus();
}

absl::Status valid_defaults(const fleet_defaults& defaults) {
    absl::Status status = valid_all(defaults.services, "services", valid_service);
    if (status.ok()) {
        status = valid_all(defaults.teams, "teams", valid_team);
    }
    if (status.ok()) {
        status = valid_all(defaults.pools, "pools", valid_pool);
    }
    if (status.ok() && defaults.key_confirmation_limit < least_confirmation_limit) {
        status = invalid("key_confirmation_limit_ms must be at least 2000");
    }
    if (status.ok() && (defaults.retry_ratio < 0 || defaults.retry_ratio > 1)) {
        status = invalid("retry_ratio must lie between 0 and 1");
    }
    if (status.ok() && (defaults.job_objective <= 0 || defaults.job_objective >= 1)) {
        status = invalid("job_objective must lie between 0 and 1");
    }
    if (status.ok() && std::min(defaults.job_wait, defaults.urgent_job_wait) <= milliseconds(0)) {
        status = invalid("job_wait_ms and urgent_job_wait_ms must be above 0");
    }
    return status;
}

template <class Items, class Id, class Member>
bool contains(const Items& items, const Id& id, Member member) {
    return std::ranges::find(items, id, member) != items.end();
}

} // namespace

absl::Status validated(const configuration_change& change, const fleet_configuration& fleet) {
    return std::visit(overloaded{
                          [](const set_defaults& item) { return valid_defaults(item.defaults); },
                          [](const add_exception& item) { return valid_exception(item.rule); },
                          [&](const remove_exception& item) {
                              return contains(fleet.exceptions, item.id, &exception_rule::id)
                                         ? absl::OkStatus()
                                         : missing("there is no such exception");
                          },
                          [](const remove_zone& item) {
                              return item.removal.zone.empty() || item.removal.reason.empty()
                                         ? invalid("a zone removal needs a zone and a reason")
                                         : absl::OkStatus();
                          },
                          [&](const restore_zone& item) {
                              return zone_removed(fleet, item.zone)
                                         ? absl::OkStatus()
                                         : missing("the zone is not taken out");
                          },
                          [&](const give_key& item) {
                              if (item.key.id.empty() || item.key.digest.empty()) {
                                  return invalid("a key needs an id and a digest");
                              }
                              return find_team(fleet, item.key.team.view()) != nullptr
                                         ? absl::OkStatus()
                                         : missing("there is no such team");
                          },
                          [&](const withdraw_key& item) {
                              return contains(fleet.keys, item.id, &team_key::id)
                                         ? absl::OkStatus()
                                         : missing("there is no such key");
                          },
                      },
                      change);
}

fleet_configuration changed_configuration(fleet_configuration fleet,
                                          const configuration_change& change) {
    ++fleet.version;
    std::visit(
        overloaded{
            [&](const set_defaults& item) { fleet.defaults = item.defaults; },
            [&](const add_exception& item) {
                insert_or_replace(fleet.exceptions, item.rule, &exception_rule::id);
            },
            [&](const remove_exception& item) {
                std::erase_if(fleet.exceptions,
                              [&](const auto& rule) { return rule.id == item.id; });
            },
            [&](const remove_zone& item) {
                insert_or_replace(fleet.removals, item.removal, &zone_removal::zone);
            },
            [&](const restore_zone& item) {
                std::erase_if(fleet.removals,
                              [&](const auto& removal) { return removal.zone == item.zone; });
            },
            [&](const give_key& item) { insert_or_replace(fleet.keys, item.key, &team_key::id); },
            [&](const withdraw_key& item) {
                std::erase_if(fleet.keys, [&](const auto& key) { return key.id == item.id; });
            },
        },
        change);
    return fleet;
}

} // namespace citronford
