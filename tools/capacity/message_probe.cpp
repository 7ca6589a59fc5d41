// Bytes of the messages of a configuration change to one peer, by the number of keys: the update of
// a peer one version behind, and the whole configuration for a peer far behind.
#include "capacity/slope.h"

#include "citronford/configuration_log.h"
#include "io/configuration_codec.h"
#include "io/peer_codec.h"

#include <memory>
#include <string>

namespace citronford {
namespace {

team_key key_number(std::size_t number) {
    constexpr std::size_t digest_digits = 64;
    constexpr std::size_t teams = 55;
    return {key_id("key-" + std::to_string(number)), key_digest(std::string(digest_digits, 'a')),
            team_id("team-" + std::to_string(number % teams))};
}

/// A log in which every key was given by a version of its own.
std::unique_ptr<configuration_log> log_of_keys(std::size_t keys) {
    auto log = std::make_unique<configuration_log>();
    for (std::size_t number = 1; number <= keys; ++number) {
        for (const table_write& write : rows_of(give_key{key_number(number)})) {
            const table_row row{write.key, write.value, number};
            log->note_rows(std::span(&row, 1));
        }
        log->note_version(number, number);
    }
    return log;
}

/// Cost of the update of a peer with the version `known`.
cost_sample update_cost(std::size_t keys, configuration_version known) {
    constexpr std::size_t passes = 50;
    const member_id sender{node_id("entry-a-1"), 1};
    std::size_t bytes = 0;
    cost_sample sample = sampled(
        keys, passes, [&] { return log_of_keys(keys); },
        [&](const configuration_log& log) {
            bytes = encoded(sender, log.update(known, keys, keys)).size();
        });
    sample.message_bytes = static_cast<double>(bytes);
    return sample;
}

const capacity_registration
    next_version({"configuration_update", "keys", "update", {400, 800, 1600}, [](std::size_t keys) {
                      return update_cost(keys, keys - 1);
                  }});
const capacity_registration
    all_rows({"configuration_whole", "keys", "update", {400, 800, 1600}, [](std::size_t keys) {
                  return update_cost(keys, 0);
              }});

} // namespace
} // namespace citronford
