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
/// The caller was answered "not run" before its claim was settled.
struct claim_abandoned {
    caller_id caller{};
};
/// The outcome of a request whose claim this node was granted.
struct outcome_resolved {
    request_id request;
    std::string outcome; ///< "done" or "not_run".
};
/// The outcome of a request whose claim this node was granted will not be learned.
struct outcome_unresolved {
    request_id request;
};
/// The transaction in flight was committed.
struct transaction_committed {
    table_version version = 0;
};
/// The transaction in flight was not committed: the check of `key` failed.
struct transaction_conflict {
    std::string key;
};
/// The table refused the transaction and wrote nothing for this message.
struct transaction_refused {};
/// No reply came: the transaction may have been committed or may yet be.
struct transaction_in_doubt {};
/// Reply to `read_claim_row`; `row` is empty when the row does not exist.
struct claim_row_read {
    std::string key;
    std::optional<table_row> row;
};
/// The row could not be read.
struct claim_row_read_failed {
    std::string key;
};
/// Time passed; pauses are checked.
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
/// The claim is recorded and belongs to this caller.
struct claim_recorded {
    caller_id caller{};
};
/// Another caller claimed the request id before.
struct claim_taken {
    caller_id caller{};
    std::string outcome; ///< Recorded outcome; empty while it is not known.
};
/// The claim was certainly not recorded.
struct claim_refused {
    caller_id caller{};
};

/// Give a `commit_tick` at this instant; replaces an earlier wish.
struct schedule_commit_tick {
    instant at;
};

using group_commit_effect = std::variant<commit_transaction, read_claim_row, claim_recorded,
                                         claim_taken, claim_refused, schedule_commit_tick>;

struct group_commit_options {
    node_id node;
    std::string incarnation;            ///< Distinct for every start of the node; no spaces.
    std::size_t batch_limit = 64;       ///< Rows of one transaction, at most.
    std::size_t queue_limit = 512;      ///< Claims that wait for a transaction, at most.
    std::size_t outcome_limit = 4096;   ///< Outcomes that wait, at most; more are not recorded.
    duration retry_pause{50000};        ///< First pause before a repetition; doubles.
    duration retry_pause_most{1000000}; ///< Longest pause before a repetition.
    duration outcome_wait{100000};      ///< Longest wait of an outcome for a claim to go with.
};

/// Batches the claims and outcomes of a node's claim rows into one conditional transaction at a
/// time. Every row of a transaction is checked, so repeating it is idempotent: a transaction in
/// doubt is repeated until its result is known.
class group_commit {
  public:
    explicit group_commit(group_commit_options options) : options_(std::move(options)) {}

    std::vector<group_commit_effect> handle(const group_commit_input& input, instant now);

    /// Takes this node's part of what the table serves to `nodes` nodes.
    void set_node_count(std::size_t nodes);

    /// `interval` is the least mean time between two transactions. A zero interval bounds nothing.
    void set_transaction_rate(duration interval, std::size_t burst) {
        transactions_.set(interval, burst);
    }
    /// Bounds the reads of rows that are suspected to be taken. A conflict always reads the row
    /// that it names.
    void set_read_rate(duration interval, std::size_t burst) { reads_.set(interval, burst); }

    /// Claims and outcomes that are not settled.
    [[nodiscard]] std::size_t open_entries() const;

    /// Claims granted since the node started.
    [[nodiscard]] std::uint64_t claims_granted() const { return claims_granted_; }

    /// Granted claims whose outcome is not recorded yet; nothing else is remembered of a claim.
    [[nodiscard]] std::size_t open_claims() const { return granted_.size(); }

  private:
    struct claim_entry {
        caller_id caller{};
        bool abandoned = false;
        /// The check of the row held in an earlier transaction or against a reading.
        bool verified = false;
    };
    struct outcome_entry {};
    /// One row of a transaction.
    struct entry {
        std::variant<claim_entry, outcome_entry> kind;
        std::string key;
        table_version expected = absent_row;
        std::string value;
        instant since; ///< When an outcome began to wait.
    };
    struct granted_claim {
        caller_id caller{};
        table_version version = 0;
    };
    /// What happens to the batch.
    struct idle {};
    struct in_flight {};
    struct pausing {
        instant until;
    };
    struct reading_own {}; ///< A repetition met a conflict: was the first message committed?
    using effects_out = std::vector<group_commit_effect>&;

    void take(const claim_requested& event, instant now, effects_out effects);
    void take(const claim_abandoned& event, instant now, effects_out effects);
    void take(const outcome_resolved& event, instant now, effects_out effects);
    void take(const outcome_unresolved& event, instant now, effects_out effects);
    void take(const transaction_committed& event, instant now, effects_out effects);
    void take(const transaction_conflict& event, instant now, effects_out effects);
    void take(const transaction_refused& event, instant now, effects_out effects);
    void take(const transaction_in_doubt& event, instant now, effects_out effects);
    void take(const claim_row_read& event, instant now, effects_out effects);
    void take(const claim_row_read_failed& event, instant now, effects_out effects);
    void take(const commit_tick& event, instant now, effects_out effects);

    [[nodiscard]] std::string claim_value(std::string_view state, caller_id caller) const;
    [[nodiscard]] duration pause() const;
    [[nodiscard]] instant next_transaction() const;
    void fill_batch();
    [[nodiscard]] bool verified_waiting() const;
    void start_reading(std::size_t index, effects_out effects);
    void settle_conflict(std::size_t index, instant now, effects_out effects);
    void send_batch(instant now, effects_out effects);
    void settle_committed(table_version version, effects_out effects);
    void settle_read(entry item, const std::optional<table_row>& row, effects_out effects);
    void granted(const entry& item, const claim_entry& claim, table_version version,
                 effects_out effects);
    void refuse_waiting(effects_out effects);

    group_commit_options options_;
    std::deque<entry> claims_;   ///< Claims that wait for a transaction.
    std::deque<entry> outcomes_; ///< Outcomes that wait for a transaction.
    std::vector<entry> batch_;   ///< Entries of the transaction in flight.
    std::variant<idle, in_flight, pausing, reading_own> state_;
    bool in_doubt_ = false; ///< A message with this batch may have been committed.
    int conflicts_ = 0;     ///< Conflicts since a batch with unverified claims was committed.
    rate_limit transactions_{duration::zero(), 1};
    rate_limit reads_{duration::zero(), 1};
    instant wake_at_{};                     ///< Last instant of a `schedule_commit_tick`.
    int repetitions_ = 0;                   ///< Messages without a definite result in a row.
    std::map<std::string, entry> reading_;  ///< Entries whose row is read after a conflict.
    std::map<std::string, instant> unread_; ///< When a row that could not be read is read again.
    std::uint64_t claims_granted_ = 0;
    std::map<std::string, granted_claim> granted_; ///< By key, until the outcome is recorded.
};

/// Table key of the claim of `request`: the part of the key that holds it, by hash, and the id.
std::string claim_key(const request_id& request);

} // namespace citronford
