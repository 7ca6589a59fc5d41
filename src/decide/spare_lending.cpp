#include "citronford/spare_lending.h"

#include <algorithm>

namespace citronford {

std::vector<pool_transfer> planned_loans(const pool_id& spare, std::int64_t lendable,
                                         std::span<const pool_shortage> shortages) {
    std::vector<pool_transfer> loans;
    std::vector<pool_shortage> unfilled;
    for (const pool_shortage& shortage : shortages) {
        if (shortage.remaining < shortage.wanted) {
            unfilled.push_back(shortage);
            loans.push_back({spare, shortage.pool, 0});
        }
    }
    for (; lendable > 0 && !unfilled.empty(); --lendable) {
        // Compares remaining / wanted by cross-multiplication.
        const auto lowest_ratio = std::ranges::min_element(
            unfilled, [](const pool_shortage& left, const pool_shortage& right) {
                return left.remaining * right.wanted < right.remaining * left.wanted;
            });
        if (lowest_ratio->remaining >= lowest_ratio->wanted) {
            break;
        }
        ++lowest_ratio->remaining;
        ++loans[static_cast<std::size_t>(lowest_ratio - unfilled.begin())].count;
    }
    std::erase_if(loans, [](const pool_transfer& loan) { return loan.count == 0; });
    return loans;
}

} // namespace citronford
