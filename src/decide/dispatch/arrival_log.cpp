#include "decide/dispatch/arrival_log.h"

#include <algorithm>

namespace citronford::dispatch {

void arrival_log::note(work_tier rank, double core_s, instant accepted_at, instant now) {
    constexpr duration kept_time = seconds(4);
    ++workflows_;
    const instant at = std::min(accepted_at, now);
    if (at < now - kept_time) {
        return;
    }
    std::erase_if(intervals_,
                  [&](const accepted_work& item) { return item.begin < now - kept_time; });
    const instant begin = at - at.time_since_epoch() % accepted_work::interval;
    auto place = std::ranges::lower_bound(intervals_, begin, {}, &accepted_work::begin);
    if (place == intervals_.end() || place->begin != begin) {
        place = intervals_.insert(place, accepted_work{begin, {}});
    }
    const bool urgent = rank == work_tier::urgent;
    accepted_work::sum& sum = place->classes[urgent ? 0 : 1];
    sum.core_s += core_s;
    ++sum.workflows;
}

} // namespace citronford::dispatch
