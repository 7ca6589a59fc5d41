#include "io/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace citronford {
namespace {

constexpr double shortest_us = 10;
constexpr double longest_us = 1e9;
/// ln(1e9 / 10) / 2000 = 0.0092, so the edges of one bin differ by 0.93%.
constexpr unsigned bins = 2000;

} // namespace

latency_histogram::latency_histogram()
    : counts_(boost::histogram::make_histogram(axis(bins, shortest_us, longest_us))) {}

void latency_histogram::record(duration latency) {
    const duration bounded = std::max(latency, duration(1));
    counts_(static_cast<double>(bounded.count()));
    ++count_;
    longest_ = std::max(longest_, bounded);
    sum_ += bounded;
}

duration latency_histogram::quantile(double share) const {
    const auto wanted = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count_)));
    std::uint64_t seen = 0;
    for (const auto& bin : boost::histogram::indexed(counts_, boost::histogram::coverage::all)) {
        seen += static_cast<std::uint64_t>(*bin);
        if (seen >= wanted && seen > 0) {
            const double edge = bin.bin().upper();
            return edge > longest_us ? longest_ : std::min(longest_, duration(std::llround(edge)));
        }
    }
    return longest_;
}

std::uint64_t latency_histogram::count_up_to(duration limit) const {
    std::uint64_t seen = 0;
    for (const auto& bin : boost::histogram::indexed(counts_, boost::histogram::coverage::all)) {
        if (bin.bin().upper() > static_cast<double>(limit.count()) * 1.0001) {
            break;
        }
        seen += static_cast<std::uint64_t>(*bin);
    }
    return seen;
}

} // namespace citronford
