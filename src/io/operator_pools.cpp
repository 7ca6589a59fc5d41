#include "io/operator_pools.h"

#include "citronford/order_preview.h"
#include "citronford/result_code.h"
#include "io/buffer_report.h"
#include "io/http_response.h"
#include "io/url.h"
#include "node/node.h"

#include <nlohmann/json.hpp>

#include <string_view>
#include <utility>

namespace citronford {
namespace {

using nlohmann::json;

struct pool_operation {
    pool_driver& pools;
    const fleet_configuration& fleet;
    const http_request& request;
    const http_responder& responder;
    const std::vector<std::string>& path;
    const std::map<pool_id, pool_buffer>& buffers;
};

struct pool_route {
    std::string_view method;
    std::string_view resource;
    std::size_t segments;
    std::string_view last; ///< Required last segment; empty for any.
    void (*function)(const pool_operation& parameters);
};

json availability_json(const pool_availability& count) {
    return {{"budget", count.budget},
            {"unavailable", count.unavailable()},
            {"declared", count.declared},
            {"failed", count.failed},
            {"draining", count.draining},
            {"moving_out", count.moving_out},
            {"removed_zone", count.removed_zone}};
}

json pool_json(const pool_operation& parameters, const pool_id& pool) {
    const pool_controller& controller = parameters.pools.controller();
    const pool_availability count = controller.availability(pool);
    const roll_out_view roll_out = controller.roll_out(pool);
    const pool_definition* definition = find_pool(parameters.fleet, pool.view());
    json document = {{"name", pool.str()},
                     {"vms", count.members},
                     {"available", count.available},
                     {"arriving", count.arriving},
                     {"availability", availability_json(count)},
                     {"controller", controller.lease_owner(pool).str()},
                     {"buffer", nullptr},
                     {"roll_out", nullptr}};
    if (definition != nullptr) {
        document["wanted"] = definition->wanted;
        document["spare"] = definition->spare.str();
    }
    const auto buffer = parameters.buffers.find(pool);
    if (buffer != parameters.buffers.end()) {
        document["buffer"] = buffer_json(buffer->second);
    }
    if (roll_out.number != 0) {
        document["roll_out"] = {{"number", roll_out.number},
                                {"reason", roll_out.reason},
                                {"remaining", roll_out.remaining},
                                {"done", roll_out.remaining == 0}};
    }
    return document;
}

json vm_json(const vm_entry& vm) {
    return {{"id", vm.row.id.str()},         {"pool", vm.row.pool.str()},
            {"zone", vm.row.zone.str()},     {"rack", vm.row.rack.str()},
            {"state", vm.row.state},         {"step", name_of(vm.row.step)},
            {"target", vm.row.target.str()}, {"lent_by", vm.row.home.str()},
            {"reason", vm.row.reason},       {"listed", vm.listed},
            {"leaving", vm.leaving},         {"epoch", vm.row.epoch},
            {"version", vm.version}};
}

void list_pools(const pool_operation& parameters) {
    json pools = json::array();
    for (const pool_id& pool : parameters.pools.controller().pools()) {
        pools.push_back(pool_json(parameters, pool));
    }
    send_json(parameters.responder, json{{"pools", pools}}.dump());
}

void show_pool(const pool_operation& parameters) {
    const pool_id name(parameters.path[1]);
    for (const pool_id& pool : parameters.pools.controller().pools()) {
        if (pool == name) {
            send_json(parameters.responder, pool_json(parameters, pool).dump());
            return;
        }
    }
    send_error(parameters.responder, result_code::not_found, "there is no such pool");
}

void list_vms(const pool_operation& parameters) {
    json vms = json::array();
    for (const auto& [id, vm] : parameters.pools.controller().vms().entries()) {
        vms.push_back(vm_json(vm));
    }
    send_json(parameters.responder, json{{"vms", vms}}.dump());
}

void show_vm(const pool_operation& parameters) {
    const vm_entry* vm = parameters.pools.controller().vms().find(vm_id(parameters.path[1]));
    if (vm == nullptr) {
        send_error(parameters.responder, result_code::not_found, "there is no such VM");
        return;
    }
    send_json(parameters.responder, vm_json(*vm).dump());
}

/// The text member `name` of a JSON body; empty when there is none.
std::string body_text(const json& document, const char* name) {
    return document.is_object() && document.contains(name) && document[name].is_string()
               ? document[name].get<std::string>()
               : std::string();
}

pool_driver::change_callback answer_change(const http_responder& responder) {
    return [responder](const absl::StatusOr<table_version>& version) {
        if (version.ok()) {
            send_json(responder, json{{"version", *version}}.dump());
        } else {
            send_error(responder, version.status());
        }
    };
}

json names_json(std::span<const vm_id> vms) {
    json names = json::array();
    for (const vm_id& vm : vms) {
        names.push_back(vm.str());
    }
    return names;
}

json preview_json(const order_preview& preview) {
    json pools = json::array();
    for (const pool_preview& pool : preview.pools) {
        pools.push_back({{"name", pool.pool.str()},
                         {"budget", pool.budget},
                         {"unavailable", pool.unavailable},
                         {"left", pool.left},
                         {"left_after", pool.left_after},
                         {"held", pool.held}});
    }
    json zones = json::array();
    for (const zone_preview& zone : preview.zones) {
        zones.push_back({{"name", zone.pool.str()},
                         {"zone", zone.zone.str()},
                         {"vms", zone.vms},
                         {"available", zone.available},
                         {"drained", zone.drained},
                         {"left", zone.left},
                         {"left_after", zone.left_after}});
    }
    return {{"dry_run", true},
            {"drained", names_json(preview.drained)},
            {"first", names_json(preview.first)},
            {"pools", std::move(pools)},
            {"zones", std::move(zones)}};
}

void preview_move(const pool_operation& parameters, const vm_id& vm, const pool_id& target,
                  std::string_view reason) {
    const pool_controller& controller = parameters.pools.controller();
    const auto order = controller.move_order(vm, target, reason);
    if (!order.ok()) {
        send_error(parameters.responder, order.status());
        return;
    }
    json answer = preview_json(preview_of_move(controller.vms(), parameters.fleet, *order));
    answer["moved"] = {{{"id", vm.str()},
                        {"from", order->row.pool.str()},
                        {"to", target.str()},
                        {"version", order->expected}}};
    send_json(parameters.responder, answer.dump());
}

void preview_maintenance(const pool_operation& parameters, const pool_id& pool,
                         std::string_view reason) {
    const pool_controller& controller = parameters.pools.controller();
    const auto order = controller.maintenance_order(pool, reason);
    if (!order.ok()) {
        send_error(parameters.responder, order.status());
        return;
    }
    send_json(
        parameters.responder,
        preview_json(preview_of_maintenance(controller.vms(), parameters.fleet, pool)).dump());
}

void move_vm(const pool_operation& parameters) {
    const json body = json::parse(parameters.request.body, nullptr, false);
    if (!body.is_object()) {
        send_error(parameters.responder, result_code::malformed_body,
                   R"(expected {"pool","reason"})");
        return;
    }
    const vm_id vm(parameters.path[1]);
    const pool_id target(body_text(body, "pool"));
    const std::string reason = body_text(body, "reason");
    if (is_dry_run(parameters.request.query)) {
        preview_move(parameters, vm, target, reason);
    } else {
        parameters.pools.move(vm, target, reason, answer_change(parameters.responder));
    }
}

void maintain_pool(const pool_operation& parameters) {
    const json body = json::parse(parameters.request.body, nullptr, false);
    const pool_id pool(parameters.path[1]);
    const std::string reason = body_text(body, "reason");
    if (is_dry_run(parameters.request.query)) {
        preview_maintenance(parameters, pool, reason);
    } else {
        parameters.pools.maintain(pool, reason, answer_change(parameters.responder));
    }
}

constexpr pool_route routes[] = {
    {"GET", "pools", 1, "", list_pools},
    {"GET", "pools", 2, "", show_pool},
    {"POST", "pools", 3, "maintain", maintain_pool},
    {"GET", "vms", 1, "", list_vms},
    {"GET", "vms", 2, "", show_vm},
    {"POST", "vms", 3, "move", move_vm},
};

} // namespace

bool handle_pool_request(node& target, const http_request& request, const http_responder& responder,
                         const std::vector<std::string>& path) {
    bool path_known = false;
    for (const pool_route& route : routes) {
        if (path.size() != route.segments || path[0] != route.resource ||
            (!route.last.empty() && path.back() != route.last)) {
            continue;
        }
        path_known = true;
        if (route.method == request.method) {
            route.function({target.pools(), target.configuration().fleet(), request, responder,
                            path, target.buffers()});
            return true;
        }
    }
    if (path_known) {
        send_error(responder, result_code::method_not_allowed, "the method is not supported here");
    }
    return path_known;
}

} // namespace citronford
