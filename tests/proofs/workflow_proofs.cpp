// Checks workflows with failing backend servers, lost and delayed messages, and successive owners.
#include "proofs/workflow_world.h"

namespace citronford {
namespace {

constexpr std::string_view promises[] = {"workflow-once",    "workflow-attempts", "workflow-order",
                                         "workflow-limits",  "workflow-cancel",   "workflow-truth",
                                         "workflow-finishes"};

/// Odd seeds concentrate on servers that restart under their identifiers while tasks run.
workflow_faults faults_of(std::uint64_t seed) {
    workflow_faults faults;
    if (seed % 2 == 1) {
        faults.new_connection = 0.6;
        faults.request_delayed = 0.05;
        faults.task_overruns = 0.3;
        faults.backend_restart = 0.1;
        faults.backends_restart_together = 0.3;
        faults.owner_killed = 0.06;
        faults.owner_store_partitioned = 0.15;
    }
    return faults;
}

/// The results of a seed. One simulation checks all promises, so its results are cached.
const workflow_world::results& results_of(std::uint64_t seed) {
    static std::map<std::uint64_t, workflow_world::results> known;
    const auto [place, added] = known.try_emplace(seed);
    if (added) {
        workflow_world world(seed, faults_of(seed));
        place->second = world.run(promises);
    }
    return place->second;
}

template <std::size_t Index> proof_result run(std::uint64_t seed) {
    if (promises[Index] == "workflow-attempts") {
        workflow_faults faults = faults_of(seed);
        faults.task_fails = 0.4; // High enough for tasks to exhaust their attempts.
        workflow_world world(seed, faults);
        return world.run(promises).at(std::string(promises[Index]));
    }
    return results_of(seed).at(std::string(promises[Index]));
}

// NOLINTBEGIN(bugprone-throwing-static-initialization)
const proof_registration once("workflow-once", run<0>);
const proof_registration attempts("workflow-attempts", run<1>);
const proof_registration order("workflow-order", run<2>);
const proof_registration limits("workflow-limits", run<3>);
const proof_registration cancel("workflow-cancel", run<4>);
const proof_registration truth("workflow-truth", run<5>);
const proof_registration finishes("workflow-finishes", run<6>);
// NOLINTEND(bugprone-throwing-static-initialization)

} // namespace
} // namespace citronford
