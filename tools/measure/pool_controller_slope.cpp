// Cost of a round of decisions over all pools at ten times the VMs, by VM rows visited. A fixed
// cost per VM gives 10; baseline: a cost that grows with the square.
#include "measure/measure.h"
#include "measure/pool_round.h"

namespace citronford {
namespace {

double rows_per_round(int vms, int pools) {
    constexpr int rounds = 40;
    pool_round fleet(vms, pools);
    const std::uint64_t before = fleet.operations();
    for (int round = 0; round < rounds; ++round) {
        fleet.advance();
    }
    return static_cast<double>(fleet.operations() - before) / rounds;
}

std::vector<measurement> run() {
    constexpr double bound = 12;
    return {
        {"pool_controller_slope", rows_per_round(3400, 179) / rows_per_round(340, 18), 100, bound}};
}

const measure_registration slope("pool_controller_slope", run);

} // namespace
} // namespace citronford
