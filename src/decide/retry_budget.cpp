#include "citronford/retry_budget.h"

#include <algorithm>

namespace citronford {
namespace {

/// Attempts that can be saved up; bounds what an outage after a long quiet time may add.
constexpr double tokens_most = 50;

} // namespace

void retry_budget::note_success() {
    tokens_ = std::min(tokens_ + ratio_, tokens_most);
}

} // namespace citronford
