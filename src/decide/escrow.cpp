#include "citronford/escrow.h"

#include "citronford/planted_fault.h"

#include <algorithm>

namespace citronford {
namespace {

/// Peers asked for units in one round.
constexpr std::size_t peers_per_round = 4;
/// Part of the recent peak that is kept from one tick to the next.
constexpr double peak_decay = 0.8;
/// Longest pause after a lost race for a row, in milliseconds.
constexpr unsigned conflict_pause_ms = 200;

} // namespace

escrow::escrow(const membership& members, team_limits& limits, escrow_options options)
    : members_(members), limits_(limits), options_(options), random_(options.seed),
      incarnation_(members.self()) {}

std::vector<escrow_effect> escrow::handle(const escrow_input& input, instant now) {
    std::vector<escrow_effect> effects;
    if (incarnation_ != self()) {
        begin_incarnation();
    }
    std::visit([&](const auto& item) { take(item, now, effects); }, input);
    update_units();
    return effects;
}

/// The part of the incarnation before is left in the rows; its work may still be running.
void escrow::begin_incarnation() {
    incarnation_ = self();
    write_under_way_ = false;
    for (auto& [team, item] : accounts_) {
        item.given.clear();
        item.received.clear();
        item.acknowledged.clear();
        item.releasing = 0;
    }
}

bool escrow::holds(instant now) const {
    return members_.registered() && now <= members_.held_until();
}

bool escrow::is_member(const member_id& id) const {
    const auto found = members_.members().find(id.node);
    return id == self() || (found != members_.members().end() &&
                            found->second.registration.member == id && !found->second.left);
}

/// A row written by a node with a newer configuration has the newer limit.
std::int64_t escrow::limit_of(const account& item) const {
    return item.row.configuration > version_ ? item.row.limit : item.limit;
}

/// Whether the row must be written for the limit of this node's configuration. That is so even for
/// an equal limit if another one was in force between: a write under that one may be on its way.
bool escrow::outdated(const account& item) const {
    return version_ > item.row.configuration &&
           (item.limit != item.row.limit || item.row.configuration < item.limit_version);
}

std::int64_t escrow::recorded(const account& item) const {
    return units_in(item.row, self());
}

std::int64_t escrow::given_unrecorded(const account& item) const {
    std::int64_t sum = 0;
    for (const auto& [to, total] : item.given) {
        sum += std::max<std::int64_t>(0, total - moved_in(item.row, self(), to));
    }
    return sum;
}

std::int64_t escrow::received_unrecorded(const account& item) const {
    std::int64_t sum = 0;
    for (const auto& [from, total] : item.received) {
        sum += std::max<std::int64_t>(0, total - moved_in(item.row, from, self()));
    }
    return sum;
}

/// This node's part of a limit that the row exceeds.
std::int64_t escrow::target_of(const account& item) const {
    escrow_row row = item.row;
    row.limit = limit_of(item);
    return part_in(row, self());
}

std::int64_t escrow::covered_of(const account& item) const {
    return recorded(item) - given_unrecorded(item) + received_unrecorded(item) - item.releasing;
}

std::int64_t escrow::units_of(const account& item) const {
    const std::int64_t units = covered_of(item);
    const bool exceeded = sum_of(item.row) > limit_of(item);
    return std::max<std::int64_t>(0, exceeded ? std::min(units, target_of(item)) : units);
}

void escrow::update_units() {
    for (const auto& [team, item] : accounts_) {
        limits_.set_units(team, units_of(item), covered_of(item));
    }
    limits_.set_held_until(members_.held_until());
}

std::vector<member_id> escrow::unrecorded() const {
    std::set<member_id> givers;
    for (const auto& [team, item] : accounts_) {
        for (const auto& [from, total] : item.received) {
            if (total > moved_in(item.row, from, self())) {
                givers.insert(from);
            }
        }
    }
    return {givers.begin(), givers.end()};
}

std::set<node_id> escrow::above_limit(configuration_version version) const {
    std::set<node_id> nodes;
    if (version_ < version) {
        nodes.insert(self().node);
    }
    for (const auto& [team, item] : accounts_) {
        const std::int64_t sum = sum_of(item.row);
        if (outdated(item)) {
            nodes.insert(self().node);
        }
        if (sum <= limit_of(item)) {
            continue;
        }
        escrow_row row = item.row;
        row.limit = limit_of(item);
        for (const auto& [id, units] : item.row.units) {
            if (units > part_in(row, id)) {
                nodes.insert(id.node);
            }
        }
    }
    return nodes;
}

bool escrow::returned() const {
    return std::ranges::all_of(accounts_, [this](const auto& entry) {
        return recorded(entry.second) <= 0 && received_unrecorded(entry.second) == 0;
    });
}

void escrow::adopt(account& item, const escrow_row& row) {
    if (row.version <= item.row.version) {
        return;
    }
    // Pairs leave the row with the units of a lost node; their totals begin anew.
    const auto forget = [&](std::map<member_id, std::int64_t>& totals, bool from_self) {
        std::erase_if(totals, [&](const auto& entry) {
            const auto pair =
                from_self ? std::pair(self(), entry.first) : std::pair(entry.first, self());
            return item.row.moved.contains(pair) && !row.moved.contains(pair);
        });
    };
    forget(item.given, true);
    forget(item.received, false);
    item.row = row;
    if (row.version > item.release_check) {
        item.releasing = 0;
    }
    for (const auto& [pair, total] : row.moved) {
        if (pair.second == self()) {
            std::int64_t& known = item.received[pair.first];
            known = std::max(known, total);
        }
    }
}

void escrow::take(const escrow_read& input, instant now, effects_out /*effects*/) {
    for (const auto& [team, row] : input.rows) {
        adopt(accounts_[team], row);
    }
    note_absent(now);
}

void escrow::take(const escrow_limits& input, instant /*now*/, effects_out /*effects*/) {
    const bool first = version_ == 0;
    version_ = input.version;
    for (const auto& [team, limit] : input.limits) {
        accounts_.try_emplace(team);
    }
    for (auto& [team, item] : accounts_) {
        const auto found = input.limits.find(team);
        const std::int64_t limit = found == input.limits.end() ? 0 : found->second;
        if (limit != item.limit && !first) {
            item.limit_version = version_;
        }
        item.limit = limit;
    }
}

void escrow::take(const escrow_written& input, instant now, effects_out /*effects*/) {
    if (!write_under_way_ || input.number != write_number_) {
        return;
    }
    write_under_way_ = false;
    for (auto& [team, row] : writing_) {
        account& item = accounts_[team];
        if (input.outcome == write_outcome::committed) {
            row.version = input.version;
            adopt(item, row);
        }
    }
    if (input.outcome == write_outcome::conflict) {
        // Nodes that lost the same race retry at different times.
        written_at_ = now - options_.write_pause + milliseconds(random_() % conflict_pause_ms);
    }
    writing_.clear();
}

void escrow::note_absent(instant now) {
    std::set<member_id> holders;
    for (const auto& [team, item] : accounts_) {
        for (const auto& [id, units] : item.row.units) {
            if (!is_member(id)) {
                holders.insert(id);
            }
        }
        for (const auto& [pair, total] : item.row.moved) {
            for (const member_id& id : {pair.first, pair.second}) {
                if (!is_member(id)) {
                    holders.insert(id);
                }
            }
        }
    }
    std::erase_if(absent_since_, [&](const auto& entry) { return !holders.contains(entry.first); });
    for (const member_id& id : holders) {
        absent_since_.try_emplace(id, now);
    }
}

void escrow::ask(const team_id& team, account& item, instant now, effects_out effects) {
    if (now < item.ask_at || !holds(now) || stopping_ || sum_of(item.row) > limit_of(item)) {
        return;
    }
    item.ask_pause =
        std::clamp(item.ask_pause * 2, options_.request_pause, options_.request_pause_limit);
    item.ask_at = now + item.ask_pause;
    std::vector<std::pair<std::int64_t, const member*>> peers;
    for (const auto& [node, peer] : members_.members()) {
        const std::int64_t units = units_in(item.row, peer.registration.member);
        if (units > 0 && peer.acknowledged && !peer.left && !peer.refused) {
            // A random part spreads the requests of several nodes over peers with similar units.
            peers.emplace_back(units * 4 + static_cast<std::int64_t>(random_() % (units * 4)),
                               &peer);
        }
    }
    std::ranges::sort(peers, std::greater<>(), &std::pair<std::int64_t, const member*>::first);
    const std::int64_t wanted = std::max(first_request, units_of(item));
    for (std::size_t index = 0; index < std::min(peers.size(), peers_per_round); ++index) {
        const node_registration& to = peers[index].second->registration;
        effects.emplace_back(send_peer{to.member.node, to.address,
                                       unit_request{team, wanted, now.time_since_epoch().count()}});
    }
}

void escrow::take(const escrow_tick& /*input*/, instant now, effects_out effects) {
    for (auto& [team, item] : accounts_) {
        item.peak = std::max(static_cast<double>(limits_.running(team)), item.peak * peak_decay);
        if (limits_.take_refused(team)) {
            item.refused_at = now;
            ask(team, item, now, effects);
        }
    }
    write(now, effects);
}

void escrow::take(const unit_request_heard& input, instant now, effects_out effects) {
    const unit_request& request = input.message;
    const auto found = accounts_.find(request.team);
    if (found == accounts_.end() || !is_member(input.from) || !holds(now) || stopping_) {
        return;
    }
    account& item = found->second;
    if (sum_of(item.row) > limit_of(item) || outdated(item)) {
        return;
    }
    const std::int64_t units =
        std::min({request.wanted, idle_of(request.team, item), passable_of(item)});
    if (units <= 0) {
        return;
    }
    std::int64_t& total = item.given[input.from];
    total = std::max(total, moved_in(item.row, self(), input.from));
    total += fault_planted("limits") ? 0 : units;
    item.given_at = now;
    const std::int64_t told = fault_planted("limits") ? total + units : total;
    const endpoint& address = members_.members().at(input.from.node).registration.address;
    effects.emplace_back(
        send_peer{input.from.node, address, unit_transfer{request.team, told, request.asked_us}});
}

void escrow::take(const unit_transfer_heard& input, instant now, effects_out effects) {
    const unit_transfer& transfer = input.message;
    const instant asked(microseconds(transfer.asked_us));
    const auto found = accounts_.find(transfer.team);
    // A later transfer could reach this node after the units of a lost giver were returned.
    if (found == accounts_.end() || !is_member(input.from) || asked > now ||
        now - asked > options_.transfer_window || asked < members_.registered_since()) {
        return;
    }
    account& item = found->second;
    std::int64_t& known = item.received[input.from];
    known = std::max(known, moved_in(item.row, input.from, self()));
    if (transfer.total > known) {
        known = transfer.total;
        item.received_at = now;
        item.ask_pause = duration::zero();
        item.ask_at = now + options_.request_pause / 2;
    }
    const endpoint& address = members_.members().at(input.from.node).registration.address;
    effects.emplace_back(
        send_peer{input.from.node, address, unit_transfer_ack{transfer.team, transfer.total}});
}

void escrow::take(const unit_transfer_ack_heard& input, instant /*now*/, effects_out /*effects*/) {
    const auto found = accounts_.find(input.message.team);
    if (found != accounts_.end()) {
        std::int64_t& total = found->second.acknowledged[input.from];
        total = std::max(total, input.message.total);
    }
}

void escrow::take(const escrow_stop& /*input*/, instant now, effects_out effects) {
    stopping_ = true;
    written_at_ = instant();
    write(now, effects);
}

} // namespace citronford
