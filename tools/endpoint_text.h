#pragma once

#include "citronford/endpoint.h"

#include <arpa/inet.h>
#include <netdb.h>
#include <sys/socket.h>

#include <charconv>
#include <string>
#include <string_view>
#include <utility>

namespace citronford {

/// The IPv4 address of a host; empty when it has none. Blocking; for the start of a tool only.
inline std::string resolve_host(const std::string& host) {
    addrinfo hints{};
    hints.ai_family = AF_INET;
    hints.ai_socktype = SOCK_STREAM;
    addrinfo* found = nullptr;
    if (getaddrinfo(host.c_str(), nullptr, &hints, &found) != 0) {
        return {};
    }
    char text[INET_ADDRSTRLEN] = {};
    const auto* address = reinterpret_cast<const sockaddr_in*>(found->ai_addr);
    inet_ntop(AF_INET, &address->sin_addr, text, sizeof(text));
    freeaddrinfo(found);
    return text;
}

/// Parses `HOST:PORT`; port 0 when the text is not of this form or the host has no address.
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
    std::string address = resolve_host(std::string(text.substr(0, colon)));
    if (address.empty()) {
        return {};
    }
    return {std::move(address), port};
}

} // namespace citronford
