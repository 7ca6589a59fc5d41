#include "citronford/invariant.h"

#include <utility>

namespace citronford {
namespace {

// A process has one loop on one thread, so plain variables suffice.
invariant_monitor::reporter current_reporter; // NOLINT(bugprone-throwing-static-initialization)
std::uint64_t violation_count = 0;

} // namespace

void invariant_monitor::set_reporter(reporter report) {
    current_reporter = std::move(report);
}

bool invariant_monitor::check(bool holds, std::string_view promise, std::string_view detail) {
    if (holds) {
        return true;
    }
    ++violation_count;
    if (current_reporter) {
        current_reporter(promise, detail);
    }
    return false;
}

std::uint64_t invariant_monitor::violations() {
    return violation_count;
}

void invariant_monitor::reset() {
    violation_count = 0;
}

} // namespace citronford
