// A non-idempotent request runs at most once, whatever is lost and however often it is sent.
#include "proofs/request_model.h"

namespace {

const citronford::proof_registration registration("at-most-once", [](std::uint64_t seed) {
    return citronford::request_model(seed, {.reply_lost = 0.15, .twice = 0.5}).run("at-most-once");
});

} // namespace
