#include "stop_series/run_ledger.h"

#include "io/log.h"

#include <algorithm>
#include <utility>

namespace citronford {
namespace {

void log_double(const char* event, const run_record& first, const run_record& second) {
    log_event(log_level::warning, event,
              {{"task", second.task},
               {"first_backend", first.backend},
               {"first_run", static_cast<std::int64_t>(first.run)},
               {"first_token", static_cast<std::int64_t>(first.token)},
               {"first_age_ms", to_ms(second.started - first.started)},
               {"backend", second.backend},
               {"run", static_cast<std::int64_t>(second.run)},
               {"token", static_cast<std::int64_t>(second.token)}});
}

} // namespace

std::shared_ptr<run_record> run_ledger::note_start(run_record started) {
    auto record = std::make_shared<run_record>(std::move(started));
    auto& earlier = tasks_[record->task];
    for (const auto& other : earlier) {
        if (other->running) {
            other->doubled = true;
            log_double("runs_overlap", *other, *record);
        } else if (other->done && !other->forfeited) {
            log_double("run_after_done", *other, *record);
        }
    }
    const auto counts = [](const auto& other) { return other->done && !other->forfeited; };
    if (std::ranges::any_of(earlier, [](const auto& other) { return other->running; })) {
        ++overlapping_;
    } else if (const auto done = std::ranges::find_if(earlier, counts); done != earlier.end()) {
        repeated_.push_back(*done);
    }
    earlier.push_back(record);
    return record;
}

bool run_ledger::has_run(const std::string& id) const {
    const auto found = tasks_.lower_bound(id);
    return found != tasks_.end() && found->first.starts_with(id);
}

std::optional<instant> run_ledger::first_start(const std::string& id) const {
    std::optional<instant> first;
    for (auto task = tasks_.lower_bound(id); task != tasks_.end() && task->first.starts_with(id);
         ++task) {
        first = std::min(first.value_or(instant::max()), task->second.front()->started);
    }
    return first;
}

std::size_t run_ledger::doubled() const {
    const auto counted =
        std::ranges::count_if(repeated_, [](const auto& record) { return !record->forfeited; });
    return overlapping_ + static_cast<std::size_t>(counted);
}

} // namespace citronford
