#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace citronford {

/// A TCP endpoint by numeric IP address.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&,
                            const endpoint&) = default; // NOLINT(modernize-use-nullptr)
};

} // namespace citronford
