#pragma once

#include "citronford/queue_catalog.h"
#include "citronford/workflow_caller.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string_view>

namespace citronford {

/// The queue that a request may use and the team that the request belongs to.
struct queue_admission {
    const queue_definition* queue = nullptr; ///< Points into the catalogue.
    team_id team;                            ///< Empty on an open queue.
    std::string_view path_suffix;            ///< The path after the prefix of the queue.
    resources team_limit;                    ///< Of the team; zero: no limit.
};

/// Decides whether a request may use a queue. `digest` computes the digest of an API key. Fails
/// with `node_joining` when there is no catalogue yet, `unknown_service` when no queue has the host
/// and path, and `key_missing` or `key_rejected` when the queue is not open and no team has the
/// key.
absl::StatusOr<queue_admission>
admit_request(const queue_catalog* catalog, const workflow_address& address,
              const std::function<key_digest(std::string_view)>& digest);

} // namespace citronford
