// Capacity that the services keep while a zone leaves and returns, against what the VMs that remain
// could give, and the moves that this takes. Baseline: no VM is borrowed.
#include "measure/measure.h"
#include "measure/pool_firms.h"

namespace citronford {
namespace {

struct kept_capacity {
    double given = 0;
    double possible = 0;
    double without_loans = 0;
};

/// Services by what they own outside of removed zones, wherever the VMs are now.
std::int64_t owned(const firm_model& fleet, const pool_id& pool) {
    return std::ranges::count_if(fleet.model.vms, [&](const auto& item) {
        const vm_record& row = item.second.row;
        return (row.home.empty() ? row.pool : row.home) == pool &&
               !zone_removed(fleet.model.fleet, row.zone);
    });
}

void add_instant(const firm_model& fleet, kept_capacity& kept) {
    std::int64_t given = 0;
    std::int64_t own = 0;
    std::int64_t wanted = 0;
    for (const pool_definition& pool : fleet.model.fleet.defaults.pools) {
        given += std::min(pool.wanted, fleet.serving(pool.name));
        own += std::min(pool.wanted, owned(fleet, pool.name));
        wanted += pool.wanted;
    }
    kept.given += static_cast<double>(given);
    kept.without_loans += static_cast<double>(own);
    kept.possible +=
        static_cast<double>(std::min(wanted, own + owned(fleet, pool_id(fleet.spare))));
}

std::vector<measurement> run() {
    std::vector<measurement> figures;
    constexpr double capacity_bound = 0.95;
    constexpr double move_bound = 1.1;
    constexpr int seconds_out = 1800;
    constexpr int seconds_after = 600;
    for (const pool_firm& firm : pool_firms()) {
        firm_model fleet(firm);
        kept_capacity kept;
        fleet.remove_zone("a");
        // Each VM of the spare pool in the zones that remain is lent and given back once.
        const auto fewest = 2 * static_cast<double>(owned(fleet, pool_id(fleet.spare)));
        for (int second = 0; second < seconds_out + seconds_after; ++second) {
            if (second == seconds_out) {
                fleet.restore_zones();
            }
            fleet.run(seconds(1));
            add_instant(fleet, kept);
        }
        figures.push_back({firm.name + "_zone_outage_capacity", kept.given / kept.possible,
                           kept.without_loans / kept.possible, capacity_bound,
                           measurement::direction::at_least});
        figures.push_back({firm.name + "_zone_outage_move_ratio",
                           static_cast<double>(fleet.moves) / fewest, 0, move_bound});
        figures.push_back(
            {firm.name + "_zone_outage_not_given_back", fleet.settled() ? 0.0 : 1.0, 0, 0});
    }
    return figures;
}

const measure_registration zone_outage("pool_zone_outage", run);

} // namespace
} // namespace citronford
