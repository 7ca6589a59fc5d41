#include "citronford/placement.h"

namespace citronford {

void placement::offer(std::size_t worker, const resources& free) {
    if (worker >= slots_.size()) {
        slots_.resize(worker + 1);
    }
    slot& entry = slots_[worker];
    if (entry.offered && entry.free == free) {
        return;
    }
    withdraw(worker);
    entry = {true, free};
    by_processors_.emplace(free.millicores, worker);
}

void placement::withdraw(std::size_t worker) {
    if (worker < slots_.size() && slots_[worker].offered) {
        by_processors_.erase({slots_[worker].free.millicores, worker});
        slots_[worker].offered = false;
    }
}

std::optional<std::size_t>
placement::best_fit(const resources& size, const std::function<bool(std::size_t)>& allowed) const {
    const auto first = by_processors_.lower_bound({size.millicores, 0});
    for (auto candidate = first; candidate != by_processors_.end(); ++candidate) {
        ++operations_;
        if (slots_[candidate->second].free.holds(size) && allowed(candidate->second)) {
            return candidate->second;
        }
    }
    return std::nullopt;
}

} // namespace citronford
