#pragma once

#include "citronford/worker_link.h"
#include "io/http_client.h"

namespace citronford {

/// Sends messages to workers over HTTP (docs/design.md, section 4.4).
class http_worker_link final : public worker_link {
  public:
    explicit http_worker_link(http_client& client) : client_(client) {}

    void sync(const endpoint& to, const sync_request& message, duration timeout,
              sync_callback done) override;

  private:
    http_client& client_;
};

} // namespace citronford
