#include "io/job_front.h"

#include "io/digest.h"
#include "io/job_codec.h"
#include "node/node.h"

namespace citronford {

bool handle_job_request(node& target, caller_id caller, const http_request& request,
                        std::span<const std::string> path) {
    constexpr std::size_t collection_segments = 2;
    const key_digest digest = presented_digest(request.header("authorization"));
    if (path.size() == collection_segments) {
        if (request.method != "POST") {
            return false;
        }
        target.submit_job(caller, digest, parse_job(request.body));
        return true;
    }
    const job_id id(path[collection_segments]);
    if (request.method == "GET") {
        target.show_job(caller, digest, id);
        return true;
    }
    if (request.method == "DELETE") {
        target.cancel_job(caller, digest, id);
        return true;
    }
    return false;
}

} // namespace citronford
