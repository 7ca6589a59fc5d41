#include "dispatch_fixture.h"

using namespace citronford;

namespace {

/// A dispatcher whose pool is recovered, with one server in contact.
struct polling_fixture : dispatch_fixture {
    polling_fixture() {
        register_backend(first);
        finish_loading();
        tick();
        answer_poll(first, {}, {});
        for (int count = 0; count < 60; ++count) {
            tick();
            answer_poll(first, {}, {});
        }
        polls.clear();
    }
};

} // namespace

// A server that loses a poll hides the completions of its runs until the poll's time is over. Its
// next run ends after about 500 ms, so a poll of more than a second would hide that for as long.
Test(lost_polls, lets_a_server_hold_a_poll_only_until_its_next_run_should_have_ended) {
    polling_fixture fixture;
    fixture.add_workflow(job, false);
    fixture.tick();
    cr_assert(fixture.starts.size() == 1);
    fixture.handle(start_answered{fixture.starts.front().run, command_accepted{1000}});
    fixture.tick();
    fixture.answer_poll(first, {reported_run(1)}, {});
    fixture.tick();
    const duration wait = fixture.last_poll(first).max_wait;
    cr_assert(wait >= milliseconds(400) && wait <= milliseconds(600), "%ld ms", to_ms(wait));
}

// A task that runs for longer than estimated must not make the owner poll without a pause.
Test(lost_polls, polls_a_server_with_an_overdue_run_five_times_a_second) {
    polling_fixture fixture;
    fixture.add_workflow(job, false);
    fixture.tick();
    fixture.handle(start_answered{fixture.starts.front().run, command_accepted{1000}});
    fixture.tick();
    fixture.answer_poll(first, {reported_run(1)}, {});
    fixture.tick(seconds(2));
    fixture.answer_poll(first, {reported_run(1)}, {});
    fixture.tick();
    fixture.tick();
    fixture.answer_poll(first, {reported_run(1)}, {});
    fixture.tick();
    cr_assert(fixture.last_poll(first).max_wait == milliseconds(200), "%ld ms",
              to_ms(fixture.last_poll(first).max_wait));
}

// A server takes no task after a poll that was lost until the next one is answered, so the next one
// must not wait.
Test(lost_polls, repeats_the_first_lost_poll_at_once_and_later_ones_after_a_pause) {
    polling_fixture fixture;
    fixture.add_workflow(job, false);
    fixture.tick();
    fixture.handle(start_answered{fixture.starts.front().run, command_accepted{1000}});
    fixture.tick();
    fixture.polls.clear();
    fixture.handle(poll_answered{first, command_in_doubt{}});
    fixture.tick();
    cr_assert(fixture.polls.size() == 1);
    cr_assert(fixture.last_poll(first).max_wait == duration::zero());
    fixture.handle(poll_answered{first, command_in_doubt{}});
    fixture.tick();
    cr_assert(fixture.polls.size() == 1, "%zu polls", fixture.polls.size());
    fixture.tick(milliseconds(300));
    cr_assert(fixture.polls.size() == 2, "%zu polls", fixture.polls.size());
}
