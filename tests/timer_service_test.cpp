#include "test_support.h"

#include "citronford/manual_timer_service.h"

using namespace citronford;

// Guards against a one-shot call that repeats, and against one whose captures are never released.
Test(timer_service, calls_once_and_drops_what_is_pending_at_its_end) {
    const auto captured = std::make_shared<int>(0);
    {
        manual_timer_service timers;
        timers.once(milliseconds(10), [captured](instant) { ++*captured; });
        timers.once(milliseconds(500), [captured](instant) { ++*captured; });
        timers.advance(milliseconds(100));
        cr_assert(*captured == 1);
        cr_assert(captured.use_count() == 2, "the call that was made is still held");
    }
    cr_assert(*captured == 1);
    cr_assert(captured.use_count() == 1, "the pending call is still held");
}
