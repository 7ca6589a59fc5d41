#pragma once

#include <chrono>
#include <cstdint>

namespace citronford {

/// Clock tag of the timer service. Instants of one process are comparable; those of two are not.
struct service_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<service_clock>;
    static constexpr bool is_steady = true;
};

using instant = service_clock::time_point;
using duration = service_clock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Whole milliseconds of `span`, rounded towards zero.
constexpr std::int64_t to_ms(duration span) {
    return std::chrono::duration_cast<milliseconds>(span).count();
}

} // namespace citronford
