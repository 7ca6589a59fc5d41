#include "citronford/memory_watch.h"

namespace citronford {

bool memory_watch::observe(std::uint64_t resident_bytes) {
    constexpr std::uint64_t steps = 20;
    constexpr std::uint64_t first_step = 16;
    if (limit_bytes_ == 0) {
        return false;
    }
    const std::uint64_t step = resident_bytes * steps / limit_bytes_;
    if (step < first_step) {
        reported_step_ = 0;
        return false;
    }
    if (step <= reported_step_) {
        return false;
    }
    reported_step_ = step;
    return true;
}

} // namespace citronford
