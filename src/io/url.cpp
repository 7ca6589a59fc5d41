#include "io/url.h"

#include <cctype>
#include <charconv>

namespace citronford {

std::string url_encoded(std::string_view text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_' || c == '~') {
            result += c;
        } else {
            result += '%';
            result += digits[byte >> 4U];
            result += digits[byte & 15U];
        }
    }
    return result;
}

std::string url_decoded(std::string_view text) {
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned value = 0;
        constexpr int base = 16;
        const char* digits = text.data() + index + 1;
        if (text[index] == '%' && index + 2 < text.size() &&
            std::from_chars(digits, digits + 2, value, base).ptr == digits + 2) {
            result += static_cast<char>(value);
            index += 2;
        } else {
            result += text[index];
        }
    }
    return result;
}

std::string query_value(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const auto end = query.find('&');
        const std::string_view pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
            return url_decoded(pair.substr(equals + 1));
        }
        query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    }
    return {};
}

bool is_dry_run(std::string_view query) {
    return query_value(query, "dry_run") == "1";
}

std::vector<std::string> path_segments(std::string_view path) {
    std::vector<std::string> segments;
    while (!path.empty()) {
        const auto end = path.find('/');
        if (end != 0) {
            segments.push_back(url_decoded(path.substr(0, end)));
        }
        path = end == std::string_view::npos ? std::string_view() : path.substr(end + 1);
    }
    return segments;
}

} // namespace citronford
