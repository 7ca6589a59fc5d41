// A version never falls on a node, and a change told to be in force is in force everywhere.
#include "proofs/control_faults.h"

namespace citronford {
namespace {

proof_result prove_configuration(std::uint64_t seed) {
    control_world world(seed, 2 + seed % 2, 3 + seed % 3, first_fleet());
    proof_result result;
    configuration_version told = 0; ///< Highest version reported in force.
    std::map<member_id, configuration_version> seen;
    world.on_answer = [&](std::size_t /*node*/, const answer_change& answer) {
        const bool pending = std::ranges::any_of(
            answer.zones, [](const zone_progress& zone) { return !zone.pending.empty(); });
        if (answer.status.ok() && !pending) {
            told = std::max(told, answer.version);
        }
        if (answer.status.ok() && answer.version > world.versions.back().version) {
            ++result.violations;
            result.detail = "an accepted change is not in the table";
        }
    };
    run_with_faults(world, seconds(60), [&] {
        const std::size_t index = world.below(world.nodes.size());
        if (world.chance() < 0.04) {
            world.change(index, remove_zone{{zone_id("z0"), "maintenance"}});
        } else if (world.chance() < 0.04) {
            world.change(index, restore_zone{zone_id("z0")});
        }
        for (const auto& each : world.nodes) {
            const configuration_version version = each->fleet->fleet().version;
            configuration_version& before = seen[each->members->self()];
            if (version < before) {
                ++result.violations;
                result.detail = "a version fell on a node";
            }
            before = version;
            if (each->up && !each->paused && version < told &&
                confirmed(each->fleet->view(), world.now)) {
                ++result.violations;
                result.detail = "a node acts on a version before the one in force";
            }
        }
    });
    result.steps = world.steps;
    return result;
}

const proof_registration registration("configuration", prove_configuration);

} // namespace
} // namespace citronford
