#include "io/http_vm_control.h"

#include "citronford/result_code.h"
#include "io/url.h"

#include <nlohmann/json.hpp>

#include <string>
#include <utility>

namespace citronford {
namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

absl::Status unavailable() {
    return make_status(result_code::table_unavailable, "no valid reply from the platform");
}

absl::Status order_result(const http_result& result) {
    if (std::holds_alternative<http_unreachable>(result)) {
        return unavailable();
    }
    const auto* reply = std::get_if<http_reply>(&result);
    if (reply == nullptr) {
        return make_status(result_code::commit_in_doubt, "the reply of the platform was lost");
    }
    switch (reply->status) {
    case status_ok:
        return absl::OkStatus();
    case status_conflict:
        return make_status(result_code::conflict, "the VM has received a later order");
    case status_not_found:
        return make_status(result_code::not_found, "the platform has no such VM");
    default:
        return unavailable();
    }
}

absl::StatusOr<vm_status> status_of(const json& document) {
    using enum vm_status::condition;
    constexpr std::pair<std::string_view, vm_status::condition> names[] = {
        {"serving", serving},
        {"draining", draining},
        {"drained", drained},
        {"rebooting", rebooting}};
    const std::string state = document.at("state");
    for (const auto& [name, condition] : names) {
        if (name == state) {
            return vm_status{condition, document.value("order", vm_order_number{0})};
        }
    }
    return unavailable();
}

absl::StatusOr<vm_status> state_result(const http_result& result) {
    const auto* reply = std::get_if<http_reply>(&result);
    if (reply != nullptr && reply->status == status_not_found) {
        return vm_status{};
    }
    if (reply == nullptr || reply->status != status_ok) {
        return unavailable();
    }
    try {
        return status_of(json::parse(reply->body));
    } catch (const json::exception&) {
        return unavailable();
    }
}

} // namespace

http_vm_control::http_vm_control(http_client& client, endpoint address, duration timeout)
    : client_(client), address_(std::move(address)), timeout_(timeout) {}

void http_vm_control::send_order(const vm_id& vm, std::string_view verb, vm_order_number order,
                                 order_callback done) {
    const std::string path = "/vms/" + url_encoded(vm.view()) + "/" + std::string(verb);
    const std::string body = json{{"order", order}}.dump();
    client_.call(
        address_, {"POST", path, {}, body, timeout_},
        [done = std::move(done)](const http_result& result) { done(order_result(result)); });
}

void http_vm_control::drain(const vm_id& vm, vm_order_number order, order_callback done) {
    send_order(vm, "drain", order, std::move(done));
}

void http_vm_control::reboot(const vm_id& vm, vm_order_number order, order_callback done) {
    send_order(vm, "reboot", order, std::move(done));
}

void http_vm_control::query_status(const vm_id& vm, status_callback done) {
    const std::string path = "/vms/" + url_encoded(vm.view());
    client_.call(
        address_, {"GET", path, {}, {}, timeout_},
        [done = std::move(done)](const http_result& result) { done(state_result(result)); });
}

} // namespace citronford
