#include "dispatch_fixture.h"

#include "decide/dispatch/open_servers.h"

using namespace citronford;
using namespace citronford::dispatch;

namespace {

/// A server of four cores of which `used` millicores are reserved.
backend_entry server_with(std::int64_t used) {
    backend_entry server;
    server.registration.capacity = {4000, 4000, 0};
    server.used = {used, 0, 0};
    return server;
}

/// A pool of full servers with waiting workflows.
struct full_pool : dispatch_fixture {
    explicit full_pool(int servers) {
        for (int index = 0; index < servers; ++index) {
            register_backend(backend_id("i-" + std::to_string(index)));
        }
        finish_loading();
        tick();
        for (int index = 0; index < servers; ++index) {
            answer_poll(backend_id("i-" + std::to_string(index)), {}, {});
        }
        tick();
        constexpr int tasks_per_server = 4;
        for (int index = 0; index < servers * tasks_per_server; ++index) {
            add_workflow(job_id("running-" + std::to_string(index)), false);
        }
        tick();
        cr_assert(starts.size() == static_cast<std::size_t>(servers * tasks_per_server));
        for (int index = 0; index < 500; ++index) {
            add_workflow(job_id("waiting-" + std::to_string(index)), false);
        }
    }

    /// Servers that are examined in a number of ticks.
    std::uint64_t examined_in(int ticks) {
        const std::uint64_t before = decisions->counts().servers_examined;
        for (int index = 0; index < ticks; ++index) {
            tick();
        }
        return decisions->counts().servers_examined - before;
    }
};

} // namespace

// Guards against tasks that are spread over all servers, which leaves no empty VM to move.
Test(placement, finds_the_fullest_server_with_room_first) {
    backend_entry empty = server_with(0);
    backend_entry half = server_with(2000);
    backend_entry full = server_with(4000);
    open_servers servers({&empty, &full, &half});
    cr_assert(servers.with_cpu(1000).front() == &half && servers.with_cpu(1000).size() == 2);
    cr_assert(servers.with_cpu(3000).front() == &empty);
    cr_assert(servers.with_cpu(4001).empty());
    half.used.millicores = 4000;
    servers.reorder(half);
    cr_assert(servers.with_cpu(1000).front() == &empty && servers.with_cpu(1000).size() == 1);
}

// Guards against members of a gang that are placed and taken back at every tick of a full pool.
Test(placement, counts_the_room_for_all_tasks_of_a_gang) {
    backend_entry one = server_with(0);
    backend_entry other = server_with(1000);
    const open_servers servers({&one, &other});
    cr_assert(servers.have_room({1000, 10, 0}, 7));
    cr_assert(!servers.have_room({1000, 10, 0}, 8));
    cr_assert(!servers.have_room({3000, 10, 0}, 3));
    cr_assert(!servers.have_room({0, 10, 1}, 1), "no server has an accelerator");
}

// Guards against a task that waits although a server has room, because another step found none.
Test(placement, rules_out_only_steps_that_need_as_much) {
    workflow_step plain{.tasks = 1, .size = {2000, 10, 0}};
    failed_searches failed;
    failed.add(plain, plain.size);
    cr_assert(failed.rule_out(plain, plain.size));
    cr_assert(!failed.rule_out(plain, {1000, 10, 0}), "a smaller task may fit");
    cr_assert(!failed.rule_out(plain, {3000, 5, 0}), "less memory may fit");
    workflow_step labelled = plain;
    labelled.required_label = "gpu";
    cr_assert(failed.rule_out(labelled, plain.size));
    failed_searches of_labelled;
    of_labelled.add(labelled, labelled.size);
    cr_assert(!of_labelled.rule_out(plain, plain.size), "servers without the label may be free");
    workflow_step limited = plain;
    limited.max_per_server = 1;
    failed_searches of_limited;
    of_limited.add(limited, limited.size);
    cr_assert(!of_limited.rule_out(plain, plain.size), "the limit is that of another step");
}

// Guards against an owner that searches all servers for each of many waiting tasks at each tick,
// and renews leases and ownership late because of it.
Test(placement, costs_no_more_with_more_waiting_workflows) {
    full_pool fixture(50);
    constexpr int ticks = 10;
    const std::uint64_t examined = fixture.examined_in(ticks);
    cr_assert(examined <= 50 * ticks, "%llu servers examined",
              static_cast<unsigned long long>(examined));
}

// Guards against the same where the order by free CPU does not help, since memory is what is full.
Test(placement, searches_a_pool_without_memory_once_in_a_pass) {
    dispatch_fixture fixture;
    constexpr int servers = 50;
    for (int index = 0; index < servers; ++index) {
        backend_registration registration;
        registration.id = backend_id("i-" + std::to_string(index));
        registration.pool = pool;
        registration.capacity = {1000000, 5, 0};
        fixture.handle(backend_registered{registration});
    }
    fixture.finish_loading();
    fixture.tick();
    for (int index = 0; index < servers; ++index) {
        fixture.answer_poll(backend_id("i-" + std::to_string(index)), {}, {});
    }
    for (int index = 0; index < 500; ++index) {
        fixture.add_workflow(job_id("waiting-" + std::to_string(index)), false);
    }
    fixture.tick();
    const dispatch_counts counts = fixture.decisions->counts();
    cr_assert(counts.starts == 0 && counts.servers_examined == servers, "%llu servers examined",
              static_cast<unsigned long long>(counts.servers_examined));
}

// Guards against a start that costs more in a larger fleet.
Test(placement, examines_few_servers_for_a_start) {
    dispatch_fixture fixture;
    constexpr int servers = 400;
    for (int index = 0; index < servers; ++index) {
        fixture.register_backend(backend_id("i-" + std::to_string(index)));
    }
    fixture.finish_loading();
    fixture.tick();
    for (int index = 0; index < servers; ++index) {
        fixture.answer_poll(backend_id("i-" + std::to_string(index)), {}, {});
    }
    fixture.tick();
    for (int index = 0; index < servers; ++index) {
        fixture.add_workflow(job_id("j-" + std::to_string(index)), false);
    }
    fixture.tick();
    const dispatch_counts counts = fixture.decisions->counts();
    cr_assert(counts.starts == servers);
    cr_assert(counts.servers_examined <= 2 * counts.starts, "%llu servers examined",
              static_cast<unsigned long long>(counts.servers_examined));
}
