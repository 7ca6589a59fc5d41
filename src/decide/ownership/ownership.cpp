#include "citronford/ownership.h"

#include <algorithm>
#include <utility>

namespace citronford {
namespace {

/// A read that takes longer was held up by an outage of the table, in which the owner could not
/// renew its lease, either.
constexpr duration max_read_time = milliseconds(1000);

/// An owner hands over to a VM with this many times its own capacity or more, so that a chain of
/// handovers ends with the largest VM.
constexpr std::int64_t handover_ratio = 2;

/// A VM follows an owner for this long before it offers to take over.
constexpr duration offer_delay = milliseconds(500);

/// An offer is repeated after this time, and not accepted later: its VM may have stopped.
constexpr duration offer_lifetime = seconds(2);

constexpr std::int64_t full_capacity = 1000;

} // namespace

/// A VM with less capacity than the last owner delays its claim, so that a larger VM can claim
/// first: on a small VM the reads of a new owner take seconds. The nodes see a change of the rows
/// up to 300 ms apart.
duration ownership::step_context::claim_delay(const rows_observed& rows) const {
    constexpr duration max_delay = milliseconds(1000);
    const std::int64_t last_capacity = rows.owner && rows.owner->capacity_permille > 0
                                           ? rows.owner->capacity_permille
                                           : full_capacity;
    const std::int64_t shortfall =
        std::max<std::int64_t>(0, last_capacity - options.capacity_permille);
    return max_delay * shortfall / last_capacity + options.claim_jitter;
}

instant ownership::step_context::unchanged_since(const rows_observed& rows) const {
    const bool unchanged = first_seen_at && owner_version == rows.owner_version &&
                           renewal_version == rows.renewal_version;
    return unchanged && rows.read_time <= max_read_time ? *first_seen_at : now;
}

/// An owner whose capacity is not known is left alone.
bool ownership::step_context::should_offer(const rows_observed& rows) const {
    if (!rows.owner || rows.owner->released || rows.owner->node == options.node ||
        rows.owner->capacity_permille <= 0 ||
        options.capacity_permille < handover_ratio * rows.owner->capacity_permille) {
        return false;
    }
    const bool follows = owner_version == rows.owner_version && now >= owner_seen_at + offer_delay;
    const bool offered_by_other =
        rows.offer && rows.offer->token == rows.owner_version &&
        rows.offer->capacity_permille >= options.capacity_permille &&
        (offer_version != rows.offer_version || now < offer_seen_at + offer_lifetime);
    return follows && !offered_by_other &&
           (offer_sent_at == instant::min() || now >= offer_sent_at + offer_lifetime);
}

/// An owner that cannot renew its lease does not hand over: the transfer could not be written, and
/// it is the only one to continue the work meanwhile.
bool ownership::step_context::should_accept(const rows_observed& rows) const {
    const bool is_fresh =
        offer_version != rows.offer_version || now < offer_seen_at + offer_lifetime;
    return rows.offer && rows.offer->token == token && is_fresh &&
           rows.offer->capacity_permille >= handover_ratio * options.capacity_permille &&
           now < renewed_at + options.lease;
}

instant ownership::step_context::claimable_at(const rows_observed& rows) const {
    const instant seen_at = unchanged_since(rows);
    const bool vacant = !rows.owner || rows.owner->released;
    // An earlier process of this node has ended, and so has an earlier ownership of this process.
    const bool owned_before = rows.owner && rows.owner->node == options.node;
    if (vacant || owned_before) {
        return seen_at + claim_delay(rows);
    }
    return seen_at + options.lease + claim_delay(rows);
}

absl::StatusOr<ownership> ownership::create(const chart& life_cycle, ownership_options options) {
    static constexpr machine::guard guards[] = {
        {"names_this_process",
         [](const step_context& context, const ownership_input& input) {
             const auto& rows = std::get<rows_observed>(input);
             return rows.owner && !rows.owner->released &&
                    rows.owner->node == context.options.node &&
                    rows.owner->incarnation == context.options.incarnation &&
                    rows.owner_version != context.ended_token;
         }},
        {"claimable",
         [](const step_context& context, const ownership_input& input) {
             return context.now >= context.claimable_at(std::get<rows_observed>(input));
         }},
        {"offer_due",
         [](const step_context& context, const ownership_input& input) {
             return context.should_offer(std::get<rows_observed>(input));
         }},
        {"offer_acceptable",
         [](const step_context& context, const ownership_input& input) {
             return context.should_accept(std::get<rows_observed>(input));
         }},
        {"authority_expired",
         [](const step_context& context, const ownership_input&) {
             return context.now >=
                    context.renewed_at + context.options.lease + context.options.grace;
         }},
        {"release_due",
         [](const step_context& context, const ownership_input&) {
             return context.release_at && context.now >= *context.release_at;
         }},
        {"renewal_due",
         [](const step_context& context, const ownership_input&) {
             return context.now >= context.last_sent_at + context.options.renewal_period;
         }},
    };
    static constexpr machine::action actions[] = {
        {"note_rows",
         [](step_context& context, const ownership_input& input) {
             const auto& rows = std::get<rows_observed>(input);
             context.first_seen_at = context.unchanged_since(rows);
             if (context.owner_version != rows.owner_version) {
                 context.owner_seen_at = context.now;
             }
             context.owner = rows.owner;
             context.owner_version = rows.owner_version;
             context.renewal_version = rows.renewal_version;
             context.token = rows.owner_version;
         }},
        {"note_offer",
         [](step_context& context, const ownership_input& input) {
             const auto& rows = std::get<rows_observed>(input);
             if (context.offer_version != rows.offer_version) {
                 context.offer_version = rows.offer_version;
                 context.offer_seen_at = context.now;
             }
         }},
        {"send_offer",
         [](step_context& context, const ownership_input&) {
             context.offer_sent_at = context.now;
             context.effects.emplace_back(
                 write_offer{{context.options.node, context.options.incarnation,
                              context.options.capacity_permille, context.token}});
         }},
        {"send_transfer",
         [](step_context& context, const ownership_input& input) {
             context.effects.emplace_back(
                 write_transfer{context.token, *std::get<rows_observed>(input).offer});
         }},
        {"reset_row_age",
         [](step_context& context, const ownership_input&) { context.first_seen_at.reset(); }},
        {"send_claim",
         [](step_context& context, const ownership_input&) {
             context.last_sent_at = context.now;
             context.effects.emplace_back(write_claim{
                 context.owner_version, context.owner ? context.owner->capacity_permille : 0,
                 context.now - *context.first_seen_at});
         }},
        {"note_claim",
         [](step_context& context, const ownership_input& input) {
             context.token = std::get<claim_committed>(input).version;
             context.renewed_at = context.last_sent_at;
         }},
        {"begin_ownership",
         [](step_context& context, const ownership_input& input) {
             // A claim that is found in the rows was sent at an unknown time, so its lease counts
             // as expired until the first renewal.
             if (std::holds_alternative<rows_observed>(input)) {
                 context.renewed_at = context.now - context.options.lease;
             }
             context.effects.emplace_back(ownership_begun{context.token});
         }},
        {"note_renewal",
         [](step_context& context, const ownership_input& input) {
             context.renewed_at =
                 std::max(context.renewed_at, std::get<renewal_committed>(input).sent_at);
         }},
        {"send_renewal",
         [](step_context& context, const ownership_input&) {
             context.last_sent_at = context.now;
             context.effects.emplace_back(write_renewal{context.token});
         }},
        {"end_ownership",
         [](step_context& context, const ownership_input&) {
             context.first_seen_at.reset();
             context.ended_token = context.token;
             context.effects.emplace_back(ownership_ended{});
         }},
        {"schedule_release",
         [](step_context& context, const ownership_input&) {
             constexpr duration retry_delay = milliseconds(150);
             context.release_at = context.now + retry_delay;
         }},
        {"send_release",
         [](step_context& context, const ownership_input&) {
             context.release_at.reset();
             context.effects.emplace_back(write_release{context.token});
         }},
        {"report_stopped",
         [](step_context& context, const ownership_input&) {
             context.effects.emplace_back(ownership_stopped{});
         }},
    };
    auto bound = machine::create(life_cycle, guards, actions);
    if (!bound.ok()) {
        return bound.status();
    }
    return ownership(*std::move(bound), std::move(options));
}

ownership::ownership(machine life_cycle, ownership_options options)
    : machine_(std::move(life_cycle)), position_(machine_.initial()) {
    context_.options = std::move(options);
}

bool ownership::owning() const {
    return machine_.name_of(position_) == "owning";
}

std::optional<duration> ownership::poll_interval(instant now) const {
    constexpr duration normal_interval = milliseconds(300);
    constexpr duration short_interval = milliseconds(100);
    if (owning()) {
        return context_.options.capacity_permille * handover_ratio <= full_capacity
                   ? std::optional(normal_interval)
                   : std::nullopt;
    }
    const bool vacant = !context_.owner || context_.owner->released;
    const bool renewal_overdue = context_.first_seen_at && now - *context_.first_seen_at >
                                                               2 * context_.options.renewal_period;
    return vacant || renewal_overdue ? short_interval : normal_interval;
}

std::vector<ownership_effect> ownership::handle(const ownership_input& input, instant now) {
    context_.now = now;
    machine_.step(position_, context_, input);
    return std::exchange(context_.effects, {});
}

} // namespace citronford
