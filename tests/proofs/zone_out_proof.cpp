// Invariant `zone-out`: no task starts in an availability zone more than 3 s after the removal of
// the zone was accepted.
#include "proofs/task_proofs.h"

namespace citronford {
namespace {

proof_result run(std::uint64_t seed) {
    constexpr duration bound = seconds(3);
    task_proof proof(seed);
    model_fleet& model = proof.model;
    std::map<zone_id, instant> removed;
    model.on_start = [&](const model_worker& worker, const task_start& start) {
        const auto found = removed.find(worker.listing.zone);
        if (found != removed.end() && model.now() > found->second + bound) {
            proof.violate("job " + start.job.str() + " started in the removed zone " +
                          found->first.str());
        }
    };
    proof.run(40, [&](int /*second*/) {
        const zone_id zone(std::string(1, static_cast<char>('a' + model.below(3))));
        if (model.chance(150) && removed.empty()) {
            removed[zone] = model.now();
            model.fleet.removals = {{zone, "maintenance"}};
            ++model.fleet.version;
        } else if (model.chance(100) && !removed.empty()) {
            removed.clear();
            model.fleet.removals.clear();
            ++model.fleet.version;
        }
        model_node& node = *model.nodes[model.below(model.nodes.size())];
        node.cut_off = model.chance(node.cut_off ? 850 : 150);
        if (model.chance(50)) {
            node.paused_until = model.now() + milliseconds(model.below(9000));
        }
    });
    return proof.finish();
}

const proof_registration registration("zone-out",
                                      run); // NOLINT(bugprone-throwing-static-initialization)

} // namespace
} // namespace citronford
