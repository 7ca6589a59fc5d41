#include "citronford/worker_health.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citronford {

absl::StatusOr<worker_health> worker_health::create(const chart& life_cycle,
                                                    health_options options) {
    static constexpr machine::guard guards[] = {
        {"is_failure_outlier",
         [](const step_context& context, const health_input&) {
             return context.health.is_failure_outlier(context.worker);
         }},
    };
    static constexpr machine::action actions[] = {
        {"start_backoff",
         [](step_context& context, const health_input&) {
             context.worker.backoff = context.health.options_.initial_backoff;
             context.worker.probe_at = context.now + context.worker.backoff;
         }},
        {"double_backoff",
         [](step_context& context, const health_input&) {
             context.worker.backoff =
                 std::min(context.worker.backoff * 2, context.health.options_.max_backoff);
             context.worker.probe_at = context.now + context.worker.backoff;
         }},
        {"reset_counts",
         [](step_context& context, const health_input&) {
             context.worker.successes = 1;
             context.worker.failures = 0;
         }},
    };
    auto bound = machine::create(life_cycle, guards, actions);
    if (!bound.ok()) {
        return bound.status();
    }
    return worker_health(*std::move(bound), options);
}

worker_health::worker_health(machine life_cycle, health_options options)
    : machine_(std::move(life_cycle)), options_(options) {}

void worker_health::add(std::size_t worker) {
    if (worker >= workers_.size()) {
        workers_.resize(worker + 1);
    }
    count(workers_[worker], -1);
    workers_[worker] = {.present = true, .position = machine_.initial()};
    count(workers_[worker], 1);
}

void worker_health::count(const record& entry, int change) {
    if (!entry.present) {
        return;
    }
    present_ += change;
    quarantined_ += is_healthy(entry) ? 0 : change;
}

bool worker_health::is_healthy(const record& entry) const {
    return machine_.name_of(entry.position) == "healthy";
}

void worker_health::handle(std::size_t worker, const health_input& input, instant now) {
    record& entry = workers_[worker];
    decay(entry, now);
    if (std::holds_alternative<attempt_succeeded>(input)) {
        ++entry.successes;
        ++successes_;
    } else if (std::holds_alternative<attempt_failed>(input)) {
        ++entry.failures;
        ++failures_;
    }
    step_context context{*this, entry, now};
    count(entry, -1);
    machine_.step(entry.position, context, input);
    entry.present = entry.present && !machine_.is_final(entry.position);
    count(entry, 1);
}

bool worker_health::usable(std::size_t worker, instant now) const {
    const record& entry = workers_[worker];
    const std::string_view state = machine_.name_of(entry.position);
    return state == "healthy" || (state == "quarantined" && entry.probe_at <= now) ||
           (entry.present && quarantine_suspended());
}

bool worker_health::quarantined(std::size_t worker) const {
    return !is_healthy(workers_[worker]);
}

void worker_health::decay(record& entry, instant now) const {
    const double retained = std::exp2(-static_cast<double>((now - entry.decayed_at).count()) /
                                      static_cast<double>(options_.half_life.count()));
    entry.successes *= retained;
    entry.failures *= retained;
    entry.decayed_at = now;
}

bool worker_health::is_failure_outlier(const record& entry) const {
    const double total = entry.successes + entry.failures;
    if (entry.failures < options_.min_failures || total <= 0) {
        return false;
    }
    const double peer_failures = std::max(failures_ - entry.failures, 0.0);
    const double peer_successes = std::max(successes_ - entry.successes, 0.0);
    const double peer_total = peer_failures + peer_successes;
    const double peer_ratio = peer_total <= 0 ? 0 : peer_failures / peer_total;
    return entry.failures / total >
           std::min(options_.peer_ratio_factor * peer_ratio + options_.ratio_margin,
                    (1 + peer_ratio) / 2);
}

} // namespace citronford
