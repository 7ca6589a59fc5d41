#pragma once

#include "citronford/executor_link.h"
#include "io/http_client.h"

namespace citronford {

/// Sends attempts, outcome queries and probes over HTTP (docs/design.md, section 4.4).
class http_executor_link final : public executor_link {
  public:
    explicit http_executor_link(http_client& client) : client_(client) {}

    void send(const endpoint& to, const attempt& work, attempt_callback done) override;
    void query_outcome(const endpoint& to, const request_id& request,
                       outcome_callback done) override;
    void probe(const endpoint& to, probe_callback done) override;

  private:
    http_client& client_;
};

} // namespace citronford
