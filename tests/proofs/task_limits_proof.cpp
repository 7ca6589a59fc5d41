// Checks that the number of tasks of a team running on workers never exceeds the units of all
// nodes.
#include "proofs/task_proofs.h"

namespace citronford {
namespace {

proof_result run(std::uint64_t seed) {
    task_proof proof(seed);
    model_fleet& model = proof.model;
    const int limit = task_proof::units_per_node * static_cast<int>(model.nodes.size());
    model.on_start = [&](const model_worker& /*worker*/, const task_start& start) {
        const int running = model.running()[start.team];
        if (running > limit) {
            proof.violate("team " + start.team.str() + " runs " + std::to_string(running) +
                          " tasks of " + std::to_string(limit));
        }
    };
    proof.run(40, [&](int /*second*/) {
        model_worker& worker = model.workers[model.below(model.workers.size())];
        worker.silent = model.chance(worker.silent ? 850 : 150);
        model_node& node = *model.nodes[model.below(model.nodes.size())];
        if (model.chance(60)) {
            node.paused_until = model.now() + milliseconds(model.below(9000));
        }
        model.outage = model.chance(model.outage ? 700 : 60);
    });
    return proof.finish();
}

const proof_registration registration("task-limits",
                                      run); // NOLINT(bugprone-throwing-static-initialization)

} // namespace
} // namespace citronford
