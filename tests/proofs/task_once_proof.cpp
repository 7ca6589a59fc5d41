// Checks that a job that is not restartable is started at most once.
#include "proofs/task_proofs.h"

namespace citronford {
namespace {

proof_result run(std::uint64_t seed) {
    task_proof proof(seed);
    model_fleet& model = proof.model;
    model.on_start = [&](const model_worker& worker, const task_start& start) {
        const job_truth& real = model.truth[start.job];
        if (!real.restartable && real.starts > 1) {
            proof.violate("job " + start.job.str() + " started again on " +
                          worker.listing.id.str());
        }
    };
    model_node* stopping = nullptr; // One node is shut down as planned.
    proof.run(50, [&](int /*second*/) {
        model_node& node = *model.nodes[model.below(model.nodes.size())];
        if (model.chance(60)) {
            node.paused_until = model.now() + milliseconds(model.below(15000));
        }
        model.outage = model.chance(model.outage ? 700 : 60);
        model_worker& worker = model.workers[model.below(model.workers.size())];
        worker.silent = model.chance(worker.silent ? 850 : 100);
        if (model.chance(30)) {
            worker.tasks.clear();
            worker.epoch = 0;
            worker.sequence = 0;
            ++worker.incarnation;
        }
        // A node that was paused and taken for dead by the others resumes.
        if (model.chance(50)) {
            node.paused_until = model.now() + milliseconds(4000 + model.below(9000));
            node.dead = true;
            model.announce();
            node.dead = false;
        } else if (model.chance(100)) {
            model.announce();
        }
        if (model.chance(20) && model.nodes.size() > 2) {
            node.dead = true;
            model.announce();
        }
        if (stopping != nullptr && !stopping->dead && stopping->scheduler->open_handovers() == 0) {
            stopping->dead = true;
            model.announce();
        } else if (stopping == nullptr && model.chance(60) && model.nodes.size() > 2) {
            stopping = &node;
            model.deliver(node, scheduler_stop{});
        }
    });
    return proof.finish();
}

const proof_registration registration("task-once",
                                      run); // NOLINT(bugprone-throwing-static-initialization)

} // namespace
} // namespace citronford
