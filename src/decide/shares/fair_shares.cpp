#include "citronford/fair_shares.h"

#include "citronford/team_weight.h"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <numeric>
#include <tuple>

namespace citronford {
namespace {

/// Differences below one millicore are rounding errors of the division.
constexpr double tolerance_millicores = 1;

/// A demand as the division sees it.
struct weighted_demand {
    double millicores = 0;
    double weight = 1;

    [[nodiscard]] double per_weight() const { return millicores / weight; }
};

weighted_demand weighted(const team_demand& demand) {
    const double used = static_cast<double>(std::max<std::int64_t>(demand.used_millicores, 0));
    const double waiting =
        static_cast<double>(std::max<std::int64_t>(demand.waiting_millicores, 0));
    double wanted = used + waiting;
    if (demand.limit_millicores > 0) {
        wanted = std::min(wanted, static_cast<double>(demand.limit_millicores));
    }
    return {wanted, effective_weight(demand.weight)};
}

struct division {
    std::vector<double> parts;
    /// Millicores for each unit of weight that teams get whose demand is not met.
    double level = std::numeric_limits<double>::infinity();
};

/// Gives each team its demand as long as that is within its part of what is left, beginning with
/// the smallest demand for its weight. `order` holds indices of `demands` in that order.
division fill(std::span<const weighted_demand> demands, std::span<const std::size_t> order,
              double capacity) {
    // Sums from the end, since subtracting weights of very different size would lose the small.
    std::vector<double> weight_from(order.size() + 1);
    for (std::size_t place = order.size(); place-- > 0;) {
        weight_from[place] = weight_from[place + 1] + demands[order[place]].weight;
    }
    division result{std::vector<double>(demands.size())};
    double left = capacity;
    for (std::size_t place = 0; place < order.size(); ++place) {
        const weighted_demand& demand = demands[order[place]];
        const double entitled = left * demand.weight / weight_from[place];
        if (demand.millicores > entitled) {
            result.level = std::min(result.level, entitled / demand.weight);
        }
        double& part = result.parts[order[place]];
        part = std::min(demand.millicores, entitled);
        left = std::max(left - part, 0.0);
    }
    return result;
}

/// Use up to which a team is within its share.
double entitled_millicores(const team_demand& demand, double part, double level) {
    double most = level * effective_weight(demand.weight);
    if (demand.limit_millicores > 0) {
        most = std::min(most, static_cast<double>(demand.limit_millicores));
    }
    // Rounding must not put the level below a part.
    return std::max(most, part);
}

} // namespace

std::vector<team_part> divide_fairly(std::span<const team_demand> demands,
                                     std::int64_t capacity_millicores) {
    std::vector<weighted_demand> wanted(demands.size());
    std::ranges::transform(demands, wanted.begin(), weighted);
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::sort(order, {}, [&](std::size_t index) {
        return std::tuple(wanted[index].per_weight(), demands[index].team.view());
    });
    const division divided =
        fill(wanted, order, static_cast<double>(std::max<std::int64_t>(capacity_millicores, 0)));

    std::vector<team_part> shares(demands.size());
    std::size_t waiting = 0;
    std::size_t below = 0;
    for (std::size_t index = 0; index < demands.size(); ++index) {
        const team_demand& demand = demands[index];
        team_part& share = shares[index];
        share.team = demand.team;
        share.part_millicores = divided.parts[index];
        share.entitled_millicores =
            entitled_millicores(demand, share.part_millicores, divided.level);
        share.waits_below_part =
            demand.waiting_millicores > 0 &&
            static_cast<double>(demand.used_millicores) + tolerance_millicores <=
                share.part_millicores;
        below += share.waits_below_part ? 1 : 0;
        waiting += demand.waiting_millicores > 0 ? 1 : 0;
    }
    for (std::size_t index = 0; index < demands.size(); ++index) {
        team_part& share = shares[index];
        share.others_wait = waiting > (demands[index].waiting_millicores > 0 ? 1U : 0U);
        share.others_wait_below = below > (share.waits_below_part ? 1U : 0U);
    }
    return shares;
}

bool exceeds_share(const team_part& share, std::int64_t used_millicores) {
    return share.others_wait_below &&
           static_cast<double>(used_millicores) > share.entitled_millicores + tolerance_millicores;
}

bool exceeds_part(const team_part& share, std::int64_t used_millicores,
                  std::int64_t ahead_millicores) {
    return share.others_wait && static_cast<double>(used_millicores) +
                                        static_cast<double>(ahead_millicores) +
                                        tolerance_millicores >
                                    share.entitled_millicores;
}

} // namespace citronford
