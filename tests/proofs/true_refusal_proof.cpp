// No request that was refused as "not run" ran before or after the refusal.
#include "proofs/request_model.h"

namespace {

const citronford::proof_registration registration("true-refusal", [](std::uint64_t seed) {
    return citronford::request_model(seed, {.reply_lost = 0.12, .message_late = 0.08})
        .run("true-refusal");
});

} // namespace
