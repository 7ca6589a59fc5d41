#include "citronford/settings.h"

#include "citronford/result_code.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <functional>
#include <sstream>
#include <vector>

namespace citronford {
namespace {

/// Stores the text of a value; returns what is allowed when the text is not.
using assignment = std::function<std::string(settings&, const std::string&)>;

struct setting_rule {
    setting_description description;
    assignment assign;
};

bool parse_number(std::string_view text, std::int64_t& number) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size();
}

std::string range_text(std::int64_t least, std::int64_t most) {
    return "a whole number from " + std::to_string(least) + " to " + std::to_string(most);
}

/// `store` receives a number within the range.
assignment number_within(std::int64_t least, std::int64_t most,
                         const std::function<void(settings&, std::int64_t)>& store) {
    return [=](settings& target, const std::string& text) -> std::string {
        std::int64_t number = 0;
        if (!parse_number(text, number) || number < least || number > most) {
            return range_text(least, most);
        }
        store(target, number);
        return {};
    };
}

assignment milliseconds_within(std::int64_t least, std::int64_t most,
                               milliseconds settings::*field) {
    return number_within(least, most, [field](settings& target, std::int64_t number) {
        target.*field = milliseconds(number);
    });
}

bool is_name(std::string_view text) {
    constexpr std::size_t longest = 64;
    return !text.empty() && text.size() <= longest &&
           std::ranges::all_of(text, [](unsigned char c) {
               return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
           });
}

template <class Identifier> assignment name_in(Identifier settings::*field) {
    return [field](settings& target, const std::string& text) -> std::string {
        if (!is_name(text)) {
            return "1 to 64 letters, digits, '-', '_' or '.'";
        }
        target.*field = Identifier(text);
        return {};
    };
}

bool is_ipv4(const std::string& text) {
    int parts = 0;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, '.'); ++parts) {
        std::int64_t number = 0;
        if (!parse_number(part, number) || number < 0 || number > 255) {
            return false;
        }
    }
    return parts == 4 && !text.ends_with('.');
}

assignment endpoint_in(endpoint settings::*field) {
    return [field](settings& target, const std::string& text) -> std::string {
        const auto colon = text.rfind(':');
        std::int64_t port = 0;
        if (colon == std::string::npos || !is_ipv4(text.substr(0, colon)) ||
            !parse_number(std::string_view(text).substr(colon + 1), port) || port < 0 ||
            port > 65535) {
            return "ADDRESS:PORT with a numeric IPv4 address";
        }
        target.*field = {text.substr(0, colon), static_cast<std::uint16_t>(port)};
        return {};
    };
}

std::vector<setting_rule> make_rules() {
    return {
        {{"node", "id", "name", "", true, "Name of this entry VM, unique in the fleet."},
         name_in(&settings::node)},
        {{"node", "zone", "name", "", true, "Availability zone of this entry VM."},
         name_in(&settings::zone)},
        {{"node", "charts", "path", "charts", false, "Directory of the state charts."},
         [](settings& target, const std::string& text) -> std::string {
             target.charts = text;
             return text.empty() ? "a path" : "";
         }},
        {{"node", "log_level", "debug, info, warning or error", "info", false,
          "Lowest level that is logged."},
         [](settings& target, const std::string& text) -> std::string {
             constexpr std::string_view allowed[] = {"debug", "info", "warning", "error"};
             target.log_level = text;
             return std::ranges::find(allowed, text) == std::end(allowed)
                        ? "debug, info, warning or error"
                        : "";
         }},
        {{"listen", "callers", "ADDRESS:PORT", "127.0.0.1:8080", false, "Port for callers."},
         endpoint_in(&settings::callers)},
        {{"listen", "operators", "ADDRESS:PORT", "127.0.0.1:8081", false, "Port for operators."},
         endpoint_in(&settings::operators)},
        {{"listen", "peers", "ADDRESS:PORT", "127.0.0.1:8082", false,
          "Port for other entry VMs, which must reach it at this address."},
         endpoint_in(&settings::peers)},
        {{"listen", "body_limit", "bytes, 1024 to 16777216", "1048576", false,
          "Largest request body that is accepted."},
         number_within(1024, 16777216,
                       [](settings& target, std::int64_t number) {
                           target.body_limit = static_cast<std::size_t>(number);
                       })},
        {{"platform", "address", "ADDRESS:PORT", "127.0.0.1:8090", false,
          "Table service, object store and VM list."},
         endpoint_in(&settings::platform)},
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

const std::vector<setting_rule>& rules() {
    static const std::vector<setting_rule> all = make_rules();
    return all;
}

/// Secrets do not appear in messages.
std::string shown(const setting_description& description, const std::string& value) {
    return description.key == "secret" ? "(hidden)" : value;
}

class settings_reader {
  public:
    absl::StatusOr<settings> read(const boost::property_tree::ptree& tree) {
        for (const auto& [section, keys] : tree) {
            for (const auto& [key, value] : keys) {
                read_value(section, key, value.data());
            }
            if (keys.empty()) {
                faults_ << '[' << section
                        << "]: a key outside of any section or an empty section\n";
            }
        }
        for (const setting_rule& rule : rules()) {
            const auto& [section, key, type, text, required, meaning] = rule.description;
            if (required &&
                !tree.get_child_optional(std::string(section) + "." + std::string(key))) {
                faults_ << '[' << section << "] " << key << ": missing; allowed: " << type << '\n';
            }
        }
        std::string faults = faults_.str();
        if (!faults.empty()) {
            faults.pop_back();
            return make_status(result_code::setting_invalid, faults);
        }
        return std::move(result_);
    }

  private:
    void read_value(const std::string& section, const std::string& key, const std::string& value) {
        const auto& all = rules();
        const auto rule = std::ranges::find_if(all, [&](const setting_rule& candidate) {
            return candidate.description.section == section && candidate.description.key == key;
        });
        if (rule == all.end()) {
            faults_ << '[' << section << "] " << key << ": unknown setting\n";
            return;
        }
        const std::string allowed = rule->assign(result_, value);
        if (!allowed.empty()) {
            faults_ << '[' << section << "] " << key << " = " << shown(rule->description, value)
                    << ": not allowed; allowed: " << allowed << '\n';
        }
    }

    settings result_;
    std::ostringstream faults_;
};

} // namespace

std::span<const setting_description> setting_descriptions() {
    static const std::vector<setting_description> descriptions = [] {
        std::vector<setting_description> all;
        for (const setting_rule& rule : rules()) {
            all.push_back(rule.description);
        }
        return all;
    }();
    return descriptions;
}

absl::StatusOr<settings> parse_settings(std::string_view text) {
    boost::property_tree::ptree tree;
    std::istringstream stream{std::string(text)};
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
        return make_status(result_code::setting_invalid,
                           "line " + std::to_string(error.line()) + ": " + error.message());
    }
    return settings_reader().read(tree);
}

absl::StatusOr<settings> load_settings(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return make_status(result_code::setting_invalid, path + ": the file cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_settings(text.str());
}

} // namespace citronford
