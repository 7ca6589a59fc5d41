// Checks that a departing executor gets no new requests after 4 s, even if stale listings show it
// as live.
#include "proofs/request_model.h"

namespace {

const citronford::proof_registration registration("departing", [](std::uint64_t seed) {
    return citronford::request_model(seed, {.executor_departure = 1, .executor_outage = 0.5})
        .run("departing");
});

} // namespace
