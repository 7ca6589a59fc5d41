#include "io/metrics.h"

#include "citronford/overloaded.h"

#include <spdlog/fmt/fmt.h>

namespace citronford {
namespace {

/// Upper bounds of the histogram buckets that are written.
constexpr duration bucket_limits[] = {milliseconds(1),    milliseconds(2),    milliseconds(5),
                                      milliseconds(10),   milliseconds(20),   milliseconds(50),
                                      milliseconds(100),  milliseconds(200),  milliseconds(500),
                                      milliseconds(1000), milliseconds(2000), milliseconds(5000),
                                      milliseconds(10000)};

double seconds_of(duration span) {
    return std::chrono::duration<double>(span).count();
}

/// `name="value"` pairs joined by commas; quotes, backslashes and line ends are escaped.
std::string text_of(std::span<const metric_label> labels) {
    std::string text;
    for (const auto& [name, value] : labels) {
        text += text.empty() ? "" : ",";
        text += name;
        text += "=\"";
        for (const char c : value) {
            if (c == '"' || c == '\\') {
                text += '\\';
            }
            text += c == '\n' ? ' ' : c;
        }
        text += '"';
    }
    return text;
}

std::string line(std::string_view name, std::string_view labels, double value) {
    return labels.empty() ? fmt::format("{} {}\n", name, value)
                          : fmt::format("{}{{{}}} {}\n", name, labels, value);
}

std::string histogram_lines(std::string_view name, const std::string& labels,
                            const latency_histogram& counts) {
    const std::string prefix = labels.empty() ? "" : labels + ",";
    const std::string bucket = std::string(name) + "_bucket";
    std::string text;
    for (const duration limit : bucket_limits) {
        text += line(bucket, fmt::format("{}le=\"{}\"", prefix, seconds_of(limit)),
                     static_cast<double>(counts.count_up_to(limit)));
    }
    const auto total = static_cast<double>(counts.count());
    text += line(bucket, prefix + "le=\"+Inf\"", total);
    text += line(std::string(name) + "_sum", labels, seconds_of(counts.sum()));
    text += line(std::string(name) + "_count", labels, total);
    return text;
}

} // namespace

template <class Kind>
Kind* metrics::find_or_create(std::string_view name, std::span<const metric_label> labels) {
    auto metric = metrics_.find(name);
    if (metric == metrics_.end()) {
        metric = metrics_.try_emplace(std::string(name)).first;
    }
    const std::string key = text_of(labels);
    auto found = metric->second.find(key);
    if (found == metric->second.end()) {
        if (metric->second.size() >= most_series) {
            ++dropped_;
            return nullptr;
        }
        found = metric->second.try_emplace(key, Kind()).first;
    }
    return std::get_if<Kind>(&found->second);
}

void metrics::add(std::string_view name, std::span<const metric_label> labels, double amount) {
    if (auto* found = find_or_create<counter>(name, labels)) {
        found->value += amount;
    }
}

void metrics::set(std::string_view name, std::span<const metric_label> labels, double value) {
    if (auto* found = find_or_create<gauge>(name, labels)) {
        found->value = value;
    }
}

void metrics::set_total(std::string_view name, std::span<const metric_label> labels, double value) {
    if (auto* found = find_or_create<counter>(name, labels)) {
        found->value = value;
    }
}

void metrics::observe(std::string_view name, std::span<const metric_label> labels, duration value) {
    if (auto* found = find_or_create<latency_histogram>(name, labels)) {
        found->record(value);
    }
}

void metrics::clear(std::string_view name) {
    const auto found = metrics_.find(name);
    if (found != metrics_.end()) {
        metrics_.erase(found);
    }
}

std::string metrics::lines_of(std::string_view name, const std::string& labels,
                              const series& item) {
    return std::visit(
        overloaded{
            [&](const counter& value) { return line(name, labels, value.value); },
            [&](const gauge& value) { return line(name, labels, value.value); },
            [&](const latency_histogram& counts) { return histogram_lines(name, labels, counts); },
        },
        item);
}

std::string metrics::text() const {
    constexpr std::string_view types[] = {"counter", "gauge", "histogram"};
    std::string text;
    for (const auto& [name, by_labels] : metrics_) {
        if (!by_labels.empty()) {
            text += fmt::format("# TYPE {} {}\n", name, types[by_labels.begin()->second.index()]);
        }
        for (const auto& item : by_labels) {
            text += lines_of(name, item.first, item.second);
        }
    }
    text += "# TYPE citronford_metrics_dropped_total counter\n";
    text += line("citronford_metrics_dropped_total", {}, static_cast<double>(dropped_));
    return text;
}

} // namespace citronford
