#pragma once

#include "citronford/backend_link.h"
#include "citronford/chart_machine.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/table_service.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citronford {

/// The row that names the owner of the scheduler. Its version is the fencing token.
struct owner_row {
    node_id node;
    std::string incarnation;            ///< Distinguishes the processes of one node.
    bool released = false;              ///< The owner has left; nobody need wait for its lease.
    std::int64_t strength_permille = 0; ///< Of its VM; 0 if unknown.
};

// Inputs.

/// The rows as read from the table.
struct rows_observed {
    static constexpr std::string_view event_name = "rows_observed";
    std::optional<owner_row> owner;
    table_version owner_version = absent_row;
    table_version renewal_version = absent_row;
};
/// The table did not answer a read, so the owner may have been unable to renew, too.
struct rows_unavailable {
    static constexpr std::string_view event_name = "rows_unavailable";
};
struct claim_committed {
    static constexpr std::string_view event_name = "claim_committed";
    table_version version = 0;
};
/// Nothing was written.
struct claim_rejected {
    static constexpr std::string_view event_name = "claim_rejected";
};
struct claim_in_doubt {
    static constexpr std::string_view event_name = "claim_in_doubt";
};
struct renewal_committed {
    static constexpr std::string_view event_name = "renewal_committed";
    instant sent_at{};
};
/// Another node has become the owner.
struct renewal_conflict {
    static constexpr std::string_view event_name = "renewal_conflict";
};
struct release_ended {
    static constexpr std::string_view event_name = "release_ended";
};
struct ownership_stop {
    static constexpr std::string_view event_name = "stop_requested";
};
struct ownership_tick {
    static constexpr std::string_view event_name = "ownership_tick";
};

using ownership_input =
    std::variant<rows_observed, rows_unavailable, claim_committed, claim_rejected, claim_in_doubt,
                 renewal_committed, renewal_conflict, release_ended, ownership_stop,
                 ownership_tick>;

// Effects.

/// Write the owner row if it still has `expected`.
struct write_claim {
    table_version expected = absent_row;
};
/// Write the renewal row if the owner row still has `token`.
struct write_renewal {
    fencing_token token = 0;
};
struct write_release {
    fencing_token token = 0;
};
struct ownership_begun {
    fencing_token token = 0;
};
struct ownership_over {};
/// The node takes no part any more.
struct ownership_left {};

using ownership_effect = std::variant<write_claim, write_renewal, write_release, ownership_begun,
                                      ownership_over, ownership_left>;

struct ownership_options {
    node_id node;
    std::string incarnation;
    /// Another node may claim the ownership this long after the last renewal that it saw.
    duration lease = milliseconds(1600);
    duration renewal_period = milliseconds(350);
    /// How long an owner that cannot renew goes on with the work that it knows. A store outage
    /// stops renewals and claims alike; a new owner waits this long for servers that it cannot
    /// reach.
    duration grace = milliseconds(3400);
    /// What the VM can carry as the owner, against one that carries everything.
    std::int64_t strength_permille = 1000;
    /// Added to the wait before a claim, so that nodes of one strength do not claim together.
    duration claim_spread{};
};

/// Decides which entry VM owns the scheduler: one lease row in the table, renewed by its owner and
/// claimed by another node when the renewals stop.
class ownership {
  public:
    /// `life_cycle` is the chart `ownership`.
    static absl::StatusOr<ownership> create(const chart& life_cycle, ownership_options options);

    std::vector<ownership_effect> handle(const ownership_input& input, instant now);

    [[nodiscard]] bool owning() const;

    /// Until when an owner may take in new work. Later it goes on with the work that it knows.
    [[nodiscard]] instant lease_until() const {
        return context_.renewed_at + context_.options.lease;
    }

    /// Until when an owner may give orders to backend servers.
    [[nodiscard]] instant authority_until() const { return lease_until() + context_.options.grace; }

    /// When the rows should be read next, by what is known of them.
    [[nodiscard]] duration read_period(instant now) const;

    [[nodiscard]] std::string_view state() const { return machine_.name_of(position_); }

  private:
    struct step_context {
        ownership_options options;
        instant now{};
        std::optional<owner_row> owner;
        table_version owner_version = absent_row;
        table_version renewal_version = absent_row;
        std::optional<instant> changed_at; ///< When the rows were first seen as they are.
        fencing_token token = 0;
        instant renewed_at{}; ///< When the last renewal that was written had been sent.
        instant asked_at{};   ///< When the last claim or renewal was sent.
        std::vector<ownership_effect> effects;

        [[nodiscard]] duration claim_delay(const rows_observed& rows) const;
        [[nodiscard]] instant claimable_at(const rows_observed& rows) const;
    };
    using machine = chart_machine<step_context, ownership_input>;

    ownership(machine life_cycle, ownership_options options);

    machine machine_;
    chart_position position_;
    step_context context_;
};

} // namespace citronford
