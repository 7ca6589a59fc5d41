#pragma once

#include "citronford/caller_link.h"
#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/rate_limit.h"
#include "citronford/table_service.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citronford {

// Inputs of the group commit.

/// A request id is to be claimed for a caller.
struct claim_requested {
    caller_id caller{};
    request_id request;
};
/// The caller was answered "not run" before the result of its claim was known.
struct claim_abandoned {
    caller_id caller{};
};
/// The outcome of a request whose claim was granted to this node is known.
struct outcome_resolved {
    request_id request;
    std::string outcome; ///< "done" or "not_run".
};
/// The outcome of a request whose claim was granted to this node will never be known.
struct outcome_unresolved {
    request_id request;
};
/// The transaction in flight was committed.
struct transaction_committed {
    table_version version = 0;
};
/// The transaction in flight was not committed because the check of `key` failed.
struct transaction_conflict {
    std::string key;
};
/// The table refused this message and wrote nothing for it. An earlier message with the same batch
/// may still have been committed.
struct transaction_refused {};
/// No reply arrived: the transaction may have been committed or may still be committed.
struct transaction_in_doubt {};
/// Reply to `read_claim_row`; `row` is empty if the row does not exist.
struct claim_row_read {
    std::string key;
    std::optional<table_row> row;
};
/// A `read_claim_row` failed.
struct claim_row_read_failed {
    std::string key;
};
/// Timer tick: retries that are due are sent.
struct commit_tick {};

using group_commit_input =
    std::variant<claim_requested, claim_abandoned, outcome_resolved, outcome_unresolved,
                 transaction_committed, transaction_conflict, transaction_refused,
                 transaction_in_doubt, claim_row_read, claim_row_read_failed, commit_tick>;

// Effects of the group commit.

struct commit_transaction {
    std::vector<table_check> checks;
    std::vector<table_write> writes;
};
struct read_claim_row {
    std::string key;
};
/// The claim is recorded in the table for this caller.
struct claim_recorded {
    caller_id caller{};
};
/// The request id was claimed before by another caller.
struct claim_taken {
    caller_id caller{};
    std::string outcome; ///< Recorded outcome; empty while it is unknown.
};
/// The claim is known not to be recorded.
struct claim_refused {
    caller_id caller{};
};

/// Deliver a `commit_tick` at this instant; replaces an earlier schedule.
struct schedule_commit_tick {
    instant at;
};

using group_commit_effect = std::variant<commit_transaction, read_claim_row, claim_recorded,
                                         claim_taken, claim_refused, schedule_commit_tick>;

struct group_commit_options {
    node_id node;
    std::string incarnation;          ///< Unique for every start of the node; without spaces.
    std::size_t batch_limit = 64;     ///< Maximum number of rows per transaction.
    std::size_t queue_limit = 512;    ///< Maximum number of queued claims; more are refused.
    std::size_t outcome_limit = 4096; ///< Maximum number of queued outcomes; more are not recorded.
    duration initial_retry_delay{50000}; ///< First delay before a retry; doubles.
    duration max_retry_delay{1000000};   ///< Maximum delay before a retry.
    duration max_outcome_wait{
        100000}; ///< Longest time an outcome waits to share a transaction with a claim.
};

/// Batches the claims and outcomes of a node into conditional transactions, one in flight at a
/// time. The version of every row is checked, so a transaction is idempotent: while its result is
/// in doubt, it is retried until the result is known.
class group_commit {
  public:
    explicit group_commit(group_commit_options options) : options_(std::move(options)) {}

    std::vector<group_commit_effect> handle(const group_commit_input& input, instant now);

    /// Sets this node's share of the fleet-wide transaction and read rates, for `nodes` live nodes.
    void set_node_count(std::size_t nodes);

    /// `interval` is the minimum mean time between two transactions; zero disables the limit.
    void set_transaction_rate(duration interval, std::size_t burst) {
        transaction_limit_.configure(interval, burst);
    }
    /// Limits the reads of rows that may be claimed already. The row that a conflict names is
    /// always read, without regard to this limit.
    void set_read_rate(duration interval, std::size_t burst) {
        read_limit_.configure(interval, burst);
    }

    /// Claims and outcomes that are queued, in flight or being read.
    [[nodiscard]] std::size_t open_entries() const;

    /// Number of claims granted since the node started.
    [[nodiscard]] std::uint64_t claims_granted() const { return claims_granted_; }

    /// Granted claims that wait for their outcome. After that, no state of a claim is kept.
    [[nodiscard]] std::size_t open_claims() const { return granted_claims_.size(); }

  private:
    struct claim_entry {
        caller_id caller{};
        bool abandoned = false;
        /// The version check of the row passed in an earlier transaction or matches a read.
        bool verified = false;
    };
    struct outcome_entry {};
    /// A row to be written by a transaction.
    struct entry {
        std::variant<claim_entry, outcome_entry> kind;
        std::string key;
        table_version expected = absent_row;
        std::string value;
        instant queued_at; ///< Start of `max_outcome_wait`; zero for an entry that does not wait.
    };
    struct granted_claim {
        caller_id caller{};
        table_version version = 0;
    };
    // States of the batch.
    struct idle {};
    struct in_flight {};
    struct backing_off {
        instant until;
    };
    /// A retry met a conflict: a row is read to find out whether an earlier message was committed.
    struct resolving_doubt {};
    using effects_out = std::vector<group_commit_effect>&;

    void process(const claim_requested& event, instant now, effects_out effects);
    void process(const claim_abandoned& event, instant now, effects_out effects);
    void process(const outcome_resolved& event, instant now, effects_out effects);
    void process(const outcome_unresolved& event, instant now, effects_out effects);
    void process(const transaction_committed& event, instant now, effects_out effects);
    void process(const transaction_conflict& event, instant now, effects_out effects);
    void process(const transaction_refused& event, instant now, effects_out effects);
    void process(const transaction_in_doubt& event, instant now, effects_out effects);
    void process(const claim_row_read& event, instant now, effects_out effects);
    void process(const claim_row_read_failed& event, instant now, effects_out effects);
    void process(const commit_tick& event, instant now, effects_out effects);

    [[nodiscard]] std::string claim_value(std::string_view state, caller_id caller) const;
    [[nodiscard]] duration retry_delay() const;
    [[nodiscard]] instant next_transaction() const;
    void fill_batch();
    [[nodiscard]] bool has_verified_claims() const;
    void start_row_read(std::size_t index, effects_out effects);
    void resolve_conflict(std::size_t index, instant now, effects_out effects);
    void send_batch(instant now, effects_out effects);
    void complete_batch(table_version version, effects_out effects);
    void resolve_entry(entry item, const std::optional<table_row>& row, effects_out effects);
    void grant(const entry& item, const claim_entry& claim, table_version version,
               effects_out effects);
    void refuse_queued_claims(effects_out effects);

    group_commit_options options_;
    std::deque<entry> queued_claims_;
    std::deque<entry> queued_outcomes_;
    std::vector<entry> batch_; ///< Entries of the transaction in flight.
    std::variant<idle, in_flight, backing_off, resolving_doubt> state_;
    bool in_doubt_ = false; ///< A message with this batch may have been committed.
    /// Conflicts since a batch with unverified claims was committed.
    int consecutive_conflicts_ = 0;
    rate_limit transaction_limit_{duration::zero(), 1};
    rate_limit read_limit_{duration::zero(), 1};
    instant next_tick_at_{};                 ///< Of the last `schedule_commit_tick`.
    int consecutive_failures_ = 0;           ///< Messages in a row that were refused or in doubt.
    std::map<std::string, entry> row_reads_; ///< Entries whose row is being read, by key.
    std::map<std::string, instant> read_retry_at_; ///< Retries of failed row reads, by key.
    std::uint64_t claims_granted_ = 0;
    std::map<std::string, granted_claim> granted_claims_; ///< By key, until the outcome is known.
};

/// Table key of the claim of `request`: the prefix of its bucket, chosen by hash, and the id.
std::string claim_key(const request_id& request);

} // namespace citronford
