// An executor that departs gets no new work after some seconds, whatever stale lists say.
#include "proofs/request_model.h"

namespace {

const citronford::proof_registration registration("departing", [](std::uint64_t seed) {
    return citronford::request_model(seed, {.departing = 1, .silent = 0.5}).run("departing");
});

} // namespace
