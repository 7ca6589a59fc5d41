#pragma once

#include "io/http_server.h"

#include <string>
#include <vector>

namespace citronford {

class node;

/// Handles an operator request for pools or VMs (docs/design.md, section 4.2). `path` is the
/// decoded path without "v1" and is not empty. Returns false without a response for any other path.
bool handle_pool_request(node& target, const http_request& request, const http_responder& responder,
                         const std::vector<std::string>& path);

} // namespace citronford
