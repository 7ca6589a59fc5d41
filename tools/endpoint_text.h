#pragma once

#include "citronford/endpoint.h"

#include <charconv>
#include <string>
#include <string_view>

namespace citronford {

/// Parses `ADDRESS:PORT`; port 0 when the text is not of this form.
inline endpoint parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return {};
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size()) {
        return {};
    }
    return {std::string(text.substr(0, colon)), port};
}

} // namespace citronford
