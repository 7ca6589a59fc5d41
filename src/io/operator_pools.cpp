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

struct pool_request_context {
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
    std::string_view last_segment; ///< Required last segment; empty if any is accepted.
    void (*handler)(const pool_request_context& context);
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

json pool_json(const pool_request_context& context, const pool_id& pool) {
    const pool_controller& controller = context.pools.controller();
    const pool_availability count = controller.availability(pool);
    const roll_out_view roll_out = controller.roll_out(pool);
    const pool_definition* definition = find_pool(context.fleet, pool.view());
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
    const auto buffer = context.buffers.find(pool);
    if (buffer != context.buffers.end()) {
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

void list_pools(const pool_request_context& context) {
    json pools = json::array();
    for (const pool_id& pool : context.pools.controller().pools()) {
        pools.push_back(pool_json(context, pool));
    }
    send_json(context.responder, json{{"pools", pools}}.dump());
}

void show_pool(const pool_request_context& context) {
    const pool_id name(context.path[1]);
    for (const pool_id& pool : context.pools.controller().pools()) {
        if (pool == name) {
            send_json(context.responder, pool_json(context, pool).dump());
            return;
        }
    }
    send_error(context.responder, result_code::not_found, "there is no such pool");
}

void list_vms(const pool_request_context& context) {
    json vms = json::array();
    for (const auto& [id, vm] : context.pools.controller().vms().entries()) {
        vms.push_back(vm_json(vm));
    }
    send_json(context.responder, json{{"vms", vms}}.dump());
}

void show_vm(const pool_request_context& context) {
    const vm_entry* vm = context.pools.controller().vms().find(vm_id(context.path[1]));
    if (vm == nullptr) {
        send_error(context.responder, result_code::not_found, "there is no such VM");
        return;
    }
    send_json(context.responder, vm_json(*vm).dump());
}

/// The string member `name` of a JSON object; empty if there is none.
std::string string_member(const json& document, const char* name) {
    return document.is_object() && document.contains(name) && document[name].is_string()
               ? document[name].get<std::string>()
               : std::string();
}

pool_driver::change_callback change_responder(const http_responder& responder) {
    return [responder](const absl::StatusOr<table_version>& version) {
        if (version.ok()) {
            send_json(responder, json{{"version", *version}}.dump());
        } else {
            send_error(responder, version.status());
        }
    };
}

json ids_json(std::span<const vm_id> vms) {
    json ids = json::array();
    for (const vm_id& vm : vms) {
        ids.push_back(vm.str());
    }
    return ids;
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
            {"drained", ids_json(preview.drained)},
            {"first", ids_json(preview.first)},
            {"pools", std::move(pools)},
            {"zones", std::move(zones)}};
}

void preview_move(const pool_request_context& context, const vm_id& vm, const pool_id& target,
                  std::string_view reason) {
    const pool_controller& controller = context.pools.controller();
    const auto order = controller.move_order(vm, target, reason);
    if (!order.ok()) {
        send_error(context.responder, order.status());
        return;
    }
    json response = preview_json(preview_of_move(controller.vms(), context.fleet, *order));
    response["moved"] = {{{"id", vm.str()},
                          {"from", order->row.pool.str()},
                          {"to", target.str()},
                          {"version", order->expected}}};
    send_json(context.responder, response.dump());
}

void preview_maintenance(const pool_request_context& context, const pool_id& pool,
                         std::string_view reason) {
    const pool_controller& controller = context.pools.controller();
    const auto order = controller.maintenance_order(pool, reason);
    if (!order.ok()) {
        send_error(context.responder, order.status());
        return;
    }
    send_json(context.responder,
              preview_json(preview_of_maintenance(controller.vms(), context.fleet, pool)).dump());
}

void move_vm(const pool_request_context& context) {
    const json body = json::parse(context.request.body, nullptr, false);
    if (!body.is_object()) {
        send_error(context.responder, result_code::malformed_body, R"(expected {"pool","reason"})");
        return;
    }
    const vm_id vm(context.path[1]);
    const pool_id target(string_member(body, "pool"));
    const std::string reason = string_member(body, "reason");
    if (is_dry_run(context.request.query)) {
        preview_move(context, vm, target, reason);
    } else {
        context.pools.move(vm, target, reason, change_responder(context.responder));
    }
}

void maintain_pool(const pool_request_context& context) {
    const json body = json::parse(context.request.body, nullptr, false);
    const pool_id pool(context.path[1]);
    const std::string reason = string_member(body, "reason");
    if (is_dry_run(context.request.query)) {
        preview_maintenance(context, pool, reason);
    } else {
        context.pools.maintain(pool, reason, change_responder(context.responder));
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
            (!route.last_segment.empty() && path.back() != route.last_segment)) {
            continue;
        }
        path_known = true;
        if (route.method == request.method) {
            route.handler({target.pools(), target.configuration().fleet(), request, responder, path,
                           target.buffers()});
            return true;
        }
    }
    if (path_known) {
        send_error(responder, result_code::method_not_allowed, "the method is not supported here");
    }
    return path_known;
}

} // namespace citronford
