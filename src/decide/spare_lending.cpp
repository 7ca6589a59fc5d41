#include "citronford/spare_lending.h"

#include <algorithm>

namespace citronford {

std::vector<pool_transfer> planned_loans(const pool_id& spare, std::int64_t lendable,
                                         std::span<const pool_shortage> shortages) {
    std::vector<pool_transfer> loans;
    std::vector<pool_shortage> open;
    for (const pool_shortage& shortage : shortages) {
        if (shortage.remaining < shortage.wanted) {
            open.push_back(shortage);
            loans.push_back({spare, shortage.pool, 0});
        }
    }
    for (; lendable > 0 && !open.empty(); --lendable) {
        // Compares the ratios without division.
        const auto neediest = std::ranges::min_element(
            open, [](const pool_shortage& left, const pool_shortage& right) {
                return left.remaining * right.wanted < right.remaining * left.wanted;
            });
        if (neediest->remaining >= neediest->wanted) {
            break;
        }
        ++neediest->remaining;
        ++loans[static_cast<std::size_t>(neediest - open.begin())].count;
    }
    std::erase_if(loans, [](const pool_transfer& loan) { return loan.count == 0; });
    return loans;
}

} // namespace citronford
