#include "citronford/fleet_settings.h"

#include "io/setting_rules.h"

#include <string>
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
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), share);
    constexpr double most = 1024;
    if (error != std::errc() || end != text.data() + text.size() || share <= 0 || share > most) {
        return "a number above 0 and up to 1024";
    }
    constexpr double permille = 1000;
    target.processors_permille = static_cast<std::int64_t>(share * permille);
    return {};
}

/// Speed of the link in Mbit/s as a decimal number, rounded down.
std::string assign_link(fleet_settings& target, const std::string& text) {
    double mbit = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), mbit);
    constexpr double most = 1000000;
    if (error != std::errc() || end != text.data() + text.size() || mbit < 1 || mbit > most) {
        return "a number from 1 to 1000000";
    }
    target.link_mbit = static_cast<std::int64_t>(mbit);
    return {};
}

std::vector<rule> make_rules() {
    constexpr double longest_s = 600;
    return {
        {{"node", "id", "name", "", true, "Name of this entry VM, unique in the fleet."},
         name_field(&fleet_settings::node)},
        {{"node", "zone", "name", "", true, "Availability zone of this entry VM."},
         name_field(&fleet_settings::zone)},
        {{"node", "charts", "path", "charts", false, "Directory of the state charts."},
         path_field(&fleet_settings::charts)},
        {{"node", "log_level", "debug, info, warning or error", "info", false,
          "Lowest level that is logged."},
         log_level_field(&fleet_settings::log_level)},
        {{"node", "processors", "number", "1", false,
          "Share of one processor; a node with more is more likely to own the scheduler."},
         assign_processors},
        {{"node", "link_mbit", "Mbit/s, 1 to 1000000", "1000", false,
          "Speed of the link of this VM; a node with a slow one is less likely to own the "
          "scheduler."},
         assign_link},
        {{"listen", "callers", "ADDRESS:PORT", "127.0.0.1:8340", false, "Port for callers."},
         endpoint_field(&fleet_settings::callers)},
        {{"listen", "health", "ADDRESS:PORT", "127.0.0.1:8343", false, "Port for readiness."},
         endpoint_field(&fleet_settings::health)},
        {{"listen", "figures", "ADDRESS:PORT", "127.0.0.1:8345", false,
          "Port for figures and state."},
         endpoint_field(&fleet_settings::metrics_endpoint)},
        {{"listen", "body_limit", "bytes, 1024 to 16777216", "262144", false,
          "Largest request body that is accepted."},
         number_within<fleet_settings>(1024, 16777216,
                                       [](fleet_settings& target, std::int64_t number) {
                                           target.body_limit = static_cast<std::size_t>(number);
                                       })},
        {{"platform", "table", "ADDRESS:PORT", "", true, "Table service."},
         endpoint_field(&fleet_settings::table)},
        {{"platform", "vms", "ADDRESS:PORT", "", true, "List of VMs and orders to them."},
         endpoint_field(&fleet_settings::vms)},
        {{"platform", "advice", "ADDRESS:PORT or nothing", "", false,
          "Service that advises which backend servers may run a step."},
         optional_endpoint(&fleet_settings::advice)},
        {{"timing", "longest_backend_lease_ms", "ms, 500 to 600000", "6000", false,
          "Longest lease that a backend server grants."},
         milliseconds_within(500, 600000, &fleet_settings::longest_backend_lease)},
        {{"timing", "backend_stop_ms", "ms, 1 to 600000", "900", false,
          "Longest time that a backend server takes to stop a task."},
         milliseconds_within(1, 600000, &fleet_settings::backend_stop_time)},
        {{"timing", "vm_order_interval_ms", "ms, 0 to 600000", "3000", false,
          "Least time between orders of two owners to one VM."},
         milliseconds_within(0, 600000, &fleet_settings::vm_order_interval)},
        {{"timing", "stop_grace_s", "seconds up to 600", "6", false,
          "From SIGTERM to the end of the process by force."},
         seconds_up_to(longest_s, &fleet_settings::stop_grace)},
        {{"timing", "move_s", "seconds up to 600", "1.5", false,
          "Until a moved VM serves its new pool."},
         seconds_up_to(longest_s, &fleet_settings::move_time)},
        {{"timing", "maintenance_s", "seconds up to 600", "2", false,
          "Until a maintained VM is back."},
         seconds_up_to(longest_s, &fleet_settings::maintenance_time)},
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
