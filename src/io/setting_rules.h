#pragma once

#include "citronford/endpoint.h"
#include "citronford/instant.h"
#include "citronford/result_code.h"
#include "citronford/settings.h"

#include <absl/status/statusor.h>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <fstream>
#include <functional>
#include <span>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citronford {

// Validated settings from INI text. A program lists the rules of its settings type once; parsing,
// documentation and error messages are derived from them.

/// Parses and stores the text of a value. Returns an empty string, or a description of the allowed
/// values when the text is not allowed.
template <class Settings>
using setting_assignment = std::function<std::string(Settings&, const std::string&)>;

template <class Settings> struct setting_rule {
    setting_description description;
    setting_assignment<Settings> assign;
};

inline bool parse_whole_number(std::string_view text, std::int64_t& number) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size();
}

/// Parses a finite decimal number.
inline bool parse_number(std::string_view text, double& number) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() && std::isfinite(number);
}

/// Passes a whole number from `least` to `most` to `store`.
template <class Settings, class Store>
setting_assignment<Settings> number_within(std::int64_t least, std::int64_t most, Store store) {
    return [=](Settings& target, const std::string& text) -> std::string {
        std::int64_t number = 0;
        if (!parse_whole_number(text, number) || number < least || number > most) {
            return "a whole number from " + std::to_string(least) + " to " + std::to_string(most);
        }
        store(target, number);
        return {};
    };
}

template <class Settings>
setting_assignment<Settings> milliseconds_within(std::int64_t least, std::int64_t most,
                                                 milliseconds Settings::*field) {
    return number_within<Settings>(least, most, [field](Settings& target, std::int64_t number) {
        target.*field = milliseconds(number);
    });
}

/// Milliseconds from `least` to `most`, with or without a fraction; rounded up, since these times
/// bound what others may still do.
template <class Settings>
setting_assignment<Settings> rounded_milliseconds_within(double least, double most,
                                                         milliseconds Settings::*field) {
    return [=](Settings& target, const std::string& text) -> std::string {
        double number = 0;
        if (!parse_number(text, number) || number < least || number > most) {
            return "a number of ms from " + std::to_string(static_cast<std::int64_t>(least)) +
                   " to " + std::to_string(static_cast<std::int64_t>(most));
        }
        target.*field = milliseconds(static_cast<std::int64_t>(std::ceil(number)));
        return {};
    };
}

/// Seconds from 0 to `most`, with or without a fraction; stored as whole milliseconds.
template <class Settings>
setting_assignment<Settings> seconds_up_to(double most, milliseconds Settings::*field) {
    return [=](Settings& target, const std::string& text) -> std::string {
        double number = 0;
        if (!parse_number(text, number) || number < 0 || number > most) {
            return "a number of seconds up to " + std::to_string(static_cast<std::int64_t>(most));
        }
        constexpr double ms_per_s = 1000;
        target.*field = milliseconds(static_cast<std::int64_t>(number * ms_per_s));
        return {};
    };
}

inline bool is_setting_name(std::string_view text) {
    constexpr std::size_t longest = 64;
    return !text.empty() && text.size() <= longest &&
           std::ranges::all_of(text, [](unsigned char c) {
               return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
           });
}

template <class Settings, class Identifier>
setting_assignment<Settings> name_field(Identifier Settings::*field) {
    return [field](Settings& target, const std::string& text) -> std::string {
        if (!is_setting_name(text)) {
            return "1 to 64 letters, digits, '-', '_' or '.'";
        }
        target.*field = Identifier(text);
        return {};
    };
}

inline bool is_ipv4(const std::string& text) {
    int parts = 0;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, '.'); ++parts) {
        std::int64_t number = 0;
        if (!parse_whole_number(part, number) || number < 0 || number > 255) {
            return false;
        }
    }
    return parts == 4 && !text.ends_with('.');
}

template <class Settings> setting_assignment<Settings> endpoint_field(endpoint Settings::*field) {
    return [field](Settings& target, const std::string& text) -> std::string {
        const auto colon = text.rfind(':');
        std::int64_t port = 0;
        if (colon == std::string::npos || !is_ipv4(text.substr(0, colon)) ||
            !parse_whole_number(std::string_view(text).substr(colon + 1), port) || port < 0 ||
            port > 65535) {
            return "ADDRESS:PORT with a numeric IPv4 address";
        }
        target.*field = {text.substr(0, colon), static_cast<std::uint16_t>(port)};
        return {};
    };
}

template <class Settings>
setting_assignment<Settings> log_level_field(std::string Settings::*field) {
    return [field](Settings& target, const std::string& text) -> std::string {
        constexpr std::string_view allowed[] = {"debug", "info", "warning", "error"};
        target.*field = text;
        return std::ranges::find(allowed, text) == std::end(allowed)
                   ? "debug, info, warning or error"
                   : "";
    };
}

template <class Settings> setting_assignment<Settings> path_field(std::string Settings::*field) {
    return [field](Settings& target, const std::string& text) -> std::string {
        target.*field = text;
        return text.empty() ? "a path" : "";
    };
}

/// Applies the rules to a parsed INI file and collects all errors.
template <class Settings> class settings_reader {
  public:
    explicit settings_reader(std::span<const setting_rule<Settings>> rules) : rules_(rules) {}

    absl::StatusOr<Settings> read(const boost::property_tree::ptree& tree) {
        for (const auto& [section, keys] : tree) {
            for (const auto& [key, value] : keys) {
                read_value(section, key, value.data());
            }
            if (keys.empty()) {
                faults_ << '[' << section
                        << "]: a key outside of any section or an empty section\n";
            }
        }
        for (const setting_rule<Settings>& rule : rules_) {
            const setting_description& known = rule.description;
            if (known.required && !tree.get_child_optional(std::string(known.section) + "." +
                                                           std::string(known.key))) {
                faults_ << '[' << known.section << "] " << known.key
                        << ": missing; allowed: " << known.type << '\n';
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
    /// Hides secrets in error messages.
    static std::string shown(const setting_description& description, const std::string& value) {
        return description.key == "secret" ? "(hidden)" : value;
    }

    void read_value(const std::string& section, const std::string& key, const std::string& value) {
        const auto rule = std::ranges::find_if(rules_, [&](const auto& candidate) {
            return candidate.description.section == section && candidate.description.key == key;
        });
        if (rule == rules_.end()) {
            faults_ << '[' << section << "] " << key << ": unknown setting\n";
            return;
        }
        const std::string allowed = rule->assign(result_, value);
        if (allowed.empty()) {
            return;
        }
        if (rule->description.replaces_invalid) {
            result_.replaced.push_back(
                {section, key, value, allowed, rule->description.default_value});
        } else {
            faults_ << '[' << section << "] " << key << " = " << shown(rule->description, value)
                    << ": not allowed; allowed: " << allowed << '\n';
        }
    }

    std::span<const setting_rule<Settings>> rules_;
    Settings result_;
    std::ostringstream faults_;
};

/// Parses INI text by the rules. Fails with `setting_invalid` and all errors, one per line.
template <class Settings>
absl::StatusOr<Settings> parse_by_rules(std::string_view text,
                                        std::span<const setting_rule<Settings>> rules) {
    boost::property_tree::ptree tree;
    std::istringstream stream{std::string(text)};
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
        return make_status(result_code::setting_invalid,
                           "line " + std::to_string(error.line()) + ": " + error.message());
    }
    return settings_reader<Settings>(rules).read(tree);
}

/// Reads the text of a settings file. Blocking; for start-up and reload only.
inline absl::StatusOr<std::string> read_settings_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return make_status(result_code::setting_invalid, path + ": the file cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

template <class Settings>
std::vector<setting_description> descriptions_of(std::span<const setting_rule<Settings>> rules) {
    std::vector<setting_description> all;
    for (const setting_rule<Settings>& rule : rules) {
        all.push_back(rule.description);
    }
    return all;
}

} // namespace citronford
