#include "cli/command.h"

#include "citronford/result_code.h"
#include "io/url.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace citronford {
namespace {

using nlohmann::json;
using composed = absl::StatusOr<command_request>;

constexpr std::string_view argument_name = "argument";

absl::Status wrong(std::string_view message) {
    return make_status(result_code::invalid_argument, message);
}

/// The path `/v1/{collection}/{argument}{suffix}`.
std::string object_path(std::string_view collection, const command_values& values,
                        std::string_view suffix = {}) {
    return "/v1/" + std::string(collection) + "/" + url_encoded(values.get(argument_name)) +
           std::string(suffix);
}

/// The content of the file `path`, or of standard input for `-`.
absl::StatusOr<std::string> content_of(const std::string& path) {
    const auto read = [](std::istream& stream) {
        return std::string(std::istreambuf_iterator<char>(stream), {});
    };
    if (path == "-") {
        return read(std::cin);
    }
    std::ifstream file(path);
    if (!file) {
        return wrong(path + ": the file cannot be read");
    }
    return read(file);
}

composed show_defaults(const command_values& /*values*/) {
    return command_request{"GET", "/v1/defaults", {}, {}};
}

composed replace_defaults(const command_values& values) {
    auto content = content_of(values.get(argument_name));
    if (!content.ok()) {
        return content.status();
    }
    return command_request{"PUT", "/v1/defaults", *std::move(content), {}};
}

composed add_exception(const command_values& values) {
    const json document = {{"id", values.get(argument_name)},
                           {"scope", values.get("scope")},
                           {"setting", values.get("setting")},
                           {"value", values.get("value")},
                           {"reason", values.get("reason")}};
    return command_request{"POST", "/v1/exceptions", document.dump(), {}};
}

composed list_exceptions(const command_values& /*values*/) {
    return command_request{"GET", "/v1/exceptions", {}, {}};
}

composed remove_exception(const command_values& values) {
    return command_request{"DELETE", object_path("exceptions", values), {}, {}};
}

composed take_zone_out(const command_values& values) {
    return command_request{"POST",
                           object_path("zones", values, "/out"),
                           json{{"reason", values.get("reason")}}.dump(),
                           {}};
}

composed bring_zone_in(const command_values& values) {
    return command_request{"POST", object_path("zones", values, "/in"), "{}", {}};
}

composed list_pools(const command_values& /*values*/) {
    return command_request{"GET", "/v1/pools", {}, {}};
}

composed show_pool(const command_values& values) {
    return command_request{"GET", object_path("pools", values), {}, {}};
}

composed move_vm(const command_values& values) {
    return command_request{
        "POST",
        object_path("vms", values, "/move"),
        json{{"pool", values.get("pool")}, {"reason", values.get("reason")}}.dump(),
        {}};
}

composed maintain_pool(const command_values& values) {
    return command_request{"POST",
                           object_path("pools", values, "/maintain"),
                           json{{"reason", values.get("reason")}}.dump(),
                           {}};
}

composed list_vms(const command_values& /*values*/) {
    return command_request{"GET", "/v1/vms", {}, {}};
}

composed show_vm(const command_values& values) {
    return command_request{"GET", object_path("vms", values), {}, {}};
}

composed list_teams(const command_values& /*values*/) {
    return command_request{"GET", "/v1/teams", {}, {}};
}

composed show_team(const command_values& values) {
    return command_request{"GET", object_path("teams", values), {}, {}};
}

composed give_key(const command_values& values) {
    return command_request{
        "POST", "/v1/keys", json{{"team", values.get(argument_name)}}.dump(), {}};
}

composed withdraw_key(const command_values& values) {
    return command_request{"DELETE", object_path("keys", values), {}, {}};
}

composed list_keys(const command_values& /*values*/) {
    return command_request{"GET", "/v1/keys", {}, {}};
}

/// The key of the team that submits jobs. It is never an argument, since other users of the machine
/// can read the arguments of a process.
absl::StatusOr<std::string> job_key(const command_values& values) {
    if (!values.has("key-file")) {
        const char* environment = std::getenv("CITRONFORD_KEY"); // NOLINT(concurrency-mt-unsafe)
        return std::string(environment == nullptr ? "" : environment);
    }
    auto content = content_of(values.get("key-file"));
    if (content.ok()) {
        content->erase(content->find_last_not_of(" \t\r\n") + 1);
    }
    return content;
}

composed job_request(const command_values& values, std::string method, std::string path,
                     std::string body) {
    auto key = job_key(values);
    if (!key.ok()) {
        return key.status();
    }
    return command_request{std::move(method), std::move(path), std::move(body), *std::move(key)};
}

composed submit_job(const command_values& values) {
    json document = {{"id", values.get(argument_name)}};
    for (const std::string_view name : {"processors", "memory-mb", "accelerators", "run-ms"}) {
        if (!values.has(name)) {
            continue;
        }
        const std::string text = values.get(name);
        std::int64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size() || number < 0) {
            return wrong("--" + std::string(name) + " " + text + ": not a whole number from 0");
        }
        std::string member(name);
        std::replace(member.begin(), member.end(), '-', '_');
        document[member] = number;
    }
    for (const std::string_view name : {"urgent", "restartable"}) {
        if (!values.has(name)) {
            continue;
        }
        const std::string text = values.get(name);
        if (text != "yes" && text != "no") {
            return wrong("--" + std::string(name) + " " + text + ": yes or no");
        }
        document[std::string(name)] = text == "yes";
    }
    if (values.has("queue")) {
        document["queue"] = values.get("queue");
    }
    return job_request(values, "POST", "/v1/jobs", document.dump());
}

composed show_job(const command_values& values) {
    return job_request(values, "GET", object_path("jobs", values), {});
}

composed cancel_job(const command_values& values) {
    return job_request(values, "DELETE", object_path("jobs", values), {});
}

composed show_state(const command_values& values) {
    if (values.has("snapshot")) {
        return command_request{
            "GET", "/objects/" + url_encoded("state-" + values.get("snapshot")), {}, {}};
    }
    return command_request{"GET", "/v1/state", {}, {}};
}

composed show_burn(const command_values& /*values*/) {
    return command_request{"GET", "/v1/burn", {}, {}};
}

const command_option key_file_option = {"key-file",
                                        "file with the key of the team, - for standard input; the "
                                        "environment variable CITRONFORD_KEY by default"};

std::vector<command> make_commands() {
    return {
        {"defaults", "show", "", "Show the fleet defaults.", {}, false, show_defaults},
        {"defaults",
         "set",
         "FILE",
         "Replace the fleet defaults by a JSON file; - reads standard input.",
         {},
         true,
         replace_defaults},
        {"exception",
         "add",
         "ID",
         "Add an exception to a default, or replace the one with this id.",
         {{"scope", "zone/NAME, team/NAME, pool/NAME or service/NAME", true},
          {"setting", "name of the default that is overridden", true},
          {"value", "value within the scope", true},
          {"reason", "why the exception exists", true}},
         true,
         add_exception},
        {"exception", "list", "", "List the exceptions.", {}, false, list_exceptions},
        {"exception", "remove", "ID", "Remove an exception.", {}, true, remove_exception},
        {"zone",
         "out",
         "ZONE",
         "Take an availability zone out of service.",
         {{"reason", "why the zone is taken out", true}},
         true,
         take_zone_out},
        {"zone", "in", "ZONE", "Bring an availability zone back.", {}, true, bring_zone_in},
        {"pool", "list", "", "List the pools.", {}, false, list_pools},
        {"pool", "show", "POOL", "Show a pool and its VMs.", {}, false, show_pool},
        {"pool",
         "maintain",
         "POOL",
         "Reboot every VM of a pool in waves, within its budget.",
         {{"reason", "why the pool is maintained", true}},
         true,
         maintain_pool},
        {"vm",
         "move",
         "VM",
         "Move a VM to another pool, after a drain.",
         {{"pool", "pool to move to", true}, {"reason", "why the VM is moved", true}},
         true,
         move_vm},
        {"vm", "list", "", "List the VMs.", {}, false, list_vms},
        {"vm", "show", "VM", "Show a VM.", {}, false, show_vm},
        {"team", "list", "", "List the teams.", {}, false, list_teams},
        {"team", "show", "TEAM", "Show a team.", {}, false, show_team},
        {"key", "give", "TEAM", "Give a team a new key, which is shown once.", {}, true, give_key},
        {"key", "withdraw", "ID", "Withdraw a key.", {}, true, withdraw_key},
        {"key", "list", "", "List the ids and teams of the keys.", {}, false, list_keys},
        {"job",
         "submit",
         "ID",
         "Submit a job; --entry is a caller port.",
         {{"processors", "processors it needs"},
          {"memory-mb", "memory it needs"},
          {"accelerators", "accelerators it needs"},
          {"run-ms", "declared run time"},
          {"urgent", "yes or no"},
          {"restartable", "yes or no: whether it may be started more than once"},
          {"queue", "queue to place it in"},
          key_file_option},
         false,
         submit_job},
        {"job",
         "show",
         "ID",
         "Show a job; --entry is a caller port.",
         {key_file_option},
         false,
         show_job},
        {"job",
         "cancel",
         "ID",
         "Cancel a job; --entry is a caller port.",
         {key_file_option},
         false,
         cancel_job},
        {"state",
         "",
         "",
         "Show the state of an entry VM.",
         {{"snapshot",
           "show the last stored state of this availability zone instead; --entry is the "
           "address of the platform"}},
         false,
         show_state},
        {"burn", "", "", "Show the error budgets and burn rates.", {}, false, show_burn},
    };
}

} // namespace

std::span<const command> commands() {
    static const std::vector<command> all = make_commands();
    return all;
}

} // namespace citronford
