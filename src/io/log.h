#pragma once

#include "citronford/instant.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <span>
#include <string>
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

/// Sends the lines to standard output instead of standard error. Called once, before the first
/// line.
void log_to_standard_output();

/// The file descriptor that the lines go to.
int log_descriptor();

/// Writes one line of key=value pairs to standard error: time, level, event, then the fields in
/// order. A value that holds white space, quotes or control characters is quoted and escaped.
/// Never pass a key of a team or a shared secret.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/// Limits the lines of events that repeat. Each kind of event writes up to `burst` lines a
/// `period`; the first line after that carries the field `suppressed` with the count of those left
/// out.
class log_limiter {
  public:
    static constexpr duration period = seconds(10);
    static constexpr int burst = 5;

    /// Like `log_event`. `kind` tells apart repetitions of one event, such as the result code; the
    /// caller bounds the number of kinds. Returns whether a line was due.
    bool log_repeated(log_level level, std::string_view event, std::string_view kind, instant now,
                      std::initializer_list<log_field> fields);

  private:
    struct repetition {
        instant begun_at;
        int written = 0;
        std::int64_t suppressed = 0;
    };
    std::map<std::string, repetition, std::less<>> repetitions_;
};

} // namespace citronford
