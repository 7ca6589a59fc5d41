#include "io/operator_front.h"

#include "io/burn_page.h"
#include "io/configuration_codec.h"
#include "io/digest.h"
#include "io/http_response.h"
#include "io/log.h"
#include "io/node_metrics.h"
#include "io/operator_pools.h"
#include "io/state_report.h"
#include "io/url.h"
#include "node/node.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace citronford {
namespace {

using nlohmann::json;

/// One request of an operator with its decoded path.
struct operation {
    node& target;
    const http_request& request;
    const http_responder& responder;
    std::vector<std::string> path; ///< Without the leading "v1".
    const process_view& own;
};

struct route {
    std::string_view method;
    std::string_view resource; ///< First segment after "v1".
    std::size_t segments;      ///< Number of segments after "v1".
    std::string_view last;     ///< Required last segment; empty for any.
    void (*function)(const operation& parameters);
};

/// The version of a change and, per availability zone, whether it is in force.
json progress_of(const change_result& result) {
    json zones = json::array();
    for (const zone_progress& zone : result.zones) {
        json pending = json::array();
        for (const node_id& node : zone.pending) {
            pending.push_back(node.str());
        }
        zones.push_back({{"zone", zone.zone.str()},
                         {"in_force", zone.pending.empty()},
                         {"pending", std::move(pending)}});
    }
    return {{"version", result.version}, {"zones", std::move(zones)}};
}

/// Applies a change; `extra` members are added to the answer.
void apply_change(const operation& parameters, const configuration_change& change,
                  json extra = json::object()) {
    const bool dry_run = is_dry_run(parameters.request.query);
    parameters.target.configuration().change(
        change, dry_run,
        [responder = parameters.responder, dry_run,
         extra = std::move(extra)](const absl::StatusOr<change_result>& result) {
            if (!result.ok()) {
                send_error(responder, result.status());
                return;
            }
            json answer = progress_of(*result);
            if (dry_run) {
                answer["dry_run"] = true;
            } else {
                answer.update(extra);
            }
            send_json(responder, answer.dump());
        });
}

/// The member `name` of a JSON body; empty when the body has no such text.
std::string body_text(const operation& parameters, const char* name) {
    const json document = json::parse(parameters.request.body, nullptr, false);
    if (!document.is_object() || !document.contains(name) || !document[name].is_string()) {
        return {};
    }
    return document[name];
}

void show_defaults(const operation& parameters) {
    send_json(parameters.responder,
              defaults_json(parameters.target.configuration().fleet().defaults));
}

void replace_defaults(const operation& parameters) {
    auto defaults = parse_defaults(parameters.request.body);
    if (!defaults.ok()) {
        send_error(parameters.responder, defaults.status());
        return;
    }
    apply_change(parameters, set_defaults{*std::move(defaults)});
}

void list_exceptions(const operation& parameters) {
    send_json(parameters.responder,
              exceptions_json(parameters.target.configuration().fleet().exceptions));
}

void create_exception(const operation& parameters) {
    auto rule = parse_exception(parameters.request.body);
    if (!rule.ok()) {
        send_error(parameters.responder, rule.status());
        return;
    }
    apply_change(parameters, add_exception{*std::move(rule)});
}

void delete_exception(const operation& parameters) {
    apply_change(parameters, remove_exception{exception_id(parameters.path[1])});
}

void take_zone_out(const operation& parameters) {
    apply_change(parameters,
                 remove_zone{{zone_id(parameters.path[1]), body_text(parameters, "reason")}});
}

void bring_zone_in(const operation& parameters) {
    apply_change(parameters, restore_zone{zone_id(parameters.path[1])});
}

/// Creates a key for a team; the key itself is in this answer and nowhere else.
void create_key(const operation& parameters) {
    constexpr std::size_t id_bytes = 6;
    constexpr std::size_t key_bytes = 24;
    const std::string id = random_hex(id_bytes);
    const std::string key = random_hex(key_bytes);
    const team_key item{key_id(id), digest_of_key(key), team_id(body_text(parameters, "team"))};
    apply_change(parameters, give_key{item}, {{"id", id}, {"key", key}});
}

/// The keys with their teams; digests are not shown.
void list_keys(const operation& parameters) {
    const control_driver& control = parameters.target.configuration();
    json keys = json::array();
    for (const team_key& key : control.fleet().keys) {
        keys.push_back(
            {{"id", key.id.str()}, {"team", key.team.str()}, {"state", control.key_state(key.id)}});
    }
    send_json(parameters.responder, keys.dump());
}

json team_json(const node& target, const team_definition& team) {
    return {{"name", team.name.str()},
            {"share", team.share},
            {"limit", limit_of(target.configuration().fleet(), team)},
            {"units", target.limits().units(team.name)},
            {"running", target.limits().running(team.name)}};
}

void list_teams(const operation& parameters) {
    json teams = json::array();
    for (const team_definition& team : parameters.target.configuration().fleet().defaults.teams) {
        teams.push_back(team_json(parameters.target, team));
    }
    send_json(parameters.responder, teams.dump());
}

void show_team(const operation& parameters) {
    const team_definition* team =
        find_team(parameters.target.configuration().fleet(), parameters.path[1]);
    if (team == nullptr) {
        send_error(parameters.responder, result_code::not_found, "there is no such team");
        return;
    }
    send_json(parameters.responder, team_json(parameters.target, *team).dump());
}

void delete_key(const operation& parameters) {
    apply_change(parameters, withdraw_key{key_id(parameters.path[1])});
}

void show_state(const operation& parameters) {
    send_json(parameters.responder, state_json(parameters.target, parameters.own.timers.now(), 0));
}

void show_burn(const operation& parameters) {
    const service_level_driver& levels = parameters.target.levels();
    const std::vector<burn_report> reports = levels.reports();
    const std::string_view name = parameters.target.node_settings().node.view();
    if (parameters.request.header("accept").find("text/html") != std::string_view::npos) {
        const std::string page = burn_html(name, reports, levels.covered());
        parameters.responder.send({200, {}, page, "text/html; charset=utf-8"});
    } else {
        send_json(parameters.responder, burn_json(name, reports, levels.covered()));
    }
}

void change_log_level(const operation& parameters) {
    const std::string name = body_text(parameters, "level");
    log_level level{};
    if (!parse_log_level(name, level)) {
        send_error(parameters.responder, result_code::invalid_argument,
                   "level must be debug, info, warning or error");
        return;
    }
    // Written whatever the levels before and after are.
    set_log_level(log_level::info);
    log_event(log_level::info, "log_level_changed", {{"level", name}});
    set_log_level(level);
    send_json(parameters.responder, json{{"level", name}}.dump());
}

void show_metrics(node& target, const process_view& own, const http_responder& responder) {
    collect_gauges(target, own.open_connections(), own.timers.now(), own.registry);
    const std::string text = own.registry.text();
    responder.send({200, {}, text, "text/plain; version=0.0.4; charset=utf-8"});
}

constexpr route routes[] = {
    {"GET", "defaults", 1, "", show_defaults},
    {"PUT", "defaults", 1, "", replace_defaults},
    {"GET", "exceptions", 1, "", list_exceptions},
    {"POST", "exceptions", 1, "", create_exception},
    {"DELETE", "exceptions", 2, "", delete_exception},
    {"POST", "zones", 3, "out", take_zone_out},
    {"POST", "zones", 3, "in", bring_zone_in},
    {"GET", "keys", 1, "", list_keys},
    {"GET", "teams", 1, "", list_teams},
    {"GET", "teams", 2, "", show_team},
    {"POST", "keys", 1, "", create_key},
    {"DELETE", "keys", 2, "", delete_key},
    {"GET", "state", 1, "", show_state},
    {"GET", "burn", 1, "", show_burn},
    {"POST", "log-level", 1, "", change_log_level},
};

bool matches_path(const route& candidate, const std::vector<std::string>& path) {
    return path.size() == candidate.segments && path[0] == candidate.resource &&
           (candidate.last.empty() || path.back() == candidate.last);
}

} // namespace

void operator_front::handle(const http_request& request, const http_responder& responder) {
    std::vector<std::string> path = path_segments(request.path);
    if (path == std::vector<std::string>{"metrics"} && request.method == "GET") {
        show_metrics(node_, own_, responder);
        return;
    }
    if (path.size() < 2 || path[0] != "v1") {
        send_error(responder, result_code::unknown_path, "no resource has this path");
        return;
    }
    path.erase(path.begin());
    if (!path.empty() && handle_pool_request(node_, request, responder, path)) {
        return;
    }
    bool path_known = false;
    for (const route& candidate : routes) {
        if (!matches_path(candidate, path)) {
            continue;
        }
        path_known = true;
        if (candidate.method == request.method) {
            candidate.function({node_, request, responder, path, own_});
            return;
        }
    }
    if (path_known) {
        send_error(responder, result_code::method_not_allowed, "the method is not supported here");
    } else {
        send_error(responder, result_code::unknown_path, "no resource has this path");
    }
}

} // namespace citronford
