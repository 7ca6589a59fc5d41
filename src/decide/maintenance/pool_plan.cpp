#include "citronford/pool_plan.h"

#include <algorithm>
#include <cmath>

namespace citronford {
namespace {

/// Least time between two lines about one pool.
constexpr duration report_period = seconds(1);

bool differs(double last, double present) {
    constexpr double tenth = 0.1;
    return std::abs(present - last) > tenth * std::max(std::abs(last), std::abs(present));
}

bool differs(const pool_plan& last, const pool_plan& present) {
    for (std::size_t tier = 0; tier < need_tier_count; ++tier) {
        // A tier of one or two VMs changes by more than a tenth with each task.
        if (std::abs(present.needs[tier] - last.needs[tier]) > 2 &&
            differs(last.needs[tier], present.needs[tier])) {
            return true;
        }
    }
    return differs(static_cast<double>(last.division), static_cast<double>(present.division)) ||
           differs(static_cast<double>(last.present + last.incoming),
                   static_cast<double>(present.present + present.incoming));
}

} // namespace

bool pool_plan_filter::is_due(const pool_plan& plan, instant now) {
    const auto found = last_.find(plan.pool);
    if (found != last_.end() &&
        (now < found->second.at + report_period || !differs(found->second.plan, plan))) {
        return false;
    }
    last_.insert_or_assign(plan.pool, report{now, plan});
    return true;
}

} // namespace citronford
