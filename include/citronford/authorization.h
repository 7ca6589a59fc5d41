#pragma once

#include "citronford/fleet_configuration.h"
#include "citronford/instant.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>

namespace citronford {

/// The keys of one configuration by digest.
class key_index {
  public:
    key_index() = default;
    explicit key_index(std::span<const team_key> keys);

    /// The team whose key has this digest; none for an unknown digest.
    [[nodiscard]] std::optional<team_id> team_of(const key_digest& digest) const;

  private:
    struct entry {
        key_digest digest;
        team_id team;
    };
    /// By a hash of the whole digest: how long the search takes tells nothing about how much of a
    /// digest matched.
    std::unordered_multimap<std::uint64_t, entry> entries_;
};

/// What a node knows of the age of its configuration.
struct configuration_view {
    const fleet_configuration& fleet;
    instant confirmed_at; ///< No change committed before this instant is missing from `fleet`.
    zone_id zone;         ///< Zone of the node.
    const key_index* keys = nullptr; ///< Of `fleet`; without it no key is accepted.
};

/// The longest time the node may act on keys and zone removals without a confirmation: the fleet
/// default, or the exception of the node's zone.
duration confirmation_limit(const configuration_view& view);

/// Whether the configuration is confirmed recently enough to check keys and to start tasks.
bool confirmed(const configuration_view& view, instant now);

/// The team on whose behalf work with `digest` is accepted. An empty digest is accepted for open
/// queues only and gives the empty team. Fails with `key_missing`, `key_rejected` or
/// `key_unconfirmed`.
absl::StatusOr<team_id> authorized_team(const configuration_view& view, const key_digest& digest,
                                        bool open_queue, instant now);

} // namespace citronford
