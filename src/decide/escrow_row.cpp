#include "citronford/escrow_row.h"

#include <algorithm>

namespace citronford {

std::int64_t sum_of(const escrow_row& row) {
    std::int64_t sum = 0;
    for (const auto& [id, units] : row.units) {
        sum += units;
    }
    return sum;
}

std::int64_t units_in(const escrow_row& row, const member_id& id) {
    const auto found = row.units.find(id);
    return found == row.units.end() ? 0 : found->second;
}

std::int64_t moved_in(const escrow_row& row, const member_id& from, const member_id& to) {
    const auto found = row.moved.find({from, to});
    return found == row.moved.end() ? 0 : found->second;
}

std::int64_t part_in(const escrow_row& row, const member_id& id) {
    const std::int64_t own = units_in(row, id);
    const std::int64_t excess = sum_of(row) - row.limit;
    const auto holders = std::max<std::int64_t>(1, static_cast<std::int64_t>(row.units.size()));
    return excess <= 0 ? own : std::min(own, std::max(row.limit / holders, own - excess));
}

void record_transfer(escrow_row& row, const member_id& from, const member_id& to,
                     std::int64_t total) {
    const std::int64_t added = total - moved_in(row, from, to);
    if (added > 0) {
        row.units[from] -= added;
        row.units[to] += added;
        row.moved[{from, to}] = total;
    }
}

} // namespace citronford
