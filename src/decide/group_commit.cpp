#include "citronford/group_commit.h"

#include "citronford/claim_sweep.h"
#include "citronford/overloaded.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace citronford {
namespace {

constexpr std::string_view claimed_state = "claimed";
constexpr std::string_view not_run_state = "not_run";

/// Claim transactions of the whole fleet: 182 per second with a burst of 50. Over any three seconds
/// that is at most 200 per second for up to 50 nodes, of the several hundred that the table
/// sustains.
constexpr duration fleet_transaction_interval{5500};
constexpr std::size_t fleet_transaction_burst = 50;

/// Reads of claim rows by the whole fleet, besides the one row that each conflict names: 800 per
/// second with a burst of 800. Any second then has at most 1,600 such reads, of the two thousand
/// that the table sustains.
constexpr duration fleet_read_interval{1250};
constexpr std::size_t fleet_read_burst = 800;

/// Limits the exponents of powers of two.
constexpr int max_doublings = 16;

/// Consecutive conflicts after which verified claims are sent without unverified ones.
constexpr int conflicts_before_isolation = 2;

/// First word of a claim row: "claimed" or the outcome.
std::string_view row_state(std::string_view value) {
    return value.substr(0, value.find(' '));
}

} // namespace

std::string claim_key(const request_id& request) {
    constexpr std::uint32_t buckets = 65536;
    const XXH64_hash_t hash = XXH3_64bits(request.view().data(), request.view().size());
    return claim_bucket_prefix(static_cast<std::uint32_t>(hash % buckets)) + request.str();
}

std::string group_commit::claim_value(std::string_view state, caller_id caller) const {
    return std::string(state) + ' ' + options_.node.str() + ' ' + options_.incarnation + ' ' +
           std::to_string(static_cast<std::uint64_t>(caller));
}

std::vector<group_commit_effect> group_commit::handle(const group_commit_input& input,
                                                      instant now) {
    std::vector<group_commit_effect> effects;
    std::visit([&](const auto& event) { process(event, now, effects); }, input);
    if (!std::holds_alternative<idle>(state_)) {
        return effects;
    }
    const instant next = next_transaction();
    if (next <= now) {
        fill_batch();
        if (!batch_.empty()) {
            send_batch(now, effects);
        }
    } else if (next != instant::max() && next != next_tick_at_) {
        next_tick_at_ = next;
        effects.emplace_back(schedule_commit_tick{next});
    }
    return effects;
}

/// When the next batch may be sent; `instant::max()` if nothing is queued. The last available
/// permit is reserved for claims, since callers wait for them: outcomes node_count a transaction
/// with a claim, or use that permit after `max_outcome_wait`.
instant group_commit::next_transaction() const {
    if (!batch_.empty() || !queued_claims_.empty()) {
        return transaction_limit_.available_at(1);
    }
    if (queued_outcomes_.empty()) {
        return instant::max();
    }
    return std::min(transaction_limit_.available_at(2),
                    std::max(transaction_limit_.available_at(1),
                             queued_outcomes_.front().queued_at + options_.max_outcome_wait));
}

void group_commit::set_node_count(std::size_t nodes) {
    const std::size_t node_count = std::max(nodes, std::size_t{1});
    const auto factor = static_cast<std::int64_t>(node_count);
    set_transaction_rate(fleet_transaction_interval * factor,
                         std::max(fleet_transaction_burst / node_count, std::size_t{1}));
    set_read_rate(fleet_read_interval * factor,
                  std::clamp(fleet_read_burst / node_count, std::size_t{1}, options_.batch_limit));
}

std::size_t group_commit::open_entries() const {
    return queued_claims_.size() + queued_outcomes_.size() + batch_.size() + row_reads_.size();
}

void group_commit::process(const claim_requested& event, instant /*now*/, effects_out effects) {
    // While the table does not answer, a claim would only wait until its deadline.
    const bool table_unresponsive =
        consecutive_failures_ > 1 && (in_doubt_ || std::holds_alternative<backing_off>(state_));
    if (queued_claims_.size() >= options_.queue_limit || table_unresponsive) {
        effects.emplace_back(claim_refused{event.caller});
        return;
    }
    queued_claims_.push_back({claim_entry{event.caller}, claim_key(event.request), absent_row,
                              claim_value(claimed_state, event.caller), instant()});
}

void group_commit::process(const claim_abandoned& event, instant /*now*/, effects_out /*effects*/) {
    const auto of_caller = [&](const entry& item) {
        const auto* claim = std::get_if<claim_entry>(&item.kind);
        return claim != nullptr && claim->caller == event.caller;
    };
    std::erase_if(queued_claims_, of_caller);
    std::erase_if(row_reads_, [&](const auto& item) { return of_caller(item.second); });
    for (entry& item : batch_) {
        if (of_caller(item)) {
            std::get<claim_entry>(item.kind).abandoned = true;
        }
    }
}

void group_commit::process(const outcome_resolved& event, instant now, effects_out /*effects*/) {
    const std::string key = claim_key(event.request);
    const auto claim = granted_claims_.find(key);
    if (claim == granted_claims_.end()) {
        return;
    }
    const granted_claim recorded = claim->second;
    granted_claims_.erase(claim);
    if (queued_outcomes_.size() < options_.outcome_limit) {
        queued_outcomes_.push_back({outcome_entry{}, key, recorded.version,
                                    claim_value(event.outcome, recorded.caller), now});
    }
}

void group_commit::process(const outcome_unresolved& event, instant /*now*/,
                           effects_out /*effects*/) {
    granted_claims_.erase(claim_key(event.request));
}

void group_commit::process(const transaction_committed& event, instant /*now*/,
                           effects_out effects) {
    complete_batch(event.version, effects);
}

void group_commit::process(const transaction_conflict& event, instant now, effects_out effects) {
    consecutive_failures_ = 0;
    const auto found = std::ranges::find(batch_, event.key, &entry::key);
    if (in_doubt_ && found != batch_.end()) {
        // The row of an outcome may hold the same value from an earlier transaction; only the row
        // of a claim shows whether this transaction was committed.
        const auto claim = std::ranges::find_if(batch_, [](const entry& item) {
            return std::holds_alternative<claim_entry>(item.kind);
        });
        state_ = resolving_doubt{};
        effects.emplace_back(read_claim_row{claim != batch_.end() ? claim->key : event.key});
        return;
    }
    state_ = idle{};
    if (found != batch_.end()) {
        resolve_conflict(static_cast<std::size_t>(found - batch_.begin()), now, effects);
    }
}

/// Reads the row whose check failed and, with each further consecutive conflict, 1, 3, 7, ... more
/// rows of the batch. Otherwise every repeated request id would cost a transaction of its own while
/// many ids are sent again.
void group_commit::resolve_conflict(std::size_t index, instant now, effects_out effects) {
    // The table names the first check that failed, so all checks before it passed.
    for (std::size_t before = 0; before < index; ++before) {
        if (auto* claim = std::get_if<claim_entry>(&batch_[before].kind)) {
            claim->verified = true;
        }
    }
    const std::size_t max_reads = consecutive_conflicts_ < max_doublings
                                      ? std::size_t{1} << consecutive_conflicts_
                                      : options_.batch_limit;
    ++consecutive_conflicts_;
    start_row_read(index, effects);
    for (std::size_t reads_started = 1; reads_started < max_reads && index < batch_.size();) {
        const auto* claim = std::get_if<claim_entry>(&batch_[index].kind);
        if (claim == nullptr || claim->verified) {
            ++index;
            continue;
        }
        if (!read_limit_.allows(now)) {
            break;
        }
        read_limit_.acquire(now);
        start_row_read(index, effects);
        ++reads_started;
    }
    if (consecutive_conflicts_ < conflicts_before_isolation) {
        return;
    }
    // Unverified claims go back to the queue, so that they cannot fail the transaction of verified
    // ones.
    const auto unverified =
        std::stable_partition(batch_.begin(), batch_.end(), [](const entry& item) {
            const auto* claim = std::get_if<claim_entry>(&item.kind);
            return claim == nullptr || claim->verified;
        });
    queued_claims_.insert(queued_claims_.begin(), std::make_move_iterator(unverified),
                          std::make_move_iterator(batch_.end()));
    batch_.erase(unverified, batch_.end());
}

void group_commit::start_row_read(std::size_t index, effects_out effects) {
    const auto position = batch_.begin() + static_cast<std::ptrdiff_t>(index);
    effects.emplace_back(read_claim_row{position->key});
    std::string key = position->key;
    row_reads_.emplace(std::move(key), std::move(*position));
    batch_.erase(position);
}

void group_commit::process(const transaction_refused& /*event*/, instant now, effects_out effects) {
    refuse_queued_claims(effects);
    ++consecutive_failures_;
    state_ = backing_off{now + retry_delay()};
    if (in_doubt_) {
        return;
    }
    for (entry& item : batch_) {
        if (const auto* claim = std::get_if<claim_entry>(&item.kind)) {
            effects.emplace_back(claim_refused{claim->caller});
        }
    }
    std::erase_if(batch_,
                  [](const entry& item) { return std::holds_alternative<claim_entry>(item.kind); });
}

void group_commit::process(const transaction_in_doubt& /*event*/, instant now,
                           effects_out effects) {
    in_doubt_ = true;
    ++consecutive_failures_;
    if (consecutive_failures_ > 1) {
        refuse_queued_claims(effects);
    }
    state_ = backing_off{now + retry_delay()};
}

void group_commit::process(const claim_row_read& event, instant /*now*/, effects_out effects) {
    if (std::holds_alternative<resolving_doubt>(state_)) {
        const auto found = std::ranges::find(batch_, event.key, &entry::key);
        if (found != batch_.end()) {
            in_doubt_ = false;
            // A transaction writes all of its rows or none, so one row with the value of this batch
            // shows that the whole batch was committed.
            const bool own = event.row && event.row->value == found->value;
            if (own) {
                complete_batch(event.row->version, effects);
                return;
            }
            entry item = std::move(*found);
            batch_.erase(found);
            state_ = idle{};
            resolve_entry(std::move(item), event.row, effects);
            return;
        }
    }
    const auto found = row_reads_.find(event.key);
    if (found != row_reads_.end()) {
        entry item = std::move(found->second);
        row_reads_.erase(found);
        resolve_entry(std::move(item), event.row, effects);
    }
}

void group_commit::process(const claim_row_read_failed& event, instant now,
                           effects_out /*effects*/) {
    read_retry_at_[event.key] = now + options_.initial_retry_delay;
}

void group_commit::process(const commit_tick& /*event*/, instant now, effects_out effects) {
    for (auto item = read_retry_at_.begin(); item != read_retry_at_.end();) {
        if (item->second > now) {
            ++item;
            continue;
        }
        effects.emplace_back(read_claim_row{item->first});
        item = read_retry_at_.erase(item);
    }
    const auto* backoff = std::get_if<backing_off>(&state_);
    if (backoff == nullptr || backoff->until > now) {
        return;
    }
    state_ = idle{};
    if (in_doubt_) {
        send_batch(now, effects);
    }
}

duration group_commit::retry_delay() const {
    const int doublings = std::min(consecutive_failures_ - 1, max_doublings);
    return std::min(options_.initial_retry_delay * (std::int64_t{1} << doublings),
                    options_.max_retry_delay);
}

/// Moves queued entries to the batch up to its limit: outcomes first, since nothing is gained by
/// delaying them, then claims. A key appears at most once in a transaction, and not while its row
/// is being read.
void group_commit::fill_batch() {
    std::set<std::string> keys;
    for (const entry& item : batch_) {
        keys.insert(item.key);
    }
    const bool verified_only =
        consecutive_conflicts_ >= conflicts_before_isolation && has_verified_claims();
    const auto deferred = [&](const entry& item) {
        const auto* claim = std::get_if<claim_entry>(&item.kind);
        return verified_only && claim != nullptr && !claim->verified;
    };
    const auto move_from = [&](std::deque<entry>& waiting) {
        std::deque<entry> deferred_entries;
        while (!waiting.empty() && batch_.size() < options_.batch_limit) {
            entry item = std::move(waiting.front());
            waiting.pop_front();
            if (deferred(item) || row_reads_.contains(item.key) || !keys.insert(item.key).second) {
                deferred_entries.push_back(std::move(item));
                continue;
            }
            batch_.push_back(std::move(item));
        }
        waiting.insert(waiting.begin(), std::make_move_iterator(deferred_entries.begin()),
                       std::make_move_iterator(deferred_entries.end()));
    };
    move_from(queued_outcomes_);
    move_from(queued_claims_);
}

bool group_commit::has_verified_claims() const {
    const auto verified = [](const entry& item) {
        const auto* claim = std::get_if<claim_entry>(&item.kind);
        return claim != nullptr && claim->verified;
    };
    return std::ranges::any_of(batch_, verified) || std::ranges::any_of(queued_claims_, verified);
}

void group_commit::send_batch(instant now, effects_out effects) {
    transaction_limit_.acquire(now);
    commit_transaction transaction;
    for (const entry& item : batch_) {
        transaction.checks.push_back({item.key, item.expected});
        transaction.writes.push_back({item.key, item.value});
    }
    state_ = in_flight{};
    effects.emplace_back(std::move(transaction));
}

void group_commit::complete_batch(table_version version, effects_out effects) {
    in_doubt_ = false;
    consecutive_failures_ = 0;
    state_ = idle{};
    const std::vector<entry> completed = std::exchange(batch_, {});
    if (std::ranges::any_of(completed, [](const entry& item) {
            const auto* claim = std::get_if<claim_entry>(&item.kind);
            return claim != nullptr && !claim->verified;
        })) {
        consecutive_conflicts_ = 0;
    }
    for (const entry& item : completed) {
        std::visit(overloaded{
                       [&](const claim_entry& claim) { grant(item, claim, version, effects); },
                       [](const outcome_entry&) {},
                   },
                   item.kind);
    }
}

void group_commit::grant(const entry& item, const claim_entry& claim, table_version version,
                         effects_out effects) {
    if (claim.abandoned) {
        queued_outcomes_.push_back({outcome_entry{}, item.key, version,
                                    claim_value(not_run_state, claim.caller), instant()});
        return;
    }
    ++claims_granted_;
    granted_claims_[item.key] = {claim.caller, version};
    effects.emplace_back(claim_recorded{claim.caller});
}

/// Resolves an entry whose check failed, based on the row in the table.
void group_commit::resolve_entry(entry item, const std::optional<table_row>& row,
                                 effects_out effects) {
    const auto* claim = std::get_if<claim_entry>(&item.kind);
    if (claim == nullptr) {
        // The row already holds this outcome or was deleted, so there is nothing to record.
        return;
    }
    if (row && row->value == item.value) {
        grant(item, *claim, row->version, effects);
        return;
    }
    if (claim->abandoned) {
        return;
    }
    const std::string_view state = row ? row_state(*row->value) : std::string_view();
    // An id that was refused as "not run" may be claimed again; the claim checks the version of
    // that record.
    if (!row || state == not_run_state) {
        item.expected = row ? row->version : absent_row;
        std::get<claim_entry>(item.kind).verified = true;
        queued_claims_.push_front(std::move(item));
        return;
    }
    effects.emplace_back(
        claim_taken{claim->caller, state == claimed_state ? std::string() : std::string(state)});
}

/// Refuses the claims that were not sent yet.
void group_commit::refuse_queued_claims(effects_out effects) {
    for (const entry& item : queued_claims_) {
        effects.emplace_back(claim_refused{std::get<claim_entry>(item.kind).caller});
    }
    queued_claims_.clear();
}

} // namespace citronford
