#pragma once

#include "citronford/queue_catalog.h"
#include "citronford/workflow_caller.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string_view>

namespace citronford {

/// The queue of a request and the team that it belongs to.
struct queue_admission {
    const queue_definition* queue = nullptr; ///< In the catalogue that was asked.
    team_id team;                            ///< Empty on an open queue without a known key.
    std::string_view rest;                   ///< The path behind the prefix of the queue.
};

/// Decides whether a request may use a queue. `digest` computes the digest of its key. Fails with
/// `node_joining` when there is no catalogue yet, `unknown_service` when no queue fits, and
/// `key_missing` or `key_rejected` when the queue is not open and no team holds the key.
absl::StatusOr<queue_admission>
admit_request(const queue_catalog* catalog, const workflow_address& address,
              const std::function<key_digest(std::string_view)>& digest);

} // namespace citronford
