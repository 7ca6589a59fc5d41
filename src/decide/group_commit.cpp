#include "citronford/group_commit.h"

#include "citronford/claim_sweep.h"
#include "citronford/overloaded.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace citronford {
namespace {

constexpr std::string_view claimed = "claimed";
constexpr std::string_view not_run_outcome = "not_run";

/// Claim transactions of all nodes together: 182 a second and 50 saved up, so that any three
/// seconds hold at most 200 a second for up to 50 nodes, of the several hundred that the table
/// takes.
constexpr duration fleet_transaction_interval{5500};
constexpr std::size_t fleet_transaction_burst = 50;

/// Reads of claim rows beyond the one that each conflict names: 800 a second of the fleet and as
/// many saved up, so that a second holds at most 1,600 besides those of the conflicts, of the two
/// thousand that the table takes.
constexpr duration fleet_read_interval{1250};
constexpr std::size_t fleet_read_burst = 800;

/// Bound of the exponents of repeated doubling.
constexpr int doublings_most = 16;

/// Conflicts in a row from which claims that passed their check are sent without unverified ones.
constexpr int conflicts_of_a_flood = 2;

/// First word of a claim row: "claimed" or the outcome.
std::string_view state_of(std::string_view value) {
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
    std::visit([&](const auto& event) { take(event, now, effects); }, input);
    if (!std::holds_alternative<idle>(state_)) {
        return effects;
    }
    const instant next = next_transaction();
    if (next <= now) {
        fill_batch();
        if (!batch_.empty()) {
            send_batch(now, effects);
        }
    } else if (next != instant::max() && next != wake_at_) {
        wake_at_ = next;
        effects.emplace_back(schedule_commit_tick{next});
    }
    return effects;
}

/// When the waiting entries may be sent; `instant::max()` without any. The last saved transaction
/// is left to claims, since callers wait for them: an outcome goes with a claim or waits a little.
instant group_commit::next_transaction() const {
    if (!batch_.empty() || !claims_.empty()) {
        return transactions_.next(1);
    }
    if (outcomes_.empty()) {
        return instant::max();
    }
    return std::min(
        transactions_.next(2),
        std::max(transactions_.next(1), outcomes_.front().since + options_.outcome_wait));
}

void group_commit::set_node_count(std::size_t nodes) {
    const std::size_t share = std::max(nodes, std::size_t{1});
    const auto factor = static_cast<std::int64_t>(share);
    set_transaction_rate(fleet_transaction_interval * factor,
                         std::max(fleet_transaction_burst / share, std::size_t{1}));
    set_read_rate(fleet_read_interval * factor,
                  std::clamp(fleet_read_burst / share, std::size_t{1}, options_.batch_limit));
}

std::size_t group_commit::open_entries() const {
    return claims_.size() + outcomes_.size() + batch_.size() + reading_.size();
}

void group_commit::take(const claim_requested& event, instant /*now*/, effects_out effects) {
    // While the table is known not to answer, a claim could only wait for its deadline.
    const bool table_out =
        repetitions_ > 1 && (in_doubt_ || std::holds_alternative<pausing>(state_));
    if (claims_.size() >= options_.queue_limit || table_out) {
        effects.emplace_back(claim_refused{event.caller});
        return;
    }
    claims_.push_back({claim_entry{event.caller}, claim_key(event.request), absent_row,
                       claim_value(claimed, event.caller), instant()});
}

void group_commit::take(const claim_abandoned& event, instant /*now*/, effects_out /*effects*/) {
    const auto of_caller = [&](const entry& item) {
        const auto* claim = std::get_if<claim_entry>(&item.kind);
        return claim != nullptr && claim->caller == event.caller;
    };
    std::erase_if(claims_, of_caller);
    std::erase_if(reading_, [&](const auto& item) { return of_caller(item.second); });
    for (entry& item : batch_) {
        if (of_caller(item)) {
            std::get<claim_entry>(item.kind).abandoned = true;
        }
    }
}

void group_commit::take(const outcome_resolved& event, instant now, effects_out /*effects*/) {
    const std::string key = claim_key(event.request);
    const auto claim = granted_.find(key);
    if (claim == granted_.end()) {
        return;
    }
    const granted_claim recorded = claim->second;
    granted_.erase(claim);
    if (outcomes_.size() < options_.outcome_limit) {
        outcomes_.push_back({outcome_entry{}, key, recorded.version,
                             claim_value(event.outcome, recorded.caller), now});
    }
}

void group_commit::take(const outcome_unresolved& event, instant /*now*/, effects_out /*effects*/) {
    granted_.erase(claim_key(event.request));
}

void group_commit::take(const transaction_committed& event, instant /*now*/, effects_out effects) {
    settle_committed(event.version, effects);
}

void group_commit::take(const transaction_conflict& event, instant now, effects_out effects) {
    repetitions_ = 0;
    const auto found = std::ranges::find(batch_, event.key, &entry::key);
    if (in_doubt_ && found != batch_.end()) {
        // The row of an outcome can hold its value from an earlier transaction; only the row of a
        // claim tells whether this one was committed.
        const auto claim = std::ranges::find_if(batch_, [](const entry& item) {
            return std::holds_alternative<claim_entry>(item.kind);
        });
        state_ = reading_own{};
        effects.emplace_back(read_claim_row{claim != batch_.end() ? claim->key : event.key});
        return;
    }
    state_ = idle{};
    if (found != batch_.end()) {
        settle_conflict(static_cast<std::size_t>(found - batch_.begin()), now, effects);
    }
}

/// Reads the row of the failed check and, after further conflicts in a row, 1, 3, 7, ... more rows
/// of the batch: while many ids are sent again, one row a conflict would cost one transaction each.
void group_commit::settle_conflict(std::size_t index, instant now, effects_out effects) {
    // The table names the first check that failed, so the checks before it held.
    for (std::size_t before = 0; before < index; ++before) {
        if (auto* claim = std::get_if<claim_entry>(&batch_[before].kind)) {
            claim->verified = true;
        }
    }
    const std::size_t reads_most =
        conflicts_ < doublings_most ? std::size_t{1} << conflicts_ : options_.batch_limit;
    ++conflicts_;
    start_reading(index, effects);
    for (std::size_t reads = 1; reads < reads_most && index < batch_.size();) {
        const auto* claim = std::get_if<claim_entry>(&batch_[index].kind);
        if (claim == nullptr || claim->verified) {
            ++index;
            continue;
        }
        if (!reads_.allows(now)) {
            break;
        }
        reads_.take(now);
        start_reading(index, effects);
        ++reads;
    }
    if (conflicts_ < conflicts_of_a_flood) {
        return;
    }
    // Unverified claims wait, so that they fail no transaction of claims whose check held.
    const auto unverified =
        std::stable_partition(batch_.begin(), batch_.end(), [](const entry& item) {
            const auto* claim = std::get_if<claim_entry>(&item.kind);
            return claim == nullptr || claim->verified;
        });
    claims_.insert(claims_.begin(), std::make_move_iterator(unverified),
                   std::make_move_iterator(batch_.end()));
    batch_.erase(unverified, batch_.end());
}

void group_commit::start_reading(std::size_t index, effects_out effects) {
    const auto place = batch_.begin() + static_cast<std::ptrdiff_t>(index);
    effects.emplace_back(read_claim_row{place->key});
    std::string key = place->key;
    reading_.emplace(std::move(key), std::move(*place));
    batch_.erase(place);
}

void group_commit::take(const transaction_refused& /*event*/, instant now, effects_out effects) {
    refuse_waiting(effects);
    ++repetitions_;
    state_ = pausing{now + pause()};
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

void group_commit::take(const transaction_in_doubt& /*event*/, instant now, effects_out effects) {
    in_doubt_ = true;
    ++repetitions_;
    if (repetitions_ > 1) {
        refuse_waiting(effects);
    }
    state_ = pausing{now + pause()};
}

void group_commit::take(const claim_row_read& event, instant /*now*/, effects_out effects) {
    if (std::holds_alternative<reading_own>(state_)) {
        const auto found = std::ranges::find(batch_, event.key, &entry::key);
        if (found != batch_.end()) {
            in_doubt_ = false;
            // A transaction writes all its rows or none, so one own row settles the whole batch.
            const bool own = event.row && event.row->value == found->value;
            if (own) {
                settle_committed(event.row->version, effects);
                return;
            }
            entry item = std::move(*found);
            batch_.erase(found);
            state_ = idle{};
            settle_read(std::move(item), event.row, effects);
            return;
        }
    }
    const auto found = reading_.find(event.key);
    if (found != reading_.end()) {
        entry item = std::move(found->second);
        reading_.erase(found);
        settle_read(std::move(item), event.row, effects);
    }
}

void group_commit::take(const claim_row_read_failed& event, instant now, effects_out /*effects*/) {
    unread_[event.key] = now + options_.retry_pause;
}

void group_commit::take(const commit_tick& /*event*/, instant now, effects_out effects) {
    for (auto item = unread_.begin(); item != unread_.end();) {
        if (item->second > now) {
            ++item;
            continue;
        }
        effects.emplace_back(read_claim_row{item->first});
        item = unread_.erase(item);
    }
    const auto* pause = std::get_if<pausing>(&state_);
    if (pause == nullptr || pause->until > now) {
        return;
    }
    state_ = idle{};
    if (in_doubt_) {
        send_batch(now, effects);
    }
}

duration group_commit::pause() const {
    const int doublings = std::min(repetitions_ - 1, doublings_most);
    return std::min(options_.retry_pause * (std::int64_t{1} << doublings),
                    options_.retry_pause_most);
}

/// Adds waiting entries up to the batch limit: outcomes first, which free nothing by waiting, then
/// claims. A key appears once in a transaction, and not while its row is read.
void group_commit::fill_batch() {
    std::set<std::string> keys;
    for (const entry& item : batch_) {
        keys.insert(item.key);
    }
    const bool verified_only = conflicts_ >= conflicts_of_a_flood && verified_waiting();
    const auto held_back = [&](const entry& item) {
        const auto* claim = std::get_if<claim_entry>(&item.kind);
        return verified_only && claim != nullptr && !claim->verified;
    };
    const auto move_from = [&](std::deque<entry>& waiting) {
        std::deque<entry> later;
        while (!waiting.empty() && batch_.size() < options_.batch_limit) {
            entry item = std::move(waiting.front());
            waiting.pop_front();
            if (held_back(item) || reading_.contains(item.key) || !keys.insert(item.key).second) {
                later.push_back(std::move(item));
                continue;
            }
            batch_.push_back(std::move(item));
        }
        waiting.insert(waiting.begin(), std::make_move_iterator(later.begin()),
                       std::make_move_iterator(later.end()));
    };
    move_from(outcomes_);
    move_from(claims_);
}

bool group_commit::verified_waiting() const {
    const auto verified = [](const entry& item) {
        const auto* claim = std::get_if<claim_entry>(&item.kind);
        return claim != nullptr && claim->verified;
    };
    return std::ranges::any_of(batch_, verified) || std::ranges::any_of(claims_, verified);
}

void group_commit::send_batch(instant now, effects_out effects) {
    transactions_.take(now);
    commit_transaction transaction;
    for (const entry& item : batch_) {
        transaction.checks.push_back({item.key, item.expected});
        transaction.writes.push_back({item.key, item.value});
    }
    state_ = in_flight{};
    effects.emplace_back(std::move(transaction));
}

void group_commit::settle_committed(table_version version, effects_out effects) {
    in_doubt_ = false;
    repetitions_ = 0;
    state_ = idle{};
    const std::vector<entry> settled = std::exchange(batch_, {});
    if (std::ranges::any_of(settled, [](const entry& item) {
            const auto* claim = std::get_if<claim_entry>(&item.kind);
            return claim != nullptr && !claim->verified;
        })) {
        conflicts_ = 0;
    }
    for (const entry& item : settled) {
        std::visit(overloaded{
                       [&](const claim_entry& claim) { granted(item, claim, version, effects); },
                       [](const outcome_entry&) {},
                   },
                   item.kind);
    }
}

void group_commit::granted(const entry& item, const claim_entry& claim, table_version version,
                           effects_out effects) {
    if (claim.abandoned) {
        outcomes_.push_back({outcome_entry{}, item.key, version,
                             claim_value(not_run_outcome, claim.caller), instant()});
        return;
    }
    ++claims_granted_;
    granted_[item.key] = {claim.caller, version};
    effects.emplace_back(claim_recorded{claim.caller});
}

/// Settles an entry whose check failed by what its row holds.
void group_commit::settle_read(entry item, const std::optional<table_row>& row,
                               effects_out effects) {
    const auto* claim = std::get_if<claim_entry>(&item.kind);
    if (claim == nullptr) {
        // The row holds this outcome already or was deleted: nothing to record.
        return;
    }
    if (row && row->value == item.value) {
        granted(item, *claim, row->version, effects);
        return;
    }
    if (claim->abandoned) {
        return;
    }
    const std::string_view state = row ? state_of(*row->value) : std::string_view();
    // An id that was refused as "not run" may be claimed again, under the version of that record.
    if (!row || state == not_run_outcome) {
        item.expected = row ? row->version : absent_row;
        std::get<claim_entry>(item.kind).verified = true;
        claims_.push_front(std::move(item));
        return;
    }
    effects.emplace_back(
        claim_taken{claim->caller, state == claimed ? std::string() : std::string(state)});
}

/// Refuses the claims that no message carried.
void group_commit::refuse_waiting(effects_out effects) {
    for (const entry& item : claims_) {
        effects.emplace_back(claim_refused{std::get<claim_entry>(item.kind).caller});
    }
    claims_.clear();
}

} // namespace citronford
