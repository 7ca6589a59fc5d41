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

// Guards against a scheduler that no node owns after the first start of the fleet.
Test(ownership, claims_when_there_is_no_owner) {
    ownership node = make_ownership();
    const auto effects = node.handle(rows_observed{}, start);
    const auto* claim = find<write_claim>(effects);
    cr_assert(claim != nullptr && claim->expected == absent_row);
    const auto begun = node.handle(claim_committed{7}, start);
    cr_assert(find<ownership_begun>(begun)->token == 7);
    cr_assert(node.owning());
}

// Guards against a second owner while the first one renews its lease.
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
// larger VMs are available (kettunen-lavat-grown trouble-3).
Test(ownership, delays_the_claim_of_a_vm_with_less_capacity_than_the_last_owner) {
    const auto time_until_claim = [](std::int64_t own_permille, std::int64_t last_permille) {
        ownership_options options = options_of("n1");
        options.capacity_permille = own_permille;
        auto node = ownership::create(installed_chart("ownership"), options);
        rows_observed rows = rows_of("n2", 1, 2);
        rows.owner->capacity_permille = last_permille;
        duration waited{};
        while (find<write_claim>(node->handle(rows, start + waited)) == nullptr) {
            waited += milliseconds(50);
        }
        return waited;
    };
    cr_assert(time_until_claim(250, 250) == milliseconds(1600), "delay despite equal capacity");
    cr_assert(time_until_claim(500, 250) == milliseconds(1600));
    cr_assert(time_until_claim(100, 500) == milliseconds(2400));
    cr_assert(time_until_claim(300, 500) == milliseconds(2000));
    cr_assert(time_until_claim(250, 0) > milliseconds(2000), "the owner's capacity is unknown");
}

// Guards against a change of the owner after each outage of the table: the other nodes regarded the
// lease as expired before the owner could renew it (kettunen-lavat-grown trouble-3).
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
              "no claim although the owner does not renew after the outage");
}

// Guards against a smallest VM that owns the scheduler after a silent outage of the table: the read
// that was pending all the while was answered after it, and every VM took the time of the outage
// for time in which the owner had not renewed (review/6).
Test(ownership, counts_the_delay_of_a_claim_from_the_end_of_an_outage_that_held_up_a_read) {
    ownership_options options = options_of("n1");
    options.capacity_permille = 100;
    auto node = ownership::create(installed_chart("ownership"), options);
    rows_observed rows = rows_of("n2", 1, 2);
    rows.owner->capacity_permille = 500;
    node->handle(rows, start);
    instant now = start + seconds(5);
    rows.read_time = milliseconds(4900);
    cr_assert(node->handle(rows, now).empty(), "a claim as soon as the table answers again");
    rows.read_time = milliseconds(4);
    now += milliseconds(2300);
    cr_assert(node->handle(rows, now).empty(), "the lease and the delay count from the outage on");
    now += milliseconds(200);
    cr_assert(find<write_claim>(node->handle(rows, now)) != nullptr,
              "no claim although the owner does not renew after the outage");
}

// Guards against waiting for the lease of an owner that has released it or whose process has ended.
Test(ownership, takes_over_at_once_after_a_release_and_from_an_earlier_process_of_the_node) {
    ownership node = make_ownership();
    rows_observed released = rows_of("n2", 4, 5);
    released.owner->released = true;
    cr_assert(find<write_claim>(node.handle(released, start)) != nullptr);
    ownership restarted = make_ownership();
    rows_observed earlier = rows_of("n1", 4, 5);
    earlier.owner->incarnation = "before";
    cr_assert(find<write_claim>(restarted.handle(earlier, start)) != nullptr);
}

// Guards against a fleet without an owner when the reply to a committed claim is lost.
Test(ownership, finds_a_claim_whose_answer_was_lost) {
    ownership node = make_ownership();
    node.handle(rows_observed{}, start);
    node.handle(claim_in_doubt{}, start);
    cr_assert(!node.owning());
    const auto effects = node.handle(rows_of("n1", 9, absent_row), start + milliseconds(300));
    cr_assert(find<ownership_begun>(effects)->token == 9);
    cr_assert(node.lease_until() <= start + milliseconds(300),
              "lease extended although the time of the claim is unknown");
}

// Guards against an owner that continues when another node may have taken over and begun to act.
Test(ownership, ends_when_it_could_not_renew_for_the_lease_and_the_grace) {
    ownership node = make_ownership();
    node.handle(rows_observed{}, start);
    node.handle(claim_committed{1}, start);
    const ownership_options options;
    const instant end = start + options.lease + options.grace;
    cr_assert(find<write_renewal>(node.handle(ownership_tick{}, end - milliseconds(1))) != nullptr);
    cr_assert(find<ownership_ended>(node.handle(ownership_tick{}, end)) != nullptr);
    cr_assert(!node.owning());
}

// Guards against tasks that run twice after an outage of the table: the rows still named the owner,
// which began again with its token, so servers carried out late starts of before (review/7).
Test(ownership, takes_a_new_token_after_its_ownership_has_ended) {
    ownership node = make_ownership();
    node.handle(rows_observed{}, start);
    node.handle(claim_committed{42}, start);
    const instant end = start + seconds(5);
    cr_assert(find<ownership_ended>(node.handle(ownership_tick{}, end)) != nullptr);
    const rows_observed rows = rows_of("n1", 42, 43);
    const auto effects = node.handle(rows, end + milliseconds(100));
    cr_assert(find<ownership_begun>(effects) == nullptr, "begins again with its token");
    const auto* claim = find<write_claim>(effects);
    cr_assert(claim != nullptr && claim->expected == 42, "waits for its own lease");
    const auto begun = node.handle(claim_committed{57}, end + milliseconds(110));
    cr_assert(find<ownership_begun>(begun)->token == 57);
}

// Guards against the same after each way in which an ownership ends: fenced out by a server or the
// store, a transfer that was not written, and a new claim in doubt.
Test(ownership, never_uses_the_token_of_an_ended_ownership) {
    ownership fenced = make_ownership();
    fenced.handle(rows_observed{}, start);
    fenced.handle(claim_committed{42}, start);
    fenced.handle(renewal_conflict{}, start + seconds(1));
    const rows_observed rows = rows_of("n1", 42, 43);
    cr_assert(find<write_claim>(fenced.handle(rows, start + seconds(2))) != nullptr);
    fenced.handle(claim_in_doubt{}, start + seconds(3));
    cr_assert(find<ownership_begun>(fenced.handle(rows, start + seconds(3))) == nullptr,
              "the claim in doubt was not carried out");
    fenced.handle(claim_rejected{}, start + seconds(3));
    const auto found = fenced.handle(rows_of("n1", 58, 43), start + seconds(4));
    cr_assert(find<ownership_begun>(found)->token == 58, "the claim in doubt was carried out");
}

// Guards against a lease that is counted from the reply to a renewal instead of from its sending.
Test(ownership, counts_a_renewal_from_its_sending) {
    ownership node = make_ownership();
    node.handle(rows_observed{}, start);
    node.handle(claim_committed{1}, start);
    node.handle(renewal_committed{start + milliseconds(400)}, start + milliseconds(900));
    cr_assert(node.lease_until() == start + milliseconds(400) + ownership_options().lease);
}

// Guards against a planned stop that leaves the fleet without an owner until the lease expires.
Test(ownership, releases_the_row_when_it_stops) {
    ownership node = make_ownership();
    node.handle(rows_observed{}, start);
    node.handle(claim_committed{3}, start);
    const auto effects = node.handle(ownership_stop{}, start + seconds(1));
    cr_assert(find<ownership_ended>(effects) != nullptr);
    cr_assert(find<write_release>(effects)->token == 3);
    cr_assert(find<ownership_stopped>(node.handle(release_ended{}, start + seconds(1))) != nullptr);
}

// Guards against a fleet without an owner until the lease expires: a planned stop came while a
// claim was under way, and the owner row named the stopped node.
Test(ownership, releases_a_claim_that_is_committed_after_a_planned_stop) {
    ownership node = make_ownership();
    node.handle(rows_observed{}, start);
    cr_assert(find<ownership_stopped>(node.handle(ownership_stop{}, start)) == nullptr,
              "the result of the claim is not known");
    const auto effects = node.handle(claim_committed{3}, start + milliseconds(30));
    cr_assert(find<ownership_begun>(effects) == nullptr);
    const auto* release = find<write_release>(effects);
    cr_assert(release != nullptr && release->token == 3);
    cr_assert(node.handle(ownership_tick{}, start + milliseconds(50)).empty());
    cr_assert(find<ownership_stopped>(node.handle(release_ended{}, start + milliseconds(60))) !=
              nullptr);
}

namespace {

ownership make_node(const std::string& name, std::int64_t capacity_permille) {
    ownership_options options = options_of(name);
    options.capacity_permille = capacity_permille;
    return *ownership::create(installed_chart("ownership"), options);
}

rows_observed rows_of_small_owner() {
    rows_observed rows = rows_of("small", 7, 8);
    rows.owner->capacity_permille = 100;
    return rows;
}

takeover_offer offer_of(const std::string& name, std::int64_t capacity_permille,
                        fencing_token token) {
    return {node_id(name), name + "-1", capacity_permille, token};
}

/// The rows after `name` has offered to take over from the small owner.
rows_observed rows_with_offer(const std::string& name, std::int64_t capacity_permille,
                              table_version version) {
    rows_observed rows = rows_of_small_owner();
    rows.offer = offer_of(name, capacity_permille, rows.owner_version);
    rows.offer_version = version;
    return rows;
}

/// A node with a tenth of the capacity of a processor that has owned the scheduler since `start`.
ownership make_small_owner() {
    ownership node = make_node("small", 100);
    node.handle(rows_observed{}, start);
    node.handle(ownership_tick{}, start);
    node.handle(rows_observed{}, start + seconds(1));
    node.handle(claim_committed{7}, start + seconds(1));
    cr_assert(node.owning());
    return node;
}

} // namespace

// Guards against an owner on one of the smallest VMs that keeps the ownership while larger VMs are
// in good health: it falls behind with the leases of its servers (review/6).
Test(ownership, offers_to_take_over_from_an_owner_with_much_less_capacity) {
    ownership node = make_node("large", 500);
    rows_observed rows = rows_of_small_owner();
    cr_assert(node.handle(rows, start).empty(), "an offer before the owner had time to begin");
    const auto effects = node.handle(rows, start + milliseconds(600));
    const auto* sent = find<write_offer>(effects);
    cr_assert(sent != nullptr && sent->offer.token == 7 && sent->offer.capacity_permille == 500);
    cr_assert(node.handle(rows, start + milliseconds(900)).empty(), "offered at each read");
    ++rows.renewal_version;
    cr_assert(node.handle(rows, start + milliseconds(1500)).empty());
    cr_assert(find<write_offer>(node.handle(rows, start + milliseconds(2700))) != nullptr,
              "a lost offer is not repeated");
}

// Guards against offers of all larger VMs at once, and of VMs that would be no improvement.
Test(ownership, offers_only_what_improves_the_ownership) {
    const auto offers = [](std::int64_t own_permille, const rows_observed& rows) {
        ownership node = make_node("n1", own_permille);
        node.handle(rows, start);
        return find<write_offer>(node.handle(rows, start + seconds(1))) != nullptr;
    };
    cr_assert(!offers(100, rows_of_small_owner()) && !offers(199, rows_of_small_owner()));
    cr_assert(offers(200, rows_of_small_owner()));
    cr_assert(!offers(500, rows_with_offer("n2", 500, 9)), "another VM has offered as much");
    cr_assert(offers(500, rows_with_offer("n2", 250, 9)));
    rows_observed unknown = rows_of_small_owner();
    unknown.owner->capacity_permille = 0;
    cr_assert(!offers(500, unknown), "the capacity of the owner is not known");
}

// Guards against a small owner that does not hand over, and against one that still sends orders
// when the next owner begins.
Test(ownership, hands_over_to_a_vm_with_much_more_capacity) {
    ownership node = make_small_owner();
    const auto effects = node.handle(rows_with_offer("large", 500, 9), start + milliseconds(1500));
    cr_assert(effects.size() == 2 && std::holds_alternative<ownership_ended>(effects[0]));
    const auto* transfer = find<write_transfer>(effects);
    cr_assert(transfer != nullptr && transfer->token == 7 && transfer->to.node == node_id("large"));
    cr_assert(!node.owning());
    node.handle(transfer_ended{}, start + milliseconds(1520));
    rows_observed not_written = rows_of("small", 7, 8);
    not_written.owner->capacity_permille = 100;
    ownership copy = node;
    const auto again = copy.handle(not_written, start + milliseconds(1600));
    cr_assert(find<ownership_begun>(again) == nullptr && find<write_claim>(again) != nullptr,
              "begins again with its token after a transfer that was not written");
    expect_equal(std::string(node.state()), "following");
    ownership large = make_node("large", 500);
    rows_observed transferred = rows_of("large", 12, 8);
    transferred.owner->capacity_permille = 500;
    cr_assert(find<ownership_begun>(large.handle(transferred, start + seconds(2)))->token == 12);
}

// Guards against an ownership that moves in turns, to a VM that has stopped since its offer, or
// while the table is out and nobody can take over.
Test(ownership, ignores_offers_that_do_not_help) {
    const auto transfers = [](const rows_observed& rows, duration delay) {
        ownership node = make_small_owner();
        return find<write_transfer>(node.handle(rows, start + seconds(1) + delay)) != nullptr;
    };
    const duration soon = milliseconds(500);
    cr_assert(transfers(rows_with_offer("n2", 200, 9), soon));
    cr_assert(!transfers(rows_with_offer("n2", 199, 9), soon));
    rows_observed earlier = rows_with_offer("n2", 500, 9);
    earlier.offer->token = 6;
    cr_assert(!transfers(earlier, soon), "the offer was made to an earlier owner");
    cr_assert(!transfers(rows_with_offer("n2", 500, 9), milliseconds(1700)),
              "the lease has expired, so the table may be out");
    ownership node = make_small_owner();
    node.handle(rows_with_offer("n2", 500, 9), start + milliseconds(2700));
    node.handle(renewal_committed{start + milliseconds(5000)}, start + milliseconds(5000));
    cr_assert(node.handle(rows_with_offer("n2", 500, 9), start + milliseconds(5100)).empty(),
              "the VM may have stopped since its offer");
}

// Guards against the price of reads by an owner that no VM can replace.
Test(ownership, reads_the_rows_as_owner_only_on_a_small_vm) {
    ownership large = make_node("large", 600);
    large.handle(rows_observed{}, start);
    large.handle(rows_observed{}, start + seconds(1));
    large.handle(claim_committed{7}, start + seconds(1));
    cr_assert(large.owning() && !large.poll_interval(start + seconds(1)));
    cr_assert(make_small_owner().poll_interval(start + seconds(1)).has_value());
}
