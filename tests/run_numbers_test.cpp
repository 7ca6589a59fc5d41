#include "dispatch_fixture.h"

using namespace citronford;

Test(run_numbers, failures_of_equal_run_numbers_on_two_servers_count_twice) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.register_backend(second);
    fixture.add_workflow(job, true);
    fixture.finish_loading();
    constexpr duration step = milliseconds(100);
    for (const instant end = fixture.now + seconds(20);
         fixture.now < end && fixture.starts.empty();) {
        fixture.handle(poll_answered{second, backend_unreachable{}});
        fixture.answer_poll(first, {}, {});
        fixture.tick(step);
    }
    cr_assert(fixture.starts.size() == 1 && fixture.starts.front().to.id == first);
    fixture.confirm_save();
    const std::uint32_t number = fixture.starts.front().command.run;
    fixture.handle(start_answered{fixture.starts.front().run, command_accepted{1000}});
    fixture.answer_poll(first, {}, {completion_of(1, number, completion_kind::failed)});
    // The owner before found the workflow stored, too, so it began with the same number.
    fixture.answer_poll(second, {}, {completion_of(1, number, completion_kind::failed)});
    fixture.tick();
    fixture.confirm_save();
    fixture.tick();
    cr_assert(fixture.saved.size() == 1 && fixture.saved.front().progress.failures.size() == 1);
    const std::size_t counted = fixture.saved.front().progress.failures.front().runs.size();
    cr_assert(counted == 2, "%zu of 2 failures counted", counted);
}
