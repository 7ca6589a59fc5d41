#pragma once

#include "citronford/timer_service.h"
#include "io/http_server.h"
#include "io/metrics.h"

#include <cstddef>
#include <functional>
#include <utility>

namespace citronford {

class node;

/// What the operator port shows of the process besides its node.
struct process_view {
    metrics& registry;
    timer_service& timers;
    std::function<std::size_t()> open_connections; ///< Of callers.
};

/// The HTTP interface for operators (docs/design.md, section 4.2).
class operator_front {
  public:
    /// `own` tells what only the process knows. Both `target` and its parts must outlive the front.
    operator_front(node& target, process_view own) : node_(target), own_(std::move(own)) {}

    void handle(const http_request& request, const http_responder& responder);

  private:
    node& node_;
    process_view own_;
};

} // namespace citronford
