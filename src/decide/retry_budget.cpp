#include "citronford/retry_budget.h"

#include <algorithm>

namespace citronford {
namespace {

/// Limits the additional attempts that an outage after a long period of successes can cause.
constexpr double max_tokens = 50;

} // namespace

void retry_budget::record_success() {
    tokens_ = std::min(tokens_ + ratio_, max_tokens);
}

} // namespace citronford
