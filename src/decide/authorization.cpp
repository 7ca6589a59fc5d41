#include "citronford/authorization.h"

#include "citronford/invariant.h"
#include "citronford/planted_fault.h"
#include "citronford/result_code.h"

#include <xxhash.h>

#include <charconv>
#include <string>

namespace citronford {
namespace {

/// Compares without an early exit, so that the time does not tell how much of a digest matched.
bool equal_in_constant_time(std::string_view left, std::string_view right) {
    if (left.size() != right.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t index = 0; index < left.size(); ++index) {
        difference |=
            static_cast<unsigned char>(left[index]) ^ static_cast<unsigned char>(right[index]);
    }
    return difference == 0;
}

std::uint64_t hash_of(const key_digest& digest) {
    return XXH3_64bits(digest.view().data(), digest.view().size());
}

} // namespace

key_index::key_index(std::span<const team_key> keys) {
    for (const team_key& key : keys) {
        entries_.emplace(hash_of(key.digest), entry{key.digest, key.team});
    }
}

std::optional<team_id> key_index::team_of(const key_digest& digest) const {
    const auto [first, last] = entries_.equal_range(hash_of(digest));
    for (auto item = first; item != last; ++item) {
        if (equal_in_constant_time(item->second.digest.view(), digest.view())) {
            return item->second.team;
        }
    }
    return std::nullopt;
}

duration confirmation_limit(const configuration_view& view) {
    const std::string scope = "zone/" + view.zone.str();
    const auto text = exception_value(view.fleet, scope, "key_confirmation_limit_ms");
    std::int64_t limit_ms = 0;
    if (text &&
        std::from_chars(text->data(), text->data() + text->size(), limit_ms).ec == std::errc()) {
        return milliseconds(limit_ms);
    }
    return view.fleet.defaults.key_confirmation_limit;
}

bool confirmed(const configuration_view& view, instant now) {
    return fault_planted("keys") || now - view.confirmed_at <= confirmation_limit(view);
}

absl::StatusOr<team_id> authorized_team(const configuration_view& view, const key_digest& digest,
                                        bool open_queue, instant now) {
    if (digest.empty()) {
        if (open_queue) {
            return team_id();
        }
        return make_status(result_code::key_missing, "a key is needed for this queue");
    }
    if (!confirmed(view, now)) {
        return make_status(result_code::key_unconfirmed,
                           "the configuration is not confirmed recently enough to check keys");
    }
    const auto team = view.keys == nullptr ? std::nullopt : view.keys->team_of(digest);
    if (!team) {
        return make_status(result_code::key_rejected, "the key is unknown or withdrawn");
    }
    invariant_monitor::check(now - view.confirmed_at <= confirmation_limit(view), "keys",
                             "a key is accepted by an unconfirmed configuration");
    return *team;
}

} // namespace citronford
