#pragma once

#include "proofs/control_world.h"
#include "proofs/proof.h"

namespace citronford {

/// The fleet at the start of a control proof: two teams with a limit of 20 and a key each.
inline fleet_configuration first_fleet() {
    fleet_configuration fleet;
    fleet.version = 1;
    for (const char* name : {"a", "b"}) {
        fleet.defaults.teams.push_back({team_id(name), 1, 20});
        fleet.keys.push_back({key_id(name), key_digest(name), team_id(name)});
    }
    return fleet;
}

/// Changes one fault of the world at random: partitions, outages, lost and late messages, paused,
/// lost and replaced nodes.
inline void change_faults(control_world& world) {
    const std::size_t zones = world.cut.size();
    const std::size_t node = world.below(world.nodes.size());
    switch (world.below(9)) {
    case 0:
        world.cut[world.below(zones)][world.below(zones)] = true;
        break;
    case 1:
        for (auto& row : world.cut) {
            row.assign(zones, false);
        }
        break;
    case 2: {
        const std::size_t zone = world.below(zones);
        world.platform_cut[zone] = !world.platform_cut[zone];
        break;
    }
    case 3:
        world.platform_cut.assign(zones, false);
        world.faults = {};
        break;
    case 4:
        world.faults.table_out = world.chance() < 0.5;
        break;
    case 5:
        world.faults.table_delay = milliseconds(world.below(800));
        world.faults.lost_replies = world.chance() * 0.5;
        break;
    case 6:
        world.faults.lost_messages = world.chance() * 0.3;
        world.faults.late_messages = world.chance() * 0.3;
        break;
    case 7:
        world.pause(node, !world.nodes[node]->paused);
        break;
    default:
        if (world.nodes[node]->up) {
            world.end_process(node, world.chance() < 0.5);
        } else {
            world.restart(node);
        }
        break;
    }
}

/// Runs `world` for `span`, changing faults now and then; calls `step` every 50 ms.
inline void run_with_faults(control_world& world, duration span,
                            const std::function<void()>& step) {
    constexpr duration step_span = milliseconds(50);
    const instant end = world.now + span;
    world.run(seconds(3));
    while (world.now < end) {
        if (world.chance() < 0.03) {
            change_faults(world);
        }
        step();
        world.run(step_span);
    }
}

} // namespace citronford
