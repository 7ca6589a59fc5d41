#pragma once

#include "citronford/caller_link.h"
#include "io/http_server.h"

#include <span>
#include <string>

namespace citronford {

class node;

/// Passes a request for `/v1/jobs` or `/v1/jobs/{id}` (docs/design.md, section 4.1) to `target`,
/// which answers `caller` through `caller_link`. `path` has the decoded path segments. Returns
/// false without any effect if the resource does not support the method.
bool handle_job_request(node& target, caller_id caller, const http_request& request,
                        std::span<const std::string> path);

} // namespace citronford
