#include "io/configuration_codec.h"

#include "citronford/overloaded.h"
#include "citronford/result_code.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <initializer_list>
#include <utility>

namespace citronford {
namespace {

using nlohmann::json;

constexpr std::string_view defaults_key = "config/defaults";
constexpr std::string_view exception_prefix = "config/exception/";
constexpr std::string_view removal_prefix = "config/removal/";
constexpr std::string_view key_prefix = "config/key/";

std::string row_key(std::string_view prefix, std::string_view name) {
    return std::string(prefix) + std::string(name);
}

/// Throws `json::other_error` for a member that is not allowed, so that misspelt names are found.
void require_members(const json& object, std::initializer_list<std::string_view> allowed) {
    for (const auto& [name, value] : object.items()) {
        if (std::ranges::find(allowed, name) == allowed.end()) {
            throw json::other_error::create(500, "unknown member '" + name + "'", &object);
        }
    }
}

template <class Identifier> Identifier named(const json& object, const char* member) {
    return Identifier(object.value(member, std::string()));
}

milliseconds ms_of(const json& object, const char* member, milliseconds fallback) {
    return milliseconds(object.value(member, fallback.count()));
}

service_definition service_of(const json& object) {
    require_members(object, {"name", "pool", "idempotent", "open", "objective", "latency_ms"});
    service_definition service;
    service.name = named<service_id>(object, "name");
    service.pool = named<pool_id>(object, "pool");
    service.idempotent = object.value("idempotent", service.idempotent);
    service.open = object.value("open", service.open);
    service.objective = object.value("objective", service.objective);
    service.latency = ms_of(object, "latency_ms", service.latency);
    return service;
}

team_definition team_of(const json& object) {
    require_members(object, {"name", "share", "limit"});
    team_definition team;
    team.name = named<team_id>(object, "name");
    team.share = object.value("share", team.share);
    team.limit = object.value("limit", team.limit);
    return team;
}

pool_definition pool_of(const json& object) {
    require_members(object, {"name", "wanted", "unavailable", "spare", "workers"});
    pool_definition pool;
    pool.name = named<pool_id>(object, "name");
    pool.wanted = object.value("wanted", pool.wanted);
    pool.unavailable = object.value("unavailable", pool.unavailable);
    pool.spare = named<pool_id>(object, "spare");
    pool.workers = object.value("workers", pool.workers);
    return pool;
}

template <class Definition, class Function>
std::vector<Definition> list_of(const json& object, const char* member, Function parse) {
    std::vector<Definition> list;
    for (const json& item : object.value(member, json::array())) {
        list.push_back(parse(item));
    }
    return list;
}

fleet_defaults defaults_of(const json& object) {
    require_members(object, {"services", "teams", "pools", "key_confirmation_limit_ms",
                             "request_timeout_ms", "claim_retention_ms", "retry_ratio",
                             "job_objective", "job_wait_ms", "urgent_job_wait_ms"});
    fleet_defaults defaults;
    defaults.services = list_of<service_definition>(object, "services", service_of);
    defaults.teams = list_of<team_definition>(object, "teams", team_of);
    defaults.pools = list_of<pool_definition>(object, "pools", pool_of);
    defaults.key_confirmation_limit =
        ms_of(object, "key_confirmation_limit_ms", defaults.key_confirmation_limit);
    defaults.request_timeout = ms_of(object, "request_timeout_ms", defaults.request_timeout);
    defaults.claim_retention = ms_of(object, "claim_retention_ms", defaults.claim_retention);
    defaults.retry_ratio = object.value("retry_ratio", defaults.retry_ratio);
    defaults.job_objective = object.value("job_objective", defaults.job_objective);
    defaults.job_wait = ms_of(object, "job_wait_ms", defaults.job_wait);
    defaults.urgent_job_wait = ms_of(object, "urgent_job_wait_ms", defaults.urgent_job_wait);
    return defaults;
}

json json_of(const fleet_defaults& defaults) {
    json document = {{"services", json::array()},
                     {"teams", json::array()},
                     {"pools", json::array()},
                     {"key_confirmation_limit_ms", defaults.key_confirmation_limit.count()},
                     {"request_timeout_ms", defaults.request_timeout.count()},
                     {"claim_retention_ms", defaults.claim_retention.count()},
                     {"retry_ratio", defaults.retry_ratio},
                     {"job_objective", defaults.job_objective},
                     {"job_wait_ms", defaults.job_wait.count()},
                     {"urgent_job_wait_ms", defaults.urgent_job_wait.count()}};
    for (const service_definition& service : defaults.services) {
        document["services"].push_back({{"name", service.name.str()},
                                        {"pool", service.pool.str()},
                                        {"idempotent", service.idempotent},
                                        {"open", service.open},
                                        {"objective", service.objective},
                                        {"latency_ms", service.latency.count()}});
    }
    for (const team_definition& team : defaults.teams) {
        document["teams"].push_back(
            {{"name", team.name.str()}, {"share", team.share}, {"limit", team.limit}});
    }
    for (const pool_definition& pool : defaults.pools) {
        document["pools"].push_back({{"name", pool.name.str()},
                                     {"wanted", pool.wanted},
                                     {"unavailable", pool.unavailable},
                                     {"spare", pool.spare.str()},
                                     {"workers", pool.workers}});
    }
    return document;
}

json json_of(const exception_rule& rule) {
    return {{"id", rule.id.str()},
            {"scope", rule.scope},
            {"setting", rule.setting},
            {"value", rule.value},
            {"reason", rule.reason}};
}

exception_rule exception_of(const json& object) {
    require_members(object, {"id", "scope", "setting", "value", "reason"});
    return {named<exception_id>(object, "id"), object.value("scope", ""),
            object.value("setting", ""), object.value("value", ""), object.value("reason", "")};
}

/// Runs `function` on the parsed document; every fault of the document becomes a status.
template <class Result, class Function>
absl::StatusOr<Result> parsed(std::string_view text, Function function) {
    try {
        return function(json::parse(text));
    } catch (const json::exception& error) {
        return make_status(result_code::malformed_body, error.what());
    }
}

absl::Status apply_defaults(const table_row& row, fleet_configuration& fleet) {
    if (!row.value) {
        return absl::OkStatus();
    }
    auto defaults = parse_defaults(*row.value);
    if (!defaults.ok()) {
        return defaults.status();
    }
    fleet.defaults = *std::move(defaults);
    return absl::OkStatus();
}

/// Applies a row of the list `items`: an absent value removes the item named by the key.
template <class Item, class Member, class Parse>
absl::Status apply_item(const table_row& row, std::string_view prefix, std::vector<Item>& items,
                        Member member, Parse parse) {
    if (!row.value) {
        const std::string_view name = std::string_view(row.key).substr(prefix.size());
        std::erase_if(items, [&](const Item& item) { return (item.*member).view() == name; });
        return absl::OkStatus();
    }
    auto item = parsed<Item>(*row.value, parse);
    if (!item.ok()) {
        return item.status();
    }
    insert_or_replace(items, *std::move(item), member);
    return absl::OkStatus();
}

} // namespace

std::string defaults_json(const fleet_defaults& defaults) {
    return json_of(defaults).dump(2);
}

absl::StatusOr<fleet_defaults> parse_defaults(std::string_view text) {
    return parsed<fleet_defaults>(text, defaults_of);
}

std::string exceptions_json(const std::vector<exception_rule>& exceptions) {
    json document = json::array();
    for (const exception_rule& rule : exceptions) {
        document.push_back(json_of(rule));
    }
    return document.dump(2);
}

absl::StatusOr<exception_rule> parse_exception(std::string_view text) {
    return parsed<exception_rule>(text, exception_of);
}

std::vector<table_write> rows_of(const configuration_change& change) {
    return std::visit(
        overloaded{
            [](const set_defaults& item) -> std::vector<table_write> {
                return {{std::string(defaults_key), json_of(item.defaults).dump()}};
            },
            [](const add_exception& item) -> std::vector<table_write> {
                return {
                    {row_key(exception_prefix, item.rule.id.view()), json_of(item.rule).dump()}};
            },
            [](const remove_exception& item) -> std::vector<table_write> {
                return {{row_key(exception_prefix, item.id.view()), std::nullopt}};
            },
            [](const remove_zone& item) -> std::vector<table_write> {
                const json document = {{"zone", item.removal.zone.str()},
                                       {"reason", item.removal.reason}};
                return {{row_key(removal_prefix, item.removal.zone.view()), document.dump()}};
            },
            [](const restore_zone& item) -> std::vector<table_write> {
                return {{row_key(removal_prefix, item.zone.view()), std::nullopt}};
            },
            [](const give_key& item) -> std::vector<table_write> {
                const json document = {{"id", item.key.id.str()},
                                       {"digest", item.key.digest.str()},
                                       {"team", item.key.team.str()}};
                return {{row_key(key_prefix, item.key.id.view()), document.dump()}};
            },
            [](const withdraw_key& item) -> std::vector<table_write> {
                return {{row_key(key_prefix, item.id.view()), std::nullopt}};
            },
        },
        change);
}

absl::Status apply_row(const table_row& row, fleet_configuration& fleet) {
    if (row.key == configuration_version_key) {
        const std::string text = row.value.value_or("");
        std::from_chars(text.data(), text.data() + text.size(), fleet.version);
        return absl::OkStatus();
    }
    if (row.key == defaults_key) {
        return apply_defaults(row, fleet);
    }
    if (row.key.starts_with(exception_prefix)) {
        return apply_item(row, exception_prefix, fleet.exceptions, &exception_rule::id,
                          exception_of);
    }
    if (row.key.starts_with(removal_prefix)) {
        return apply_item(
            row, removal_prefix, fleet.removals, &zone_removal::zone, [](const json& object) {
                return zone_removal{named<zone_id>(object, "zone"), object.value("reason", "")};
            });
    }
    if (row.key.starts_with(key_prefix)) {
        return apply_item(row, key_prefix, fleet.keys, &team_key::id, [](const json& object) {
            return team_key{named<key_id>(object, "id"), named<key_digest>(object, "digest"),
                            named<team_id>(object, "team")};
        });
    }
    return make_status(result_code::malformed_body, "unknown row " + row.key);
}

} // namespace citronford
