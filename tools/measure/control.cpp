// Configuration changes, division of limits and table writes of the control decisions.
#include "measure/measure.h"
#include "proofs/control_world.h"

#include <algorithm>
#include <string>

namespace citronford {
namespace {

constexpr std::uint64_t seed = 20261204;

fleet_configuration fleet_of(std::size_t teams, std::int64_t limit) {
    fleet_configuration fleet;
    fleet.version = 1;
    for (std::size_t index = 0; index < teams; ++index) {
        fleet.defaults.teams.push_back({team_id("t" + std::to_string(index)), 1, limit});
    }
    return fleet;
}

/// Virtual milliseconds until an operator is told that a change is in force everywhere.
double in_force_ms(std::size_t zones, std::size_t nodes, bool cut, bool push) {
    control_world world(seed, zones, nodes, fleet_of(6, 64));
    world.run(seconds(6));
    world.faults.updates_lost = !push;
    if (cut) {
        world.platform_cut[zones - 1] = true;
        for (std::size_t zone = 0; zone + 1 < zones; ++zone) {
            world.cut[zone][zones - 1] = true;
            world.cut[zones - 1][zone] = true;
        }
    }
    double told_ms = -1;
    const instant asked = world.now;
    world.on_answer = [&](std::size_t /*node*/, const answer_change& answer) {
        const bool pending = std::ranges::any_of(
            answer.zones, [](const zone_progress& zone) { return !zone.pending.empty(); });
        if (answer.status.ok() && !pending) {
            told_ms = static_cast<double>((world.now - asked).count()) / 1000;
        }
    };
    world.change(0, remove_zone{{zone_id("z1"), "measurement"}});
    world.run(seconds(10));
    constexpr double not_told = 1e9;
    return told_ms < 0 ? not_told : told_ms;
}

std::vector<measurement> measure_changes() {
    constexpr double bound = 4000;
    std::vector<measurement> figures;
    for (const auto& [zones, nodes] : {std::pair{3, 9}, std::pair{10, 40}}) {
        for (const bool cut : {false, true}) {
            const auto z = static_cast<std::size_t>(zones);
            const auto n = static_cast<std::size_t>(nodes);
            figures.push_back({"change_in_force_ms_" + std::to_string(nodes) + "_nodes" +
                                   (cut ? "_zone_cut" : ""),
                               in_force_ms(z, n, cut, true), in_force_ms(z, n, cut, false), bound,
                               measurement::direction::at_most});
        }
    }
    return figures;
}

/// Part of a limit that one of nine nodes runs one second after all demand moved to it.
std::vector<measurement> measure_usable_share() {
    constexpr std::int64_t limit = 64;
    control_world world(seed, 3, 9, fleet_of(1, limit));
    world.run(seconds(6));
    const team_id team("t0");
    world.on_tick = [&](std::size_t index) {
        while (index == 0 && world.nodes[0]->limits.acquire(team)) {
        }
    };
    world.run(seconds(1));
    const auto share = [&](std::int64_t units) { return static_cast<double>(units) / limit; };
    return {{"limit_usable_on_one_node_of_9", share(world.nodes[0]->limits.running(team)),
             share(limit / 9), 0.95, measurement::direction::at_least}};
}

/// Table writes per second of registration and escrow at the planned size, with demand that moves
/// between nodes; the baseline writes the table once per start.
std::vector<measurement> measure_writes() {
    constexpr std::size_t nodes = 40;
    constexpr std::size_t teams = 55;
    constexpr int span_s = 20;
    control_world world(seed, 10, nodes, fleet_of(teams, 400));
    world.run(seconds(20));
    std::uint64_t starts = 0;
    std::vector<std::pair<instant, std::pair<team_limits*, team_id>>> running;
    world.on_tick = [&](std::size_t index) {
        std::erase_if(running, [&](const auto& item) {
            const bool ended = item.first <= world.now;
            if (ended) {
                item.second.first->release(item.second.second);
            }
            return ended;
        });
        // Each team's demand is on a tenth of the nodes and moves every five seconds.
        const auto phase = static_cast<std::size_t>(world.now.time_since_epoch() / seconds(5));
        for (std::size_t number = 0; number < teams; ++number) {
            const team_id team("t" + std::to_string(number));
            team_limits& limits = world.nodes[index]->limits;
            for (int count = 0; (index + number + phase) % 10 == 0 && count < 4; ++count) {
                if (limits.acquire(team)) {
                    ++starts;
                    running.push_back({world.now + milliseconds(500), {&limits, team}});
                }
            }
        }
    };
    const std::uint64_t before = world.table_writes;
    world.run(seconds(span_s));
    return {{"control_table_writes_per_second",
             static_cast<double>(world.table_writes - before) / span_s,
             static_cast<double>(starts) / span_s, 100, measurement::direction::at_most}};
}

const measure_registration changes("change_in_force", measure_changes);
const measure_registration share("limit_usable", measure_usable_share);
const measure_registration writes("control_writes", measure_writes);

} // namespace
} // namespace citronford
