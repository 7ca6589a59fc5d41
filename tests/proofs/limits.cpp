// Work of a team that runs on all nodes, lost ones included, stays within the limit in force.
#include "proofs/control_faults.h"

namespace citronford {
namespace {

constexpr duration backend_lease = seconds(8);

struct running_work {
    team_id team;
    std::size_t node = 0;
    team_limits* limits = nullptr; ///< Of the process that started the work.
    instant ends;
    instant renewed;
};

/// The highest limit of `team` that may still be in force.
std::int64_t limit_in_force(const control_world& world, configuration_version told,
                            const team_id& team) {
    std::int64_t limit = 0;
    for (const fleet_configuration& fleet : world.versions) {
        if (fleet.version >= told) {
            limit = std::max(limit, find_team(fleet, team.view())->limit);
        }
    }
    return limit;
}

/// Cuts one zone off from all others and from the platform for long stretches, so that a longer
/// lease of its nodes decides whether their units are given to others too early.
class long_cut {
  public:
    explicit long_cut(control_world& world) : world_(world) {}

    void step() {
        if (world_.now >= until_ && world_.chance() < 0.01) {
            zone_ = world_.below(world_.cut.size());
            until_ = world_.now + seconds(10 + world_.below(30));
        }
        const bool active = world_.now < until_;
        if (active || was_active_) {
            set(active);
        }
        was_active_ = active;
    }

  private:
    void set(bool value) {
        for (std::size_t other = 0; other < world_.cut.size(); ++other) {
            world_.cut[zone_][other] = value && other != zone_;
            world_.cut[other][zone_] = value && other != zone_;
        }
        world_.platform_cut[zone_] = value;
    }

    control_world& world_;
    std::size_t zone_ = 0;
    instant until_;
    bool was_active_ = false;
};

proof_result prove_limits(std::uint64_t seed) {
    control_world world(seed, 2 + seed % 2, 3 + seed % 3, first_fleet());
    proof_result result;
    configuration_version told = 0;
    std::vector<running_work> work;
    const team_id teams[] = {team_id("a"), team_id("b")};
    std::vector<double> demand(world.nodes.size(), 0.5);
    world.on_answer = [&](std::size_t /*node*/, const answer_change& answer) {
        const bool pending = std::ranges::any_of(
            answer.zones, [](const zone_progress& zone) { return !zone.pending.empty(); });
        if (answer.status.ok() && !pending) {
            told = std::max(told, answer.version);
        }
    };
    const auto serving = [&](const running_work& item) {
        const modelled_node& node = *world.nodes[item.node];
        return node.up && !node.paused && &node.limits == item.limits;
    };
    world.on_tick = [&](std::size_t index) {
        modelled_node& node = *world.nodes[index];
        std::map<team_id, std::int64_t> renewed;
        for (running_work& item : work) {
            if (item.node == index && serving(item) &&
                renewed[item.team] < node.limits.renewable(item.team)) {
                ++renewed[item.team];
                item.renewed = world.now;
            }
        }
        for (int attempt = 0; attempt < 6; ++attempt) {
            const team_id& team = teams[world.below(2)];
            if (world.chance() < demand[index] && node.limits.acquire(team)) {
                const duration span = milliseconds(200 + world.below(20000));
                work.push_back({team, index, &node.limits, world.now + span, world.now});
            }
        }
    };
    long_cut cut(world);
    run_with_faults(world, seconds(90), [&] {
        if (seed % 2 == 0) {
            cut.step();
        }
        if (world.chance() < 0.02) {
            demand[world.below(demand.size())] = world.chance() < 0.5 ? 0 : world.chance();
        }
        if (world.chance() < 0.01) {
            fleet_defaults defaults = world.versions.back().defaults;
            defaults.teams[world.below(2)].limit = static_cast<std::int64_t>(world.below(40));
            world.change(world.below(world.nodes.size()), set_defaults{defaults});
        }
        if (world.chance() < 0.005) {
            const std::string zone = "z" + std::to_string(world.below(2));
            const std::int64_t limit_ms = 3000 + static_cast<std::int64_t>(world.below(20000));
            const exception_rule longer{exception_id(zone), "zone/" + zone,
                                        "key_confirmation_limit_ms", std::to_string(limit_ms),
                                        "network work"};
            world.change(world.below(world.nodes.size()), add_exception{longer});
        }
        std::erase_if(work, [&](const running_work& item) {
            const bool ended = world.now >= item.ends || world.now > item.renewed + backend_lease;
            if (ended && serving(item)) {
                item.limits->release(item.team);
            }
            return ended && (serving(item) || !world.nodes[item.node]->paused ||
                             &world.nodes[item.node]->limits != item.limits);
        });
        for (const team_id& team : teams) {
            const auto running = std::ranges::count_if(work, [&](const running_work& item) {
                return item.team == team && world.now < item.ends &&
                       world.now <= item.renewed + backend_lease;
            });
            if (running > limit_in_force(world, told, team)) {
                ++result.violations;
                result.detail = "team " + team.str() + " runs " + std::to_string(running);
            }
        }
    });
    result.steps = world.steps;
    return result;
}

const proof_registration registration("limits", prove_limits);

} // namespace
} // namespace citronford
