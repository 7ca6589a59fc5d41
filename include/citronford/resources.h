#pragma once

#include <algorithm>
#include <cstdint>

namespace citronford {

/// Amounts of the three resources that tasks use on workers.
struct resources {
    std::int64_t millicores = 0; ///< Thousandths of a processor.
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    resources& operator+=(const resources& other) {
        millicores += other.millicores;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }
    resources& operator-=(const resources& other) {
        millicores -= other.millicores;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }
    friend resources operator+(resources left, const resources& right) { return left += right; }
    friend resources operator-(resources left, const resources& right) { return left -= right; }
    friend resources operator*(const resources& size, std::int64_t count) {
        return {size.millicores * count, size.memory_mb * count, size.accelerators * count};
    }
    friend bool operator==(const resources&, const resources&) = default;

    /// Whether `size` can be taken from these resources. A resource that `size` does not need may
    /// be negative here.
    [[nodiscard]] bool holds(const resources& size) const {
        return (size.millicores == 0 || size.millicores <= millicores) &&
               (size.memory_mb == 0 || size.memory_mb <= memory_mb) &&
               (size.accelerators == 0 || size.accelerators <= accelerators);
    }
};

/// The dominant share of `part`: the largest fraction that it takes of any resource of `whole`. A
/// resource of which `whole` has none counts as 0.
inline double dominant_fraction(const resources& part, const resources& whole) {
    const auto fraction = [](std::int64_t amount, std::int64_t total) {
        return total <= 0 ? 0.0 : static_cast<double>(amount) / static_cast<double>(total);
    };
    return std::max({fraction(part.millicores, whole.millicores),
                     fraction(part.memory_mb, whole.memory_mb),
                     fraction(part.accelerators, whole.accelerators)});
}

} // namespace citronford
