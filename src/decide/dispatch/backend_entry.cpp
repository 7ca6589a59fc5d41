#include "decide/dispatch/backend_entry.h"

namespace citronford::dispatch {

void backend_entry::update_clock(backend_clock_ms read, instant now) {
    if (!clock || read >= clock->clock) {
        clock = clock_reading{read, now};
    }
}

bool backend_entry::shows_restart(backend_clock_ms read, instant now) const {
    // Covers the delay of replies; a server clock may be 2% slow.
    constexpr duration longest_delay = milliseconds(500);
    if (!clock) {
        return false;
    }
    const duration age = now - clock->read_at;
    const backend_clock_ms expected = clock->clock + to_ms(age);
    const backend_clock_ms tolerance = to_ms(longest_delay + age / 50);
    return read < expected - tolerance || read > expected + tolerance;
}

} // namespace citronford::dispatch
