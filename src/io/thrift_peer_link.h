#pragma once

#include "citronford/peer_link.h"
#include "citronford/timer_service.h"

#include <absl/status/status.h>
#include <uv.h>

#include <memory>
#include <string>

namespace citronford {

/// Peer messages over TCP on libuv, framed and authenticated by `frame_seal`, encoded by
/// `peer_codec`. Each end opens its own connection for what it sends. The accepting end first
/// sends its nonce, the other one answers with its own; then frames flow one way.
class thrift_peer_link final : public peer_link {
  public:
    thrift_peer_link(uv_loop_t* loop, timer_service& timers, std::string secret);
    thrift_peer_link(const thrift_peer_link&) = delete;
    thrift_peer_link& operator=(const thrift_peer_link&) = delete;
    thrift_peer_link(thrift_peer_link&&) = delete;
    thrift_peer_link& operator=(thrift_peer_link&&) = delete;
    ~thrift_peer_link() override;

    /// Listens for other daemons on `at`. Fails with `listen_failed`.
    absl::Status listen(const endpoint& at);

    void send(const member_id& from, const send_peer& item) override;
    void on_receive(receiver received, refusal refused) override;

    [[nodiscard]] std::uint16_t port() const;
    /// Bytes sent to peers, frames included.
    [[nodiscard]] std::uint64_t sent_bytes() const;

    struct implementation;

  private:
    std::unique_ptr<implementation> body_;
};

} // namespace citronford
