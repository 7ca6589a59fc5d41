// Time of a roll-out over all pools of a firm against (VMs / budget) x reboot time of the largest
// pool, undisturbed and with a zone removal in the middle. The removal stops all further steps, so
// its length is added to the bound, less the reboots that are under way and end meanwhile.
#include "measure/measure.h"
#include "measure/pool_firms.h"

namespace citronford {
namespace {

constexpr duration removal_begins = seconds(200);
constexpr duration removal_lasts = seconds(300);
constexpr duration longest = seconds(36000);

double in_seconds(duration span) {
    return static_cast<double>(to_ms(span)) / 1000;
}

/// The physical bound: every VM out of service once, as many at a time as the budget allows.
double shortest_roll_out(const pool_firm& firm) {
    int largest = firm.spare.second;
    for (const auto& [name, size] : firm.services) {
        largest = std::max(largest, size);
    }
    return largest / static_cast<double>(firm_budget) * in_seconds(firm_reboot);
}

double one_at_a_time(const pool_firm& firm) {
    int vms = firm.spare.second;
    for (const auto& [name, size] : firm.services) {
        vms += size;
    }
    return vms * in_seconds(firm_reboot);
}

double roll_out_seconds(firm_model& fleet, bool with_removal) {
    for (const pool_definition& pool : fleet.model.fleet.defaults.pools) {
        fleet.model.maintain(pool.name);
    }
    const instant begun = fleet.model.timers.now();
    if (with_removal) {
        fleet.run(removal_begins);
        fleet.remove_zone("b");
        fleet.run(removal_lasts);
        fleet.restore_zones();
    }
    while (!fleet.rolled_out() && fleet.model.timers.now() - begun < longest) {
        fleet.run(milliseconds(200));
    }
    return in_seconds(fleet.model.timers.now() - begun);
}

std::vector<measurement> run() {
    std::vector<measurement> figures;
    constexpr double bound = 1.2;
    for (const pool_firm& firm : pool_firms()) {
        for (const bool with_removal : {false, true}) {
            firm_model fleet(firm);
            const double outage =
                with_removal ? in_seconds(removal_lasts) - in_seconds(firm_reboot) : 0;
            const double shortest = shortest_roll_out(firm) + outage;
            const double taken = roll_out_seconds(fleet, with_removal);
            const std::string name =
                firm.name + (with_removal ? "_roll_out_with_zone_removal" : "_roll_out");
            figures.push_back({name + "_time_ratio", taken / shortest,
                               (one_at_a_time(firm) + outage) / shortest, bound});
            figures.push_back(
                {name + "_budget_breaches", static_cast<double>(fleet.breaches), 0, 0});
        }
    }
    return figures;
}

const measure_registration roll_out("pool_roll_out", run);

} // namespace
} // namespace citronford
