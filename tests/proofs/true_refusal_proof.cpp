// Checks that a request that was refused as "not run" runs neither before nor after the refusal.
#include "proofs/request_model.h"

namespace {

const citronford::proof_registration registration("true-refusal", [](std::uint64_t seed) {
    return citronford::request_model(seed, {.lost_reply = 0.12, .delayed_request = 0.08})
        .run("true-refusal");
});

/// Sends ids a second time, marked as repeated and mostly through the other node: the second
/// request must not be refused as "not run" after the first one ran.
const citronford::proof_registration repeated("repeated-refusal", [](std::uint64_t seed) {
    return citronford::request_model(seed, {.lost_reply = 0.12,
                                            .duplicate_submission = 0.8,
                                            .duplicates_marked = true,
                                            .node_crash = 0.6})
        .run("true-refusal");
});

} // namespace
