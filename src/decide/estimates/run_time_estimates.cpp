#include "citronford/run_time_estimates.h"

#include <algorithm>

namespace citronford {

step_kind kind_of(const workflow_step& step, const queue_id& queue, std::uint32_t number) {
    std::string name = step.image.empty() ? "queue " + queue.str() + " " + std::to_string(number)
                                          : "image " + step.image;
    if (step.estimate <= milliseconds::zero()) {
        return {name + " without estimate", milliseconds(1)};
    }
    return {std::move(name), step.estimate};
}

void run_time_estimates::add(const step_kind& kind, duration run_time) {
    if (run_time <= duration::zero() || kind.unit <= duration::zero() || max_kinds_ == 0) {
        return;
    }
    if (histories_.size() >= max_kinds_ && !histories_.contains(kind.name)) {
        evict_oldest();
    }
    history& known = histories_[kind.name];
    known.used = ++uses_;
    known.ratios[known.ends % history_length] =
        static_cast<float>(run_time.count()) / static_cast<float>(kind.unit.count());
    ++known.ends;
    std::array<float, history_length> sorted = known.ratios;
    const auto end =
        sorted.begin() + static_cast<std::ptrdiff_t>(std::min(known.ends, history_length));
    const auto middle = sorted.begin() + (end - sorted.begin()) / 2;
    std::nth_element(sorted.begin(), middle, end);
    known.median = *middle;
}

std::optional<duration> run_time_estimates::expected(const step_kind& kind) {
    const auto found = histories_.find(kind.name);
    if (found == histories_.end()) {
        return std::nullopt;
    }
    found->second.used = ++uses_;
    if (found->second.ends < min_ends) {
        return std::nullopt;
    }
    const double time = found->second.median * static_cast<double>(kind.unit.count());
    return duration(std::max<duration::rep>(1, static_cast<duration::rep>(time)));
}

void run_time_estimates::evict_oldest() {
    const auto oldest =
        std::ranges::min_element(histories_, {}, [](const auto& item) { return item.second.used; });
    histories_.erase(oldest);
}

} // namespace citronford
