#include "test_support.h"

#include "citronford/submission_rates.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

// The load that this decision addresses: one of twenty teams sends five to seven times its usual
// rate for 7 s, through all entry VMs, with a takeover in the middle.

using namespace citronford;

namespace {

constexpr std::int64_t day_begin_ms = 1'800'000'000'000;
const team_id team("team");

submission sent(int number, std::int64_t after_ms, const team_id& by = team) {
    return {job_id(by.str() + "-" + std::to_string(number)), by, day_begin_ms + after_ms};
}

/// Acceptance times of workflows that are sent evenly from `begin_ms` to `end_ms`.
std::vector<submission> steady(const team_id& by, double per_s, std::int64_t begin_ms,
                               std::int64_t end_ms, int first_number = 0) {
    std::vector<submission> all;
    for (int number = 0;; ++number) {
        const auto at = begin_ms + static_cast<std::int64_t>(number * 1000 / per_s);
        if (at >= end_ms) {
            return all;
        }
        all.push_back(sent(first_number + number, at, by));
    }
}

/// The verdicts of an owner that reads `items` in this order, one after the other.
std::set<job_id> beyond_rate(const std::vector<submission>& items,
                             const std::map<team_id, double>& weights) {
    submission_rates rates;
    rates.set_weights(weights);
    std::set<job_id> beyond;
    for (const submission& item : items) {
        rates.add(item, 0);
        for (const rate_verdict& verdict : rates.evaluate()) {
            verdict.beyond ? (void)beyond.insert(verdict.job) : (void)beyond.erase(verdict.job);
        }
    }
    for (const submission& item : items) {
        cr_assert(rates.is_beyond(item.team, item.job) == beyond.contains(item.job));
    }
    return beyond;
}

std::set<job_id> beyond_weight(const std::vector<submission>& items, double weight) {
    return beyond_rate(items, {{team, weight}});
}

std::vector<submission> random_submissions() {
    const auto times = *rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange(0, 5000));
    std::vector<submission> all;
    for (const std::int64_t time : times) {
        all.push_back(sent(static_cast<int>(all.size()), time));
    }
    return all;
}

double random_weight() {
    return *rc::gen::inRange(1, 80) / 8.0;
}

} // namespace

// Guards against a rate that is not the weight, and against a burst larger than that of one second.
Test(submission_rates, allows_the_weight_each_second) {
    std::vector<submission> items;
    for (int number = 0; number < 100; ++number) {
        items.push_back(sent(number, number * 50));
    }
    // 20/s against 5/s for 5 s: the burst of one second, and 5/s.
    const std::size_t within = items.size() - beyond_weight(items, 5).size();
    cr_assert(within >= 28 && within <= 30, "%zu", within);
}

// Guards against a weight below one workflow a second that makes all workflows exceed the rate.
Test(submission_rates, allows_single_workflows_for_a_small_weight) {
    cr_assert(beyond_weight({sent(0, 0), sent(1, 2100), sent(2, 2200)}, 0.5) ==
              std::set{sent(2, 0).job});
}

// Guards against verdicts that depend on the order in which the pages of the store are read.
Test(submission_rates, does_not_depend_on_the_order_of_reading) {
    cr_assert(rc::check([] {
        const std::vector<submission> items = random_submissions();
        std::vector<submission> shuffled = items;
        const auto keys = *rc::gen::container<std::vector<std::uint32_t>>(
            items.size(), rc::gen::arbitrary<std::uint32_t>());
        std::ranges::sort(shuffled, {}, [&](const submission& item) {
            const auto place = std::stoul(item.job.str().substr(team.str().size() + 1));
            return std::pair(keys[place], place);
        });
        const double weight = random_weight();
        RC_ASSERT(beyond_weight(items, weight) == beyond_weight(shuffled, weight));
    }));
}

// Guards against a takeover after which work counts as within the rate that did not before, by more
// than the ended workflows explain, or the other way round: the new owner knows only workflows that
// have not ended.
Test(submission_rates, differ_after_a_takeover_by_at_most_the_ended_workflows) {
    cr_assert(rc::check([] {
        const std::vector<submission> items = random_submissions();
        const double weight = random_weight();
        const std::set<job_id> before = beyond_weight(items, weight);
        std::vector<submission> left;
        std::size_t ended_within = 0;
        std::size_t beyond_left = 0;
        for (const submission& item : items) {
            const bool beyond = before.contains(item.job);
            // Work beyond the rate waits longer, so mostly the other work has ended.
            const bool ended = *rc::gen::inRange(0, 10) < (beyond ? 1 : 7);
            if (!ended) {
                left.push_back(item);
                beyond_left += beyond ? 1 : 0;
            } else if (!beyond) {
                ++ended_within;
            }
        }
        const std::size_t after = beyond_weight(left, weight).size();
        RC_ASSERT(after <= beyond_left);
        RC_ASSERT(after + ended_within >= beyond_left);
    }));
}

// Guards against a flood that makes other teams exceed their rates, and against a flood that is
// forgotten at a takeover in its middle: the load named above.
Test(submission_rates, finds_the_team_that_sends_many_times_its_rate) {
    const team_id flooding("team-0");
    for (const double factor : {5.0, 6.0, 7.0}) {
        std::map<team_id, double> weights;
        std::vector<submission> items;
        for (int number = 0; number < 20; ++number) {
            const team_id name("team-" + std::to_string(number));
            const double usual = 1.0 + number % 4;
            weights.emplace(name, usual * 1.25);
            for (const auto& [rate, begin, end] :
                 {std::tuple(usual, 0, 3000),
                  std::tuple(name == flooding ? usual * factor : usual, 3000, 10000)}) {
                const auto part = steady(name, rate, begin, end, begin);
                items.insert(items.end(), part.begin(), part.end());
            }
        }
        const std::set<job_id> beyond = beyond_rate(items, weights);
        // Of `factor` workflows a second for 7 s, 1.25 a second are within the rate, and a burst.
        const double expected = 7 * (factor - 1.25);
        cr_assert(std::abs(static_cast<double>(beyond.size()) - expected) <= 2.5);
        cr_assert(std::ranges::all_of(
            beyond, [](const job_id& id) { return id.view().starts_with("team-0-"); }));

        // A takeover at 7 s: the workflows within the rate that were accepted before 6 s have
        // ended.
        std::erase_if(items, [&](const submission& item) {
            return item.accepted_unix_ms >= day_begin_ms + 7000 ||
                   (item.accepted_unix_ms < day_begin_ms + 6000 && !beyond.contains(item.job));
        });
        std::ranges::reverse(items);
        const std::set<job_id> after = beyond_rate(items, weights);
        const auto still = static_cast<std::size_t>(std::ranges::count_if(
            items, [&](const submission& item) { return beyond.contains(item.job); }));
        cr_assert(after.size() <= still);
        // Those of 3 s of the flood at 1.25 a second, and a burst.
        cr_assert(after.size() + 6 >= still, "%zu of %zu", after.size(), still);
        cr_assert(after.size() >= still / 2);
    }
}

// Guards against an entry VM whose clock jumps and whose workflows then delay those of other VMs by
// more than the jump: at most the workflows that this VM accepted within the jump are misjudged.
Test(submission_rates, bound_what_a_jump_of_a_clock_does) {
    constexpr double weight = 12;
    constexpr double usual = 10;
    constexpr int vms = 4;
    for (const std::int64_t jump_ms : {-3000, -1000, 1000, 2000}) {
        std::vector<submission> items = steady(team, usual, 0, 20000);
        for (std::size_t index = 0; index < items.size(); index += vms) {
            if (items[index].accepted_unix_ms >= day_begin_ms + 8000 &&
                items[index].accepted_unix_ms < day_begin_ms + 14000) {
                items[index].accepted_unix_ms += jump_ms;
            }
        }
        const double accepted_in_jump =
            usual / vms * std::abs(static_cast<double>(jump_ms)) / 1000 + 1;
        const auto misjudged = static_cast<double>(beyond_weight(items, weight).size());
        cr_assert(misjudged <= accepted_in_jump, "%f of %f", misjudged, accepted_in_jump);
    }
}

// Guards against an acceptance time far in the future, by which a team would get the burst of each
// second in advance, or that overflows.
Test(submission_rates, reduce_times_ahead_of_the_owner) {
    submission_rates rates;
    rates.set_weights({{team, 1}});
    constexpr std::int64_t hour_ms = 3'600'000;
    for (int number = 0; number < 10; ++number) {
        rates.add(sent(number, (number + 1) * hour_ms), day_begin_ms);
    }
    cr_assert(rates.evaluate().size() == 9);
    for (const std::int64_t time : {std::numeric_limits<std::int64_t>::min(), std::int64_t{-1},
                                    std::numeric_limits<std::int64_t>::max()}) {
        rates.add({job_id(std::to_string(time)), team, time}, time == -1 ? 0 : day_begin_ms);
    }
    rates.evaluate();
    cr_assert(rates.retained() == 13);
}

// Guards against the clock of the owner that jumps ahead by an hour and back: workflows that are
// accepted afterwards must not count as accepted at one moment.
Test(submission_rates, survive_a_jump_of_the_clock_of_the_owner) {
    constexpr std::int64_t hour_ms = 3'600'000;
    submission_rates rates;
    rates.set_weights({{team, 2}});
    for (int number = 0; number < 100; ++number) {
        const std::int64_t now_ms = number * 1000;
        rates.add(sent(number, now_ms), day_begin_ms + now_ms);
        cr_assert(rates.evaluate().empty());
        rates.prune(day_begin_ms + now_ms + (number == 50 ? hour_ms : 0));
    }
    cr_assert(rates.retained() < 70);
}

// Guards against verdicts that change because older workflows are no longer retained.
Test(submission_rates, do_not_change_by_pruning) {
    const std::vector<submission> items = steady(team, 3, 0, 200000);
    const std::set<job_id> expected = beyond_weight(items, 2);
    submission_rates rates;
    rates.set_weights({{team, 2}});
    std::set<job_id> beyond;
    for (const submission& item : items) {
        rates.add(item, item.accepted_unix_ms);
        for (const rate_verdict& verdict : rates.evaluate()) {
            cr_assert(verdict.beyond);
            beyond.insert(verdict.job);
        }
        rates.prune(item.accepted_unix_ms);
    }
    cr_assert(beyond == expected);
    cr_assert(rates.retained() < 190);
}

// Guards against weights that apply only to later workflows, so that the next owner would judge the
// same workflows differently, and against a bucket that stays empty long after a small weight.
Test(submission_rates, judge_by_the_weights_in_force) {
    const std::vector<submission> items = steady(team, 10, 0, 4000);
    submission_rates rates;
    rates.set_weights({{team, 0.001}});
    for (const submission& item : items) {
        rates.add(item, 0);
    }
    cr_assert(rates.evaluate().size() == items.size() - 1);
    rates.set_weights({{team, 4}});
    std::size_t within = 0;
    for (const rate_verdict& verdict : rates.evaluate()) {
        cr_assert(!verdict.beyond);
        ++within;
    }
    cr_assert(within + 1 == items.size() - beyond_weight(items, 4).size());

    rates.set_weights({{team, 0.001}});
    rates.evaluate();
    rates.add(sent(1000, 300000), 0);
    rates.evaluate();
    rates.prune(day_begin_ms + 300000);
    rates.set_weights({{team, 4}});
    rates.add(sent(1001, 301000), 0);
    rates.evaluate();
    cr_assert(!rates.is_beyond(team, sent(1001, 0).job));
}

// Guards against bad weights: each counts as 1 or as a bound, and nothing divides by zero.
Test(submission_rates, replace_bad_weights) {
    const std::vector<submission> items = steady(team, 4, 0, 3000);
    const std::set<job_id> expected = beyond_weight(items, 1);
    cr_assert(!expected.empty());
    for (const double weight : {0.0, -3.0, std::numeric_limits<double>::quiet_NaN(),
                                -std::numeric_limits<double>::infinity()}) {
        cr_assert(beyond_weight(items, weight) == expected);
    }
    cr_assert(beyond_rate(items, {}) == expected);
    cr_assert(beyond_weight(items, std::numeric_limits<double>::infinity()).empty());
    cr_assert(beyond_weight(items, 1e300).empty());
    cr_assert(beyond_weight(items, std::numeric_limits<double>::denorm_min()).size() ==
              items.size() - 1);
}
