#include "citronford/configuration.h"

#include "citronford/invariant.h"
#include "citronford/overloaded.h"
#include "citronford/planted_fault.h"
#include "citronford/result_code.h"

#include <algorithm>
#include <utility>

namespace citronford {
namespace {

/// An instant before any evidence.
constexpr instant never = instant(-std::chrono::hours(24));
/// Pause between two pushes of a change to nodes that have not acknowledged it.
constexpr duration push_pause = milliseconds(250);

/// The longest time that any node acts on this configuration without confirmation.
duration longest_limit(const fleet_configuration& fleet) {
    duration longest = fleet.defaults.key_confirmation_limit;
    for (const exception_rule& rule : fleet.exceptions) {
        constexpr std::string_view prefix = "zone/";
        if (rule.scope.starts_with(prefix)) {
            const zone_id zone(std::string_view(rule.scope).substr(prefix.size()));
            longest = std::max(longest, confirmation_limit({fleet, never, zone}));
        }
    }
    return longest;
}

const key_id* key_of(const configuration_change& change) {
    return std::visit(overloaded{
                          [](const give_key& item) { return &item.key.id; },
                          [](const withdraw_key& item) { return &item.id; },
                          [](const auto& /*item*/) -> const key_id* { return nullptr; },
                      },
                      change);
}

/// Whether the change may lower the limit of a team.
bool changes_limits(const configuration_change& change) {
    return std::holds_alternative<set_defaults>(change) ||
           std::holds_alternative<add_exception>(change) ||
           std::holds_alternative<remove_exception>(change);
}

} // namespace

absl::StatusOr<std::unique_ptr<configuration>>
configuration::create(const chart& change_chart, const chart& key_chart, const membership& members,
                      const escrow& units, configuration_options options) {
    using context = change_context;
    static constexpr change_machine::guard guards[] = {
        {"invalid",
         [](const context& step, const change_event&) { return !step.entry.status.ok(); }},
        {"dry_run",
         [](const context& step, const change_event&) { return step.entry.request.dry_run; }},
        {"commit_again",
         [](const context& step, const change_event&) { return step.entry.commit_again; }},
        {"written", [](const context&,
                       const change_event& event) { return std::get<settled>(event).written; }},
        {"in_force", [](const context& step,
                        const change_event&) { return step.owner.in_force(step.entry, step.now); }},
    };
    static constexpr change_machine::action actions[] = {
        {"commit",
         [](context& step, const change_event&) {
             change_entry& entry = step.entry;
             const configuration& owner = step.owner;
             entry.commit_again = false;
             entry.version = owner.fleet_.version + 1;
             entry.version_row = owner.version_row_;
             entry.registration = owner.members_.row_version();
             step.effects.emplace_back(commit_change{entry.request.id, entry.request.change,
                                                     entry.version, entry.version_row,
                                                     entry.registration, owner.members_.self()});
         }},
        {"fence",
         [](context& step, const change_event&) {
             step.effects.emplace_back(fence_commit{});
             step.effects.emplace_back(read_table{});
         }},
        {"push",
         [](context& step, const change_event&) {
             if (step.now - step.entry.pushed_at >= push_pause) {
                 step.entry.pushed_at = step.now;
                 step.owner.push(step.entry, step.effects);
             }
         }},
        {"answer_in_doubt",
         [](context& step, const change_event&) {
             if (step.now - step.entry.asked_at >= step.owner.options_.answer_wait) {
                 step.owner.answer(step.entry,
                                   make_status(result_code::commit_in_doubt,
                                               "the reply to the table write was lost"),
                                   step.now, step.effects);
             }
         }},
        {"answer_pending",
         [](context& step, const change_event&) {
             if (step.now - step.entry.asked_at >= step.owner.options_.answer_wait) {
                 step.owner.answer(step.entry, absl::OkStatus(), step.now, step.effects);
             }
         }},
        {"answer_in_force",
         [](context& step, const change_event&) {
             step.entry.missing.clear();
             step.owner.answer(step.entry, absl::OkStatus(), step.now, step.effects);
         }},
        {"answer_preview",
         [](context& step, const change_event&) {
             step.entry.version = step.owner.fleet_.version + 1;
             step.owner.answer(step.entry, absl::OkStatus(), step.now, step.effects);
         }},
        {"answer_refused",
         [](context& step, const change_event&) {
             step.owner.answer(step.entry, step.entry.status, step.now, step.effects);
         }},
    };
    static constexpr key_machine::guard key_guards[] = {
        {"is_revocation", [](const key_entry& key, const key_event&) { return key.revocation; }},
    };
    auto changes = change_machine::create(change_chart, guards, actions);
    if (!changes.ok()) {
        return changes.status();
    }
    auto keys = key_machine::create(key_chart, key_guards, {});
    if (!keys.ok()) {
        return keys.status();
    }
    return std::unique_ptr<configuration>(
        new configuration(*std::move(changes), *std::move(keys), members, units, options));
}

configuration::configuration(change_machine changes, key_machine keys, const membership& members,
                             const escrow& units, configuration_options options)
    : changes_machine_(std::move(changes)), keys_machine_(std::move(keys)), members_(members),
      units_(units), options_(options), evidence_(never), evidence_since_(never),
      expired_by_(never) {}

std::vector<configuration_effect> configuration::handle(const configuration_input& input,
                                                        instant now) {
    std::vector<configuration_effect> effects;
    std::visit([&](const auto& item) { take(item, now, effects); }, input);
    return effects;
}

bool configuration::commit_in_doubt() const {
    return std::ranges::any_of(changes_, [this](const auto& item) {
        const std::string_view state = changes_machine_.name_of(item.second.position);
        return state == "committing" || state == "in_doubt";
    });
}

instant configuration::confirmed_at() const {
    return evidence_since_ == members_.registered_since() && members_.registered()
               ? std::min(evidence_, members_.held_until())
               : never;
}

configuration_view configuration::view() const {
    return {fleet_, confirmed_at(), members_.zone(), &key_index_};
}

std::string_view configuration::key_state(const key_id& id) const {
    const auto found = keys_.find(id);
    return found == keys_.end() ? "active" : keys_machine_.name_of(found->second.position);
}

/// Evidence from before the registration is void: nodes that do not know this one may have told
/// operators since that a change is in force.
void configuration::adopt(instant evidence) {
    if (!members_.registered() || evidence < members_.registered_since()) {
        return;
    }
    if (evidence_since_ != members_.registered_since()) {
        evidence_since_ = members_.registered_since();
        evidence_ = never;
    }
    evidence_ = std::max(evidence_, evidence);
}

void configuration::apply(const fleet_configuration& fleet, table_version version_row, instant now,
                          effects_out effects) {
    const bool newer =
        fleet.version > fleet_.version || (!loaded_ && fleet.version == fleet_.version);
    if (!newer && !(fault_planted("configuration") && fleet.version < fleet_.version)) {
        return;
    }
    invariant_monitor::check(fleet.version >= fleet_.version, "configuration",
                             "a node went back to an older version");
    if (loaded_) {
        expired_by_ = std::max(expired_by_, now + longest_limit(fleet_));
    }
    fleet_ = fleet;
    key_index_ = key_index(fleet_.keys);
    version_row_ = version_row;
    effects.emplace_back(configuration_applied{});
}

void configuration::take(const configuration_read& input, instant now, effects_out effects) {
    apply(input.fleet, input.version_row, now, effects);
    loaded_ = true;
    if (input.fleet.version >= fleet_.version) {
        adopt(input.begun_at);
    }
    for (auto& [id, entry] : changes_) {
        settle(entry, input, now, effects);
    }
}

/// A commit without reply took effect or cannot any more, as soon as the row that it checks has
/// changed, or the registration that it checks has changed and a later scan shows the row as
/// before.
void configuration::settle(change_entry& entry, const configuration_read& input, instant now,
                           effects_out effects) {
    if (changes_machine_.name_of(entry.position) != "in_doubt") {
        return;
    }
    if (input.version_row > entry.version_row) {
        const bool written =
            input.fleet.version == entry.version && input.author == members_.self();
        const bool unknown = input.fleet.version > entry.version;
        entry.status = unknown ? make_status(result_code::commit_in_doubt,
                                             "later changes hide whether this one was written")
                               : make_status(result_code::conflict, "another change was first");
        entry.learned_at = now;
        entry.expires_at = expired_by_ + options_.margin;
        step(entry, settled{written}, now, effects);
    } else if (entry.fenced_at != instant() && input.begun_at >= entry.fenced_at) {
        entry.status = make_status(result_code::table_unavailable, "the change was not written");
        step(entry, settled{false}, now, effects);
    }
}

void configuration::take(const configuration_pushed& input, instant now, effects_out effects) {
    apply(input.fleet, input.version_row, now, effects);
    const auto found = members_.members().find(input.from.node);
    if (loaded_ && found != members_.members().end()) {
        effects.emplace_back(send_peer{input.from.node, found->second.registration.address,
                                       configuration_ack{fleet_.version}});
    }
}

void configuration::take(const configuration_acknowledged& input, instant now,
                         effects_out effects) {
    configuration_version& known = acknowledged_[input.from];
    known = std::max(known, input.version);
    take(configuration_tick{}, now, effects);
}

void configuration::take(const peers_changed& /*input*/, instant now, effects_out /*effects*/) {
    if (loaded_) {
        adopt(members_.confirmed_by_peers(fleet_.version, now));
    }
}

absl::Status configuration::refusal(const change_asked& input, instant now) const {
    if (!members_.registered() || now > members_.held_until()) {
        return make_status(result_code::lease_lost, "this entry VM is not registered");
    }
    if (commit_in_doubt()) {
        return make_status(result_code::conflict, "another change is being committed here");
    }
    if (!members_.established()) {
        return make_status(result_code::node_joining,
                           "this entry VM is not known to every other one yet");
    }
    return validated(input.change, fleet_);
}

void configuration::take(const change_asked& input, instant now, effects_out effects) {
    change_entry& entry = changes_[input.id];
    entry.request = input;
    entry.asked_at = now;
    entry.status = refusal(input, now);
    entry.position = changes_machine_.initial();
    step(entry, asked{}, now, effects);
    std::erase_if(changes_, [this](const auto& item) {
        return changes_machine_.is_final(item.second.position);
    });
}

void configuration::take(const change_committed& input, instant now, effects_out effects) {
    const auto found = changes_.find(input.id);
    if (found == changes_.end()) {
        return;
    }
    change_entry& entry = found->second;
    switch (input.outcome) {
    case write_outcome::committed:
        if (fleet_.version + 1 == entry.version) {
            apply(changed_configuration(fleet_, entry.request.change), input.version, now, effects);
        } else {
            effects.emplace_back(read_table{});
        }
        entry.learned_at = now;
        entry.expires_at = std::max(expired_by_, now + longest_limit(fleet_)) + options_.margin;
        step(entry, committed{}, now, effects);
        effects.emplace_back(read_table{});
        break;
    case write_outcome::conflict:
        if (input.registration_changed) {
            entry.commit_again = true;
            break;
        }
        entry.status = make_status(result_code::conflict,
                                   "another change was committed first, at table version " +
                                       std::to_string(input.version));
        step(entry, refused{}, now, effects);
        effects.emplace_back(read_table{});
        break;
    case write_outcome::unavailable:
        entry.status = make_status(result_code::table_unavailable, "the change was not written");
        step(entry, refused{}, now, effects);
        break;
    case write_outcome::in_doubt:
        step(entry, reply_lost{}, now, effects);
        break;
    }
    take(configuration_tick{}, now, effects);
}

void configuration::take(const configuration_tick& /*input*/, instant now, effects_out effects) {
    for (auto& [id, entry] : changes_) {
        const bool in_doubt = changes_machine_.name_of(entry.position) == "in_doubt";
        const table_version row = members_.row_version();
        if (in_doubt && entry.fenced_at == instant() && row != entry.registration &&
            row != absent_row) {
            entry.fenced_at = now;
            effects.emplace_back(read_table{});
        }
        update_missing(entry);
        step(entry, tick{}, now, effects);
    }
    std::erase_if(changes_, [this](const auto& item) {
        return changes_machine_.is_final(item.second.position);
    });
}

void configuration::step(change_entry& entry, const change_event& event, instant now,
                         effects_out effects) {
    change_context context{*this, entry, now, effects};
    const chart_position before = entry.position;
    changes_machine_.step(entry.position, context, event);
    if (entry.position == before || entry.request.dry_run) {
        return;
    }
    const std::string_view state = changes_machine_.name_of(entry.position);
    if (state == "committing") {
        step_key(entry, asked{});
    } else if (state == "in_force") {
        step_key(entry, in_force_everywhere{});
    } else if (state == "refused") {
        step_key(entry, refused{});
    }
}

void configuration::step_key(const change_entry& entry, const key_event& event) {
    const key_id* id = key_of(entry.request.change);
    if (id == nullptr) {
        return;
    }
    key_entry& key = keys_.try_emplace(*id, key_entry{keys_machine_.initial()}).first->second;
    if (std::holds_alternative<asked>(event)) {
        key.revocation = std::holds_alternative<withdraw_key>(entry.request.change);
    }
    keys_machine_.step(key.position, key, event);
    if (keys_machine_.is_final(key.position)) {
        keys_.erase(*id);
    }
}

bool configuration::acknowledged(const member_id& id, configuration_version version) const {
    const auto ack = acknowledged_.find(id);
    if (ack != acknowledged_.end() && ack->second >= version) {
        return true;
    }
    const auto found = members_.members().find(id.node);
    return found != members_.members().end() && found->second.registration.member == id &&
           found->second.last.version >= version;
}

/// Adds the nodes registered when the change was written and removes those that acknowledged it.
void configuration::update_missing(change_entry& entry) {
    if (entry.learned_at == instant()) {
        return;
    }
    if (!entry.members_read) {
        // A node whose registration ended may act on its last confirmation, if its limit is long.
        const duration acting = longest_limit(fleet_) - options_.removal_grace;
        for (const auto& [id, since] : members_.ended()) {
            if (acting > duration::zero() && since + acting >= entry.learned_at) {
                entry.missing[id] = members_.zone();
            }
        }
        for (const auto& [node, item] : members_.members()) {
            entry.missing[item.registration.member] = item.registration.zone;
        }
        entry.members_read = members_.read_at() >= entry.learned_at;
    }
    std::erase_if(entry.missing,
                  [&](const auto& item) { return acknowledged(item.first, entry.version); });
}

void configuration::push(const change_entry& entry, effects_out effects) const {
    for (const auto& [node, item] : members_.members()) {
        if (!acknowledged(item.registration.member, entry.version)) {
            effects.emplace_back(push_configuration{node, item.registration.address});
        }
    }
}

bool configuration::in_force(const change_entry& entry, instant now) const {
    // A node that has joined lately does not know whose registration ended before.
    const duration acting = longest_limit(fleet_) - options_.removal_grace;
    const bool knows_ended =
        acting <= duration::zero() || entry.learned_at > members_.registered_since() + acting;
    const bool known =
        (entry.members_read && entry.missing.empty() && knows_ended) || now > entry.expires_at;
    return known &&
           (!changes_limits(entry.request.change) || units_.above_limit(entry.version).empty());
}

std::vector<zone_progress> configuration::zones_of(const change_entry& entry, instant now) const {
    std::map<zone_id, std::vector<node_id>> zones;
    zones[members_.zone()];
    const bool expired = now > entry.expires_at;
    for (const auto& [node, item] : members_.members()) {
        zones[item.registration.zone];
    }
    if (!expired) {
        for (const auto& [id, zone] : entry.missing) {
            zones[zone].push_back(id.node);
        }
    }
    if (changes_limits(entry.request.change)) {
        for (const node_id& node : units_.above_limit(entry.version)) {
            const auto found = members_.members().find(node);
            const zone_id zone = found == members_.members().end()
                                     ? members_.zone()
                                     : found->second.registration.zone;
            std::vector<node_id>& pending = zones[zone];
            if (std::ranges::find(pending, node) == pending.end()) {
                pending.push_back(node);
            }
        }
    }
    std::vector<zone_progress> result;
    result.reserve(zones.size());
    for (auto& [zone, pending] : zones) {
        result.push_back({zone, std::move(pending)});
    }
    return result;
}

void configuration::answer(change_entry& entry, const absl::Status& status, instant now,
                           effects_out effects) const {
    if (entry.answered) {
        return;
    }
    entry.answered = true;
    answer_change result{entry.request.id, status, entry.version, {}};
    if (status.ok() && !entry.request.dry_run) {
        result.zones = zones_of(entry, now);
    }
    effects.emplace_back(std::move(result));
}

} // namespace citronford
