#pragma once

#include <absl/status/statusor.h>

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citronford {

/// Values of the arguments and options of one command by name.
class command_values {
  public:
    void set(std::string_view name, std::string_view value) {
        values_[std::string(name)] = std::string(value);
    }
    [[nodiscard]] bool has(std::string_view name) const {
        return values_.contains(std::string(name));
    }
    /// Empty when the option was not given.
    [[nodiscard]] std::string get(std::string_view name) const {
        const auto found = values_.find(std::string(name));
        return found == values_.end() ? std::string() : found->second;
    }

  private:
    std::map<std::string, std::string> values_;
};

/// One request to a daemon or to the platform.
struct command_request {
    std::string method;
    std::string path;
    std::string body;
    std::string key; ///< Sent as bearer token; empty for none.
};

struct command_option {
    std::string_view name;
    std::string_view meaning;
    bool required = false;
};

/// One subcommand, such as `zone out`. `group` alone names a command without verb, such as `state`.
struct command {
    std::string_view group;
    std::string_view verb;
    std::string_view argument; ///< Name of the one argument; empty for none.
    std::string_view summary;
    std::vector<command_option> options;
    bool changes = false; ///< Whether `--dry-run` applies.
    /// Fails with `invalid_argument`.
    absl::StatusOr<command_request> (*compose)(const command_values& values);
};

/// All subcommands, in the order of the help text.
std::span<const command> commands();

} // namespace citronford
