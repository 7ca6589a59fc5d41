// A key that an operator was told is revoked everywhere is accepted by no node.
#include "proofs/control_faults.h"

namespace citronford {
namespace {

proof_result prove_keys(std::uint64_t seed) {
    control_world world(seed, 2 + seed % 2, 3 + seed % 3, first_fleet());
    proof_result result;
    std::set<key_id> revoked; ///< Told to an operator.
    std::map<change_id, key_id> revocations;
    std::uint64_t next_key = 1;
    world.on_answer = [&](std::size_t node, const answer_change& answer) {
        const auto& change = world.nodes[node]->asked.at(answer.id);
        const auto* withdrawal = std::get_if<withdraw_key>(&change);
        const bool pending = std::ranges::any_of(
            answer.zones, [](const zone_progress& zone) { return !zone.pending.empty(); });
        if (answer.status.ok() && withdrawal != nullptr && !pending) {
            revoked.insert(withdrawal->id);
        }
    };
    run_with_faults(world, seconds(60), [&] {
        const std::size_t index = world.below(world.nodes.size());
        const modelled_node& node = *world.nodes[index];
        if (world.chance() < 0.03) {
            const std::string name = "k" + std::to_string(next_key++);
            world.change(index, give_key{{key_id(name), key_digest(name), team_id("a")}});
        } else if (world.chance() < 0.05 && !node.fleet->fleet().keys.empty()) {
            const auto& keys = node.fleet->fleet().keys;
            world.change(index, withdraw_key{keys[world.below(keys.size())].id});
        }
        for (const auto& each : world.nodes) {
            for (const key_id& key : revoked) {
                if (each->up && !each->paused &&
                    authorized_team(each->fleet->view(), key_digest(key.view()), false, world.now)
                        .ok()) {
                    ++result.violations;
                    result.detail =
                        "a revoked key is accepted by " + each->members->self().node.str();
                }
            }
        }
    });
    result.steps = world.steps;
    return result;
}

const proof_registration registration("keys", prove_keys);

} // namespace
} // namespace citronford
