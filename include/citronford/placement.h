#pragma once

#include "citronford/resources.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace citronford {

/// Index of the free resources of the workers that accept tasks, ordered by free processors.
class placement {
  public:
    /// Sets the free resources of the worker with this index, replacing its previous offer.
    void offer(std::size_t worker, const resources& free);

    /// Removes the offer of the worker.
    void withdraw(std::size_t worker);

    /// The worker with the fewest free processors among those that have `size` free and that
    /// `allowed` accepts.
    [[nodiscard]] std::optional<std::size_t>
    best_fit(const resources& size, const std::function<bool(std::size_t)>& allowed) const;

    /// Workers examined so far: a measure of the search cost that does not depend on the machine.
    [[nodiscard]] std::uint64_t operations() const { return operations_; }

  private:
    struct slot {
        bool offered = false;
        resources free;
    };
    std::vector<slot> slots_;
    std::set<std::pair<std::int64_t, std::size_t>> by_processors_;
    mutable std::uint64_t operations_ = 0;
};

} // namespace citronford
