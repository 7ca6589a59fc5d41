#include "mocks.h"

#include "citronford/result_code.h"
#include "node/state_snapshot.h"

using namespace citronford;

// Guards against a zone without a snapshot after its writer died, and against two steady writers.
Test(state_snapshot, one_node_writes_and_another_takes_over) {
    mock_object_store store;
    manual_timer_service timers;
    std::string stored;
    std::string writers;
    ALLOW_CALL(store, get("state-a", trompeloeil::_))
        .LR_SIDE_EFFECT(_2(stored.empty() ? absl::StatusOr<std::string>(
                                                make_status(result_code::not_found, "absent"))
                                          : absl::StatusOr<std::string>(stored)));
    ALLOW_CALL(store, put("state-a", trompeloeil::_, trompeloeil::_))
        .LR_SIDE_EFFECT(stored = std::string(_2))
        .LR_SIDE_EFFECT(writers += stored.substr(0, 1))
        .LR_SIDE_EFFECT(_3(absl::OkStatus()));
    const auto report = [](const char* node) {
        return [node](std::uint64_t sequence) { return node + std::to_string(sequence); };
    };
    auto first = std::make_unique<state_snapshot>("a", store, timers, report("1"));
    state_snapshot second("a", store, timers, report("2"));
    first->start();
    second.start();
    timers.advance(state_snapshot::period * 4);
    expect_equal(writers, "11111");
    first.reset();
    timers.advance(state_snapshot::period * 3);
    expect_equal(writers, "11111222");
}

// Guards against a snapshot that replaces a newer one because the store did not answer.
Test(state_snapshot, does_not_write_without_looking) {
    mock_object_store store;
    manual_timer_service timers;
    REQUIRE_CALL(store, get("state-a", trompeloeil::_))
        .LR_SIDE_EFFECT(_2(make_status(result_code::table_unavailable, "outage")));
    FORBID_CALL(store, put(trompeloeil::_, trompeloeil::_, trompeloeil::_));
    state_snapshot snapshot("a", store, timers, [](std::uint64_t) { return std::string("x"); });
    snapshot.start();
    timers.advance(state_snapshot::first_pause);
}
