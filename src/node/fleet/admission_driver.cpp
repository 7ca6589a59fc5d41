#include "node/fleet/admission_driver.h"

#include "citronford/result_code.h"
#include "citronford/workflow_rows.h"
#include "io/load_codec.h"
#include "io/log.h"
#include "io/workflow_codec.h"

#include <array>
#include <string>
#include <utility>

namespace citronford {
namespace {

/// The row of the report is the only one with its key as a prefix.
follow_options load_options() {
    const std::string key(load_row_key);
    return {{key}, key, milliseconds(2000), duration::zero()};
}

std::string_view reason_text(load_refusal reason) {
    constexpr std::string_view texts[] = {"it would end after its useful time",
                                          "its team is beyond its share, and it would end late",
                                          "the owner is behind with the work accepted so far"};
    return texts[static_cast<std::size_t>(reason)];
}

} // namespace

admission_driver::admission_driver(load_admission decisions, table_service& table,
                                   timer_service& timers, metrics& registry, catalog_source catalog)
    : decisions_(std::move(decisions)), timers_(timers), registry_(registry),
      catalog_(std::move(catalog)),
      // The age of a row that is read, and not delivered as a change, is not known.
      follower_(
          table, timers, load_options(), [](std::span<const table_row>) {},
          [this](std::span<const table_row> rows) {
              for (const table_row& row : rows) {
                  apply_row(row);
              }
          }) {}

void admission_driver::start() {
    follower_.start();
}

void admission_driver::apply_row(const table_row& row) {
    if (!row.value) {
        return;
    }
    const auto value = decode_fenced_value(*row.value);
    auto report =
        value.ok() ? decode_load_report(value->text) : absl::StatusOr<load_report>(value.status());
    if (!report.ok()) {
        log_event(log_level::warning, "row_unreadable",
                  {{"key", row.key}, {"reason", message_of(report.status())}});
        return;
    }
    decisions_.handle(
        load_report_received{value->token, *std::move(report), follower_.unchanged_until()},
        timers_.now());
    const std::size_t pressed = decisions_.pressed_pools();
    if (std::exchange(pressed_pools_, pressed) != pressed) {
        log_event(log_level::info, "pressed_pools",
                  {{"pools", static_cast<std::int64_t>(pressed)}});
    }
}

std::optional<duration> admission_driver::refuse(const accepted_workflow& row) {
    const queue_catalog* catalog = catalog_();
    if (catalog != nullptr) {
        check_objectives(*catalog);
    }
    const queue_definition* queue = catalog == nullptr ? nullptr : catalog->queue(row.queue);
    const load_decision decision = decisions_.decide({row, queue}, timers_.now());
    const auto* refusal = std::get_if<submission_refused_by_load>(&decision);
    if (refusal == nullptr) {
        return std::nullopt;
    }
    log_refusal(row, *refusal);
    return refusal->retry_after;
}

void admission_driver::check_objectives(const queue_catalog& catalog) {
    if (std::exchange(checked_version_, catalog.version()) == catalog.version()) {
        return;
    }
    for (const auto& [name, queue] : catalog.queues()) {
        if (!has_usable_objective(queue)) {
            log_event(log_level::warning, "objective_invalid",
                      {{"queue", name.view()},
                       {"stretch", queue.stretch},
                       {"slack_ms", queue.objective_slack.count()},
                       {"used", "none; every workflow is admitted"}});
        }
    }
}

void admission_driver::log_refusal(const accepted_workflow& row,
                                   const submission_refused_by_load& refusal) {
    const std::array labels = {metric_label{"queue", row.queue.view()},
                               metric_label{"reason", name_of(refusal.reason)}};
    registry_.add("citronford_submissions_refused_by_load_total", labels);
    log_event(log_level::info, "submission_refused",
              {{"job", row.id.view()},
               {"reason", reason_text(refusal.reason)},
               {"queue", row.queue.view()},
               {"team", row.team.view()},
               {"predicted_wait_ms", to_ms(refusal.predicted_wait)},
               {"report_age_ms", to_ms(refusal.report_age)},
               {"retry_after_ms", to_ms(refusal.retry_after)}});
}

void admission_driver::report() {
    const instant now = timers_.now();
    decisions_.handle(load_tick{}, now);
    registry_.set("citronford_pressed_pools", {}, static_cast<double>(decisions_.pressed_pools()));
    constexpr double no_report = -1;
    const auto age = decisions_.report_age(now);
    registry_.set("citronford_load_report_age_ms", {},
                  age ? static_cast<double>(to_ms(*age)) : no_report);
}

} // namespace citronford
