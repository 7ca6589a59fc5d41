#include "test_support.h"

#include "citronford/fair_shares.h"
#include "citronford/instant.h"
#include "citronford/team_weight.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <numeric>
#include <rapidcheck.h>
#include <string>
#include <tuple>
#include <vector>

// The load that this decision addresses: one of twenty teams sends five to seven times its usual
// work for 7 s while the pools are full.

using namespace citronford;

namespace {

constexpr std::int64_t cores = 1000; ///< In millicores.

std::int64_t wanted(const team_demand& demand) {
    const std::int64_t sum = std::max<std::int64_t>(demand.used_millicores, 0) +
                             std::max<std::int64_t>(demand.waiting_millicores, 0);
    return demand.limit_millicores > 0 ? std::min(sum, demand.limit_millicores) : sum;
}

std::vector<team_demand> random_demands() {
    std::vector<team_demand> demands;
    const int teams = *rc::gen::inRange(0, 25);
    for (int number = 0; number < teams; ++number) {
        demands.push_back({team_id("t" + std::to_string(number)),
                           *rc::gen::element(0.0, -1.0, 1.0, 2.0, 7.5, 1e-9, 1e12,
                                             std::numeric_limits<double>::quiet_NaN(),
                                             std::numeric_limits<double>::infinity()),
                           *rc::gen::inRange<std::int64_t>(-10, 100000),
                           *rc::gen::inRange<std::int64_t>(-10, 100000),
                           *rc::gen::element<std::int64_t>(-5, 0, 0, 1, 20000)});
    }
    return demands;
}

std::map<team_id, double> parts_of(const std::vector<team_demand>& demands, std::int64_t capacity) {
    std::map<team_id, double> parts;
    for (const team_part& share : divide_fairly(demands, capacity)) {
        parts.emplace(share.team, share.part_millicores);
    }
    return parts;
}

/// A fleet of 1,000 cores with tasks of 3.1 cores and 0.64 s, as the urgent queues of deployment A
/// have. Tasks are placed as the dispatcher does: those of teams over their share last, else the
/// earliest first.
class simulated_fleet {
  public:
    static constexpr std::int64_t capacity = 1000 * cores;
    static constexpr std::int64_t task_size = 3100;
    static constexpr duration task_time = milliseconds(640);
    static constexpr duration tick_time = milliseconds(20);

    struct waiting_task {
        instant arrived_at{};
        std::int64_t ahead = 0; ///< Of its team, as of the last division.
    };

    struct team_state {
        double weight = 1;
        double tasks_per_s = 0;
        double owed = 0; ///< Tasks that arrive, with a fraction of the next.
        std::deque<waiting_task> waiting;
        std::int64_t used = 0;
        std::int64_t done = 0;
        std::int64_t done_in_time = 0; ///< Within twice their run time.
        team_part division;
    };

    explicit simulated_fleet(std::size_t teams, bool fair) : teams_(teams), fair_(fair) {}

    team_state& team(std::size_t number) { return teams_[number]; }

    void submit(std::size_t number, std::size_t tasks) {
        const auto ahead = static_cast<std::int64_t>(teams_[number].waiting.size()) * task_size;
        teams_[number].waiting.insert(teams_[number].waiting.end(), tasks, {now_, ahead});
    }

    void run(duration time) {
        for (const instant end = now_ + time; now_ < end; now_ += tick_time) {
            end_tasks();
            arrive();
            if (ticks_++ % 5 == 0) {
                divide();
            }
            place();
        }
    }

  private:
    struct task {
        instant ends_at{};
        instant arrived_at{};
        std::size_t team = 0;
    };

    void end_tasks() {
        while (!running_.empty() && running_.front().ends_at <= now_) {
            const task& item = running_.front();
            team_state& owner = teams_[item.team];
            owner.used -= task_size;
            ++owner.done;
            owner.done_in_time += now_ - item.arrived_at <= 2 * task_time ? 1 : 0;
            free_ += task_size;
            running_.pop_front();
        }
    }

    void arrive() {
        for (std::size_t number = 0; number < teams_.size(); ++number) {
            team_state& sender = teams_[number];
            sender.owed += sender.tasks_per_s * std::chrono::duration<double>(tick_time).count();
            const double whole = std::floor(sender.owed);
            sender.owed -= whole;
            submit(number, static_cast<std::size_t>(whole));
        }
    }

    void divide() {
        std::vector<team_demand> demands;
        for (std::size_t number = 0; number < teams_.size(); ++number) {
            const team_state& item = teams_[number];
            demands.push_back({team_id(std::to_string(number)), item.weight, item.used,
                               static_cast<std::int64_t>(item.waiting.size()) * task_size, 0});
        }
        const std::vector<team_part> shares = divide_fairly(demands, capacity);
        for (std::size_t number = 0; number < teams_.size(); ++number) {
            team_state& item = teams_[number];
            item.division = shares[number];
            for (std::size_t place = 0; place < item.waiting.size(); ++place) {
                item.waiting[place].ahead = static_cast<std::int64_t>(place) * task_size;
            }
        }
    }

    void place() {
        std::vector<std::tuple<bool, instant, std::size_t>> order;
        for (std::size_t number = 0; number < teams_.size(); ++number) {
            const team_state& item = teams_[number];
            for (const waiting_task& task : item.waiting) {
                const bool over = fair_ && exceeds_part(item.division, item.used, task.ahead);
                order.emplace_back(over, task.arrived_at, number);
            }
        }
        std::ranges::sort(order);
        for (const auto& [over, arrived, number] : order) {
            if (free_ < task_size) {
                return;
            }
            free_ -= task_size;
            teams_[number].used += task_size;
            teams_[number].waiting.pop_front();
            running_.push_back({now_ + task_time, arrived, number});
        }
    }

    std::vector<team_state> teams_;
    bool fair_ = false;
    std::deque<task> running_;
    std::int64_t free_ = capacity;
    std::int64_t ticks_ = 0;
    instant now_{seconds(10)};
};

/// Twenty teams that together ask for 95% of the fleet, of which the first sends `factor` times its
/// usual work for 7 s; figures of the teams during the flood and the second after it.
std::vector<simulated_fleet::team_state> flooded(double factor, bool fair) {
    constexpr std::size_t teams = 20;
    constexpr double usual_cores = 0.95 * 1000 / teams;
    constexpr double usual_tasks_per_s = usual_cores / 3.1 / 0.64;
    simulated_fleet fleet(teams, fair);
    for (std::size_t number = 0; number < teams; ++number) {
        fleet.team(number).tasks_per_s = usual_tasks_per_s;
        fleet.team(number).owed = static_cast<double>(number) / teams;
    }
    fleet.run(seconds(3));
    for (std::size_t number = 0; number < teams; ++number) {
        fleet.team(number).done = 0;
        fleet.team(number).done_in_time = 0;
    }
    fleet.team(0).tasks_per_s = factor * usual_tasks_per_s;
    fleet.run(seconds(7));
    fleet.team(0).tasks_per_s = usual_tasks_per_s;
    fleet.run(seconds(1));
    std::vector<simulated_fleet::team_state> figures;
    for (std::size_t number = 0; number < teams; ++number) {
        figures.push_back(fleet.team(number));
    }
    return figures;
}

/// The least that a team other than the first gets with the flood, as a share of what it gets
/// without it.
double worst_share(double factor, bool fair) {
    const auto without = flooded(1, fair);
    const auto with = flooded(factor, fair);
    double worst = 1;
    for (std::size_t number = 1; number < with.size(); ++number) {
        const auto share = [&](auto member) {
            return static_cast<double>(with[number].*member) /
                   static_cast<double>(without[number].*member);
        };
        worst = std::min({worst, share(&simulated_fleet::team_state::done),
                          share(&simulated_fleet::team_state::done_in_time)});
    }
    return worst;
}

} // namespace

// Guards against parts that exceed the fleet, a demand or a limit, and against cores that nobody
// gets although some team asks for them.
Test(fair_shares, divide_all_cores_that_are_asked_for) {
    cr_assert(rc::check([] {
        const std::vector<team_demand> demands = random_demands();
        const auto capacity = *rc::gen::inRange<std::int64_t>(-10, 600000);
        double sum = 0;
        double asked = 0;
        const std::vector<team_part> shares = divide_fairly(demands, capacity);
        RC_ASSERT(shares.size() == demands.size());
        for (std::size_t index = 0; index < demands.size(); ++index) {
            const auto most = static_cast<double>(wanted(demands[index]));
            RC_ASSERT(shares[index].team == demands[index].team);
            RC_ASSERT(shares[index].part_millicores >= 0);
            RC_ASSERT(shares[index].part_millicores <= most);
            sum += shares[index].part_millicores;
            asked += most;
        }
        const auto expected = std::min(asked, std::max(static_cast<double>(capacity), 0.0));
        RC_ASSERT(std::abs(sum - expected) < 0.5);
    }));
}

// Guards against a division that is not max-min fair: a team that gets less than it asks for must
// get at least as much for its weight as any other team.
Test(fair_shares, serve_the_least_served_first) {
    cr_assert(rc::check([] {
        const std::vector<team_demand> demands = random_demands();
        const auto capacity = *rc::gen::inRange<std::int64_t>(0, 600000);
        const std::vector<team_part> shares = divide_fairly(demands, capacity);
        for (std::size_t low = 0; low < demands.size(); ++low) {
            if (shares[low].part_millicores + 1 > static_cast<double>(wanted(demands[low]))) {
                continue;
            }
            const double low_rate =
                shares[low].part_millicores / effective_weight(demands[low].weight);
            for (std::size_t other = 0; other < demands.size(); ++other) {
                const double weight = effective_weight(demands[other].weight);
                RC_ASSERT(shares[other].part_millicores <= low_rate * weight * (1 + 1e-6) + 1e-3);
            }
        }
    }));
}

// Guards against parts that depend on the order of the teams, by which two owners would differ.
Test(fair_shares, do_not_depend_on_the_order_of_teams) {
    cr_assert(rc::check([] {
        const std::vector<team_demand> demands = random_demands();
        const auto capacity = *rc::gen::inRange<std::int64_t>(0, 600000);
        std::vector<team_demand> reversed(demands.rbegin(), demands.rend());
        RC_ASSERT(parts_of(demands, capacity) == parts_of(reversed, capacity));
        std::ranges::rotate(reversed,
                            reversed.begin() + static_cast<std::ptrdiff_t>(reversed.size() / 3));
        RC_ASSERT(parts_of(demands, capacity) == parts_of(reversed, capacity));
    }));
}

// Guards against a team that is held back though nobody else waits for its share, and against all
// teams being held back at once.
Test(fair_shares, hold_back_only_in_favour_of_another_team) {
    cr_assert(rc::check([] {
        const std::vector<team_demand> demands = random_demands();
        const std::vector<team_part> shares =
            divide_fairly(demands, *rc::gen::inRange<std::int64_t>(0, 600000));
        for (std::size_t index = 0; index < demands.size(); ++index) {
            if (exceeds_share(shares[index], demands[index].used_millicores)) {
                const bool other_waits = std::ranges::any_of(shares, [&](const team_part& other) {
                    return other.waits_below_part && other.team != shares[index].team;
                });
                RC_ASSERT(other_waits);
                RC_ASSERT(!shares[index].waits_below_part);
            }
        }
    }));
}

// Guards against weights or limits that are ignored: 100 cores between weights 1, 3 and 6, of which
// the last may use 20.
Test(fair_shares, follow_weights_and_limits) {
    const std::vector<team_demand> demands = {{team_id("a"), 1, 0, 900 * cores, 0},
                                              {team_id("b"), 3, 0, 900 * cores, 0},
                                              {team_id("c"), 6, 0, 900 * cores, 20 * cores}};
    const auto parts = parts_of(demands, 100 * cores);
    cr_assert(std::abs(parts.at(team_id("a")) - 20000) < 1);
    cr_assert(std::abs(parts.at(team_id("b")) - 60000) < 1);
    cr_assert(std::abs(parts.at(team_id("c")) - 20000) < 1);
}

// Guards against a team above a limit that was lowered: it is over its share while others wait.
Test(fair_shares, hold_back_a_team_above_its_lowered_limit) {
    const std::vector<team_demand> demands = {{team_id("a"), 1, 40 * cores, 10 * cores, 30 * cores},
                                              {team_id("b"), 1, 60 * cores, 40 * cores, 0}};
    const auto shares = divide_fairly(demands, 100 * cores);
    cr_assert(exceeds_share(shares[0], 40 * cores));
    cr_assert(!exceeds_share(shares[1], 60 * cores));
}

// Guards against work of a team below its share that comes after that of a flooding team because it
// arrived after the division: the team may use what its weight entitles it to.
Test(fair_shares, allow_a_team_more_than_it_asked_for_at_the_division) {
    const std::vector<team_demand> demands = {{team_id("a"), 1, 60 * cores, 90 * cores, 0},
                                              {team_id("b"), 1, 30 * cores, 5 * cores, 0},
                                              {team_id("c"), 1, 10 * cores, 2 * cores, 20 * cores}};
    const auto shares = divide_fairly(demands, 100 * cores);
    cr_assert(std::abs(shares[0].part_millicores - 53 * cores) < 1);
    cr_assert(std::abs(shares[0].entitled_millicores - 53 * cores) < 1);
    cr_assert(exceeds_share(shares[0], 60 * cores));
    cr_assert(exceeds_part(shares[0], 40 * cores, 14 * cores));
    cr_assert(std::abs(shares[1].part_millicores - 35 * cores) < 1);
    cr_assert(!exceeds_part(shares[1], 35 * cores, 5 * cores));
    cr_assert(!exceeds_share(shares[1], 50 * cores));
    // Within its limit only.
    cr_assert(!exceeds_part(shares[2], 19 * cores, 0));
    cr_assert(exceeds_part(shares[2], 20 * cores, 0));
}

// Guards against a flood that other teams pay for, the load named above: each other team must get
// 90% of what it gets without the flood, done and done in time. Without shares it gets less, which
// shows that the load is one that matters.
Test(fair_shares, keep_what_others_get_during_a_flood) {
    for (const double factor : {5.0, 6.0, 7.0}) {
        const double fair = worst_share(factor, true);
        const double unfair = worst_share(factor, false);
        cr_assert(fair >= 0.9, "factor %f: %f", factor, fair);
        cr_assert(unfair < 0.9, "factor %f: %f", factor, unfair);
    }
}

// Guards against a share that is lent and kept: a team alone gets the whole fleet, and the part of
// another comes back within the longest task, a division and a tick.
Test(fair_shares, lend_what_is_unused_and_return_it) {
    simulated_fleet fleet(2, true);
    fleet.submit(0, 10000);
    fleet.run(seconds(2));
    cr_assert(fleet.team(0).used > simulated_fleet::capacity - simulated_fleet::task_size);
    fleet.submit(1, 10000);
    fleet.run(simulated_fleet::task_time + milliseconds(120));
    constexpr std::int64_t part = simulated_fleet::capacity / 2;
    // Each team can exceed its part by one task.
    cr_assert(fleet.team(1).used >= part - 2 * simulated_fleet::task_size);
    fleet.run(seconds(3));
    cr_assert(std::abs(fleet.team(1).used - part) <= part / 20);
    cr_assert(std::abs(fleet.team(0).used - part) <= part / 20);
}

// Guards against weights that change during a burst and have no effect on work that waits already.
Test(fair_shares, follow_weights_that_change_during_a_burst) {
    simulated_fleet fleet(2, true);
    fleet.submit(0, 20000);
    fleet.submit(1, 20000);
    fleet.run(seconds(3));
    fleet.team(0).weight = 3;
    fleet.run(simulated_fleet::task_time + milliseconds(120));
    constexpr std::int64_t part = simulated_fleet::capacity * 3 / 4;
    cr_assert(std::abs(fleet.team(0).used - part) <= part / 20, "%ld", fleet.team(0).used);
    fleet.team(0).weight = std::numeric_limits<double>::quiet_NaN();
    fleet.run(simulated_fleet::task_time + milliseconds(120));
    constexpr std::int64_t half = simulated_fleet::capacity / 2;
    cr_assert(std::abs(fleet.team(0).used - half) <= half / 20, "%ld", fleet.team(0).used);
}
