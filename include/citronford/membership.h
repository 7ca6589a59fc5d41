#pragma once

#include "citronford/chart_machine.h"
#include "citronford/peer_link.h"

#include <absl/status/statusor.h>

#include <map>
#include <memory>
#include <span>
#include <variant>
#include <vector>

namespace citronford {

/// Row `node/{id}`.
struct node_registration {
    member_id member;
    zone_id zone;
    endpoint address;
    duration lease{}; ///< Lifetime without renewal.
};

struct registration_row {
    node_registration registration;
    table_version version = 0;
};

// Inputs of membership.

struct membership_tick {};
/// All registrations, read by a scan begun at `begun_at`.
struct registrations_read {
    instant begun_at;
    std::vector<registration_row> rows;
    table_version version = 0; ///< Version of the table that the rows reflect.
};
enum class write_outcome { committed, conflict, unavailable, in_doubt };
/// Result of the last `write_registration`.
struct registration_written {
    instant sent_at; ///< Of the effect; results of earlier writes are ignored.
    write_outcome outcome{};
    table_version version = 0;
};
struct hello_heard {
    member_id from;
    peer_hello message;
};
struct heartbeat_heard {
    member_id from;
    peer_heartbeat message;
};
struct goodbye_heard {
    member_id from;
    peer_goodbye message;
};
struct peer_refused {
    node_id node;
    instant begun_at;
};
/// Write the registration again now; used to invalidate a commit in doubt.
struct renewal_asked {};
/// The node may act on its last confirmation for `limit`: its registration, and with it its part of
/// the teams' limits, is to last as long.
struct confirmation_limit_set {
    duration limit{};
};
/// The node stops: delete the registration and say goodbye.
struct membership_stop {};

using membership_input = std::variant<membership_tick, registrations_read, registration_written,
                                      hello_heard, heartbeat_heard, goodbye_heard, peer_refused,
                                      renewal_asked, confirmation_limit_set, membership_stop>;

// Effects of membership.

/// Write the registration if the row has version `check`.
struct write_registration {
    instant sent_at;
    table_version check = 0;
    node_registration registration;
};
/// Delete a registration if the row still has this version. The own registration must be unchanged
/// too, so that a delayed write of a former incarnation deletes nothing.
struct erase_registration {
    node_id node;
    table_version check = 0;
    table_version own_check = 0;
};

using membership_effect = std::variant<write_registration, erase_registration, send_peer>;

/// What the heartbeats of this node say.
struct heartbeat_state {
    configuration_version version = 0;
    instant confirmed_at;
    bool commit_in_doubt = false;
    std::vector<member_id> unrecorded;
};

struct membership_options {
    member_id self;
    zone_id zone;
    endpoint address;
    /// Lifetime of the registration without renewal; longer where the confirmation limit is.
    duration lease = seconds(10);
    duration retention = seconds(600);      ///< Lifetime with renewal by unanimity alone.
    duration heartbeat_period = seconds(1); ///< Pause between two probes of a peer.
    /// A registration is deleted this long after its lease, so that its holder does not act on its
    /// last confirmation any more. At least the default confirmation limit.
    duration removal_grace = seconds(3);
    /// A refused connection says that a node made no change only if it was heard this long before:
    /// a node that was silent for longer may have told an operator of a change and ended since.
    /// At most the shortest confirmation limit.
    duration refusal_window = seconds(2);
    duration margin = milliseconds(200); ///< Allowance for clocks that run at different rates.
};

/// What this node knows of another registered node.
struct member {
    node_registration registration;
    table_version version = 0; ///< Of the row.
    instant row_seen;          ///< When the row was first read with this version.
    chart_position position{};
    instant heard_at;           ///< Last message.
    instant answered_to;        ///< When this node last answered a probe of the member.
    instant known_at;           ///< A probe sent then was answered, or a connection refused.
    bool refused = false;       ///< The last sign was a refused connection.
    bool refused_early = false; ///< Refused within `refusal_window`, and since then.
    bool acknowledged = false;  ///< The member answered a probe, so it knows this node.
    bool left = false;
    instant erased_at;                ///< Last attempt to delete the registration.
    table_version erased_version = 0; ///< Version that the attempt may have deleted.
    peer_heartbeat last;              ///< Last heartbeat.
    instant clean_probe;              ///< Send time of the probe that `last` answered.
};

/// Registration of this node, the other nodes and what is known of them.
///
/// The registration is held until `held_until`: the lease that it names after the last successful
/// write, or `lease` after probes that every registered node answered. A node that answers a probe
/// does not delete the sender's registration for `lease`; a node that not every other node knows
/// yet waits for `retention`. So no node is deleted that still relies on its registration, and a
/// platform outage without partition ends no registration before `retention`.
class membership {
  public:
    /// `lease` and `life_cycle` are the charts `lease` and `member`.
    static absl::StatusOr<std::unique_ptr<membership>>
    create(const chart& lease, const chart& life_cycle, membership_options options);

    std::vector<membership_effect> handle(const membership_input& input, instant now);

    /// Sets what heartbeats say; to be called before `handle` when it changed.
    void publish(heartbeat_state state) { state_ = std::move(state); }

    [[nodiscard]] const member_id& self() const { return options_.self; }
    [[nodiscard]] const zone_id& zone() const { return options_.zone; }
    /// Version of the own registration row; `absent_row` while there is none.
    [[nodiscard]] table_version row_version() const { return row_version_; }
    [[nodiscard]] bool registered() const { return row_version_ != absent_row; }
    [[nodiscard]] instant registered_since() const { return registered_since_; }
    [[nodiscard]] instant held_until() const;
    [[nodiscard]] std::string_view lease_state() const;

    /// Whether every other registered node knows this one.
    [[nodiscard]] bool established() const;
    /// The other registered nodes.
    [[nodiscard]] const std::map<node_id, member>& members() const { return members_; }
    [[nodiscard]] std::string_view state_of(const member& item) const;
    /// Registered nodes heard of lately, this one included.
    [[nodiscard]] std::vector<node_registration> live(instant now) const;
    /// When the list of registered nodes was last read; the scan began then.
    [[nodiscard]] instant read_at() const { return read_at_; }

    /// No change after `version` was committed before this instant, as far as peers can tell:
    /// rules (b) and (c) of docs/design.md, section 6.1.
    [[nodiscard]] instant confirmed_by_peers(configuration_version version, instant now) const;

    /// Incarnations whose registration ended, and when this node noticed.
    [[nodiscard]] const std::map<member_id, instant>& ended() const { return ended_; }

  private:
    struct tick {
        static constexpr std::string_view event_name = "tick";
    };
    struct registered_event {
        static constexpr std::string_view event_name = "registered";
    };
    struct missing {
        static constexpr std::string_view event_name = "missing";
    };
    struct stop {
        static constexpr std::string_view event_name = "stop";
    };
    struct heard {
        static constexpr std::string_view event_name = "heard";
    };
    struct left {
        static constexpr std::string_view event_name = "left";
    };
    struct lease_context {
        membership& owner;
        instant now;
        std::vector<membership_effect>& effects;
    };
    struct member_context {
        membership& owner;
        member& item;
        instant now;
        std::vector<membership_effect>& effects;
    };
    using lease_event = std::variant<tick, registered_event, missing, stop>;
    using member_event = std::variant<tick, heard, left, missing>;
    using lease_machine = chart_machine<lease_context, lease_event>;
    using member_machine = chart_machine<member_context, member_event>;
    using effects_out = std::vector<membership_effect>&;

    membership(lease_machine lease, member_machine life_cycle, membership_options options);

    void take(const membership_tick& input, instant now, effects_out effects);
    void take(const registrations_read& input, instant now, effects_out effects);
    void take(const registration_written& input, instant now, effects_out effects);
    void take(const hello_heard& input, instant now, effects_out effects);
    void take(const heartbeat_heard& input, instant now, effects_out effects);
    void take(const goodbye_heard& input, instant now, effects_out effects);
    void take(const peer_refused& input, instant now, effects_out effects);
    void take(const renewal_asked& input, instant now, effects_out effects);
    void take(const confirmation_limit_set& input, instant now, effects_out effects);
    void take(const membership_stop& input, instant now, effects_out effects);

    void read_own(const registrations_read& input, instant now, effects_out effects);
    void read_members(const registrations_read& input, instant now, effects_out effects);
    void write(instant now, effects_out effects);
    void confirm_row(table_version version, instant sent_at, duration lease, instant now,
                     effects_out effects);
    [[nodiscard]] duration held_lease() const;
    void step_lease(const lease_event& event, instant now, effects_out effects);
    void step_member(member& item, const member_event& event, instant now, effects_out effects);
    [[nodiscard]] bool removable(const member& item, instant now) const;
    [[nodiscard]] instant unanimous_at() const;
    [[nodiscard]] peer_heartbeat own_heartbeat(instant now) const;
    member& admit(const node_registration& registration, table_version version, instant now);
    void drop(const node_id& node, instant now, effects_out effects);

    lease_machine lease_;
    member_machine life_cycle_;
    membership_options options_;
    chart_position position_;
    heartbeat_state state_;
    table_version row_version_ = absent_row;
    table_version foreign_row_ = absent_row; ///< Row of this node's id by another incarnation.
    bool foreign_elsewhere_ = false;         ///< That row names another address.
    bool read_once_ = false;
    bool writing_ = false;
    bool renew_now_ = false;
    instant written_at_{};        ///< When the last write was sent.
    instant unresolved_since_{};  ///< First write sent since the row was last known.
    instant renewed_at_{};        ///< When the last successful write was sent.
    duration wanted_lease_;       ///< Named by the next write.
    duration written_lease_{};    ///< Named by the last write sent.
    duration unresolved_lease_{}; ///< Shortest of the writes sent since the row was last known.
    duration row_lease_{};        ///< Named by the row as last known.
    instant registered_since_{};
    instant probed_at_{};
    instant read_at_{};
    std::map<node_id, member> members_;
    std::map<member_id, instant> ended_;
};

} // namespace citronford
