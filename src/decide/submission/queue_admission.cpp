#include "citronford/queue_admission.h"

#include "citronford/result_code.h"

namespace citronford {

absl::StatusOr<queue_admission>
admit_request(const queue_catalog* catalog, const workflow_address& address,
              const std::function<key_digest(std::string_view)>& digest) {
    if (catalog == nullptr) {
        return make_status(result_code::node_joining, "no configuration has been read yet");
    }
    const queue_definition* queue = catalog->match_queue(address.host, address.path);
    if (queue == nullptr) {
        return make_status(result_code::unknown_service, "no queue has this host and path");
    }
    queue_admission admission{queue, {}, address.path.substr(queue->prefix.size()), {}};
    if (queue->open) {
        return admission;
    }
    if (address.key.empty()) {
        return make_status(result_code::key_missing, "the queue requires an API key of a team");
    }
    const catalog_team* team = catalog->team_of_key(digest(address.key));
    if (team == nullptr) {
        return make_status(result_code::key_rejected, "no team has the API key");
    }
    admission.team = team->name;
    admission.team_limit = team->limit;
    return admission;
}

} // namespace citronford
