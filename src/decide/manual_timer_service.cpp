#include "citronford/manual_timer_service.h"

#include <utility>

namespace citronford {

timer_subscription manual_timer_service::subscribe(duration delay, duration period,
                                                   callback function) {
    auto item = std::make_shared<entry>(entry{std::move(function), period});
    queue_.emplace(now_ + delay, item);
    return timer_subscription(std::move(item));
}

timer_subscription manual_timer_service::after(duration delay, callback function) {
    return subscribe(delay, duration::zero(), std::move(function));
}

timer_subscription manual_timer_service::every(duration period, callback function) {
    return subscribe(period, period, std::move(function));
}

void manual_timer_service::advance(duration span) {
    const instant end = now_ + span;
    while (!queue_.empty() && queue_.begin()->first <= end) {
        const auto node = queue_.extract(queue_.begin());
        const auto item = node.mapped().lock();
        if (!item) {
            continue;
        }
        now_ = node.key();
        if (item->period > duration::zero()) {
            queue_.emplace(now_ + item->period, item);
        }
        item->function(now_);
    }
    now_ = end;
}

instant manual_timer_service::next_due() const {
    for (const auto& [due, item] : queue_) {
        if (!item.expired()) {
            return due;
        }
    }
    return instant::max();
}

} // namespace citronford
