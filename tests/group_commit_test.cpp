#include "test_support.h"

#include "citronford/group_commit.h"

using namespace citronford;

namespace {

caller_id caller(std::uint64_t number) {
    return static_cast<caller_id>(number);
}

/// The group commit of node `n1` and the transaction that it sent last.
struct commit_fixture {
    group_commit commits{group_commit_options{
        .node = node_id("n1"), .incarnation = "i1", .batch_limit = 8, .queue_limit = 16}};
    instant now{};
    std::vector<group_commit_effect> effects;

    void handle(const group_commit_input& input) { effects = commits.handle(input, now); }
    void claim(std::uint64_t number) {
        handle(claim_wanted{caller(number), request_id("r" + std::to_string(number))});
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
                keys.push_back(write.key + (write.value ? "=" + *write.value : "-"));
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
    cr_assert(fixture.sent() == texts{"claim/r1=claimed n1 i1 1"});
    fixture.claim(2);
    fixture.claim(3);
    cr_assert(fixture.sent().empty());
    fixture.handle(transaction_committed{5});
    cr_assert(fixture.of<claim_recorded>().size() == 1);
    cr_assert(fixture.sent() == texts({"claim/r2=claimed n1 i1 2", "claim/r3=claimed n1 i1 3"}));
}

// Guards against a duplicate that takes the other claims of its batch down with it.
Test(group_commit, settles_only_the_conflicting_entry) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.claim(2);
    fixture.claim(3);
    fixture.handle(transaction_committed{1});
    fixture.handle(transaction_conflict{"claim/r2"});
    cr_assert(fixture.of<read_claim_row>().size() == 1);
    cr_assert(fixture.sent() == texts{"claim/r3=claimed n1 i1 3"});
    fixture.handle(claim_row_read{"claim/r2", table_row{"claim/r2", "done n2 i9 7", 4}});
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
    cr_assert(fixture.sent() == texts{"claim/r1=claimed n1 i1 1"});
    fixture.handle(transaction_refused{});
    cr_assert(fixture.effects.empty(), "a refused repetition says nothing about the first message");
    fixture.pass(milliseconds(200));
    fixture.handle(transaction_conflict{"claim/r1"});
    fixture.handle(claim_row_read{"claim/r1", table_row{"claim/r1", "claimed n1 i1 1", 3}});
    cr_assert(fixture.of<claim_recorded>().size() == 1);
}

// Guards against the claim of an earlier incarnation that is taken for an own one.
Test(group_commit, the_value_of_another_incarnation_is_a_duplicate) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.handle(transaction_in_doubt{});
    fixture.pass(milliseconds(60));
    fixture.handle(transaction_conflict{"claim/r1"});
    fixture.handle(claim_row_read{"claim/r1", table_row{"claim/r1", "claimed n1 i0 1", 3}});
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
    cr_assert(fixture.sent() == texts{"claim/r1=not_run n1 i1 1"});
    cr_assert(fixture.of<commit_transaction>()[0].checks[0].version == 2);
}

// Guards against a caller that can never run an id again after a true refusal.
Test(group_commit, claims_an_id_again_that_was_not_run) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.handle(transaction_conflict{"claim/r1"});
    fixture.handle(claim_row_read{"claim/r1", table_row{"claim/r1", "not_run n2 i2 5", 9}});
    cr_assert(fixture.sent() == texts{"claim/r1=claimed n1 i1 1"});
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
    cr_assert(fixture.sent() == texts{"claim/r4=claimed n1 i1 4"});
}

// Guards against claim rows that are never deleted, or before their time.
Test(group_commit, purges_claims_after_their_retention) {
    commit_fixture fixture;
    fixture.commits.set_retention(milliseconds(1000));
    fixture.claim(1);
    fixture.handle(transaction_committed{2});
    fixture.pass(milliseconds(999));
    cr_assert(fixture.effects.empty());
    fixture.pass(milliseconds(1));
    cr_assert(fixture.sent() == texts{"claim/r1-"});
    fixture.handle(transaction_committed{3});
    cr_assert_eq(fixture.commits.kept_claims(), 0);
}

// Guards against a claim that is taken for granted because another row of its batch, an outcome,
// holds the value that it was to get (seed 637 of the point at-most-once).
Test(group_commit, only_a_claim_row_tells_that_a_batch_was_committed) {
    commit_fixture fixture;
    fixture.claim(1);
    fixture.handle(transaction_committed{2});
    fixture.claim(2);
    fixture.handle(outcome_learned{request_id("r1"), "done"});
    fixture.claim(3);
    fixture.handle(transaction_committed{3});
    fixture.handle(transaction_in_doubt{});
    fixture.pass(milliseconds(60));
    fixture.handle(transaction_conflict{"claim/r1"});
    cr_assert_eq(fixture.of<read_claim_row>().size(), 1);
    expect_equal(fixture.of<read_claim_row>()[0].key, "claim/r3");
    fixture.handle(claim_row_read{"claim/r3", table_row{"claim/r3", "claimed n2 i 9", 8}});
    cr_assert(fixture.of<claim_recorded>().empty());
    cr_assert_eq(fixture.of<claim_taken>().size(), 1);
}

// Guards against a fleet of busy nodes that writes more often than the table can take.
Test(group_commit, keeps_the_spacing_between_two_transactions) {
    commit_fixture fixture;
    fixture.commits.set_spacing(milliseconds(45));
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
