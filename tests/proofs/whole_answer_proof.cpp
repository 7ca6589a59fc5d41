// Every caller of a live node gets one answer, and a complete one to its own request.
#include "proofs/request_model.h"

namespace {

const citronford::proof_registration registration("whole-answer", [](std::uint64_t seed) {
    return citronford::request_model(seed, {.crossed = 0.1, .late = 0.1}).run("whole-answer");
});

} // namespace
