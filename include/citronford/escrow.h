#pragma once

#include "citronford/escrow_row.h"
#include "citronford/membership.h"
#include "citronford/team_limits.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace citronford {

// Inputs of escrow.

struct escrow_tick {};
/// Rows that changed since the scan before.
struct escrow_read {
    std::map<team_id, escrow_row> rows;
};
/// Result of the last `write_escrow`.
struct escrow_written {
    std::uint64_t number = 0; ///< Of the effect; results of earlier writes are ignored.
    write_outcome outcome{};
    table_version version = 0;
};
/// The limits in the node's copy of the configuration.
struct escrow_limits {
    configuration_version version = 0;
    std::map<team_id, std::int64_t> limits;
};
struct unit_request_heard {
    member_id from;
    unit_request message;
};
struct unit_transfer_heard {
    member_id from;
    unit_transfer message;
};
struct unit_transfer_ack_heard {
    member_id from;
    unit_transfer_ack message;
};
/// The node stops: return all units.
struct escrow_stop {};

using escrow_input =
    std::variant<escrow_tick, escrow_read, escrow_written, escrow_limits, unit_request_heard,
                 unit_transfer_heard, unit_transfer_ack_heard, escrow_stop>;

// Effects of escrow.

/// Replace rows in one transaction, if each still has the version that it carries.
struct write_escrow {
    std::uint64_t number = 0;
    std::map<team_id, escrow_row> rows;
};

using escrow_effect = std::variant<write_escrow, send_peer>;

struct escrow_options {
    duration write_pause = milliseconds(500);   ///< Between two writes of a node.
    duration request_pause = milliseconds(100); ///< Between two rounds of unit requests; doubles.
    duration request_pause_limit = seconds(2);
    duration transfer_window = seconds(2); ///< A transfer is valid this long after its request.
    duration backend_lease = seconds(30);  ///< Longest time that work of a lost node may run.
    std::uint32_t seed = 1;                ///< Of the random choice among peers.
};

/// Divides the limit of each team among the nodes. The sum of the units in a row never exceeds its
/// limit, and a node never runs more than its own part, changed by transfers from and to peers
/// that the row does not show yet.
class escrow {
  public:
    /// `members` and `limits` must outlive the escrow.
    escrow(const membership& members, team_limits& limits, escrow_options options);

    std::vector<escrow_effect> handle(const escrow_input& input, instant now);

    /// Nodes whose units came from these incarnations by transfers not recorded in the table.
    [[nodiscard]] std::vector<member_id> unrecorded() const;

    /// Nodes that hold more than their part of a limit of the configuration `version`; empty once
    /// every row is within the limits and was written under them.
    [[nodiscard]] std::set<node_id> above_limit(configuration_version version) const;

    /// Whether all units have been returned.
    [[nodiscard]] bool returned() const;

  private:
    struct account {
        std::int64_t limit = 0;                  ///< By the node's copy of the configuration.
        configuration_version limit_version = 0; ///< Version that changed the limit last.
        escrow_row row;
        std::map<member_id, std::int64_t> given;    ///< Totals by receiver.
        std::map<member_id, std::int64_t> received; ///< Totals by giver.
        std::map<member_id, std::int64_t> acknowledged;
        instant given_at;
        instant received_at;
        std::int64_t releasing = 0; ///< Units that a write under way or in doubt gives up.
        table_version release_check = 0;
        double peak = 0; ///< Recent most running; decays.
        instant refused_at;
        instant ask_at;
        duration ask_pause{};
    };
    using effects_out = std::vector<escrow_effect>&;
    /// Units that a node wants beyond its part at first; afterwards as many as it has.
    static constexpr std::int64_t first_request = 8;

    void take(const escrow_tick& input, instant now, effects_out effects);
    void take(const escrow_read& input, instant now, effects_out effects);
    void take(const escrow_written& input, instant now, effects_out effects);
    void take(const escrow_limits& input, instant now, effects_out effects);
    void take(const unit_request_heard& input, instant now, effects_out effects);
    void take(const unit_transfer_heard& input, instant now, effects_out effects);
    void take(const unit_transfer_ack_heard& input, instant now, effects_out effects);
    void take(const escrow_stop& input, instant now, effects_out effects);

    [[nodiscard]] const member_id& self() const { return members_.self(); }
    [[nodiscard]] std::int64_t limit_of(const account& item) const;
    [[nodiscard]] bool outdated(const account& item) const;
    [[nodiscard]] std::int64_t recorded(const account& item) const;
    [[nodiscard]] std::int64_t given_unrecorded(const account& item) const;
    [[nodiscard]] std::int64_t received_unrecorded(const account& item) const;
    [[nodiscard]] std::int64_t covered_of(const account& item) const;
    [[nodiscard]] std::int64_t units_of(const account& item) const;
    [[nodiscard]] std::int64_t target_of(const account& item) const;
    [[nodiscard]] bool is_member(const member_id& id) const;
    [[nodiscard]] bool may_reclaim(instant now) const;
    [[nodiscard]] bool holds(instant now) const;

    void begin_incarnation();
    void adopt(account& item, const escrow_row& row);
    void update_units();
    void note_absent(instant now);
    [[nodiscard]] bool unrecorded_with_absent(const account& item) const;
    bool drop_absent(escrow_row& row) const;
    void fold(const account& item, escrow_row& row) const;
    [[nodiscard]] std::int64_t even_part(const escrow_row& row) const;
    [[nodiscard]] bool refused_lately(const account& item) const;
    [[nodiscard]] std::int64_t idle_of(const team_id& team, const account& item) const;
    [[nodiscard]] std::int64_t passable_of(const account& item) const;
    [[nodiscard]] std::int64_t reserved(const account& item, const escrow_row& row) const;
    void release_idle(const team_id& team, account& item, escrow_row& row) const;
    void claim(const account& item, escrow_row& row) const;
    [[nodiscard]] escrow_row planned(const team_id& team, account& item, instant now);
    void write(instant now, effects_out effects);
    void ask(const team_id& team, account& item, instant now, effects_out effects);

    const membership& members_;
    team_limits& limits_;
    escrow_options options_;
    std::mt19937 random_;
    member_id incarnation_; ///< For which the accounts hold.
    configuration_version version_ = 0;
    std::map<team_id, account> accounts_;
    std::map<member_id, instant> absent_since_; ///< Holders of units without registration.
    std::map<team_id, escrow_row> writing_;     ///< Rows of the write under way.
    std::uint64_t write_number_ = 0;
    bool write_under_way_ = false;
    bool stopping_ = false;
    instant written_at_{};
    team_id first_; ///< Where the next write begins among the teams.
};

} // namespace citronford
