#include "node/state_snapshot.h"

#include "citronford/result_code.h"

#include <utility>

namespace citronford {

state_snapshot::state_snapshot(std::string_view zone, object_store& objects, timer_service& timers,
                               report_function report)
    : name_("state-" + std::string(zone)), objects_(objects), timers_(timers),
      report_(std::move(report)) {}

void state_snapshot::start() {
    first_timer_ = timers_.after(first_pause, [this](instant) { look(); });
    period_timer_ = timers_.every(period, [this](instant) { look(); });
}

void state_snapshot::look() {
    objects_.get(name_, [this](const absl::StatusOr<std::string>& content) {
        if (!content.ok() && code_of(content.status()) != result_code::not_found) {
            return;
        }
        std::string found = content.ok() ? *content : std::string();
        if (found == seen_) {
            write();
        } else {
            seen_ = std::move(found);
        }
    });
}

void state_snapshot::write() {
    std::string content = report_(++sequence_);
    objects_.put(name_, content, [this, content](const absl::Status& status) {
        if (status.ok()) {
            seen_ = content;
        }
    });
}

} // namespace citronford
