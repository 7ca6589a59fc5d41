#pragma once

#include "io/http_server.h"

#include <string>
#include <vector>

namespace citronford {

class node;

/// Answers a request for pools or VMs (docs/design.md, section 4.2). `path` is the decoded path
/// without "v1" and not empty. Returns false, answering nothing, for any other path.
bool handle_pool_request(node& target, const http_request& request, const http_responder& responder,
                         const std::vector<std::string>& path);

} // namespace citronford
