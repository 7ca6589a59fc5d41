#include "citronford/settings.h"

#include "io/setting_rules.h"

#include <string>
#include <vector>

namespace citronford {
namespace {

using rule = setting_rule<settings>;

std::vector<rule> make_rules() {
    return {
        {{"node", "id", "name", "", true, "Name of this entry VM, unique in the fleet."},
         name_field(&settings::node)},
        {{"node", "zone", "name", "", true, "Availability zone of this entry VM."},
         name_field(&settings::zone)},
        {{"node", "charts", "path", "charts", false, "Directory of the state charts."},
         path_field(&settings::charts)},
        {{"node", "log_level", "debug, info, warning or error", "info", false,
          "Lowest level that is logged."},
         log_level_field(&settings::log_level)},
        {{"listen", "callers", "ADDRESS:PORT", "127.0.0.1:8080", false, "Port for callers."},
         endpoint_field(&settings::callers)},
        {{"listen", "operators", "ADDRESS:PORT", "127.0.0.1:8081", false, "Port for operators."},
         endpoint_field(&settings::operators)},
        {{"listen", "peers", "ADDRESS:PORT", "127.0.0.1:8082", false,
          "Port for other entry VMs, which must reach it at this address."},
         endpoint_field(&settings::peers)},
        {{"listen", "body_limit", "bytes, 1024 to 16777216", "1048576", false,
          "Largest request body that is accepted."},
         number_within<settings>(1024, 16777216,
                                 [](settings& target, std::int64_t number) {
                                     target.body_limit = static_cast<std::size_t>(number);
                                 })},
        {{"platform", "address", "ADDRESS:PORT", "127.0.0.1:8090", false,
          "Table service, object store and VM list."},
         endpoint_field(&settings::platform)},
        {{"platform", "timeout_ms", "ms, 100 to 60000", "2000", false,
          "Timeout of one call to the platform."},
         milliseconds_within(100, 60000, &settings::platform_timeout)},
        {{"platform", "configuration_poll_ms", "ms, 100 to 3000", "1000", false,
          "Pause between two scans for configuration changes."},
         milliseconds_within(100, 3000, &settings::configuration_poll)},
        {{"platform", "vm_list_poll_ms", "ms, 100 to 60000", "1000", false,
          "Pause between two reads of the VM list."},
         milliseconds_within(100, 60000, &settings::vm_list_poll)},
        {{"peers", "secret", "16 to 256 characters", "", true,
          "Shared secret that authenticates peer messages."},
         [](settings& target, const std::string& text) -> std::string {
             target.peer_secret = text;
             return text.size() < 16 || text.size() > 256 ? "16 to 256 characters" : "";
         }},
        {{"peers", "node_lease_ms", "ms, 1000 to 60000", "10000", false,
          "Lifetime of the registration of this node without renewal."},
         milliseconds_within(1000, 60000, &settings::node_lease)},
        {{"stop", "drain_delay_ms", "ms, 0 to 60000", "5000", false,
          "How long a stopping daemon goes on accepting after its readiness fails."},
         milliseconds_within(0, 60000, &settings::drain_delay)},
        {{"stop", "drain_timeout_ms", "ms, 1000 to 600000", "30000", false,
          "Longest time that a stopping daemon waits for requests under way."},
         milliseconds_within(1000, 600000, &settings::drain_timeout)},
    };
}

const std::vector<rule>& rules() {
    static const std::vector<rule> all = make_rules();
    return all;
}

} // namespace

std::span<const setting_description> setting_descriptions() {
    static const std::vector<setting_description> descriptions = descriptions_of<settings>(rules());
    return descriptions;
}

absl::StatusOr<settings> parse_settings(std::string_view text) {
    return parse_by_rules<settings>(text, rules());
}

absl::StatusOr<settings> load_settings(const std::string& path) {
    const auto text = read_settings_file(path);
    if (!text.ok()) {
        return text.status();
    }
    return parse_settings(*text);
}

} // namespace citronford
