#include "table_fixture.h"

#include "citronford/result_code.h"
#include "citronford/workflow_rows.h"
#include "io/metrics.h"
#include "io/progress_codec.h"
#include "io/workflow_codec.h"
#include "node/fleet/ended_work_marker.h"
#include "node/fleet/observed_table.h"
#include "node/fleet/owner_row_writer.h"
#include "node/fleet/ownership_driver.h"
#include "node/fleet/progress_writer.h"
#include "node/fleet/table_follower.h"
#include "node/fleet/vm_driver.h"
#include "node/fleet/workflow_service.h"

#include <map>
#include <optional>
#include <set>

using namespace citronford;
using trompeloeil::_;

namespace {

/// A progress writer that has claimed the fence row and has one write under way.
struct writer_fixture : table_fixture {
    bool superseded = false;
    bool done = false;
    progress_writer writer{table, timers, {token}, [this] { superseded = true; }};

    writer_fixture() {
        writer.acquire_fence([] {});
        answer_scan(table_scan{{{std::string(progress_fence_key), "4 17", 30}}, 31});
        answer_commit(committed(32));
        const std::vector<progress_row> rows = {{job_id("j"), {}}};
        writer.write(rows, [this](std::span<const job_id>) { done = true; });
    }
};

/// The driver of a new owner with two VMs in a standby pool, while it has contact to no backend
/// server.
struct vm_fixture : table_fixture {
    static constexpr duration interval = seconds(3);
    static constexpr duration absence = milliseconds(1500);

    mock_vm_fleet fleet;
    mock_fleet_rows rows;
    capacity_options capacity;
    metrics registry;
    std::vector<fleet_vm> vms;
    std::vector<vm_id> moved;
    queue_catalog catalog{
        1,
        {},
        {catalog_pool{pool_id("busy"), true, false}, catalog_pool{pool_id("standby"), true, true}},
        {}};
    std::unique_ptr<dispatcher> decisions = make_dispatcher();
    std::unique_ptr<trompeloeil::expectation> allow_lists =
        NAMED_ALLOW_CALL(fleet, list(_)).LR_SIDE_EFFECT(_1(vms));
    std::unique_ptr<trompeloeil::expectation> allow_moves =
        NAMED_ALLOW_CALL(fleet, move(_, _, _, _))
            .LR_SIDE_EFFECT(moved.push_back(_1))
            .LR_SIDE_EFFECT(_4(vm_order_result::carried_out));
    std::unique_ptr<vm_driver> driver = make_driver();

    explicit vm_fixture(capacity_options options = {}) : capacity(options) {
        for (const char* name : {"m0", "m1"}) {
            fleet_vm vm;
            vm.id = vm_id(name);
            vm.pool = pool_id("standby");
            vm.state = fleet_vm::condition::up;
            vms.push_back(vm);
        }
        driver->start();
        answer_scan(table_scan{});
    }

    std::unique_ptr<dispatcher> make_dispatcher() {
        static const chart workflow = installed_chart("workflow");
        static const chart run = installed_chart("task_run");
        static const chart contact = installed_chart("backend_contact");
        auto created = dispatcher::create({workflow, run, contact}, {}, timers.now());
        cr_assert(created.ok(), "%s", created.status().ToString().c_str());
        (*created)->handle(catalog_applied{std::make_shared<queue_catalog>(catalog)}, timers.now());
        backend_registration unreachable;
        unreachable.id = backend_id("i-1");
        unreachable.pool = pool_id("busy");
        (*created)->handle(backend_registered{unreachable}, timers.now());
        return *std::move(created);
    }

    std::unique_ptr<vm_driver> make_driver() {
        static const std::set<zone_id> none;
        const chart order = installed_chart("vm_order");
        return std::make_unique<vm_driver>(
            *wave_planner::create(order, {seconds(2)}), *capacity_planner::create(order, capacity),
            vm_order_origin{node_id("self"), token},
            vm_links{timers, table, fleet, rows, &registry},
            vm_order_timing{timers.now(), interval, absence},
            vm_driver::callbacks{[] { return true; }, [] { return std::int64_t{0}; },
                                 [this]() -> const dispatcher& { return *decisions; },
                                 [this]() -> const queue_catalog& { return catalog; },
                                 []() -> const std::set<zone_id>& { return none; },
                                 [](const backends_to_drain&) {}, [](const present_backends&) {}});
    }
};

} // namespace

// Guards against a burst that waits for VMs while a zone is cut off (pf-citron trouble-3): a VM
// that is up when the ownership begins has had no recent order, also if no backend server can be
// reached.
Test(vm_driver, orders_initially_up_vms_earlier) {
    vm_fixture fixture;
    fixture.vms[1].state = fleet_vm::condition::moving;
    fixture.timers.advance(seconds(1));
    fixture.vms[1].state = fleet_vm::condition::up;
    fixture.timers.advance(milliseconds(400));
    cr_assert(fixture.moved.empty(), "the earlier owner may have ordered the VM just before");
    fixture.timers.advance(milliseconds(500));
    cr_assert(fixture.moved == std::vector{vm_id("m0")}, "%zu moves", fixture.moved.size());
    fixture.timers.advance(milliseconds(1000));
    cr_assert(fixture.moved.size() == 1, "m1 was not up when the ownership began");
    fixture.timers.advance(milliseconds(500));
    cr_assert(fixture.moved.size() == 2, "%zu moves", fixture.moved.size());
}

// Guards against orders of two owners to one VM within the interval: an order that was under way
// when the previous owner stopped was carried out after the new owner's first list.
Test(vm_driver, waits_after_a_delayed_order_of_the_previous_owner) {
    vm_fixture fixture;
    fixture.timers.advance(milliseconds(900));
    fixture.vms[1].state = fleet_vm::condition::moving;
    fixture.timers.advance(milliseconds(500));
    fixture.vms[1].state = fleet_vm::condition::up;
    fixture.timers.advance(milliseconds(1400));
    cr_assert(fixture.moved == std::vector{vm_id("m0")}, "%zu moves", fixture.moved.size());
    fixture.timers.advance(milliseconds(600));
    cr_assert(fixture.moved.size() == 2, "%zu moves", fixture.moved.size());
}

// Guards against figures of an ownership that is over, which look like those of the present owner.
Test(vm_driver, shows_needs_and_division_while_it_runs) {
    vm_fixture fixture({milliseconds(1500), true});
    fixture.timers.advance(seconds(1));
    const auto shows = [&](std::string_view line) {
        return fixture.registry.text().find(line) != std::string::npos;
    };
    cr_assert(shows("citronford_pool_need_vms{pool=\"busy\",tier=\"base\"} 2"), "%s",
              fixture.registry.text().c_str());
    cr_assert(shows("citronford_pool_division_vms{pool=\"busy\"} 2"));
    fixture.driver->stop();
    cr_assert(!shows("citronford_pool"));
    vm_fixture off;
    off.timers.advance(seconds(1));
    cr_assert(off.registry.text().find("citronford_pool") == std::string::npos);
}

// Guards against rows of a wave that are written again and again although the table rejects them.
Test(vm_driver, does_not_repeat_a_row_that_the_table_rejects) {
    vm_fixture fixture;
    ALLOW_CALL(fixture.rows, wave_status_write(_, _))
        .RETURN(table_write{"status//1", _2 ? "completed" : "running"});
    ALLOW_CALL(fixture.fleet, maintain(_, _, _, _)).SIDE_EFFECT(_4(vm_order_result::carried_out));
    fixture.driver->set_wave(wave_order{1, {vm_id("m0")}, seconds(60), 1});
    for (int round = 0; round < 100; ++round) {
        fixture.timers.advance(milliseconds(100));
        while (!fixture.commits.empty()) {
            fixture.answer_commit(rejected());
        }
    }
    cr_assert(!fixture.written.empty(), "nothing was written");
    std::set<std::string> seen;
    for (const std::vector<table_write>& writes : fixture.written) {
        cr_assert(seen.insert(writes[0].key + '=' + *writes[0].value).second, "%s is repeated",
                  writes[0].key.c_str());
    }
}

// Guards against a fleet without an owner until the lease expires: the table refused the release at
// a planned stop, for example beyond its rate limit, and it was not written again.
Test(ownership_driver, writes_a_refused_release_again) {
    table_fixture fixture;
    bool stopped = false;
    ownership_options options;
    options.node = node_id("n1");
    options.incarnation = "n1-1";
    ownership_driver driver(*ownership::create(installed_chart("ownership"), options), options,
                            fixture.table, fixture.timers,
                            {[](fencing_token) {}, [] {}, [&] { stopped = true; }});
    driver.start();
    fixture.answer_scan(table_scan{});
    fixture.answer_commit(committed(7));
    driver.request_stop();
    fixture.answer_commit(make_status(result_code::table_unavailable, "too many calls"));
    cr_assert(!stopped, "the release is not written");
    fixture.timers.advance(milliseconds(300));
    cr_assert(fixture.commits.size() == 1 && fixture.checked.back()[0].version == 7);
    expect_equal(*fixture.written.back()[0].value, *fixture.written[1][0].value);
    fixture.answer_commit(committed(9));
    cr_assert(stopped);
}

// Guards against claims right after a silent outage of the table: the driver has to say how long a
// read was held up (review/6).
Test(ownership_driver, notices_an_outage_that_held_up_a_read) {
    table_fixture fixture;
    ownership_options options;
    options.node = node_id("n1");
    options.incarnation = "n1-1";
    options.capacity_permille = 100;
    ownership_driver driver(*ownership::create(installed_chart("ownership"), options), options,
                            fixture.table, fixture.timers, {[](fencing_token) {}, [] {}, [] {}});
    table_scan rows;
    rows.rows = {{std::string(owner_row_key), encode_owner({node_id("n2"), "n2-1", false, 500}), 3},
                 {std::string(renewal_row_key), "renewed", 4}};
    driver.start();
    fixture.answer_scan(rows);
    fixture.timers.advance(milliseconds(300));
    fixture.timers.advance(seconds(5));
    fixture.answer_scan(rows);
    cr_assert(fixture.commits.empty(), "claimed as soon as the table answers again");
}

// Guards against a small owner that keeps the ownership although a larger VM offers to take over.
Test(ownership_driver, hands_over_to_the_vm_that_offers) {
    table_fixture fixture;
    bool ended = false;
    ownership_options options;
    options.node = node_id("n1");
    options.incarnation = "n1-1";
    options.capacity_permille = 100;
    ownership_driver driver(*ownership::create(installed_chart("ownership"), options), options,
                            fixture.table, fixture.timers,
                            {[](fencing_token) {}, [&] { ended = true; }, [] {}});
    driver.start();
    fixture.answer_scan(table_scan{});
    fixture.timers.advance(seconds(1));
    fixture.answer_scan(table_scan{});
    fixture.answer_commit(committed(7));
    fixture.timers.advance(milliseconds(300));
    table_scan rows;
    rows.rows = {{std::string(owner_row_key), encode_owner({node_id("n1"), "n1-1", false, 100}), 7},
                 {std::string(offer_row_key), encode_offer({node_id("n2"), "n2-1", 500, 7}), 9}};
    fixture.answer_scan(rows);
    cr_assert(ended);
    cr_assert(fixture.checked.back()[0].version == 7);
    const auto written = decode_owner(*fixture.written.back()[0].value);
    cr_assert(written.ok() && written->node == node_id("n2") && written->capacity_permille == 500);
}

// Guards against progress that is written twice, or an ownership that ends, because the reply to a
// committed write was lost.
Test(progress_writer, recognises_its_own_write_by_the_fence) {
    writer_fixture fixture;
    fixture.answer_commit(in_doubt());
    cr_assert(!fixture.done);
    fixture.timers.advance(milliseconds(200));
    fixture.answer_commit(conflict("5 1", 40));
    cr_assert(fixture.done && !fixture.superseded);
}

// Guards against an earlier owner that overwrites the progress of the present owner.
Test(progress_writer, stops_when_another_owner_has_the_fence) {
    writer_fixture fixture;
    fixture.answer_commit(conflict("6 0", 40));
    cr_assert(fixture.superseded && !fixture.done);
}

// Guards against a new owner that ends its ownership: a write of the previous owner that was under
// way at its release reached the table between the new owner's read of the fence and its first
// write.
Test(progress_writer, acquires_the_fence_after_a_delayed_write_of_the_previous_owner) {
    table_fixture fixture;
    bool superseded = false;
    bool acquired = false;
    progress_writer writer(fixture.table, fixture.timers, {token}, [&] { superseded = true; });
    writer.acquire_fence([&] { acquired = true; });
    fixture.answer_scan(table_scan{{{std::string(progress_fence_key), "4 17", 30}}, 31});
    fixture.answer_commit(conflict("4 18", 33));
    cr_assert(!superseded && !acquired);
    fixture.answer_scan(table_scan{{{std::string(progress_fence_key), "4 18", 33}}, 34});
    cr_assert(fixture.checked.back()[0].version == 33);
    fixture.answer_commit(committed(35));
    cr_assert(acquired && !superseded);
}

// Guards against an unanswered write that is carried out after a newer one: each write must change
// the row whose version it requires.
Test(progress_writer, changes_the_fence_with_each_write) {
    writer_fixture fixture;
    cr_assert(fixture.written.back().back().key == std::string(progress_fence_key));
    expect_equal(*fixture.written.back().back().value, "5 1");
    fixture.answer_commit(committed(33));
    fixture.writer.write(std::vector<progress_row>{{job_id("j"), {}}},
                         [](std::span<const job_id>) {});
    expect_equal(*fixture.written.back().back().value, "5 2");
}

// Guards against a delayed write of an earlier owner: after a zone cut, callers read that no
// workflow waits (kettunen-lavat trouble-3, MIXED).
Test(owner_row_writer, requires_the_row_as_it_was_last_seen) {
    table_fixture fixture;
    owner_row_writer writer(fixture.table, token, "shown/queues/waiting");
    writer.write("1");
    fixture.answer_scan(table_scan{{{"shown/queues/waiting", "4 0", 30}}, 31});
    cr_assert(fixture.checked.back().size() == 1 && fixture.checked.back()[0].version == 30);
    expect_equal(*fixture.written.back()[0].value, "5 1");
    fixture.answer_commit(committed(32));
    writer.write("2");
    cr_assert(fixture.checked.back()[0].version == 32);
    fixture.answer_commit(in_doubt());
    writer.write("3");
    fixture.answer_scan(table_scan{{{"shown/queues/waiting", "5 2", 40}}, 41});
    cr_assert(fixture.checked.back()[0].version == 40);
}

// Guards against an owner that overwrites the row before it learns that its ownership has ended.
Test(owner_row_writer, leaves_the_row_to_a_later_owner) {
    table_fixture fixture;
    owner_row_writer writer(fixture.table, token, "shown/queues/waiting");
    writer.write("1");
    fixture.answer_scan(table_scan{{}, 31});
    cr_assert(fixture.checked.back()[0].version == absent_row);
    fixture.answer_commit(conflict("6 7", 40));
    writer.write("1");
    fixture.answer_scan(table_scan{{{"shown/queues/waiting", "6 7", 40}}, 41});
    writer.write("2");
    cr_assert(fixture.written.size() == 1 && fixture.commits.empty() && fixture.scans.empty());
}

// Guards against a row that is no longer updated after one failed read or write, and against writes
// that change nothing.
Test(owner_row_writer, continues_after_failures_and_writes_changes_only) {
    table_fixture fixture;
    owner_row_writer writer(fixture.table, token, "shown/queues/waiting");
    writer.write("1");
    fixture.answer_scan(in_doubt());
    writer.write("1");
    fixture.answer_scan(table_scan{{{"shown/queues/waiting", "unreadable", 30}}, 31});
    fixture.answer_commit(committed(32));
    writer.write("1");
    cr_assert(fixture.written.size() == 1 && fixture.commits.empty());
}

// Guards against a backlog of unmarked rows of ended workflows, which the next owner reads for
// seconds (kettunen-lavat-grown trouble-3: 45 rows a second were marked while 250 workflows a
// second ended).
Test(ended_work_marker, keep_up_with_any_rate) {
    table_fixture fixture;
    ended_work_marker rows(fixture.table);
    const instant begin = fixture.timers.now();
    constexpr int jobs = 3000;
    for (int job = 0; job < jobs; ++job) {
        rows.add(job_id("job-" + std::to_string(job)), begin);
    }
    for (instant now = begin; now < begin + seconds(1); now += milliseconds(20)) {
        rows.tick(now);
        cr_assert(fixture.commits.size() <= work_part_count,
                  "more than one transaction for a part");
        while (!fixture.commits.empty()) {
            fixture.answer_commit(committed(1));
        }
    }
    std::size_t marked = 0;
    for (const std::vector<table_write>& batch : fixture.written) {
        marked += batch.size();
    }
    cr_assert(marked <= jobs && marked + work_part_count * 90 > jobs, "%zu marked", marked);
}

// Guards against one transaction for each workflow, and against rows that are never marked when few
// workflows end or after a failure.
Test(ended_work_marker, are_marked_in_batches_after_a_delay) {
    table_fixture fixture;
    ended_work_marker rows(fixture.table);
    const instant begin = fixture.timers.now();
    rows.add(job_id("a"), begin);
    rows.tick(begin + seconds(7));
    cr_assert(fixture.commits.empty());
    rows.tick(begin + seconds(8));
    fixture.answer_commit(in_doubt());
    rows.tick(begin + seconds(8) + milliseconds(20));
    cr_assert(fixture.commits.empty(), "retried without a delay");
    rows.tick(begin + seconds(9));
    fixture.answer_commit(committed(2));
    rows.tick(begin + seconds(60));
    cr_assert(fixture.written.size() == 2 && fixture.commits.empty());
}

// Guards against changes that are missed when the table has dropped its history.
Test(table_follower, reads_everything_again_when_history_is_lost) {
    table_fixture fixture;
    int snapshots = 0;
    int changes = 0;
    table_follower follower(
        fixture.table, fixture.timers, {{"t/"}, "t/", milliseconds(2000), {}},
        [&](std::span<const table_row> /*rows*/) { ++snapshots; },
        [&](std::span<const table_row> rows) { changes += static_cast<int>(rows.size()); });
    follower.start();
    fixture.answer_scan(table_scan{{{"t//a", "1", 3}}, 7});
    cr_assert(snapshots == 1 && fixture.scanned_since.back() == 7);
    fixture.answer_scan(table_scan{{{"t//b", "1", 8}}, 8});
    fixture.timers.advance(milliseconds(1));
    cr_assert(changes == 1 && fixture.scanned_since.back() == 8);
    fixture.answer_scan(make_status(result_code::history_lost, "dropped"));
    fixture.timers.advance(milliseconds(1));
    cr_assert(fixture.scanned_since.back() == 0, "all rows must be read again");
    fixture.answer_scan(table_scan{{}, 20});
    cr_assert(snapshots == 2);
}

// Guards against a follower that stops, or retries without a delay, while the table is unavailable.
Test(table_follower, continues_from_its_last_version_after_an_outage) {
    table_fixture fixture;
    table_follower follower(
        fixture.table, fixture.timers, {{"t/"}, "t/", milliseconds(2000), {}},
        [](std::span<const table_row>) {}, [](std::span<const table_row>) {});
    follower.start();
    fixture.answer_scan(table_scan{{}, 7});
    fixture.answer_scan(make_status(result_code::table_unavailable, "out"));
    cr_assert(fixture.scans.empty());
    fixture.timers.advance(milliseconds(250));
    cr_assert(fixture.scans.size() == 1 && fixture.scanned_since.back() == 7);
}

// Guards against the answer "unknown" for a workflow that is stored and has not started.
Test(workflow_service, shows_a_workflow_without_progress_as_pending) {
    table_fixture fixture;
    metrics registry;
    observed_table table(fixture.table, fixture.timers, registry);
    workflow_service service(*submission_batcher::create(installed_chart("submission")), table,
                             fixture.timers, registry);
    std::optional<workflow_answer> answer;
    const auto keep = [&](const workflow_answer& content) { answer = content; };
    service.get_status(job_id("j"), seconds(3), keep);
    fixture.answer_scan(table_scan{});
    fixture.answer_scan(table_scan{{{work_row_key(job_id("j")), "{}", 1}}, 2});
    cr_assert(std::get<workflow_status>(*answer).state == workflow_state::pending);
    service.get_status(job_id("k"), seconds(3), keep);
    fixture.answer_scan(table_scan{});
    fixture.answer_scan(table_scan{});
    cr_assert(std::holds_alternative<workflow_unknown>(*answer));
    service.get_status(job_id("k"), seconds(3), keep);
    fixture.answer_scan(make_status(result_code::table_unavailable, "out"));
    cr_assert(std::holds_alternative<answer_unavailable>(*answer));
}

// Guards against a second read for each question about a waiting workflow, which is billed.
Test(workflow_service, reads_only_the_progress_of_a_known_workflow) {
    table_fixture fixture;
    metrics registry;
    observed_table table(fixture.table, fixture.timers, registry);
    workflow_service service(*submission_batcher::create(installed_chart("submission")), table,
                             fixture.timers, registry);
    int accepted = 0;
    accepted_workflow row;
    row.id = job_id("j");
    row.spec.steps = {{.tasks = 1}};
    service.submit(row, 3, seconds(3), [&](const workflow_answer& content) {
        accepted += std::holds_alternative<workflow_accepted>(content) ? 1 : 0;
    });
    fixture.answer_commit(committed(5));
    cr_assert(accepted == 1);
    std::optional<workflow_answer> answer;
    service.get_status(job_id("j"), seconds(3),
                       [&](const workflow_answer& content) { answer = content; });
    fixture.answer_scan(table_scan{});
    cr_assert(fixture.scans.empty(), "the row of the workflow is read again");
    cr_assert(std::get<workflow_status>(*answer).state == workflow_state::pending);
}

// Guards against callers that wait in vain because the table is silent for longer than they wait.
Test(workflow_service, answers_reads_before_the_deadline_of_the_caller) {
    table_fixture fixture;
    metrics registry;
    observed_table table(fixture.table, fixture.timers, registry);
    workflow_service service(*submission_batcher::create(installed_chart("submission")), table,
                             fixture.timers, registry);
    service.start();
    std::vector<workflow_answer> answers;
    const auto keep = [&](const workflow_answer& content) { answers.push_back(content); };
    service.get_status(job_id("j"), seconds(3), keep);
    service.cancel(job_id("j"), seconds(3), keep);
    service.get_queue_status(queue_id("q"), seconds(3), keep);
    fixture.timers.advance(milliseconds(2500));
    cr_assert(answers.empty(), "the table may still answer in time");
    fixture.timers.advance(milliseconds(400));
    cr_assert(answers.size() == 3, "%zu answers", answers.size());
    for (const workflow_answer& answer : answers) {
        cr_assert(std::holds_alternative<answer_unavailable>(answer));
    }
    fixture.answer_scan(make_status(result_code::table_unavailable, "out"));
    cr_assert(answers.size() == 3, "a caller was answered twice");
    cr_assert(service.unanswered() == 0);
}

// Guards against requests that a process which ends leaves without an answer, and against telling a
// caller that a job was refused whose write is under way.
Test(workflow_service, answers_every_caller_when_the_process_ends) {
    table_fixture fixture;
    metrics registry;
    observed_table table(fixture.table, fixture.timers, registry);
    workflow_service service(*submission_batcher::create(installed_chart("submission")), table,
                             fixture.timers, registry);
    std::map<std::string, workflow_answer> answers;
    const auto keep = [&](const std::string& name) {
        return [&, name](const workflow_answer& content) { answers[name] = content; };
    };
    accepted_workflow row;
    row.spec.steps = {{.tasks = 1}};
    row.id = job_id("written");
    service.submit(row, 3, seconds(3), keep("written"));
    row.id = job_id("waiting");
    while (work_part(row.id) != work_part(job_id("written"))) {
        row.id = job_id(std::string(row.id.view()) + "+");
    }
    service.submit(row, 3, seconds(3), keep("waiting"));
    service.get_status(job_id("j"), seconds(3), keep("read"));
    service.stop();
    service.submit(row, 3, seconds(3), keep("late"));
    const std::size_t reads = fixture.scans.size();
    service.cancel(job_id("j"), seconds(3), keep("late cancel"));
    cr_assert(fixture.scans.size() == reads, "a refused cancel is carried out");
    cr_assert(std::holds_alternative<workflow_in_doubt>(answers.at("written")));
    cr_assert(std::get<workflow_refused>(answers.at("waiting")).retry_after > duration::zero());
    cr_assert(std::holds_alternative<answer_unavailable>(answers.at("read")));
    cr_assert(std::get<workflow_refused>(answers.at("late")).code == result_code::node_stopping);
    cr_assert(std::holds_alternative<answer_unavailable>(answers.at("late cancel")));
    fixture.answer_commit(committed(5));
    cr_assert(fixture.commits.empty(), "a refused job is written");
    cr_assert(service.unanswered() == 0);
}

// Guards against repeated reads of a final state, which are billed.
Test(workflow_service, caches_final_states) {
    table_fixture fixture;
    metrics registry;
    observed_table table(fixture.table, fixture.timers, registry);
    workflow_service service(*submission_batcher::create(installed_chart("submission")), table,
                             fixture.timers, registry);
    int shown = 0;
    const auto count = [&](const workflow_answer& content) {
        shown += std::get<workflow_status>(content).state == workflow_state::completed ? 1 : 0;
    };
    workflow_progress progress;
    progress.state = workflow_state::completed;
    service.get_status(job_id("j"), seconds(3), count);
    fixture.answer_scan(
        table_scan{{{progress_row_key(job_id("j")), encode_progress(progress), 1}}, 2});
    service.get_status(job_id("j"), seconds(3), count);
    cr_assert(shown == 2 && fixture.scans.empty());
}
