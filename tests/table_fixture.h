#pragma once

#include "mocks.h"

#include "citronford/result_code.h"
#include "citronford/workflow_rows.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace citronford {

using trompeloeil::_;

inline constexpr fencing_token token = 5;

/// A table whose calls the test answers one by one.
struct table_fixture {
    manual_timer_service timers;
    mock_table_service table;
    std::deque<table_service::commit_callback> commits;
    std::deque<table_service::scan_callback> scans;
    std::vector<std::vector<table_write>> written;
    std::vector<std::vector<table_check>> checked;
    std::vector<table_version> scanned_since;
    std::unique_ptr<trompeloeil::expectation> allow_commits =
        NAMED_ALLOW_CALL(table, commit(_, _, _))
            .LR_SIDE_EFFECT(checked.emplace_back(_1.begin(), _1.end()))
            .LR_SIDE_EFFECT(written.emplace_back(_2.begin(), _2.end()))
            .LR_SIDE_EFFECT(commits.push_back(_3));
    std::unique_ptr<trompeloeil::expectation> allow_scans =
        NAMED_ALLOW_CALL(table, scan(_, _, _))
            .LR_SIDE_EFFECT(scanned_since.push_back(_2))
            .LR_SIDE_EFFECT(scans.push_back(_3));

    void answer_commit(const absl::StatusOr<table_commit>& result) {
        cr_assert(!commits.empty(), "no transaction is under way");
        const auto done = std::move(commits.front());
        commits.pop_front();
        done(result);
    }

    void answer_scan(const absl::StatusOr<table_scan>& result) {
        cr_assert(!scans.empty(), "no read is under way");
        const auto done = std::move(scans.front());
        scans.pop_front();
        done(result);
    }
};

inline table_commit committed(table_version version) {
    table_commit commit;
    commit.committed = true;
    commit.version = version;
    return commit;
}

inline table_commit conflict(const std::string& value, table_version version) {
    table_commit commit;
    commit.conflicts = {{std::string(progress_fence_key), value, version}};
    return commit;
}

inline absl::Status in_doubt() {
    return make_status(result_code::commit_in_doubt, "lost");
}

inline absl::Status rejected() {
    return make_status(result_code::write_rejected, "the row is too large");
}

} // namespace citronford
