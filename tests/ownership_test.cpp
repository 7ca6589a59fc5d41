#include "test_support.h"

#include "citronford/ownership.h"

using namespace citronford;

namespace {

constexpr instant start{seconds(100)};

ownership_options options_of(const std::string& name) {
    ownership_options options;
    options.node = node_id(name);
    options.incarnation = name + "-1";
    return options;
}

ownership make_ownership(const std::string& name = "n1") {
    auto created = ownership::create(installed_chart("ownership"), options_of(name));
    cr_assert(created.ok(), "%s", created.status().ToString().c_str());
    return *std::move(created);
}

rows_observed rows_of(const std::string& node, table_version owner, table_version renewal) {
    return {owner_row{node_id(node), node + "-1", false}, owner, renewal};
}

template <class Effect> const Effect* find(const std::vector<ownership_effect>& effects) {
    for (const ownership_effect& effect : effects) {
        if (const auto* found = std::get_if<Effect>(&effect)) {
            return found;
        }
    }
    return nullptr;
}

} // namespace

// Guards against an idle fleet after its first start.
Test(ownership, claims_when_there_is_no_owner) {
    ownership node = make_ownership();
    const auto effects = node.handle(rows_observed{}, start);
    const auto* claim = find<write_claim>(effects);
    cr_assert(claim != nullptr && claim->expected == absent_row);
    const auto begun = node.handle(claim_committed{7}, start);
    cr_assert(find<ownership_begun>(begun)->token == 7);
    cr_assert(node.owning());
}

// Guards against a second owner while the first one renews.
Test(ownership, claims_only_after_the_renewals_have_stopped) {
    ownership node = make_ownership();
    instant now = start;
    for (table_version renewal = 2; renewal < 12; ++renewal) {
        now += milliseconds(900);
        cr_assert(node.handle(rows_of("n2", 1, renewal), now).empty());
    }
    now += milliseconds(1500);
    cr_assert(node.handle(rows_of("n2", 1, 11), now).empty());
    now += milliseconds(200);
    cr_assert(find<write_claim>(node.handle(rows_of("n2", 1, 11), now)) != nullptr);
}

// Guards against an owner on one of the smallest VMs, which takes seconds to read the work, while
// larger ones are alive (kettunen-lavat-grown trouble-3).
Test(ownership, leaves_the_claim_to_vms_as_strong_as_the_last_owner) {
    const auto claims_after = [](std::int64_t own_permille, std::int64_t last_permille) {
        ownership_options options = options_of("n1");
        options.strength_permille = own_permille;
        auto node = ownership::create(installed_chart("ownership"), options);
        rows_observed rows = rows_of("n2", 1, 2);
        rows.owner->strength_permille = last_permille;
        duration waited{};
        while (find<write_claim>(node->handle(rows, start + waited)) == nullptr) {
            waited += milliseconds(50);
        }
        return waited;
    };
    cr_assert(claims_after(250, 250) == milliseconds(1600), "no wait among equals");
    cr_assert(claims_after(500, 250) == milliseconds(1600));
    cr_assert(claims_after(100, 500) == milliseconds(2400));
    cr_assert(claims_after(300, 500) == milliseconds(2000));
    cr_assert(claims_after(250, 0) > milliseconds(2000), "the strength of the owner is unknown");
}

// Guards against an ownership that changes after each outage of the table, which the owner survives
// (kettunen-lavat-grown trouble-3): all other nodes found its lease to be over before it could
// renew.
Test(ownership, does_not_count_an_outage_of_the_table_against_the_owner) {
    ownership node = make_ownership();
    instant now = start;
    node.handle(rows_of("n2", 1, 2), now);
    for (int second = 0; second < 4; ++second) {
        now += seconds(1);
        cr_assert(node.handle(rows_unavailable{}, now).empty());
    }
    cr_assert(node.handle(rows_of("n2", 1, 2), now).empty());
    now += milliseconds(1500);
    cr_assert(node.handle(rows_of("n2", 1, 2), now).empty());
    now += milliseconds(200);
    cr_assert(find<write_claim>(node.handle(rows_of("n2", 1, 2), now)) != nullptr,
              "the owner did not survive");
}

// Guards against waiting for the lease of an owner that has left or whose process is gone.
Test(ownership, takes_over_at_once_after_a_release_and_from_its_own_predecessor) {
    ownership node = make_ownership();
    rows_observed released = rows_of("n2", 4, 5);
    released.owner->released = true;
    cr_assert(find<write_claim>(node.handle(released, start)) != nullptr);
    ownership restarted = make_ownership();
    rows_observed earlier = rows_of("n1", 4, 5);
    earlier.owner->incarnation = "before";
    cr_assert(find<write_claim>(restarted.handle(earlier, start)) != nullptr);
}

// Guards against a fleet without an owner when the answer to a claim is lost after its effect.
Test(ownership, finds_a_claim_whose_answer_was_lost) {
    ownership node = make_ownership();
    node.handle(rows_observed{}, start);
    node.handle(claim_in_doubt{}, start);
    cr_assert(!node.owning());
    const auto effects = node.handle(rows_of("n1", 9, absent_row), start + milliseconds(300));
    cr_assert(find<ownership_begun>(effects)->token == 9);
    cr_assert(node.lease_until() <= start + milliseconds(300), "the time of the claim is unknown");
}

// Guards against an owner that goes on after another node can have taken over and waited.
Test(ownership, ends_when_it_could_not_renew_for_the_lease_and_the_grace) {
    ownership node = make_ownership();
    node.handle(rows_observed{}, start);
    node.handle(claim_committed{1}, start);
    const ownership_options options;
    const instant end = start + options.lease + options.grace;
    cr_assert(find<write_renewal>(node.handle(ownership_tick{}, end - milliseconds(1))) != nullptr);
    cr_assert(find<ownership_over>(node.handle(ownership_tick{}, end)) != nullptr);
    cr_assert(!node.owning());
}

// Guards against a renewal that counts from its answer instead of from its sending.
Test(ownership, counts_a_renewal_from_its_sending) {
    ownership node = make_ownership();
    node.handle(rows_observed{}, start);
    node.handle(claim_committed{1}, start);
    node.handle(renewal_committed{start + milliseconds(400)}, start + milliseconds(900));
    cr_assert(node.lease_until() == start + milliseconds(400) + ownership_options().lease);
}

// Guards against a planned stop that leaves the fleet without an owner until the lease is over.
Test(ownership, releases_the_row_when_it_stops) {
    ownership node = make_ownership();
    node.handle(rows_observed{}, start);
    node.handle(claim_committed{3}, start);
    const auto effects = node.handle(ownership_stop{}, start + seconds(1));
    cr_assert(find<ownership_over>(effects) != nullptr);
    cr_assert(find<write_release>(effects)->token == 3);
    cr_assert(find<ownership_left>(node.handle(release_ended{}, start + seconds(1))) != nullptr);
}
