#include "test_support.h"

#include "citronford/group_commit.h"
#include "citronford/overloaded.h"

#include <deque>
#include <set>

using namespace citronford;

namespace {

caller_id caller(std::uint64_t number) {
    return static_cast<caller_id>(number);
}

std::string key(std::uint64_t number) {
    return claim_key(request_id("r" + std::to_string(number)));
}

/// The group commit of node `n1` and the transaction that it sent last.
struct commit_fixture {
    group_commit commits{group_commit_options{
        .node = node_id("n1"), .incarnation = "i1", .batch_limit = 8, .queue_limit = 16}};
    instant now{};
    std::vector<group_commit_effect> effects;

    void handle(const group_commit_input& input) { effects = commits.handle(input, now); }
    void claim(std::uint64_t number) {
        handle(claim_requested{caller(number), request_id("r" + std::to_string(number))});
    }
    void pass(duration span) {
        now += span;
        handle(commit_tick{});
    }

    template <class Effect> [[nodiscard]] std::vector<Effect> of() const {
        std::vector<Effect> found;
        for (const auto& effect : effects) {
            if (const auto* item = std::get_if<Effect>(&effect)) {
                found.push_back(*item);
            }
        }
        return found;
    }
    [[nodiscard]] std::vector<std::string> sent() const {
        std::vector<std::string> keys;
        for (const auto& transaction : of<commit_transaction>()) {
            for (const table_write& write : transaction.writes) {
                keys.push_back(write.key + "=" + write.value.value());
            }
        }
        return keys;
    }
};

using texts = std::vector<std::string>;

} // namespace

// Guards against a second transaction in flight and against claims lost while one is.
Test(group_commit, claims_wait_for_the_transaction_in_flight) {
    commit_fixture fixture;
    fixture.claim(1);
    cr_assert(fixture.sent() == texts{key(1) + "=claimed n1 i1 1"});
    fixture.claim(2);
    fixture.claim(3);
    cr_assert(fixture.sent().empty());
    fixture.handle(transaction_committed{5});
    cr_assert(fixture.of<claim_recorded>().size() == 1);
    cr_assert(fixture.sent() == texts({key(2) + "=claimed n1 i1 2", key(3) + "=claimed n1 i1 3"}));
}

// Guards against a duplicate that takes the other claims of its batch down with it.
Test(group_commit, settles_only_the_conflicting_entry) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.claim(2);
    fixture.claim(3);
    fixture.handle(transaction_committed{1});
    fixture.handle(transaction_conflict{key(2)});
    cr_assert(fixture.of<read_claim_row>().size() == 1);
    cr_assert(fixture.sent() == texts{key(3) + "=claimed n1 i1 3"});
    fixture.handle(claim_row_read{key(2), table_row{key(2), "done n2 i9 7", 4}});
    cr_assert(fixture.of<claim_taken>().size() == 1);
    expect_equal(fixture.of<claim_taken>()[0].outcome, "done");
    fixture.handle(transaction_committed{5});
    cr_assert(fixture.of<claim_recorded>()[0].caller == caller(3));
}

// Guards against a guess when the reply of a commit is lost: the caller is neither granted nor
// refused before the repeated transaction gives a definite answer.
Test(group_commit, repeats_a_transaction_in_doubt) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.handle(transaction_in_doubt{});
    cr_assert(fixture.effects.empty());
    fixture.pass(milliseconds(60));
    cr_assert(fixture.sent() == texts{key(1) + "=claimed n1 i1 1"});
    fixture.handle(transaction_refused{});
    cr_assert(fixture.effects.empty(), "a refused repetition says nothing about the first message");
    fixture.pass(milliseconds(200));
    fixture.handle(transaction_conflict{key(1)});
    fixture.handle(claim_row_read{key(1), table_row{key(1), "claimed n1 i1 1", 3}});
    cr_assert(fixture.of<claim_recorded>().size() == 1);
}

// Guards against the claim of an earlier incarnation that is taken for an own one.
Test(group_commit, the_value_of_another_incarnation_is_a_duplicate) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.handle(transaction_in_doubt{});
    fixture.pass(milliseconds(60));
    fixture.handle(transaction_conflict{key(1)});
    fixture.handle(claim_row_read{key(1), table_row{key(1), "claimed n1 i0 1", 3}});
    cr_assert(fixture.of<claim_taken>().size() == 1);
    expect_equal(fixture.of<claim_taken>()[0].outcome, "");
}

// Guards against an id that stays claimed although its caller was told that it was not run.
Test(group_commit, records_not_run_for_an_abandoned_claim) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.handle(claim_abandoned{caller(1)});
    fixture.handle(transaction_committed{2});
    cr_assert(fixture.of<claim_recorded>().empty());
    cr_assert(fixture.sent() == texts{key(1) + "=not_run n1 i1 1"});
    cr_assert(fixture.of<commit_transaction>()[0].checks[0].version == 2);
}

// Guards against a caller that can never run an id again after a true refusal.
Test(group_commit, claims_an_id_again_that_was_not_run) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.handle(transaction_conflict{key(1)});
    fixture.handle(claim_row_read{key(1), table_row{key(1), "not_run n2 i2 5", 9}});
    cr_assert(fixture.sent() == texts{key(1) + "=claimed n1 i1 1"});
    cr_assert(fixture.of<commit_transaction>()[0].checks[0].version == 9);
}

// Guards against claims that queue up behind a table that is out, and against a node that goes on
// refusing after the table is back.
Test(group_commit, refuses_claims_while_the_table_is_out) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.handle(transaction_refused{});
    cr_assert(fixture.of<claim_refused>().size() == 1);
    fixture.claim(2);
    fixture.pass(milliseconds(60));
    fixture.handle(transaction_refused{});
    fixture.claim(3);
    cr_assert(fixture.of<claim_refused>().size() == 1);
    fixture.pass(milliseconds(200));
    fixture.claim(4);
    cr_assert(fixture.sent() == texts{key(4) + "=claimed n1 i1 4"});
}

// Guards against memory that grows with the claims of a node.
Test(group_commit, forgets_a_claim_whose_outcome_is_settled) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.claim(2);
    fixture.handle(transaction_committed{2});
    fixture.handle(transaction_committed{3});
    cr_assert_eq(fixture.commits.open_claims(), 2);
    fixture.handle(outcome_resolved{request_id("r1"), "done"});
    fixture.handle(transaction_committed{4});
    fixture.handle(outcome_unresolved{request_id("r2")});
    cr_assert_eq(fixture.commits.open_claims(), 0);
    cr_assert_eq(fixture.commits.open_entries(), 0);
}

// Guards against a claim that is taken for granted because another row of its batch, an outcome,
// holds the value that it was to get (seed 637 of the point at-most-once).
Test(group_commit, only_a_claim_row_tells_that_a_batch_was_committed) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.handle(transaction_committed{2});
    fixture.claim(2);
    fixture.handle(outcome_resolved{request_id("r1"), "done"});
    fixture.claim(3);
    fixture.handle(transaction_committed{3});
    fixture.handle(transaction_in_doubt{});
    fixture.pass(milliseconds(60));
    fixture.handle(transaction_conflict{key(1)});
    cr_assert_eq(fixture.of<read_claim_row>().size(), 1);
    expect_equal(fixture.of<read_claim_row>()[0].key, key(3));
    fixture.handle(claim_row_read{key(3), table_row{key(3), "claimed n2 i 9", 8}});
    cr_assert(fixture.of<claim_recorded>().empty());
    cr_assert_eq(fixture.of<claim_taken>().size(), 1);
}

// Guards against a fleet of busy nodes that writes more often than the table can take.
Test(group_commit, keeps_the_spacing_between_two_transactions) {
    commit_fixture fixture;
    fixture.commits.set_transaction_rate(milliseconds(45), 1);
    std::size_t transactions = 0;
    std::size_t recorded = 0;
    for (std::uint64_t number = 1; number <= 100; ++number) {
        fixture.claim(number);
        bool sent = !fixture.sent().empty();
        if (!sent) {
            fixture.pass(milliseconds(10));
            sent = !fixture.sent().empty();
        }
        if (sent) {
            ++transactions;
            fixture.handle(transaction_committed{number});
            recorded += fixture.of<claim_recorded>().size();
        }
    }
    // 100 claims at 10 ms take one second.
    cr_assert(transactions <= 1000 / 45 + 1, "%zu transactions in a second", transactions);
    cr_assert(recorded >= 90, "%zu of 100 claims", recorded);
}

namespace {

/// Sends claims through the group commit to a table that answers at once; counts its calls.
struct flooded_table {
    commit_fixture fixture;
    std::set<std::string> taken; ///< Keys of rows that other nodes claimed.
    std::size_t transactions = 0;
    std::size_t reads = 0;
    std::size_t granted = 0;
    std::size_t duplicates = 0;

    explicit flooded_table(std::size_t batch_limit) {
        fixture.commits =
            group_commit({.node = node_id("n1"), .incarnation = "i1", .batch_limit = batch_limit});
        fixture.commits.set_transaction_rate(milliseconds(20), 1);
    }

    /// Claims an id; odd numbers are taken when `every_second` is set, else all are.
    void claim(std::uint64_t number, bool every_second) {
        if (!every_second || number % 2 == 1) {
            taken.insert(key(number));
        }
        fixture.claim(number);
        perform();
    }
    void pass(duration span) {
        fixture.pass(span);
        perform();
    }
    void perform() {
        std::deque<group_commit_effect> open(fixture.effects.begin(), fixture.effects.end());
        for (; !open.empty(); open.pop_front()) {
            std::visit(overloaded{
                           [&](const commit_transaction& item) {
                               ++transactions;
                               fixture.handle(reply_to(item));
                           },
                           [&](const read_claim_row& item) {
                               ++reads;
                               std::optional<table_row> row;
                               if (taken.contains(item.key)) {
                                   row = table_row{item.key, "done n2 i9 7", 4};
                               }
                               fixture.handle(claim_row_read{item.key, row});
                           },
                           [&](const claim_recorded&) { ++granted; },
                           [&](const claim_taken&) { ++duplicates; },
                           [](const schedule_commit_tick&) {},
                           [](const claim_refused&) { cr_assert(false, "a claim is refused"); },
                       },
                       open.front());
            if (std::holds_alternative<commit_transaction>(open.front()) ||
                std::holds_alternative<read_claim_row>(open.front())) {
                open.insert(open.end(), fixture.effects.begin(), fixture.effects.end());
            }
        }
    }
    [[nodiscard]] group_commit_input reply_to(const commit_transaction& item) const {
        for (const table_check& check : item.checks) {
            if (taken.contains(check.key)) {
                return transaction_conflict{check.key};
            }
        }
        return transaction_committed{transactions};
    }
};

} // namespace

// Guards against one transaction for each repeated id, which delays every other claim.
Test(group_commit, settles_a_flood_of_repeated_ids_in_few_transactions) {
    flooded_table table(64);
    for (std::uint64_t number = 0; number < 400; ++number) {
        table.claim(number, false);
        table.pass(milliseconds(5));
    }
    table.pass(milliseconds(20));
    cr_assert_eq(table.duplicates, 400);
    // 400 ids at 5 ms take two seconds.
    cr_assert(table.transactions <= 2000 / 20 + 2, "%zu transactions", table.transactions);
    cr_assert(table.reads <= 400, "%zu reads", table.reads);
}

// Guards against new claims that never get through while every transaction also carries a taken id.
Test(group_commit, grants_new_claims_during_a_flood_of_repeated_ids) {
    flooded_table table(64);
    for (std::uint64_t number = 0; number < 400; ++number) {
        table.claim(number, true);
        table.pass(milliseconds(5));
    }
    table.pass(milliseconds(20));
    table.pass(milliseconds(20));
    table.pass(milliseconds(20));
    cr_assert_eq(table.duplicates, 200);
    cr_assert_eq(table.granted, 200);
    cr_assert(table.transactions <= 2000 / 20 + 4, "%zu transactions", table.transactions);
}

// Guards against reads of taken rows that use up what the table serves for everything.
Test(group_commit, keeps_the_rate_of_reads_during_a_flood_of_repeated_ids) {
    flooded_table table(64);
    table.fixture.commits.set_read_rate(milliseconds(50), 8);
    for (std::uint64_t number = 0; number < 300; ++number) {
        table.claim(number, false);
    }
    for (std::size_t elapsed = 1; elapsed <= 2000; ++elapsed) {
        table.pass(milliseconds(1));
        // Each conflict reads one row besides the bounded ones.
        cr_assert(table.reads <= table.transactions + elapsed / 50 + 8, "%zu reads at %zu ms",
                  table.reads, elapsed);
    }
    cr_assert(table.duplicates >= 100, "%zu duplicates", table.duplicates);
}

// Guards against a lone claim that waits for the end of the spacing, and against a wait beyond it.
Test(group_commit, sends_a_lone_claim_at_once_and_wakes_up_at_the_end_of_the_spacing) {
    commit_fixture fixture;
    fixture.commits.set_transaction_rate(milliseconds(22), 2);
    for (std::uint64_t number = 1; number <= 2; ++number) {
        fixture.claim(number);
        cr_assert_eq(fixture.sent().size(), 1);
        fixture.handle(transaction_committed{number});
    }
    fixture.claim(3);
    cr_assert(fixture.sent().empty());
    const instant wake = fixture.of<schedule_commit_tick>().at(0).at;
    cr_assert(wake == fixture.now + milliseconds(22));
    fixture.pass(wake - fixture.now);
    cr_assert_eq(fixture.sent().size(), 1);
}

// Guards against outcomes that use up the transactions that claims need.
Test(group_commit, leaves_the_last_saved_transaction_to_claims) {
    commit_fixture fixture;
    fixture.commits.set_transaction_rate(milliseconds(22), 2);
    fixture.claim(1);
    fixture.handle(transaction_committed{1});
    fixture.handle(outcome_resolved{request_id("r1"), "done"});
    cr_assert(fixture.sent().empty());
    fixture.claim(2);
    cr_assert_eq(fixture.sent().size(), 2, "the outcome goes with the claim");
    fixture.handle(transaction_committed{2});
    fixture.handle(outcome_resolved{request_id("r2"), "done"});
    fixture.pass(milliseconds(100));
    cr_assert_eq(fixture.sent().size(), 1, "without a claim the outcome waits a bounded time");
}

// Guards against a fleet that writes above its part of the table after all its nodes were idle.
Test(group_commit, a_fleet_stays_within_its_transactions_after_a_pause) {
    for (const std::size_t nodes : {1, 2, 4, 9, 40}) {
        std::vector<commit_fixture> fleet(nodes);
        std::size_t transactions = 0;
        for (commit_fixture& node : fleet) {
            node.commits.set_node_count(nodes);
            node.now += seconds(60);
            for (std::uint64_t number = 1; number <= 3000; ++number) {
                node.claim(number);
                while (!node.of<commit_transaction>().empty()) {
                    ++transactions;
                    node.handle(transaction_committed{number});
                }
                node.now += milliseconds(1);
            }
        }
        cr_assert(transactions <= 3 * 200, "%zu transactions of %zu nodes", transactions, nodes);
    }
}
