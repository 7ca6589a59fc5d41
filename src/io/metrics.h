#pragma once

#include "io/latency_histogram.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace citronford {

using metric_label = std::pair<std::string_view, std::string_view>;

/// Counters, gauges and histograms of one process, written in the Prometheus text exposition
/// format. Each metric keeps a bounded number of label sets; updates beyond it are counted instead.
class metrics {
  public:
    static constexpr std::size_t most_series = 1000;

    /// Adds to a counter; its name ends in `_total`.
    void add(std::string_view name, std::span<const metric_label> labels, double amount = 1);
    void set(std::string_view name, std::span<const metric_label> labels, double value);
    /// Sets a counter that is kept elsewhere; its name ends in `_total`.
    void set_total(std::string_view name, std::span<const metric_label> labels, double value);
    /// Records a duration; its name ends in `_seconds`.
    void observe(std::string_view name, std::span<const metric_label> labels, duration value);

    /// Removes all series of a metric, so that those of objects that no longer exist disappear.
    void clear(std::string_view name);

    /// The whole registry, in order of names, then of labels.
    [[nodiscard]] std::string text() const;

  private:
    struct counter {
        double value = 0;
    };
    struct gauge {
        double value = 0;
    };
    using series = std::variant<counter, gauge, latency_histogram>;

    static std::string lines_of(std::string_view name, const std::string& labels,
                                const series& item);

    /// The series, created as `Kind` if it is new; null beyond the bound.
    template <class Kind>
    Kind* find_or_create(std::string_view name, std::span<const metric_label> labels);

    std::map<std::string, std::map<std::string, series>, std::less<>> metrics_;
    std::uint64_t dropped_ = 0;
};

} // namespace citronford
