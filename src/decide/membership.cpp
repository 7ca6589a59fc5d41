#include "citronford/membership.h"

#include <algorithm>
#include <utility>

namespace citronford {
namespace {

/// A node is live while it was heard within this many heartbeat periods.
constexpr int live_periods = 3;
/// Renewals per lease; two may be lost before the lease ends.
constexpr int renewals_per_lease = 3;

} // namespace

absl::StatusOr<std::unique_ptr<membership>>
membership::create(const chart& lease, const chart& life_cycle, membership_options options) {
    static constexpr lease_machine::guard lease_guards[] = {
        {"may_register",
         [](const lease_context& context, const lease_event&) {
             const membership& owner = context.owner;
             return owner.read_once_ && !owner.writing_ && !owner.foreign_elsewhere_;
         }},
        {"renewal_due",
         [](const lease_context& context, const lease_event&) {
             const membership& owner = context.owner;
             const duration pause = owner.options_.lease / renewals_per_lease;
             return !owner.writing_ &&
                    (owner.renew_now_ || context.now - owner.written_at_ >= pause);
         }},
        {"lapsed", [](const lease_context& context,
                      const lease_event&) { return context.now > context.owner.held_until(); }},
    };
    static constexpr lease_machine::action lease_actions[] = {
        {"write", [](lease_context& context,
                     const lease_event&) { context.owner.write(context.now, context.effects); }},
        {"begin_incarnation",
         [](lease_context& context, const lease_event&) {
             membership& owner = context.owner;
             ++owner.options_.self.incarnation;
             owner.row_version_ = absent_row;
             owner.renewed_at_ = instant();
             owner.unresolved_since_ = instant();
             owner.writing_ = false;
             for (auto& [node, item] : owner.members_) {
                 item.acknowledged = false;
             }
         }},
        {"release",
         [](lease_context& context, const lease_event&) {
             membership& owner = context.owner;
             if (owner.registered()) {
                 context.effects.emplace_back(erase_registration{
                     owner.options_.self.node, owner.row_version_, owner.row_version_});
             }
             for (const auto& [node, item] : owner.members_) {
                 context.effects.emplace_back(send_peer{node, item.registration.address,
                                                        peer_goodbye{owner.state_.version}});
             }
         }},
    };
    static constexpr member_machine::guard member_guards[] = {
        {"silent",
         [](const member_context& context, const member_event&) {
             return context.now - context.item.heard_at >
                    context.owner.options_.heartbeat_period * live_periods;
         }},
        {"removable",
         [](const member_context& context, const member_event&) {
             return context.owner.removable(context.item, context.now);
         }},
        {"renewed",
         [](const member_context& context, const member_event&) {
             return context.now - context.item.row_seen < context.owner.options_.lease;
         }},
    };
    static constexpr member_machine::action member_actions[] = {
        {"erase",
         [](member_context& context, const member_event&) {
             context.item.erased_at = context.now;
             context.item.erased_version = context.item.version;
             context.effects.emplace_back(erase_registration{context.item.registration.member.node,
                                                             context.item.version,
                                                             context.owner.row_version_});
         }},
    };
    auto bound_lease = lease_machine::create(lease, lease_guards, lease_actions);
    if (!bound_lease.ok()) {
        return bound_lease.status();
    }
    auto bound_member = member_machine::create(life_cycle, member_guards, member_actions);
    if (!bound_member.ok()) {
        return bound_member.status();
    }
    return std::unique_ptr<membership>(
        new membership(*std::move(bound_lease), *std::move(bound_member), std::move(options)));
}

membership::membership(lease_machine lease, member_machine life_cycle, membership_options options)
    : lease_(std::move(lease)), life_cycle_(std::move(life_cycle)), options_(std::move(options)),
      position_(lease_.initial()), wanted_lease_(options_.lease) {}

std::vector<membership_effect> membership::handle(const membership_input& input, instant now) {
    std::vector<membership_effect> effects;
    std::visit([&](const auto& item) { take(item, now, effects); }, input);
    return effects;
}

void membership::step_lease(const lease_event& event, instant now, effects_out effects) {
    lease_context context{*this, now, effects};
    lease_.step(position_, context, event);
}

void membership::step_member(member& item, const member_event& event, instant now,
                             effects_out effects) {
    member_context context{*this, item, now, effects};
    life_cycle_.step(item.position, context, event);
}

std::string_view membership::lease_state() const {
    return lease_.name_of(position_);
}

std::string_view membership::state_of(const member& item) const {
    return life_cycle_.name_of(item.position);
}

bool membership::established() const {
    return registered() && std::ranges::all_of(members_, [](const auto& entry) {
               return entry.second.acknowledged || entry.second.left;
           });
}

instant membership::unanimous_at() const {
    instant at = instant::max();
    for (const auto& [node, item] : members_) {
        at = item.left ? at : std::min(at, item.known_at);
    }
    return at;
}

instant membership::held_until() const {
    if (!registered() || renewed_at_ == instant()) {
        return {};
    }
    const instant bound = renewed_at_ + options_.retention;
    const instant unanimous = unanimous_at();
    const instant by_peers =
        unanimous < instant::max() - options_.lease ? unanimous + options_.lease : bound;
    return std::min(bound, std::max(renewed_at_ + held_lease(), by_peers));
}

/// The lease that the row names for sure: a write without reply may have shortened it.
duration membership::held_lease() const {
    return unresolved_since_ == instant() ? row_lease_ : std::min(row_lease_, unresolved_lease_);
}

instant membership::confirmed_by_peers(configuration_version version, instant now) const {
    instant best{};
    instant unanimous = now;
    for (const auto& [node, item] : members_) {
        if (item.left && item.last.version <= version) {
            continue;
        }
        const bool answered = !item.refused_early && item.acknowledged;
        if (answered && item.last.version == version) {
            best = std::max(best, item.clean_probe - item.last.confirmation_age);
        }
        if (answered && (item.last.version > version || item.last.commit_in_doubt)) {
            unanimous = instant();
        }
        unanimous = std::min(unanimous, item.known_at);
    }
    return std::max(best, std::min(unanimous, held_until()));
}

std::vector<node_registration> membership::live(instant now) const {
    std::vector<node_registration> result;
    if (registered()) {
        result.push_back({options_.self, options_.zone, options_.address});
    }
    for (const auto& [node, item] : members_) {
        if (!item.left && now - item.heard_at <= options_.heartbeat_period * live_periods) {
            result.push_back(item.registration);
        }
    }
    return result;
}

/// A registration may be deleted once its holder cannot rely on it any more.
bool membership::removable(const member& item, instant now) const {
    const duration unchanged = now - item.row_seen;
    const duration lease = std::max(item.registration.lease, options_.lease) +
                           options_.removal_grace + options_.margin;
    if (unchanged < lease || now - item.answered_to < lease ||
        now - item.erased_at < options_.heartbeat_period) {
        return false;
    }
    return item.refused || item.left || established() ||
           unchanged >= options_.retention + options_.removal_grace + options_.margin;
}

void membership::write(instant now, effects_out effects) {
    writing_ = true;
    renew_now_ = false;
    written_at_ = now;
    written_lease_ = wanted_lease_;
    const bool first = unresolved_since_ == instant();
    unresolved_lease_ = first ? written_lease_ : std::min(unresolved_lease_, written_lease_);
    unresolved_since_ = first ? now : unresolved_since_;
    effects.emplace_back(
        write_registration{now,
                           registered() ? row_version_ : foreign_row_,
                           {options_.self, options_.zone, options_.address, written_lease_}});
}

void membership::confirm_row(table_version version, instant sent_at, duration lease, instant now,
                             effects_out effects) {
    if (!registered()) {
        registered_since_ = now;
        foreign_row_ = absent_row;
    }
    row_version_ = version;
    renewed_at_ = sent_at;
    row_lease_ = lease;
    unresolved_since_ = instant();
    step_lease(registered_event{}, now, effects);
}

void membership::take(const registration_written& input, instant now, effects_out effects) {
    if (!writing_ || input.sent_at != written_at_) {
        return;
    }
    writing_ = false;
    if (input.outcome == write_outcome::committed) {
        confirm_row(input.version, written_at_, written_lease_, now, effects);
    }
}

void membership::read_own(const registrations_read& input, instant now, effects_out effects) {
    const auto own = std::ranges::find_if(input.rows, [&](const registration_row& row) {
        return row.registration.member.node == options_.self.node;
    });
    const bool present = own != input.rows.end() && own->registration.member == options_.self;
    if (!present && registered() && input.version >= row_version_) {
        step_lease(missing{}, now, effects);
        return;
    }
    if (writing_ || input.begun_at < written_at_) {
        return; // The scan may not show the write under way.
    }
    foreign_row_ = own != input.rows.end() && !present ? own->version : absent_row;
    foreign_elsewhere_ =
        foreign_row_ != absent_row && own->registration.address != options_.address;
    if (present && own->version > row_version_) {
        // The row may be from any of the writes whose reply was lost.
        confirm_row(own->version, unresolved_since_, own->registration.lease, now, effects);
    }
}

member& membership::admit(const node_registration& registration, table_version version,
                          instant now) {
    member& item = members_[registration.member.node];
    if (item.registration.member != registration.member) {
        if (item.registration.member.incarnation != 0) {
            ended_.try_emplace(item.registration.member, now);
        }
        item = member{};
        item.position = life_cycle_.initial();
        item.registration = registration;
        item.heard_at = now;
        ended_.erase(registration.member);
    }
    if (version > item.version) {
        item.version = version;
        item.row_seen = now;
        item.registration.lease = registration.lease;
    }
    return item;
}

void membership::drop(const node_id& node, instant now, effects_out effects) {
    member& item = members_[node];
    step_member(item, missing{}, now, effects);
    ended_.try_emplace(item.registration.member, now);
    members_.erase(node);
}

void membership::read_members(const registrations_read& input, instant now, effects_out effects) {
    for (const registration_row& row : input.rows) {
        const member_id& id = row.registration.member;
        const auto known = members_.find(id.node);
        const bool newer = known == members_.end() || row.version >= known->second.version;
        if (id.node != options_.self.node && newer) {
            admit(row.registration, row.version, now).registration.lease = row.registration.lease;
        }
    }
    std::vector<node_id> gone;
    for (const auto& entry : members_) {
        const bool listed = std::ranges::any_of(input.rows, [&](const registration_row& row) {
            return row.registration.member.node == entry.first;
        });
        if (!listed && entry.second.version <= input.version) {
            gone.push_back(entry.first);
        }
    }
    for (const node_id& node : gone) {
        drop(node, now, effects);
    }
    std::erase_if(ended_,
                  [&](const auto& entry) { return now - entry.second > options_.retention * 2; });
}

void membership::take(const registrations_read& input, instant now, effects_out effects) {
    if (input.begun_at < read_at_) {
        return;
    }
    read_at_ = input.begun_at;
    read_once_ = true;
    read_own(input, now, effects);
    read_members(input, now, effects);
}

void membership::take(const membership_tick& /*input*/, instant now, effects_out effects) {
    step_lease(tick{}, now, effects);
    for (auto& [node, item] : members_) {
        step_member(item, tick{}, now, effects);
    }
    if (!registered() || now - probed_at_ < options_.heartbeat_period) {
        return;
    }
    probed_at_ = now;
    for (const auto& [node, item] : members_) {
        const endpoint& address = item.registration.address;
        if (!item.acknowledged) {
            effects.emplace_back(send_peer{
                node, address, peer_hello{options_.zone, options_.address, row_version_}});
        }
        peer_heartbeat probe = own_heartbeat(now);
        probe.probe_us = now.time_since_epoch().count();
        effects.emplace_back(send_peer{node, address, std::move(probe)});
    }
}

peer_heartbeat membership::own_heartbeat(instant now) const {
    peer_heartbeat message;
    message.version = state_.version;
    message.confirmation_age = now - state_.confirmed_at;
    message.commit_in_doubt = state_.commit_in_doubt;
    message.unrecorded = state_.unrecorded;
    return message;
}

void membership::take(const hello_heard& input, instant now, effects_out /*effects*/) {
    const auto known = members_.find(input.from.node);
    const bool stale =
        ended_.contains(input.from) ||
        (known != members_.end() && known->second.version > input.message.registered);
    if (input.from.node != options_.self.node && !stale) {
        // A hello does not tell the lease: until the row is read, the longest one counts.
        admit({input.from, input.message.zone, input.message.address, options_.retention},
              input.message.registered, now);
    }
}

void membership::take(const heartbeat_heard& input, instant now, effects_out effects) {
    const auto found = members_.find(input.from.node);
    if (found == members_.end() || found->second.registration.member != input.from) {
        return;
    }
    member& item = found->second;
    item.heard_at = now;
    item.refused = false;
    item.refused_early = false;
    step_member(item, heard{}, now, effects);
    const peer_heartbeat& message = input.message;
    if (message.echo_us != 0) {
        const instant sent(microseconds(message.echo_us));
        // Echoes of probes of an earlier registration say nothing about this one.
        if (sent <= now && sent > item.clean_probe && sent >= registered_since_) {
            item.clean_probe = sent;
            item.known_at = std::max(item.known_at, sent);
            item.acknowledged = true;
            item.last = message;
        }
    }
    // An answer promises to keep the registration; it may just have been deleted.
    const bool kept = item.version > item.erased_version;
    if (message.probe_us != 0 && registered() && kept) {
        item.answered_to = now;
        peer_heartbeat answer = own_heartbeat(now);
        answer.echo_us = message.probe_us;
        effects.emplace_back(
            send_peer{input.from.node, item.registration.address, std::move(answer)});
    }
}

void membership::take(const goodbye_heard& input, instant now, effects_out effects) {
    const auto found = members_.find(input.from.node);
    if (found != members_.end() && found->second.registration.member == input.from) {
        found->second.left = true;
        found->second.last.version = input.message.version;
        step_member(found->second, left{}, now, effects);
    }
}

void membership::take(const peer_refused& input, instant /*now*/, effects_out /*effects*/) {
    const auto found = members_.find(input.node);
    if (found != members_.end()) {
        member& item = found->second;
        if (item.refused_early || input.begun_at - item.known_at <= options_.refusal_window) {
            item.refused_early = true;
            item.known_at = std::max(item.known_at, input.begun_at);
        }
        item.refused = true;
    }
}

void membership::take(const renewal_asked& /*input*/, instant now, effects_out effects) {
    renew_now_ = true;
    step_lease(tick{}, now, effects);
}

void membership::take(const confirmation_limit_set& input, instant now, effects_out effects) {
    const duration lease = std::clamp(input.limit, options_.lease, options_.retention);
    if (lease != wanted_lease_) {
        wanted_lease_ = lease;
        take(renewal_asked{}, now, effects);
    }
}

void membership::take(const membership_stop& /*input*/, instant now, effects_out effects) {
    step_lease(stop{}, now, effects);
}

} // namespace citronford
