#pragma once

#include "io/http_server.h"

namespace citronford {

class node;

/// The HTTP interface for operators (docs/design.md, section 4.2).
class operator_front {
  public:
    /// `target` must outlive the front.
    explicit operator_front(node& target) : node_(target) {}

    void handle(const http_request& request, const http_responder& responder);

  private:
    node& node_;
};

} // namespace citronford
