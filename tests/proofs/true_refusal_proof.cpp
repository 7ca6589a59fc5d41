// No request that was refused as "not run" ran before or after the refusal.
#include "proofs/request_model.h"

namespace {

const citronford::proof_registration registration("true-refusal", [](std::uint64_t seed) {
    return citronford::request_model(seed, {.reply_lost = 0.12, .message_late = 0.08})
        .run("true-refusal");
});

/// The same id through two nodes, the second time marked as a repetition: it is not refused as "not
/// run" once the first sending ran.
const citronford::proof_registration repeated("repeated-refusal", [](std::uint64_t seed) {
    return citronford::request_model(
               seed, {.reply_lost = 0.12, .twice = 0.8, .marked = true, .node_lost = 0.6})
        .run("true-refusal");
});

} // namespace
