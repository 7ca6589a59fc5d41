// Checks that a non-idempotent request runs at most once, even if messages are lost or it is sent
// repeatedly.
#include "proofs/request_model.h"

namespace {

const citronford::proof_registration registration("at-most-once", [](std::uint64_t seed) {
    return citronford::request_model(seed, {.lost_reply = 0.15, .duplicate_submission = 0.5})
        .run("at-most-once");
});

} // namespace
