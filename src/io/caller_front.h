#pragma once

#include "citronford/caller_link.h"
#include "io/http_server.h"

#include <map>

namespace citronford {

class node;

/// HTTP front end for callers (docs/design.md, section 4.1).
class caller_front final : public caller_link {
  public:
    void answer(caller_id caller, const caller_answer& content) override;

    /// Passes a request to `target`, which must outlive this object.
    void handle(node& target, const http_request& request, const http_responder& responder);

    /// Number of callers that wait for their answer.
    [[nodiscard]] std::size_t open_callers() const { return callers_.size(); }

  private:
    void submit(node& target, std::string_view service, const http_request& request,
                const http_responder& responder);

    /// Assigns an id to a caller and keeps its responder until it is answered or disconnects.
    caller_id register_caller(node& target, const http_responder& responder);

    std::map<caller_id, http_responder> callers_;
    std::uint64_t next_caller_ = 1;
};

} // namespace citronford
