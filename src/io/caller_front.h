#pragma once

#include "citronford/caller_link.h"
#include "io/http_server.h"

#include <map>

namespace citronford {

class node;

/// The HTTP interface for callers (docs/design.md, section 4.1).
class caller_front final : public caller_link {
  public:
    void answer(caller_id caller, const caller_answer& content) override;

    /// Handles one request by means of `target`, which must outlive the front.
    void handle(node& target, const http_request& request, const http_responder& responder);

    /// Callers that have not been answered.
    [[nodiscard]] std::size_t open_callers() const { return callers_.size(); }

  private:
    void submit(node& target, std::string_view service, const http_request& request,
                const http_responder& responder);

    /// Names a caller that waits for its answer.
    caller_id admit(node& target, const http_responder& responder);

    std::map<caller_id, http_responder> callers_;
    std::uint64_t next_caller_ = 1;
};

} // namespace citronford
