#pragma once

#include "citronford/instant.h"

#include <boost/histogram.hpp>

#include <cstdint>

namespace citronford {

/// Counts durations in logarithmic bins from 10 us to 1000 s; neighbouring bins differ by less
/// than 1%, so a quantile is exact to 1%.
class latency_histogram {
  public:
    latency_histogram();

    void record(duration latency);

    /// Upper edge of the bin that holds the given share of the counts, at most `longest`; zero when
    /// nothing was recorded. `share` lies in (0, 1].
    [[nodiscard]] duration quantile(double share) const;

    [[nodiscard]] std::uint64_t count() const { return count_; }
    [[nodiscard]] duration longest() const { return longest_; }
    [[nodiscard]] duration sum() const { return sum_; }

    /// Counts of durations that are at most `limit`, exact to 1% of `limit`.
    [[nodiscard]] std::uint64_t count_up_to(duration limit) const;

  private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log,
                                                 boost::histogram::use_default,
                                                 boost::histogram::axis::option::bitset<3U>>;
    using counts = decltype(boost::histogram::make_histogram(std::declval<axis>()));

    counts counts_;
    std::uint64_t count_ = 0;
    duration longest_{};
    duration sum_{};
};

} // namespace citronford
