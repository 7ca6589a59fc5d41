#pragma once

#include "citronford/resources.h"

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace citronford {

/// The queued jobs of one team in the order of submission, grouped by size class, so that room too
/// small for the oldest job can be filled without searching the whole queue.
template <class Job> class waiting_jobs {
  public:
    void insert(std::uint64_t order, const resources& size, Job* job) {
        classes_[class_of(size)].emplace(order, job);
        ++count_;
    }

    void erase(std::uint64_t order, const resources& size) {
        const auto found = classes_.find(class_of(size));
        if (found != classes_.end() && found->second.erase(order) > 0) {
            --count_;
            if (found->second.empty()) {
                classes_.erase(found);
            }
        }
    }

    [[nodiscard]] std::size_t size() const { return count_; }
    [[nodiscard]] bool empty() const { return count_ == 0; }

    /// The oldest job of each size class, in the order of submission.
    [[nodiscard]] std::vector<Job*> oldest() const {
        std::vector<std::pair<std::uint64_t, Job*>> heads;
        for (const auto& [size_class, jobs] : classes_) {
            heads.push_back(*jobs.begin());
        }
        std::ranges::sort(heads);
        std::vector<Job*> jobs;
        jobs.reserve(heads.size());
        for (const auto& [order, job] : heads) {
            jobs.push_back(job);
        }
        return jobs;
    }

    template <class Function> void for_each(Function function) const {
        for (const auto& [size_class, jobs] : classes_) {
            for (const auto& [order, job] : jobs) {
                function(order, job);
            }
        }
    }

  private:
    /// Sizes in the same class differ by a factor of less than 2 in each resource.
    using size_class = std::pair<int, std::pair<int, int>>;

    static size_class class_of(const resources& size) {
        const auto width = [](std::int64_t amount) {
            return static_cast<int>(std::bit_width(static_cast<std::uint64_t>(amount)));
        };
        return {width(size.millicores), {width(size.memory_mb), width(size.accelerators)}};
    }

    std::map<size_class, std::map<std::uint64_t, Job*>> classes_;
    std::size_t count_ = 0;
};

} // namespace citronford
