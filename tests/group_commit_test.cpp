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

/// The group commit of node `n1` and the effects of its last input.
struct commit_fixture {
    group_commit commits{group_commit_options{
        .node = node_id("n1"), .incarnation = "i1", .batch_limit = 8, .queue_limit = 16}};
    instant now{};
    std::vector<group_commit_effect> effects;

    void handle(const group_commit_input& input) { effects = commits.handle(input, now); }
    void claim(std::uint64_t number) {
        handle(claim_requested{caller(number), request_id("r" + std::to_string(number))});
    }
    void advance(duration span) {
        now += span;
        handle(commit_tick{});
    }

    template <class Effect> [[nodiscard]] std::vector<Effect> effects_of() const {
        std::vector<Effect> found;
        for (const auto& effect : effects) {
            if (const auto* item = std::get_if<Effect>(&effect)) {
                found.push_back(*item);
            }
        }
        return found;
    }
    [[nodiscard]] std::vector<std::string> sent_rows() const {
        std::vector<std::string> keys;
        for (const auto& transaction : effects_of<commit_transaction>()) {
            for (const table_write& write : transaction.writes) {
                keys.push_back(write.key + "=" + write.value.value());
            }
        }
        return keys;
    }
};

using texts = std::vector<std::string>;

} // namespace

// Guards against a second transaction in flight and against the loss of claims that arrive while
// one is.
Test(group_commit, claims_wait_for_the_transaction_in_flight) {
    commit_fixture fixture;
    fixture.claim(1);
    cr_assert(fixture.sent_rows() == texts{key(1) + "=claimed n1 i1 1"});
    fixture.claim(2);
    fixture.claim(3);
    cr_assert(fixture.sent_rows().empty());
    fixture.handle(transaction_committed{5});
    cr_assert(fixture.effects_of<claim_recorded>().size() == 1);
    cr_assert(fixture.sent_rows() ==
              texts({key(2) + "=claimed n1 i1 2", key(3) + "=claimed n1 i1 3"}));
}

// Guards against a duplicate that also fails the other claims of its batch.
Test(group_commit, resolves_only_the_conflicting_entry) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.claim(2);
    fixture.claim(3);
    fixture.handle(transaction_committed{1});
    fixture.handle(transaction_conflict{key(2)});
    cr_assert(fixture.effects_of<read_claim_row>().size() == 1);
    cr_assert(fixture.sent_rows() == texts{key(3) + "=claimed n1 i1 3"});
    fixture.handle(claim_row_read{key(2), table_row{key(2), "done n2 i9 7", 4}});
    cr_assert(fixture.effects_of<claim_taken>().size() == 1);
    expect_equal(fixture.effects_of<claim_taken>()[0].outcome, "done");
    fixture.handle(transaction_committed{5});
    cr_assert(fixture.effects_of<claim_recorded>()[0].caller == caller(3));
}

// Guards against a wrong result when the reply of a commit is lost: the claim is neither granted
// nor refused before the retried transaction has a definite result.
Test(group_commit, retries_a_transaction_in_doubt) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.handle(transaction_in_doubt{});
    cr_assert(fixture.effects.empty());
    fixture.advance(milliseconds(60));
    cr_assert(fixture.sent_rows() == texts{key(1) + "=claimed n1 i1 1"});
    fixture.handle(transaction_refused{});
    cr_assert(fixture.effects.empty(), "a refused retry does not tell the result of the first try");
    fixture.advance(milliseconds(200));
    fixture.handle(transaction_conflict{key(1)});
    fixture.handle(claim_row_read{key(1), table_row{key(1), "claimed n1 i1 1", 3}});
    cr_assert(fixture.effects_of<claim_recorded>().size() == 1);
}

// Guards against a claim of an earlier incarnation of the node that is mistaken for its own.
Test(group_commit, the_value_of_another_incarnation_is_a_duplicate) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.handle(transaction_in_doubt{});
    fixture.advance(milliseconds(60));
    fixture.handle(transaction_conflict{key(1)});
    fixture.handle(claim_row_read{key(1), table_row{key(1), "claimed n1 i0 1", 3}});
    cr_assert(fixture.effects_of<claim_taken>().size() == 1);
    expect_equal(fixture.effects_of<claim_taken>()[0].outcome, "");
}

// Guards against an id that stays claimed although its caller was answered "not run".
Test(group_commit, records_not_run_for_an_abandoned_claim) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.handle(claim_abandoned{caller(1)});
    fixture.handle(transaction_committed{2});
    cr_assert(fixture.effects_of<claim_recorded>().empty());
    cr_assert(fixture.sent_rows() == texts{key(1) + "=not_run n1 i1 1"});
    cr_assert(fixture.effects_of<commit_transaction>()[0].checks[0].version == 2);
}

// Guards against an id that can never be run again after a correct "not run" answer.
Test(group_commit, claims_an_id_again_that_was_not_run) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.handle(transaction_conflict{key(1)});
    fixture.handle(claim_row_read{key(1), table_row{key(1), "not_run n2 i2 5", 9}});
    cr_assert(fixture.sent_rows() == texts{key(1) + "=claimed n1 i1 1"});
    cr_assert(fixture.effects_of<commit_transaction>()[0].checks[0].version == 9);
}

// Guards against claims that queue up while the table is unavailable, and against a node that still
// refuses claims after the table has recovered.
Test(group_commit, refuses_claims_while_the_table_is_unavailable) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.handle(transaction_refused{});
    cr_assert(fixture.effects_of<claim_refused>().size() == 1);
    fixture.claim(2);
    fixture.advance(milliseconds(60));
    fixture.handle(transaction_refused{});
    fixture.claim(3);
    cr_assert(fixture.effects_of<claim_refused>().size() == 1);
    fixture.advance(milliseconds(200));
    fixture.claim(4);
    cr_assert(fixture.sent_rows() == texts{key(4) + "=claimed n1 i1 4"});
}

// Guards against memory use that grows with the number of claims ever granted.
Test(group_commit, forgets_a_claim_whose_outcome_is_known) {
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

// Guards against a claim that is granted although its batch was not committed: another row of the
// batch, an outcome, already held the value to write (found with seed 637 of the proof
// at-most-once).
Test(group_commit, only_a_claim_row_shows_that_a_batch_was_committed) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.handle(transaction_committed{2});
    fixture.claim(2);
    fixture.handle(outcome_resolved{request_id("r1"), "done"});
    fixture.claim(3);
    fixture.handle(transaction_committed{3});
    fixture.handle(transaction_in_doubt{});
    fixture.advance(milliseconds(60));
    fixture.handle(transaction_conflict{key(1)});
    cr_assert_eq(fixture.effects_of<read_claim_row>().size(), 1);
    expect_equal(fixture.effects_of<read_claim_row>()[0].key, key(3));
    fixture.handle(claim_row_read{key(3), table_row{key(3), "claimed n2 i 9", 8}});
    cr_assert(fixture.effects_of<claim_recorded>().empty());
    cr_assert_eq(fixture.effects_of<claim_taken>().size(), 1);
}

// Guards against a busy node that exceeds its transaction rate, so that the fleet overloads the
// table.
Test(group_commit, keeps_the_interval_between_two_transactions) {
    commit_fixture fixture;
    fixture.commits.set_transaction_rate(milliseconds(45), 1);
    std::size_t transactions = 0;
    std::size_t recorded = 0;
    for (std::uint64_t number = 1; number <= 100; ++number) {
        fixture.claim(number);
        bool sent = !fixture.sent_rows().empty();
        if (!sent) {
            fixture.advance(milliseconds(10));
            sent = !fixture.sent_rows().empty();
        }
        if (sent) {
            ++transactions;
            fixture.handle(transaction_committed{number});
            recorded += fixture.effects_of<claim_recorded>().size();
        }
    }
    // 100 claims at 10 ms take one second.
    cr_assert(transactions <= 1000 / 45 + 1, "%zu transactions in a second", transactions);
    cr_assert(recorded >= 90, "%zu of 100 claims", recorded);
}

namespace {

/// Runs claims through the group commit against a simulated table that replies immediately, and
/// counts the calls.
struct simulated_table {
    commit_fixture fixture;
    std::set<std::string> claimed_keys; ///< Keys of rows that other nodes claimed.
    std::size_t transactions = 0;
    std::size_t reads = 0;
    std::size_t granted = 0;
    std::size_t duplicates = 0;

    explicit simulated_table(std::size_t batch_limit) {
        fixture.commits =
            group_commit({.node = node_id("n1"), .incarnation = "i1", .batch_limit = batch_limit});
        fixture.commits.set_transaction_rate(milliseconds(20), 1);
    }

    /// Claims an id that another node claimed before; with `only_odd_claimed`, ids with even
    /// numbers are new.
    void claim(std::uint64_t number, bool only_odd_claimed) {
        if (!only_odd_claimed || number % 2 == 1) {
            claimed_keys.insert(key(number));
        }
        fixture.claim(number);
        perform();
    }
    void advance(duration span) {
        fixture.advance(span);
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
                               if (claimed_keys.contains(item.key)) {
                                   row = table_row{item.key, "done n2 i9 7", 4};
                               }
                               fixture.handle(claim_row_read{item.key, row});
                           },
                           [&](const claim_recorded&) { ++granted; },
                           [&](const claim_taken&) { ++duplicates; },
                           [](const schedule_commit_tick&) {},
                           [](const claim_refused&) { cr_assert(false, "a claim was refused"); },
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
            if (claimed_keys.contains(check.key)) {
                return transaction_conflict{check.key};
            }
        }
        return transaction_committed{transactions};
    }
};

} // namespace

// Guards against a transaction for each repeated id, which delays all other claims.
Test(group_commit, resolves_a_flood_of_repeated_ids_in_few_transactions) {
    simulated_table table(64);
    for (std::uint64_t number = 0; number < 400; ++number) {
        table.claim(number, false);
        table.advance(milliseconds(5));
    }
    table.advance(milliseconds(20));
    cr_assert_eq(table.duplicates, 400);
    // 400 ids at 5 ms take two seconds.
    cr_assert(table.transactions <= 2000 / 20 + 2, "%zu transactions", table.transactions);
    cr_assert(table.reads <= 400, "%zu reads", table.reads);
}

// Guards against new claims that are never granted because every transaction also contains a
// repeated id and fails.
Test(group_commit, grants_new_claims_during_a_flood_of_repeated_ids) {
    simulated_table table(64);
    for (std::uint64_t number = 0; number < 400; ++number) {
        table.claim(number, true);
        table.advance(milliseconds(5));
    }
    table.advance(milliseconds(20));
    table.advance(milliseconds(20));
    table.advance(milliseconds(20));
    cr_assert_eq(table.duplicates, 200);
    cr_assert_eq(table.granted, 200);
    cr_assert(table.transactions <= 2000 / 20 + 4, "%zu transactions", table.transactions);
}

// Guards against reads of claimed rows that exhaust the capacity of the table.
Test(group_commit, limits_the_read_rate_during_a_flood_of_repeated_ids) {
    simulated_table table(64);
    table.fixture.commits.set_read_rate(milliseconds(50), 8);
    for (std::uint64_t number = 0; number < 300; ++number) {
        table.claim(number, false);
    }
    for (std::size_t elapsed = 1; elapsed <= 2000; ++elapsed) {
        table.advance(milliseconds(1));
        // Each conflict reads one row that the limit does not count.
        cr_assert(table.reads <= table.transactions + elapsed / 50 + 8, "%zu reads at %zu ms",
                  table.reads, elapsed);
    }
    cr_assert(table.duplicates >= 100, "%zu duplicates", table.duplicates);
}

// Guards against a delay of a claim that the rate limit allows, and against a delay beyond the
// interval of a claim that it does not allow.
Test(group_commit, sends_a_claim_immediately_or_at_the_end_of_the_interval) {
    commit_fixture fixture;
    fixture.commits.set_transaction_rate(milliseconds(22), 2);
    for (std::uint64_t number = 1; number <= 2; ++number) {
        fixture.claim(number);
        cr_assert_eq(fixture.sent_rows().size(), 1);
        fixture.handle(transaction_committed{number});
    }
    fixture.claim(3);
    cr_assert(fixture.sent_rows().empty());
    const instant wake = fixture.effects_of<schedule_commit_tick>().at(0).at;
    cr_assert(wake == fixture.now + milliseconds(22));
    fixture.advance(wake - fixture.now);
    cr_assert_eq(fixture.sent_rows().size(), 1);
}

// Guards against outcomes that use the permits that claims need.
Test(group_commit, reserves_the_last_permit_for_claims) {
    commit_fixture fixture;
    fixture.commits.set_transaction_rate(milliseconds(22), 2);
    fixture.claim(1);
    fixture.handle(transaction_committed{1});
    fixture.handle(outcome_resolved{request_id("r1"), "done"});
    cr_assert(fixture.sent_rows().empty());
    fixture.claim(2);
    cr_assert_eq(fixture.sent_rows().size(), 2, "the outcome shares the transaction of the claim");
    fixture.handle(transaction_committed{2});
    fixture.handle(outcome_resolved{request_id("r2"), "done"});
    fixture.advance(milliseconds(100));
    cr_assert_eq(fixture.sent_rows().size(), 1,
                 "without a claim the outcome is sent after its maximum wait");
}

// Guards against a fleet that exceeds its transaction rate after all nodes were idle and have their
// full burst.
Test(group_commit, a_fleet_stays_within_its_transaction_rate_after_an_idle_period) {
    for (const std::size_t nodes : {1, 2, 4, 9, 40}) {
        std::vector<commit_fixture> fleet(nodes);
        std::size_t transactions = 0;
        for (commit_fixture& node : fleet) {
            node.commits.set_node_count(nodes);
            node.now += seconds(60);
            for (std::uint64_t number = 1; number <= 3000; ++number) {
                node.claim(number);
                while (!node.effects_of<commit_transaction>().empty()) {
                    ++transactions;
                    node.handle(transaction_committed{number});
                }
                node.now += milliseconds(1);
            }
        }
        cr_assert(transactions <= 3 * 200, "%zu transactions of %zu nodes", transactions, nodes);
    }
}
