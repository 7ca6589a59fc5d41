// Cost of one change of the configuration and of one key check, by the number of keys.
#include "capacity/slope.h"

#include "citronford/authorization.h"
#include "citronford/configuration_change.h"

#include <memory>
#include <string>

namespace citronford {
namespace {

key_digest digest_number(std::size_t number) {
    constexpr std::size_t digest_digits = 64;
    std::string text = std::to_string(number);
    text.insert(0, digest_digits - text.size(), '0');
    return key_digest(text);
}

std::unique_ptr<fleet_configuration> fleet_with_keys(std::size_t keys) {
    constexpr std::size_t teams = 55;
    auto fleet = std::make_unique<fleet_configuration>();
    for (std::size_t index = 0; index < teams; ++index) {
        fleet->defaults.teams.push_back({team_id("team-" + std::to_string(index)), 1, 64});
    }
    for (std::size_t index = 0; index < keys; ++index) {
        fleet->keys.push_back({key_id("key-" + std::to_string(index)), digest_number(index),
                               fleet->defaults.teams[index % teams].name});
    }
    return fleet;
}

cost_sample change_cost(std::size_t keys) {
    constexpr std::size_t passes = 200;
    return sampled(
        keys, passes, [&] { return fleet_with_keys(keys); },
        [](fleet_configuration& fleet) {
            team_key key = fleet.keys.back();
            key.team = team_id("team-1");
            fleet = changed_configuration(std::move(fleet), give_key{key});
        });
}

cost_sample key_check_cost(std::size_t keys) {
    constexpr std::size_t passes = 2000;
    struct indexed_fleet {
        std::unique_ptr<fleet_configuration> fleet;
        key_index index;
    };
    const auto indexed = [&] {
        auto fleet = fleet_with_keys(keys);
        key_index index(fleet->keys);
        return std::make_unique<indexed_fleet>(indexed_fleet{std::move(fleet), std::move(index)});
    };
    return sampled(keys, passes, indexed, [](indexed_fleet& state) {
        const fleet_configuration& fleet = *state.fleet;
        const configuration_view view{fleet, instant(), zone_id("a"), &state.index};
        const auto team = authorized_team(view, fleet.keys.back().digest, false, instant());
        if (!team.ok()) {
            std::abort();
        }
    });
}

const capacity_registration
    change({"configuration_change", "keys", "change", {100, 400, 1600}, change_cost});
const capacity_registration
    key_check({"key_check", "keys", "check", {100, 400, 1600}, key_check_cost});

} // namespace
} // namespace citronford
