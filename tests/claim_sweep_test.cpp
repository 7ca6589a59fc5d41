#include "test_support.h"

#include "citronford/claim_sweep.h"
#include "citronford/group_commit.h"

using namespace citronford;

namespace {

constexpr duration retention = seconds(240);

/// A claim sweep with a single bucket, on a simulated table that replies immediately.
struct sweep_fixture {
    claim_sweep sweep = *claim_sweep::create(installed_chart("claim_sweep"),
                                             {.retention = retention, .buckets = 1});
    std::map<std::string, table_row> rows;
    table_version version = 0;
    std::size_t deletion_transactions = 0;
    std::size_t scans = 0;
    instant now = instant() + seconds(1000);

    void write(const std::string& key, const std::string& value) {
        rows[key] = {key, value, ++version};
    }
    void handle(const claim_sweep_input& input) {
        for (const claim_sweep_effect& effect : sweep.handle(input, now)) {
            std::visit([this](const auto& item) { perform(item); }, effect);
        }
    }
    void perform(const sweep_scan& item) {
        ++scans;
        sweep_rows_read reply{item.call, {}};
        for (const auto& [key, row] : rows) {
            if (key.starts_with(item.prefix)) {
                reply.rows.push_back(row);
            }
        }
        handle(reply);
    }
    void perform(const sweep_transaction& item) {
        ++version;
        for (const table_write& write : item.writes) {
            if (write.value) {
                rows[write.key] = {write.key, write.value, version};
            } else {
                rows.erase(write.key);
            }
        }
        deletion_transactions += item.writes.front().value ? 0 : 1;
        handle(sweep_committed{item.call, version});
    }
    void advance(duration span) {
        for (const instant end = now + span; now < end; now += milliseconds(20)) {
            handle(sweep_tick{});
        }
    }
};

} // namespace

// Guards against claim rows of a failed node that are never deleted, against an unlimited rate of
// deletions, and against a sweep that loses its progress with the node that runs it.
Test(claim_sweep, another_node_deletes_old_rows_at_a_bounded_rate) {
    sweep_fixture fixture;
    for (std::uint64_t number = 0; number < 1000; ++number) {
        fixture.write(claim_bucket_prefix(0) + std::to_string(number), "claimed");
    }
    fixture.handle(sweep_assigned{});
    fixture.advance(retention / 2);
    fixture.sweep = sweep_fixture().sweep;
    fixture.handle(sweep_assigned{});
    fixture.advance(retention / 2 - seconds(20));
    cr_assert_eq(fixture.deletion_transactions, 0);
    fixture.advance(seconds(60));
    cr_assert_eq(fixture.rows.size(), 1, "only the clock row is left");
    cr_assert_eq(fixture.deletion_transactions, 16);
    const std::size_t before = fixture.scans;
    fixture.advance(seconds(60));
    cr_assert(fixture.scans - before <= 3, "%zu scans", fixture.scans - before);
}

// Guards against scans and deletions by a node that the sweep is not assigned to.
Test(claim_sweep, does_nothing_unless_assigned) {
    sweep_fixture fixture;
    fixture.advance(seconds(10));
    cr_assert_eq(fixture.scans, 0);
    fixture.handle(sweep_assigned{});
    fixture.handle(sweep_released{});
    const std::size_t before = fixture.scans;
    fixture.advance(retention);
    cr_assert_eq(fixture.scans, before);
}

// Guards against a clock row whose ages differ after parsing from those that were written.
Test(claim_sweep, parses_its_own_clock_text) {
    sweep_clock clock{seconds(90), {{seconds(10), 7}, {seconds(50), 21}}};
    const sweep_clock read = sweep_clock::parse(clock.text());
    expect_equal(read.text(), clock.text());
    cr_assert_eq(read.horizon(seconds(109), seconds(100)), absent_row);
    cr_assert_eq(read.horizon(seconds(110), seconds(100)), 7);
    cr_assert_eq(read.horizon(seconds(150), seconds(100)), 21);
}

// Guards against a claim key outside of all buckets, which no sweep would scan.
Test(claim_sweep, a_claim_key_lies_in_one_bucket) {
    const std::string key = claim_key(request_id("r1"));
    const auto bucket = static_cast<std::uint32_t>(std::stoul(key.substr(6, 4), nullptr, 16));
    cr_assert(key.starts_with(claim_bucket_prefix(bucket)));
    expect_equal(key.substr(11), "r1");
}
