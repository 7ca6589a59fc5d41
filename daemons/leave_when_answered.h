#pragma once

#include "citronford/timer_service.h"

#include <functional>
#include <utility>

namespace citronford {

/// Pause between two looks at what is still to be answered before the process ends.
constexpr duration answer_look_period = milliseconds(10);

/// Calls `leave` once `answered` holds, or after `looks` more looks. Looks are counted, not time: a
/// process that was suspended meanwhile still reads what arrived, since the loop reads its sockets
/// between two looks.
inline void leave_when_answered(timer_service& timers, std::function<bool()> answered,
                                std::function<void()> leave, int looks) {
    if (looks == 0 || answered()) {
        leave();
        return;
    }
    timers.once(answer_look_period,
                [&timers, answered = std::move(answered), leave = std::move(leave),
                 looks](instant) { leave_when_answered(timers, answered, leave, looks - 1); });
}

} // namespace citronford
