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
    bool released = false;              ///< The owner has stopped; its lease no longer counts.
    std::int64_t capacity_permille = 0; ///< As in `ownership_options`; 0 if unknown.
};

/// Offer of a VM to take over from an owner with much less capacity.
struct takeover_offer {
    node_id node;
    std::string incarnation;
    std::int64_t capacity_permille = 0;
    fencing_token token = 0; ///< Of the ownership that the VM would continue.
};

// Inputs.

/// The rows of the ownership as read from the table.
struct rows_observed {
    static constexpr std::string_view event_name = "rows_observed";
    std::optional<owner_row> owner;
    table_version owner_version = absent_row;
    table_version renewal_version = absent_row;
    duration read_time{}; ///< From the sending of the read to its answer.
    std::optional<takeover_offer> offer{};
    table_version offer_version = absent_row;
};
/// The table did not answer a read, so the owner may have been unable to renew as well.
struct rows_unavailable {
    static constexpr std::string_view event_name = "rows_unavailable";
};
struct claim_committed {
    static constexpr std::string_view event_name = "claim_committed";
    table_version version = 0;
};
/// The claim was not written.
struct claim_rejected {
    static constexpr std::string_view event_name = "claim_rejected";
};
/// The claim may have been written.
struct claim_in_doubt {
    static constexpr std::string_view event_name = "claim_in_doubt";
};
struct renewal_committed {
    static constexpr std::string_view event_name = "renewal_committed";
    instant sent_at{};
};
/// The owner row has changed: another node has become the owner.
struct renewal_conflict {
    static constexpr std::string_view event_name = "renewal_conflict";
};
/// The row is released, or another node has written it.
struct release_ended {
    static constexpr std::string_view event_name = "release_ended";
};
/// The write that hands the ownership over has ended, whatever its result.
struct transfer_ended {
    static constexpr std::string_view event_name = "transfer_ended";
};
/// The table refused the write that releases the row, or did not answer it.
struct release_failed {
    static constexpr std::string_view event_name = "release_failed";
};
/// A planned stop of the node was requested.
struct ownership_stop {
    static constexpr std::string_view event_name = "stop_requested";
};
struct ownership_tick {
    static constexpr std::string_view event_name = "ownership_tick";
};

using ownership_input =
    std::variant<rows_observed, rows_unavailable, claim_committed, claim_rejected, claim_in_doubt,
                 renewal_committed, renewal_conflict, transfer_ended, release_ended, release_failed,
                 ownership_stop, ownership_tick>;

// Effects.

/// Write the owner row if it still has the version `expected`.
struct write_claim {
    table_version expected = absent_row;
    std::int64_t last_capacity_permille = 0; ///< Of the last owner; 0 if unknown.
    duration unchanged{};                    ///< How long the rows have been seen unchanged.
};
/// Write the renewal row if the owner row still has the version `token`.
struct write_renewal {
    fencing_token token = 0;
};
/// Write the offer if the owner row still has the version in it.
struct write_offer {
    takeover_offer offer;
};
/// Make the VM that offered the owner if the owner row still has the version `token`.
struct write_transfer {
    fencing_token token = 0;
    takeover_offer to;
};
/// Mark the owner row as released if it still has the version `token`.
struct write_release {
    fencing_token token = 0;
};
struct ownership_begun {
    fencing_token token = 0;
};
struct ownership_ended {};
/// After a planned stop: the node neither owns nor claims the scheduler any more.
struct ownership_stopped {};

using ownership_effect =
    std::variant<write_claim, write_renewal, write_offer, write_transfer, write_release,
                 ownership_begun, ownership_ended, ownership_stopped>;

struct ownership_options {
    node_id node;
    std::string incarnation;
    /// Another node may claim the ownership this long after it first saw the last renewal.
    duration lease = milliseconds(1600);
    duration renewal_period = milliseconds(350);
    /// How long an owner continues with the work that it knows after its lease has expired. A table
    /// outage prevents renewals and claims alike. A new owner waits this long for backend servers
    /// that it cannot reach.
    duration grace = milliseconds(3400);
    /// Capacity of the VM for the work of the owner; 1000 is enough for the whole work.
    std::int64_t capacity_permille = 1000;
    /// Added to the delay of a claim, so that nodes of equal capacity do not claim simultaneously.
    duration claim_jitter{};
};

/// Decides whether this entry VM owns the scheduler. The owner row in the table is a lease that its
/// owner renews, and that another node claims when the renewals stop.
class ownership {
  public:
    /// `life_cycle` is the chart `ownership`.
    static absl::StatusOr<ownership> create(const chart& life_cycle, ownership_options options);

    std::vector<ownership_effect> handle(const ownership_input& input, instant now);

    [[nodiscard]] bool owning() const;

    /// Until when an owner may accept new work. After that it only continues the work that it
    /// knows.
    [[nodiscard]] instant lease_until() const {
        return context_.renewed_at + context_.options.lease;
    }

    /// Until when an owner may send orders to backend servers.
    [[nodiscard]] instant authority_until() const { return lease_until() + context_.options.grace; }

    /// Time between two reads of the rows; shorter when the lease seems about to expire. Nothing if
    /// the rows need not be read: no VM has more capacity than this owner.
    [[nodiscard]] std::optional<duration> poll_interval(instant now) const;

    [[nodiscard]] std::string_view state() const { return machine_.name_of(position_); }

  private:
    struct step_context {
        ownership_options options;
        instant now{};
        std::optional<owner_row> owner;
        table_version owner_version = absent_row;
        table_version renewal_version = absent_row;
        std::optional<instant> first_seen_at; ///< When the present row versions were first seen.
        instant owner_seen_at{};              ///< When `owner_version` was first seen.
        table_version offer_version = absent_row;
        instant offer_seen_at{};                ///< When `offer_version` was first seen.
        instant offer_sent_at = instant::min(); ///< When this VM last sent an offer.
        fencing_token token = 0;
        /// Of the last ownership of this process that has ended. Servers cannot tell its orders
        /// from those of another ownership with the same token, so it is not used again.
        std::optional<fencing_token> ended_token;
        instant renewed_at{};              ///< When the last successful claim or renewal was sent.
        instant last_sent_at{};            ///< When the last claim or renewal was sent.
        std::optional<instant> release_at; ///< When a failed release is written again.
        std::vector<ownership_effect> effects;

        [[nodiscard]] duration claim_delay(const rows_observed& rows) const;
        [[nodiscard]] instant claimable_at(const rows_observed& rows) const;
        /// Since when the rows are known to have been unchanged, up to this read.
        [[nodiscard]] instant unchanged_since(const rows_observed& rows) const;
        [[nodiscard]] bool should_offer(const rows_observed& rows) const;
        [[nodiscard]] bool should_accept(const rows_observed& rows) const;
    };
    using machine = chart_machine<step_context, ownership_input>;

    ownership(machine life_cycle, ownership_options options);

    machine machine_;
    chart_position position_;
    step_context context_;
};

} // namespace citronford
