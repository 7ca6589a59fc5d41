#pragma once

#include "citronford/endpoint.h"
#include "io/http_client.h"

#include <string>
#include <string_view>

namespace citronford {

/// The request line, the head and `body` of a call.
std::string request_text(const endpoint& to, const http_call& call, std::string_view body,
                         bool keep_alive);

} // namespace citronford
