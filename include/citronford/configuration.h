#pragma once

#include "citronford/authorization.h"
#include "citronford/chart_machine.h"
#include "citronford/configuration_change.h"
#include "citronford/escrow.h"
#include "citronford/membership.h"

#include <absl/status/statusor.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace citronford {

/// Names one change asked of this node.
enum class change_id : std::uint64_t {};

// Inputs of the configuration.

struct configuration_tick {};
/// The configuration after a table scan begun at `begun_at`.
struct configuration_read {
    instant begun_at;
    fleet_configuration fleet;
    table_version version_row = 0; ///< Table version of the row `config/version`.
    member_id author;              ///< Writer of that row.
};
/// The configuration after an update by a peer.
struct configuration_pushed {
    member_id from;
    fleet_configuration fleet;
    table_version version_row = 0;
};
struct configuration_acknowledged {
    member_id from;
    configuration_version version = 0;
};
struct change_asked {
    change_id id{};
    configuration_change change;
    bool dry_run = false;
};
/// Result of `commit_change`.
struct change_committed {
    change_id id{};
    write_outcome outcome{};
    table_version version = 0;         ///< Version written, or the present one of a conflict.
    bool registration_changed = false; ///< The conflict was with the own registration.
};
/// Evidence of peers may have changed; sent after every input of `membership`.
struct peers_changed {};

using configuration_input =
    std::variant<configuration_tick, configuration_read, configuration_pushed,
                 configuration_acknowledged, change_asked, change_committed, peers_changed>;

// Effects of the configuration.

/// Write the rows of the change if `config/version` and the own registration are unchanged.
struct commit_change {
    change_id id{};
    configuration_change change;
    configuration_version version = 0; ///< Version to write.
    table_version version_row = 0;     ///< Present version of the row `config/version`.
    table_version registration = 0;    ///< Present version of the own registration.
    member_id author;
};
/// Whether a change is in force in one availability zone, and the nodes that are missing.
struct zone_progress {
    zone_id zone;
    std::vector<node_id> pending;
};
struct answer_change {
    change_id id{};
    absl::Status status;
    configuration_version version = 0;
    std::vector<zone_progress> zones;
};
/// Send the rows up to the present version to a peer.
struct push_configuration {
    node_id to;
    endpoint address;
};
/// Read the table now.
struct read_table {};
/// Renew the registration, so that a commit in doubt can no longer take effect.
struct fence_commit {};
/// The node's copy changed.
struct configuration_applied {};

using configuration_effect =
    std::variant<commit_change, answer_change, push_configuration, read_table, fence_commit,
                 configuration_applied, send_peer>;

struct configuration_options {
    duration answer_wait = milliseconds(4000); ///< An answer names pending zones after this time.
    duration removal_grace = seconds(3);       ///< As in `membership_options`.
    duration margin = milliseconds(100);       ///< Allowance for clocks of different rates.
};

/// The node's copy of the configuration: versions, age of confirmation, changes of operators.
class configuration {
  public:
    /// `change_chart` and `key_chart` are the charts `configuration_change` and `key`. `members`
    /// and `units` must outlive the configuration.
    static absl::StatusOr<std::unique_ptr<configuration>>
    create(const chart& change_chart, const chart& key_chart, const membership& members,
           const escrow& units, configuration_options options);

    std::vector<configuration_effect> handle(const configuration_input& input, instant now);

    [[nodiscard]] const fleet_configuration& fleet() const { return fleet_; }
    [[nodiscard]] table_version version_row() const { return version_row_; }
    /// Whether the table was read at least once.
    [[nodiscard]] bool loaded() const { return loaded_; }
    [[nodiscard]] bool commit_in_doubt() const;
    [[nodiscard]] instant confirmed_at() const;
    [[nodiscard]] configuration_view view() const;

    /// State of a key in the chart `key`; "active" for a key whose change is not under way here.
    [[nodiscard]] std::string_view key_state(const key_id& id) const;

  private:
    struct asked {
        static constexpr std::string_view event_name = "asked";
    };
    struct committed {
        static constexpr std::string_view event_name = "committed";
    };
    struct refused {
        static constexpr std::string_view event_name = "refused";
    };
    struct reply_lost {
        static constexpr std::string_view event_name = "reply_lost";
    };
    struct settled {
        static constexpr std::string_view event_name = "settled";
        bool written = false;
    };
    struct tick {
        static constexpr std::string_view event_name = "tick";
    };
    struct in_force_everywhere {
        static constexpr std::string_view event_name = "in_force";
    };
    using change_event = std::variant<asked, committed, refused, reply_lost, settled, tick>;
    using key_event = std::variant<asked, refused, in_force_everywhere>;

    /// One change asked of this node.
    struct change_entry {
        change_asked request;
        absl::Status status;               ///< Why the change was refused.
        configuration_version version = 0; ///< Written by the commit.
        table_version version_row = 0;     ///< Checked by the commit.
        table_version registration = 0;    ///< Checked by the commit.
        bool commit_again = false;         ///< Only the registration had changed.
        bool answered = false;
        bool members_read = false; ///< `missing` holds all nodes registered at the commit.
        instant asked_at;
        instant pushed_at;
        instant learned_at; ///< When the commit was known to be written.
        instant expires_at; ///< No node acts on an older version after this.
        instant fenced_at;  ///< When the commit was known to be impossible from then on.
        chart_position position{};
        std::map<member_id, zone_id> missing; ///< Nodes that have not acknowledged.
    };
    struct change_context {
        configuration& owner;
        change_entry& entry;
        instant now;
        std::vector<configuration_effect>& effects;
    };
    struct key_entry {
        chart_position position{};
        bool revocation = false; ///< Whether the last change asked for revokes the key.
    };
    using change_machine = chart_machine<change_context, change_event>;
    using key_machine = chart_machine<key_entry, key_event>;
    using effects_out = std::vector<configuration_effect>&;

    configuration(change_machine changes, key_machine keys, const membership& members,
                  const escrow& units, configuration_options options);

    void take(const configuration_tick& input, instant now, effects_out effects);
    void take(const configuration_read& input, instant now, effects_out effects);
    void take(const configuration_pushed& input, instant now, effects_out effects);
    void take(const configuration_acknowledged& input, instant now, effects_out effects);
    void take(const change_asked& input, instant now, effects_out effects);
    void take(const change_committed& input, instant now, effects_out effects);
    void take(const peers_changed& input, instant now, effects_out effects);

    void apply(const fleet_configuration& fleet, table_version version_row, instant now,
               effects_out effects);
    void adopt(instant evidence);
    void settle(change_entry& entry, const configuration_read& input, instant now,
                effects_out effects);
    void step(change_entry& entry, const change_event& event, instant now, effects_out effects);
    void step_key(const change_entry& entry, const key_event& event);
    void push(const change_entry& entry, effects_out effects) const;
    void update_missing(change_entry& entry);
    void answer(change_entry& entry, const absl::Status& status, instant now,
                effects_out effects) const;
    [[nodiscard]] absl::Status refusal(const change_asked& input, instant now) const;
    [[nodiscard]] bool acknowledged(const member_id& id, configuration_version version) const;
    [[nodiscard]] bool in_force(const change_entry& entry, instant now) const;
    [[nodiscard]] std::vector<zone_progress> zones_of(const change_entry& entry, instant now) const;

    change_machine changes_machine_;
    key_machine keys_machine_;
    const membership& members_;
    const escrow& units_;
    configuration_options options_;
    fleet_configuration fleet_;
    key_index key_index_; ///< Of the keys of `fleet_`.
    table_version version_row_ = absent_row;
    instant evidence_;       ///< The copy was confirmed as of then.
    instant evidence_since_; ///< Registration under which `evidence_` was found.
    instant expired_by_;     ///< When nodes with versions before the present one must have stopped.
    bool loaded_ = false;
    std::map<change_id, change_entry> changes_;
    std::map<key_id, key_entry> keys_;
    std::map<member_id, configuration_version> acknowledged_;
};

} // namespace citronford
