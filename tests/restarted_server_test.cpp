#include "dispatch_fixture.h"

#include <algorithm>
#include <utility>
#include <vector>

using namespace citronford;

namespace {

constexpr std::int64_t former_process = 7;
constexpr std::int64_t new_process = 8;
constexpr backend_clock_ms former_clock = 500000;
constexpr duration longest_lease = seconds(10);
/// The longest lease on a clock that is 2% slow, with the time of a call under way.
constexpr duration longest_lease_end = milliseconds(10800);
/// Ordinary leases have ended long before.
constexpr duration before_longest_lease_end = milliseconds(9900);

dispatch_options options() {
    dispatch_options values;
    values.max_lease = longest_lease;
    return values;
}

/// Two servers, and a task whose start went to `first`.
struct restart_fixture : dispatch_fixture {
    restart_fixture() : dispatch_fixture(options()) {
        register_process(first, former_process);
        finish_loading();
        constexpr duration leases_of_earlier_owners = seconds(20);
        tick(leases_of_earlier_owners);
        add_workflow(job, false);
        answer(first, former_process, former_clock);
        tick();
        cr_assert(starts.size() == 1 && starts.front().to.id == first);
        register_process(second, former_process);
    }

    void register_process(const backend_id& id, std::int64_t process_start) {
        backend_registration registration;
        registration.id = id;
        registration.pool = pool;
        registration.capacity = {4000, 4000, 0};
        registration.process_start_unix_ms = process_start;
        handle(backend_registered{registration});
    }

    void answer(const backend_id& id, std::int64_t process_start, backend_clock_ms clock,
                std::vector<running_task> running = {}, std::vector<run_completion> ended = {}) {
        handle(poll_answered{
            id, poll_reply{clock, process_start, std::move(running), std::move(ended)}});
    }

    /// `first` does not answer; `second` does.
    void pass_step_without_first() {
        constexpr duration step = milliseconds(100);
        answer(second, former_process, former_clock + to_ms(now.time_since_epoch()));
        tick(step);
        handle(poll_answered{first, backend_unreachable{}});
    }

    void pass_without_first(duration time) {
        for (const instant end = now + time; now < end;) {
            pass_step_without_first();
        }
    }

    void answer_start(backend_clock_ms clock) {
        handle(start_answered{starts.front().run, command_accepted{clock}});
    }

    [[nodiscard]] bool started_again() const {
        return std::ranges::any_of(starts, [](const send_start& start) {
            return start.to.id == second && start.command.task.index == 0;
        });
    }
};

} // namespace

Test(restarted_server, next_owner_starts_no_task_while_a_lease_given_to_a_new_process_may_last) {
    dispatch_fixture fixture(options());
    fixture.register_backend(first);
    fixture.register_backend(second);
    fixture.add_workflow(job, true);
    fixture.finish_loading();
    const instant longest_end =
        fixture.now + dispatch_options().previous_owner_grace + before_longest_lease_end;
    while (fixture.now < longest_end) {
        fixture.handle(poll_answered{second, backend_unreachable{}});
        fixture.answer_poll(first, {}, {});
        fixture.tick(milliseconds(100));
        cr_assert(fixture.starts.empty(), "started after %lld ms",
                  static_cast<long long>(to_ms(fixture.now - longest_end)));
    }
    fixture.tick(seconds(1));
    fixture.answer_poll(first, {}, {});
    fixture.tick();
    cr_assert(fixture.starts.size() == 1, "not started after the longest lease");
}

Test(restarted_server, start_in_doubt_holds_its_task_for_the_longest_lease) {
    restart_fixture fixture;
    fixture.handle(start_answered{fixture.starts.front().run, command_in_doubt{}});
    fixture.pass_without_first(before_longest_lease_end);
    cr_assert(!fixture.started_again(), "a new process may run the task");
    fixture.pass_without_first(longest_lease_end - before_longest_lease_end);
    cr_assert(fixture.started_again());
}

Test(restarted_server, start_answered_by_a_new_process_holds_its_task_for_the_longest_lease) {
    restart_fixture fixture;
    fixture.handle(start_answered{fixture.starts.front().run, command_accepted{1000}});
    fixture.pass_without_first(before_longest_lease_end);
    cr_assert(!fixture.started_again(), "the new process runs the task");
    fixture.pass_without_first(longest_lease_end - before_longest_lease_end);
    cr_assert(fixture.started_again());
}

Test(restarted_server, start_answered_after_the_restart_was_registered_holds_its_task) {
    restart_fixture fixture;
    fixture.register_process(first, new_process);
    fixture.handle(start_answered{fixture.starts.front().run, command_accepted{1000}});
    fixture.pass_without_first(before_longest_lease_end);
    cr_assert(!fixture.started_again(), "the new process runs the task");
    fixture.pass_without_first(longest_lease_end - before_longest_lease_end);
    cr_assert(fixture.started_again());
}

Test(restarted_server, repeated_registrations_do_not_extend_the_bound_of_lost_runs) {
    restart_fixture fixture;
    fixture.answer_start(former_clock + 20);
    const instant give_up = fixture.now + 2 * longest_lease_end;
    instant next_heartbeat = fixture.now;
    while (fixture.now < give_up) {
        if (fixture.now >= next_heartbeat) {
            fixture.register_process(first, new_process);
            next_heartbeat = fixture.now + milliseconds(1500);
        }
        fixture.pass_step_without_first();
    }
    cr_assert(fixture.started_again(), "the task waits as long as its server is registered");
}

Test(restarted_server, owner_without_lease_starts_nothing_on_a_process_that_it_never_fenced) {
    restart_fixture fixture;
    fixture.answer_start(former_clock + 20);
    fixture.starts.clear();
    // The table is out of reach: the lease ends after 2 s, commands may be sent until 5 s.
    fixture.now += milliseconds(2500);
    fixture.handle(dispatch_tick{1});
    // A next owner has fenced the former process and run the task elsewhere. The new process has
    // seen no token, and answers this owner first.
    fixture.handle(poll_answered{first, command_in_doubt{}});
    fixture.now += milliseconds(20);
    fixture.handle(dispatch_tick{1});
    fixture.answer(first, new_process, 1000);
    fixture.now += milliseconds(20);
    fixture.handle(dispatch_tick{1});
    cr_assert(fixture.starts.empty(), "started without the protection of a fencing token");
}

Test(restarted_server, server_that_does_not_report_its_start_gets_tasks) {
    dispatch_fixture fixture;
    fixture.register_backend(first);
    fixture.add_workflow(job, false);
    fixture.finish_loading();
    fixture.handle(poll_answered{first, poll_reply{1000, unknown_process, {}, {}}});
    fixture.tick();
    cr_assert(fixture.starts.size() == 1);
}

Test(restarted_server, server_that_registers_again_keeps_the_bound_of_its_leases) {
    restart_fixture fixture;
    const run_id run = fixture.starts.front().run;
    fixture.handle(start_answered{run, command_in_doubt{}});
    const instant longest_end = fixture.now + before_longest_lease_end;
    // The new process has taken the longest lease from a start that it refused.
    fixture.answer(first, new_process, 1000);
    fixture.tick();
    fixture.answer(first, new_process, 1020);
    fixture.tick();
    fixture.handle(stop_answered{run, command_accepted{1040}});
    fixture.tick();
    fixture.answer(first, new_process, 1060);
    fixture.starts.clear();
    fixture.handle(backend_deregistered{first});
    fixture.tick();
    fixture.register_process(first, new_process);
    fixture.handle(backend_deregistered{second});
    fixture.tick();
    fixture.answer(first, new_process, 1100);
    fixture.tick();
    cr_assert(fixture.starts.size() == 1 && fixture.starts.front().to.id == first, "%zu starts",
              fixture.starts.size());
    fixture.register_process(second, former_process);
    while (fixture.now < longest_end) {
        fixture.pass_step_without_first();
        cr_assert(!fixture.started_again(), "%lld ms before the longest lease ends",
                  static_cast<long long>(to_ms(longest_end - fixture.now)));
    }
}

Test(restarted_server, restart_that_the_clock_does_not_show_is_within_the_bound_of_the_lease) {
    restart_fixture fixture;
    constexpr backend_clock_ms clock = former_clock - 450;
    fixture.answer_start(clock);
    const milliseconds lease(fixture.starts.front().command.lease_until - clock);
    const instant lease_end = fixture.now + lease;
    while (fixture.now + milliseconds(100) < lease_end) {
        fixture.pass_step_without_first();
        cr_assert(!fixture.started_again(), "%lld ms before its lease ends",
                  static_cast<long long>(to_ms(lease_end - fixture.now)));
    }
}

Test(restarted_server, task_that_an_earlier_owner_started_on_the_new_process_is_not_started) {
    restart_fixture fixture;
    fixture.answer_start(former_clock + 20);
    fixture.answer(second, former_process, former_clock);
    fixture.tick();
    fixture.answer(first, new_process, 1000, {reported_run(2)});
    fixture.tick();
    cr_assert(fixture.starts.size() == 1, "run 2 goes on");
}

Test(restarted_server, task_that_an_earlier_owner_ended_on_the_new_process_is_not_started) {
    restart_fixture fixture;
    fixture.answer_start(former_clock + 20);
    fixture.answer(second, former_process, former_clock);
    fixture.tick();
    fixture.answer(first, new_process, 1000, {}, {completion_of(1, 2, completion_kind::done)});
    fixture.tick();
    cr_assert(!fixture.started_again(), "run 2 has ended done and will be acknowledged");
}

Test(restarted_server, start_lost_on_a_connection_to_the_known_process_frees_its_task_early) {
    restart_fixture fixture;
    fixture.handle(start_answered{fixture.starts.front().run, command_in_doubt{true}});
    constexpr duration ordinary_lease_end = milliseconds(5000);
    fixture.pass_without_first(ordinary_lease_end);
    cr_assert(fixture.started_again(), "no other process can run the task");
}
