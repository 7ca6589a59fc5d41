#include "io/log.h"

#include "citronford/overloaded.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <utility>

namespace citronford {
namespace {

bool to_standard_output = false;

spdlog::logger& event_logger() {
    static const std::shared_ptr<spdlog::logger> logger = [] {
        spdlog::sink_ptr sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
        if (to_standard_output) {
            sink = std::make_shared<spdlog::sinks::stdout_sink_st>();
        }
        auto created = std::make_shared<spdlog::logger>("citronford", std::move(sink));
        created->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v",
                             spdlog::pattern_time_type::utc);
        created->flush_on(spdlog::level::trace);
        return created;
    }();
    return *logger;
}

spdlog::level::level_enum spdlog_level(log_level level) {
    switch (level) {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        break;
    }
    return spdlog::level::err;
}

bool needs_quotes(std::string_view text) {
    if (text.empty()) {
        return true;
    }
    for (const char c : text) {
        if (static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '=' || c == '\\') {
            return true;
        }
    }
    return false;
}

void append_text(std::string& line, std::string_view text) {
    if (!needs_quotes(text)) {
        line += text;
        return;
    }
    line += '"';
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (static_cast<unsigned char>(c) < ' ') {
            line += ' ';
        } else {
            line += c;
        }
    }
    line += '"';
}

} // namespace

void log_to_standard_output() {
    to_standard_output = true;
}

int log_descriptor() {
    return to_standard_output ? STDOUT_FILENO : STDERR_FILENO;
}

void set_log_level(log_level level) {
    event_logger().set_level(spdlog_level(level));
}

bool parse_log_level(std::string_view name, log_level& level) {
    constexpr std::pair<std::string_view, log_level> names[] = {{"debug", log_level::debug},
                                                                {"info", log_level::info},
                                                                {"warning", log_level::warning},
                                                                {"error", log_level::error}};
    for (const auto& [text, value] : names) {
        if (text == name) {
            level = value;
            return true;
        }
    }
    return false;
}

namespace {

void write_line(log_level level, std::string_view event, std::span<const log_field> fields,
                std::int64_t suppressed) {
    spdlog::logger& logger = event_logger();
    if (!logger.should_log(spdlog_level(level))) {
        return;
    }
    std::string line = "event=";
    append_text(line, event);
    for (const auto& [name, value] : fields) {
        line += ' ';
        line += name;
        line += '=';
        std::visit(overloaded{
                       [&](std::string_view text) { append_text(line, text); },
                       [&](std::int64_t number) { line += std::to_string(number); },
                       [&](double number) { line += fmt::format("{:.6g}", number); },
                   },
                   value);
    }
    if (suppressed > 0) {
        line += " suppressed=" + std::to_string(suppressed);
    }
    logger.log(spdlog_level(level), "{}", line);
}

} // namespace

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    write_line(level, event, {fields.begin(), fields.size()}, 0);
}

bool log_limiter::log_repeated(log_level level, std::string_view event, std::string_view kind,
                               instant now, std::initializer_list<log_field> fields) {
    const std::string key = std::string(event) + '/' + std::string(kind);
    const auto [place, first] = repetitions_.try_emplace(key, repetition{now});
    repetition& seen = place->second;
    if (now - seen.begun_at >= period) {
        seen = {now, 0, seen.suppressed};
    }
    if (seen.written >= burst) {
        ++seen.suppressed;
        return false;
    }
    ++seen.written;
    write_line(level, event, {fields.begin(), fields.size()}, std::exchange(seen.suppressed, 0));
    return true;
}

} // namespace citronford
