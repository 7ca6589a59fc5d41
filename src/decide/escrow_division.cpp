#include "citronford/escrow.h"

#include "citronford/invariant.h"

#include <algorithm>
#include <cmath>

// How a node wants the row of a team: what it records, takes and gives back.

namespace citronford {
namespace {

/// Rows in one transaction, at most; a conflict on one row fails them all.
constexpr std::size_t rows_per_write = 16;
/// A node that was refused a unit this lately takes and keeps more than its even part.
constexpr duration recent_refusal = seconds(1);
/// How long a giver waits for the acknowledgement before it records a transfer itself.
constexpr duration acknowledgement_wait = milliseconds(500);

} // namespace

/// Units of lost nodes return once their work has ended, and once no node has units from them that
/// the table does not show.
bool escrow::may_reclaim(instant now) const {
    if (absent_since_.empty() || !members_.established() || !holds(now)) {
        return false;
    }
    instant last{};
    for (const auto& [id, since] : absent_since_) {
        last = std::max(last, since);
    }
    for (const auto& [id, since] : members_.ended()) {
        last = std::max(last, since);
    }
    if (members_.read_at() < last + options_.backend_lease) {
        return false;
    }
    return std::ranges::all_of(members_.members(), [&](const auto& entry) {
        const member& item = entry.second;
        return item.acknowledged && item.clean_probe >= last + options_.transfer_window * 2 &&
               std::ranges::none_of(item.last.unrecorded, [&](const member_id& giver) {
                   return absent_since_.contains(giver);
               });
    });
}

/// Writes all transfers from and to this node into the row.
void escrow::fold(const account& item, escrow_row& row) const {
    for (const auto& [to, total] : item.given) {
        record_transfer(row, self(), to, total);
    }
    for (const auto& [from, total] : item.received) {
        record_transfer(row, from, self(), total);
    }
}

std::int64_t escrow::even_part(const escrow_row& row) const {
    return row.limit / (static_cast<std::int64_t>(members_.members().size()) + 1);
}

bool escrow::refused_lately(const account& item) const {
    return item.refused_at != instant() && written_at_ - item.refused_at < recent_refusal;
}

/// Units that neither run work now nor did so lately.
std::int64_t escrow::idle_of(const team_id& team, const account& item) const {
    const auto busy = item.peak < 1 ? 0 : static_cast<std::int64_t>(std::ceil(item.peak));
    return units_of(item) - std::max(limits_.running(team), busy);
}

/// Received units leave this node only once they are recorded, so that no part falls below zero.
std::int64_t escrow::passable_of(const account& item) const {
    return recorded(item) - given_unrecorded(item) - item.releasing;
}

/// Even parts of the members that never had units of the row. A member that had some and gave them
/// away asks for units when it has work.
std::int64_t escrow::reserved(const account& item, const escrow_row& row) const {
    std::int64_t sum = 0;
    for (const auto& [node, peer] : members_.members()) {
        const member_id& id = peer.registration.member;
        const bool known = row.units.contains(id) || item.given.contains(id) ||
                           std::ranges::any_of(row.moved, [&](const auto& entry) {
                               return entry.first.first == id || entry.first.second == id;
                           });
        sum += peer.left || peer.refused || known ? 0 : even_part(row);
    }
    return sum;
}

/// Gives idle units back for members that never had any: a node that first saw the team alone took
/// the whole limit, and if it is lost, its units return to nobody before its work has surely ended.
void escrow::release_idle(const team_id& team, account& item, escrow_row& row) const {
    if (item.releasing > 0 || refused_lately(item)) {
        return;
    }
    const std::int64_t lacking = reserved(item, row) - (row.limit - sum_of(row));
    const std::int64_t surplus = units_in(row, self()) - even_part(row);
    const std::int64_t units = std::min({lacking, surplus, idle_of(team, item), passable_of(item)});
    if (units > 0) {
        row.units[self()] -= units;
        item.releasing = units;
        item.release_check = item.row.version;
    }
}

/// Takes units that no node holds: the node's even part and, when a unit was refused lately, more
/// of what is left beyond the parts of members that had none yet.
void escrow::claim(const account& item, escrow_row& row) const {
    const std::int64_t free = row.limit - sum_of(row);
    const std::int64_t own = units_in(row, self());
    std::int64_t claimed =
        std::clamp<std::int64_t>(even_part(row) - own, 0, std::max<std::int64_t>(0, free));
    if (refused_lately(item)) {
        const std::int64_t wanted = std::max(first_request, own) - claimed;
        claimed +=
            std::max<std::int64_t>(0, std::min(wanted, free - claimed - reserved(item, row)));
    }
    if (claimed > 0) {
        row.units[self()] += claimed;
    }
}

bool escrow::unrecorded_with_absent(const account& item) const {
    return std::ranges::any_of(item.given,
                               [&](const auto& entry) {
                                   return absent_since_.contains(entry.first) &&
                                          entry.second > moved_in(item.row, self(), entry.first);
                               }) ||
           std::ranges::any_of(item.received, [&](const auto& entry) {
               return absent_since_.contains(entry.first) &&
                      entry.second > moved_in(item.row, entry.first, self());
           });
}

/// Removes what lost nodes hold; false when they hold nothing.
bool escrow::drop_absent(escrow_row& row) const {
    const auto absent = [this](const member_id& id) { return absent_since_.contains(id); };
    const auto units =
        std::erase_if(row.units, [&](const auto& entry) { return absent(entry.first); });
    const auto pairs = std::erase_if(row.moved, [&](const auto& entry) {
        return absent(entry.first.first) || absent(entry.first.second);
    });
    return units + pairs > 0;
}

/// The row as this node wants it; equal to the present row when nothing is to be written.
escrow_row escrow::planned(const team_id& team, account& item, instant now) {
    escrow_row row = item.row;
    const bool unacknowledged = std::ranges::any_of(item.given, [&](const auto& entry) {
        const auto answered = item.acknowledged.find(entry.first);
        return entry.second > moved_in(item.row, self(), entry.first) &&
               (answered == item.acknowledged.end() || entry.second > answered->second);
    });
    if (outdated(item)) {
        row.limit = item.limit;
        row.configuration = version_;
    }
    // Transfers from and to lost nodes are recorded first, so that their pairs can be dropped.
    const bool transfers_lost = unrecorded_with_absent(item);
    if (!transfers_lost && may_reclaim(now) && drop_absent(row)) {
        return row;
    }
    const bool shrinks = stopping_ || sum_of(row) > row.limit;
    if (shrinks || transfers_lost || received_unrecorded(item) > 0 ||
        (unacknowledged && now - item.given_at > acknowledgement_wait)) {
        fold(item, row);
    }
    const std::int64_t own = units_in(row, self());
    if (shrinks) {
        const std::int64_t part = stopping_ ? 0 : part_in(row, self());
        const std::int64_t kept = std::min(own, std::max(part, limits_.running(team)));
        if (kept < own) {
            row.units[self()] = kept;
            item.releasing = std::max(item.releasing, own - kept);
            item.release_check = item.row.version;
        }
    } else if (holds(now) && version_ >= row.configuration) {
        claim(item, row);
        release_idle(team, item, row);
    }
    std::erase_if(row.units, [](const auto& entry) { return entry.second == 0; });
    return row;
}

void escrow::write(instant now, effects_out effects) {
    if (write_under_way_ || now - written_at_ < options_.write_pause || !members_.registered()) {
        return;
    }
    written_at_ = now;
    note_absent(now);
    write_escrow effect;
    auto next = accounts_.upper_bound(first_);
    for (std::size_t count = 0; count < accounts_.size() && effect.rows.size() < rows_per_write;
         ++count) {
        if (next == accounts_.end()) {
            next = accounts_.begin();
        }
        auto& [team, item] = *next++;
        escrow_row row = planned(team, item, now);
        // A write that gave up units may still be on its way until the row has changed.
        if (row != item.row || item.releasing > 0) {
            invariant_monitor::check(sum_of(row) <= std::max(row.limit, sum_of(item.row)), "limits",
                                     "a write raises a row above its limit");
            effect.rows.emplace(team, std::move(row));
            first_ = team;
        }
    }
    if (!effect.rows.empty()) {
        write_under_way_ = true;
        writing_ = effect.rows;
        effect.number = ++write_number_;
        effects.emplace_back(std::move(effect));
    }
}

} // namespace citronford
