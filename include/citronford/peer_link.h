#pragma once

#include "citronford/endpoint.h"
#include "citronford/fleet_configuration.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/table_service.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace citronford {

/// One run of the daemon of a node. A node that lost its registration gets a new incarnation.
struct member_id {
    node_id node;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const member_id&,
                            const member_id&) = default; // NOLINT(modernize-use-nullptr)
};

// Messages between nodes. The sender is part of every message on the wire.

/// Announces the registration of the sender; a node answers heartbeats of announced senders only.
struct peer_hello {
    zone_id zone;
    endpoint address;
    table_version registered = 0; ///< Version of the registration row.
};
/// A probe, the answer to a probe, or both.
struct peer_heartbeat {
    std::int64_t probe_us = 0; ///< Time of the sender, to be echoed; 0 asks for no answer.
    std::int64_t echo_us = 0;  ///< Probe of the receiver that this answers; 0 for none.
    configuration_version version = 0;
    duration confirmation_age{}; ///< Age of the sender's confirmation when it sent this.
    bool commit_in_doubt = false;
    std::vector<member_id> unrecorded; ///< Givers of units that are not in the table yet.
};
/// The rows that lead from one version of the configuration to another.
struct configuration_update {
    configuration_version base = 0;
    configuration_version version = 0;
    table_version version_row = 0; ///< Table version of the row `config/version`.
    std::vector<table_row> rows;
};
struct configuration_ack {
    configuration_version version = 0;
};
/// Asks for idle units of a team.
struct unit_request {
    team_id team;
    std::int64_t wanted = 0;
    std::int64_t asked_us = 0; ///< Time of the sender, echoed by the transfer.
};
/// All units given to the receiver so far; a repeated or late message adds nothing.
struct unit_transfer {
    team_id team;
    std::int64_t total = 0;
    std::int64_t asked_us = 0;
};
struct unit_transfer_ack {
    team_id team;
    std::int64_t total = 0;
};
/// Says that the sender stops, and what it has given up to the receiver so far; repeated until the
/// receiver has sent back, with `confirms`, what it has taken over.
struct job_handover {
    std::vector<job_id> jobs;       ///< Their rows name the receiver.
    std::vector<worker_id> workers; ///< The sender renews their leases no more.
    bool confirms = false;          ///< The lists name what the sender has taken over.
};
/// The sender stops and commits nothing any more.
struct peer_goodbye {
    configuration_version version = 0;
};

using peer_message =
    std::variant<peer_hello, peer_heartbeat, configuration_update, configuration_ack, unit_request,
                 unit_transfer, unit_transfer_ack, job_handover, peer_goodbye>;

/// Effect of several modules: send one message to a peer.
struct send_peer {
    node_id to;
    endpoint address;
    peer_message message;
};

/// Messages to and from the other nodes. Delivery is not assured: a message may be lost, late or
/// repeated; its sender is authenticated.
class peer_link {
  public:
    using receiver = std::function<void(const member_id& from, const peer_message& message)>;
    /// The address of `node` refused a connection attempt begun at `begun_at`: no process listens.
    using refusal = std::function<void(const node_id& node, instant begun_at)>;

    peer_link() = default;
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    peer_link(peer_link&&) = delete;
    peer_link& operator=(peer_link&&) = delete;
    virtual ~peer_link() = default;

    /// Sends one message, connecting first if needed; drops it when the send buffer is full.
    virtual void send(const member_id& from, const send_peer& item) = 0;

    /// Sets the functions that receive messages and refusals.
    virtual void on_receive(receiver received, refusal refused) = 0;
};

} // namespace citronford
