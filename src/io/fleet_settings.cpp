#include "citronford/fleet_settings.h"

#include "io/setting_rules.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <type_traits>
#include <vector>

namespace citronford {
namespace {

using rule = setting_rule<fleet_settings>;

/// An endpoint or an empty value, since a platform may have no advice service.
setting_assignment<fleet_settings> optional_endpoint(endpoint fleet_settings::*field) {
    return [field, required = endpoint_field(field)](fleet_settings& target,
                                                     const std::string& text) -> std::string {
        return text.empty() ? std::string() : required(target, text);
    };
}

/// Number of processors as a decimal number; a VM may have less than one.
std::string assign_processors(fleet_settings& target, const std::string& text) {
    double share = 0;
    constexpr double most = 1024;
    if (!parse_number(text, share) || share <= 0 || share > most) {
        return "a number above 0 and up to 1024";
    }
    constexpr double permille = 1000;
    target.processors_permille = static_cast<std::int64_t>(std::ceil(share * permille));
    return {};
}

/// Speed of the link in Mbit/s as a decimal number.
std::string assign_link(fleet_settings& target, const std::string& text) {
    double mbit = 0;
    constexpr double most = 1000000;
    if (!parse_number(text, mbit) || mbit <= 0 || mbit > most) {
        return "a number above 0 and up to 1000000";
    }
    constexpr double kbit_per_mbit = 1000;
    target.link_kbit = static_cast<std::int64_t>(std::ceil(mbit * kbit_per_mbit));
    return {};
}

std::string assign_memory(fleet_settings& target, const std::string& text) {
    double megabytes = 0;
    constexpr double most = 1e9;
    if (!parse_number(text, megabytes) || megabytes < 0 || megabytes > most) {
        return "a number up to 1000000000";
    }
    target.memory_limit_mb = static_cast<std::int64_t>(megabytes);
    return {};
}

/// A name of the deployment: up to the longest key of the platform's table, and nothing that a
/// header of a request cannot carry.
setting_assignment<fleet_settings> deployment_name(auto fleet_settings::*field) {
    return [field](fleet_settings& target, const std::string& text) -> std::string {
        constexpr std::size_t longest = 200;
        const bool printable = std::ranges::all_of(text, [](unsigned char character) {
            constexpr unsigned char del = 127;
            return character > ' ' && character != del;
        });
        if (text.empty() || text.size() > longest || !printable) {
            return "1 to 200 characters without spaces and control characters";
        }
        target.*field = std::decay_t<decltype(target.*field)>(text);
        return {};
    };
}

/// A switch of a decision under load.
setting_assignment<fleet_settings> load_switch(bool load_switches::*field) {
    return [field](fleet_settings& target, const std::string& text) -> std::string {
        if (text != "on" && text != "off") {
            return "on or off";
        }
        target.load.*field = text == "on";
        return {};
    };
}

std::vector<rule> make_rules() {
    constexpr double longest_s = 86400;
    constexpr double longest_ms = 86400000;
    constexpr bool replaces_invalid = true;
    return {
        {{"node", "id", "name", "", true, "Name of this entry VM, unique in the fleet."},
         deployment_name(&fleet_settings::node)},
        {{"node", "zone", "name", "", true, "Availability zone of this entry VM."},
         deployment_name(&fleet_settings::zone)},
        {{"node", "charts", "path", "charts", false, "Directory of the state charts."},
         path_field(&fleet_settings::charts)},
        {{"node", "log_level", "debug, info, warning or error", "info", false,
          "Lowest level that is logged."},
         log_level_field(&fleet_settings::log_level)},
        {{"node", "processors", "number", "1", false,
          "Share of one processor; a node with more is more likely to own the scheduler.",
          replaces_invalid},
         assign_processors},
        {{"node", "link_mbit", "Mbit/s up to 1000000", "1000", false,
          "Speed of the link of this VM; a node with a slow one is less likely to own the "
          "scheduler.",
          replaces_invalid},
         assign_link},
        {{"node", "memory_mb", "MB up to 1000000000", "0", false,
          "The process is killed when it uses more, which the log announces; 0: not known.",
          replaces_invalid},
         assign_memory},
        {{"listen", "callers", "ADDRESS:PORT", "127.0.0.1:8340", false, "Port for callers."},
         endpoint_field(&fleet_settings::callers)},
        {{"listen", "health", "ADDRESS:PORT", "127.0.0.1:8343", false, "Port for readiness."},
         endpoint_field(&fleet_settings::health)},
        {{"listen", "figures", "ADDRESS:PORT", "127.0.0.1:8345", false,
          "Port for figures and state.", replaces_invalid},
         endpoint_field(&fleet_settings::metrics_endpoint)},
        {{"listen", "body_limit", "bytes, 1024 to 16777216", "262144", false,
          "Largest request body that is accepted."},
         number_within<fleet_settings>(1024, 16777216,
                                       [](fleet_settings& target, std::int64_t number) {
                                           target.body_limit = static_cast<std::size_t>(number);
                                       })},
        {{"platform", "table", "ADDRESS:PORT", "", true, "Table service."},
         endpoint_field(&fleet_settings::table)},
        {{"platform", "table_row_bytes", "bytes, 1024 to 16777216", "65536", false,
          "Largest value of a row of the table.", replaces_invalid},
         number_within<fleet_settings>(1024, 16777216,
                                       [](fleet_settings& target, std::int64_t number) {
                                           target.table_row_bytes =
                                               static_cast<std::size_t>(number);
                                       })},
        {{"platform", "vms", "ADDRESS:PORT or nothing", "", false,
          "List of VMs and orders to them; nothing where the platform has no such service."},
         optional_endpoint(&fleet_settings::vms)},
        {{"platform", "advice", "ADDRESS:PORT or nothing", "", false,
          "Service that advises which backend servers may run a step."},
         optional_endpoint(&fleet_settings::advice)},
        {{"timing", "longest_backend_lease_ms", "ms, 500 to 86400000", "6000", false,
          "Longest lease that a backend server grants.", replaces_invalid},
         rounded_milliseconds_within(500, longest_ms, &fleet_settings::longest_backend_lease)},
        {{"timing", "backend_stop_ms", "ms up to 86400000", "900", false,
          "Longest time that a backend server takes to stop a task.", replaces_invalid},
         rounded_milliseconds_within(0, longest_ms, &fleet_settings::backend_stop_time)},
        {{"timing", "vm_order_interval_ms", "ms up to 86400000", "3000", false,
          "Least time between orders of two owners to one VM.", replaces_invalid},
         rounded_milliseconds_within(0, longest_ms, &fleet_settings::vm_order_interval)},
        {{"timing", "stop_grace_s", "seconds up to 86400", "6", false,
          "From SIGTERM to the end of the process by force.", replaces_invalid},
         seconds_up_to(longest_s, &fleet_settings::stop_grace)},
        {{"timing", "move_s", "seconds up to 86400", "1.5", false,
          "Until a moved VM serves its new pool.", replaces_invalid},
         seconds_up_to(longest_s, &fleet_settings::move_time)},
        {{"timing", "maintenance_s", "seconds up to 86400", "2", false,
          "Until a maintained VM is back.", replaces_invalid},
         seconds_up_to(longest_s, &fleet_settings::maintenance_time)},
        {{"load", "admission", "on or off", "off", false,
          "Refuse work at once that cannot be done within its useful time.", replaces_invalid},
         load_switch(&load_switches::admission)},
        {{"load", "overload_order", "on or off", "off", false,
          "With too little room, delay the work whose delay costs callers least.",
          replaces_invalid},
         load_switch(&load_switches::overload_order)},
        {{"load", "fair_shares", "on or off", "off", false,
          "Divide a full fleet between the teams by their weights.", replaces_invalid},
         load_switch(&load_switches::fair_shares)},
        {{"load", "burst_capacity", "on or off", "off", false,
          "Keep VMs for the bursts that a pool has had.", replaces_invalid},
         load_switch(&load_switches::burst_capacity)},
        {{"load", "slow_servers", "on or off", "off", false,
          "Avoid slow backend servers, and start copies of tasks that are held up there.",
          replaces_invalid},
         load_switch(&load_switches::slow_servers)},
    };
}

const std::vector<rule>& rules() {
    static const std::vector<rule> all = make_rules();
    return all;
}

} // namespace

std::span<const setting_description> fleet_setting_descriptions() {
    static const std::vector<setting_description> descriptions =
        descriptions_of<fleet_settings>(rules());
    return descriptions;
}

absl::StatusOr<fleet_settings> parse_fleet_settings(std::string_view text) {
    return parse_by_rules<fleet_settings>(text, rules());
}

absl::StatusOr<fleet_settings> load_fleet_settings(const std::string& path) {
    const auto text = read_settings_file(path);
    if (!text.ok()) {
        return text.status();
    }
    return parse_fleet_settings(*text);
}

} // namespace citronford
