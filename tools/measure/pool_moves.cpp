// VM moves that follow changes of the demand, against the fewest that the changes need. Baseline:
// every pool whose demand changed is built again from scratch.
#include "measure/measure.h"
#include "measure/pool_firms.h"

namespace citronford {
namespace {

/// Changes of `wanted` of the five services, applied one after another.
constexpr std::int64_t demand_changes[][5] = {
    {2, -2, 0, 0, 0}, {0, 1, -2, 1, 0}, {-3, 0, 2, 0, 1}, {1, 1, 1, -1, -2}, {0, 0, -1, 0, 1},
};

/// VMs that `pool` lacks; each takes one move.
std::int64_t missing(const firm_model& fleet, const pool_definition& pool) {
    const auto members = std::ranges::count_if(
        fleet.model.vms, [&](const auto& item) { return item.second.row.pool == pool.name; });
    return std::max<std::int64_t>(0, pool.wanted - members);
}

std::vector<measurement> run() {
    std::vector<measurement> figures;
    constexpr double bound = 1.1;
    for (const pool_firm& firm : pool_firms()) {
        firm_model fleet(firm);
        double fewest = 0;
        double rebuilt = 0;
        for (const auto& change : demand_changes) {
            // The first pool is the spare.
            auto pool = std::next(fleet.model.fleet.defaults.pools.begin());
            for (const std::int64_t difference : change) {
                rebuilt += difference == 0 ? 0 : static_cast<double>(pool->wanted);
                pool->wanted += difference;
                fewest += static_cast<double>(missing(fleet, *pool++));
            }
            fleet.model.configure();
            fleet.run(seconds(1200));
        }
        figures.push_back({firm.name + "_move_ratio", static_cast<double>(fleet.moves) / fewest,
                           rebuilt / fewest, bound});
        figures.push_back(
            {firm.name + "_demand_unmet",
             static_cast<double>(std::ranges::count_if(fleet.model.fleet.defaults.pools,
                                                       [&](const pool_definition& pool) {
                                                           return fleet.serving(pool.name) <
                                                                  pool.wanted;
                                                       })),
             0, 0});
    }
    return figures;
}

const measure_registration moves("pool_moves", run);

} // namespace
} // namespace citronford
