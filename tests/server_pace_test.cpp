#include "test_support.h"

#include "citronford/server_pace.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace citronford;

namespace {

const pool_id pool("pool");
constexpr duration work = milliseconds(600);
constexpr double heavy_factor = 7;

server_pace make_pace() {
    static const chart life_cycle = installed_chart("server_pace");
    auto created = server_pace::create(life_cycle);
    cr_assert(created.ok(), "%s", created.status().ToString().c_str());
    return *std::move(created);
}

backend_id server_named(int number) {
    return backend_id("i-" + std::to_string(number));
}

/// A pool whose servers run ten tasks each, without a pause, in virtual time. Reports come when a
/// task of the server ends, or after 1.2 s. Eight tasks in a row are of one workflow.
struct pool_model {
    struct model_run {
        std::size_t workflow = 0;
        double work_us = 0;
        double done_us = 0;
        run_progress progress;
    };
    struct model_server {
        backend_id id;
        double speed = 1;
        instant next_report{};
        std::vector<model_run> runs;
    };

    server_pace pace = make_pace();
    instant now{seconds(100)};
    std::mt19937 random{1};
    std::vector<model_server> servers;
    double heavy_share = 0;
    bool reports_percent = true;
    std::size_t started = 0;
    std::set<backend_id> called_slow;
    std::map<backend_id, instant> slow_since;

    pool_model(int count, std::uint32_t seed) : random(seed) {
        for (int number = 0; number < count; ++number) {
            servers.emplace_back().id = server_named(number);
        }
    }

    void play(duration length) {
        constexpr duration step = milliseconds(20);
        constexpr int steps_per_review = 10;
        const instant end = now + length;
        for (int index = 0; now < end; ++index) {
            now += step;
            for (model_server& server : servers) {
                advance(server, step);
            }
            if (index % steps_per_review == 0) {
                review();
            }
        }
    }

    void advance(model_server& server, duration step) {
        constexpr std::size_t tasks = 10;
        constexpr std::size_t tasks_per_workflow = 8;
        bool ended = false;
        for (model_run& run : server.runs) {
            run.done_us += server.speed * static_cast<double>(step.count());
            if (run.done_us >= run.work_us) {
                pace.note_done(paced(server, run), now);
                ended = true;
            }
        }
        std::erase_if(server.runs, [](const auto& run) { return run.done_us >= run.work_us; });
        if (ended || now >= server.next_report) {
            report(server);
        }
        while (server.runs.size() < tasks && !pace.is_slow(server.id)) {
            model_run run;
            run.workflow = ++started / tasks_per_workflow;
            run.work_us = static_cast<double>(work.count()) *
                          (0.8 + 0.4 * std::uniform_real_distribution<>()(random));
            run.work_us *=
                std::uniform_real_distribution<>()(random) < heavy_share ? heavy_factor : 1.0;
            run.progress = run_progress::started(now, false);
            server.runs.push_back(run);
            pace.note_start(server.id, now);
        }
    }

    void report(model_server& server) {
        constexpr duration poll_wait = milliseconds(1200);
        server.next_report = now + poll_wait;
        for (model_run& run : server.runs) {
            const int percent =
                reports_percent ? static_cast<int>(100 * run.done_us / run.work_us) : 100;
            pace.note_report(paced(server, run), percent, now);
        }
    }

    void review() {
        pace.update(now);
        for (model_server& server : servers) {
            for (model_run& run : server.runs) {
                pace.review(paced(server, run), now);
            }
        }
        for (const pace_change& change : pace.take_changes()) {
            if (change.slow) {
                called_slow.insert(change.server);
                slow_since.emplace(change.server, now);
            }
        }
    }

    static paced_run paced(const model_server& server, model_run& run) {
        return {pool, server.id, run.workflow, work, run.progress};
    }
};

/// A run of server `number` that ends as done after `length`.
void run_task(server_pace& pace, int number, std::size_t workflow, duration length, instant& now) {
    const backend_id id = server_named(number);
    run_progress progress = run_progress::started(now, false);
    pace.note_start(id, now);
    now += length;
    pace.note_done({pool, id, workflow, work, progress}, now);
}

} // namespace

// Load: 10% of the servers eight times as slow, progress reported. Guards against work that goes on
// being placed on slow servers: all are found within 3 s, and no other one.
Test(server_pace, finds_the_tenth_that_is_eight_times_as_slow) {
    pool_model model(60, 1);
    for (int number = 0; number < 6; ++number) {
        model.servers[static_cast<std::size_t>(number)].speed = 1.0 / 8;
    }
    const instant begin = model.now;
    model.play(seconds(3));
    cr_assert_eq(model.called_slow.size(), 6, "%zu", model.called_slow.size());
    for (int number = 0; number < 6; ++number) {
        cr_assert(model.called_slow.contains(server_named(number)));
        cr_assert(model.slow_since.at(server_named(number)) - begin <= seconds(3));
    }
}

// Load: the same without measured progress (always 100). Guards against a need for reports: run
// times alone find the servers, somewhat later.
Test(server_pace, finds_slow_servers_without_reported_progress) {
    pool_model model(60, 2);
    model.reports_percent = false;
    for (int number = 0; number < 6; ++number) {
        model.servers[static_cast<std::size_t>(number)].speed = 1.0 / 8;
    }
    model.play(seconds(4));
    cr_assert_eq(model.called_slow.size(), 6, "%zu", model.called_slow.size());
}

// Load: three tasks in a hundred seven times as long on 400 sound servers for 30 s. Guards against
// taking long tasks for slow servers: fewer than one server in a hundred.
Test(server_pace, takes_no_heavy_tail_for_a_slow_server) {
    for (const bool reports_percent : {true, false}) {
        pool_model model(400, 3);
        model.heavy_share = 0.03;
        model.reports_percent = reports_percent;
        model.play(seconds(30));
        cr_assert(model.called_slow.size() < 4, "%zu of 400", model.called_slow.size());
    }
}

// Load: slow servers among heavy tails. Guards against evidence that the tails hide.
Test(server_pace, finds_slow_servers_among_heavy_tails) {
    pool_model model(60, 4);
    model.heavy_share = 0.03;
    for (int number = 0; number < 6; ++number) {
        model.servers[static_cast<std::size_t>(number)].speed = 1.0 / 8;
    }
    model.play(seconds(3));
    for (int number = 0; number < 6; ++number) {
        cr_assert(model.called_slow.contains(server_named(number)));
    }
}

// Load: two servers whose tasks all hang from 2 s on, reports go on. Guards against tasks that wait
// for a server which answers and does nothing.
Test(server_pace, finds_servers_whose_tasks_hang) {
    pool_model model(20, 5);
    model.play(seconds(2));
    model.servers[0].speed = 0;
    model.servers[1].speed = 0;
    model.play(seconds(5));
    cr_assert_eq(model.called_slow.size(), 2, "%zu", model.called_slow.size());
    cr_assert(model.called_slow.contains(server_named(0)));
    cr_assert(model.called_slow.contains(server_named(1)));
    auto& hung = model.servers[0];
    cr_assert(model.pace.delay_of(pool_model::paced(hung, hung.runs.front()), model.now) ==
              delay_cause::no_progress);
}

// Load: a pool that stands still as a whole, as behind a store that is away. Guards against blaming
// servers when there is nothing to compare them with.
Test(server_pace, blames_no_server_for_standing_still_with_all_others) {
    server_pace pace = make_pace();
    const instant begin{seconds(100)};
    run_progress progress = run_progress::started(begin, false);
    const backend_id id = server_named(0);
    const paced_run run{pool, id, 1, seconds(100), progress};
    for (int second = 1; second <= 10; ++second) {
        pace.note_report(run, 5, begin + seconds(second));
    }
    cr_assert(pace.delay_of(run, begin + seconds(10)) == delay_cause::none);
    run_progress other = run_progress::started(begin, false);
    const backend_id other_id = server_named(1);
    pace.note_report({pool, other_id, 2, seconds(100), other}, 5, begin + seconds(10));
    cr_assert(pace.delay_of(run, begin + seconds(10)) == delay_cause::no_progress);
}

// Load: slow servers that recover. Guards against servers that are avoided for ever: one task in a
// trial after the pause of 4 s is enough.
Test(server_pace, is_sound_again_after_a_normal_run_in_a_trial) {
    server_pace pace = make_pace();
    instant now{seconds(100)};
    for (std::size_t workflow = 1; workflow <= 4; ++workflow) {
        run_task(pace, 0, workflow, 8 * work, now);
    }
    cr_assert(pace.is_slow(server_named(0)));
    now += seconds(4);
    pace.update(now);
    cr_assert(!pace.is_slow(server_named(0)), "It is tried again.");
    pace.note_start(server_named(0), now);
    cr_assert(pace.is_slow(server_named(0)), "The trial is one task.");
    run_task(pace, 0, 5, work, now);
    cr_assert(!pace.is_slow(server_named(0)));
    cr_assert(!pace.is_doubtful(server_named(0)));
}

// Load: a server that stays slow. Guards against trials as often as before: the pause doubles.
Test(server_pace, is_tried_again_less_often_while_it_stays_slow) {
    server_pace pace = make_pace();
    instant now{seconds(100)};
    for (std::size_t workflow = 1; workflow <= 4; ++workflow) {
        run_task(pace, 0, workflow, 8 * work, now);
    }
    now += seconds(4);
    pace.update(now);
    run_task(pace, 0, 5, 8 * work, now);
    cr_assert(pace.is_slow(server_named(0)));
    now += seconds(7);
    pace.update(now);
    cr_assert(pace.is_slow(server_named(0)));
    now += seconds(1);
    pace.update(now);
    cr_assert(!pace.is_slow(server_named(0)));
}

// Load: one workflow whose eight tasks are all long, on one server. Guards against blaming the
// server for the work.
Test(server_pace, needs_slow_runs_of_two_workflows) {
    server_pace pace = make_pace();
    instant now{seconds(100)};
    for (int task = 0; task < 8; ++task) {
        run_task(pace, 0, 1, 8 * work, now);
    }
    cr_assert(!pace.is_slow(server_named(0)));
    run_task(pace, 0, 2, 8 * work, now);
    cr_assert(pace.is_slow(server_named(0)));
}

// Guards against conclusions from the unknown start of a run of an earlier owner: its rate is
// measured between its reports.
Test(server_pace, judges_adopted_runs_by_the_rise_of_their_progress) {
    server_pace pace = make_pace();
    const instant begin{seconds(100)};
    const backend_id id = server_named(0);
    run_progress normal = run_progress::adopted(begin);
    const paced_run fast{pool, id, 1, work, normal};
    pace.note_report(fast, 30, begin);
    pace.note_report(fast, 90, begin + milliseconds(400));
    cr_assert(pace.delay_of(fast, begin + milliseconds(500)) == delay_cause::none);
    run_progress held = run_progress::adopted(begin);
    const paced_run slow{pool, id, 1, work, held};
    pace.note_report(slow, 30, begin);
    cr_assert(pace.delay_of(slow, begin + seconds(5)) == delay_cause::none);
    pace.note_report(slow, 37, begin + milliseconds(400));
    cr_assert(pace.delay_of(slow, begin + milliseconds(500)) == delay_cause::slow_progress);
}
