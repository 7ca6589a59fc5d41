#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <utility>
#include <variant>

namespace citronford {

enum class log_level { debug, info, warning, error };

using log_value = std::variant<std::string_view, std::int64_t, double>;
using log_field = std::pair<std::string_view, log_value>;

/// Sets the lowest level that is written.
void set_log_level(log_level level);

/// The level named `debug`, `info`, `warning` or `error`; false for any other name.
bool parse_log_level(std::string_view name, log_level& level);

/// Writes one line of key=value pairs to standard error: time, level, event, then the fields in
/// order. A value that holds white space, quotes or control characters is quoted and escaped.
/// Never pass a key of a team or a shared secret.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace citronford
