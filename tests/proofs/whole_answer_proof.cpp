// Checks that every caller of a live node gets exactly one answer, complete and to its own request.
#include "proofs/request_model.h"

namespace {

const citronford::proof_registration registration("whole-answer", [](std::uint64_t seed) {
    return citronford::request_model(seed, {.misrouted_reply = 0.1, .duplicate_reply = 0.1})
        .run("whole-answer");
});

} // namespace
