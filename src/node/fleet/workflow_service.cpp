#include "node/fleet/workflow_service.h"

#include "citronford/overloaded.h"
#include "citronford/result_code.h"
#include "citronford/workflow_rows.h"
#include "io/log.h"
#include "io/progress_codec.h"
#include "io/workflow_codec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace citronford {
namespace {

constexpr duration tick_period = milliseconds(50);

/// Retry delay that callers are given while the table does not answer. Most outages last a few
/// seconds.
constexpr duration outage_retry_delay = seconds(1);

/// Retry delay that callers are given when this process is about to end: another entry VM serves
/// them at once.
constexpr duration stop_retry_delay = milliseconds(100);

/// Limit of the cached states.
constexpr std::size_t max_known_states = 4000;

} // namespace

workflow_service::workflow_service(submission_batcher decisions, observed_table& table,
                                   timer_service& timers, metrics& registry, std::size_t row_bytes)
    : decisions_(std::move(decisions)), table_(table), timers_(timers), registry_(registry),
      row_bytes_(row_bytes) {}

void workflow_service::start() {
    ticks_ = timers_.every(tick_period, [this](instant now) {
        if (decisions_.unanswered() > 0) {
            handle(submission_tick{});
        }
        answer_late_calls(now);
    });
}

bool workflow_service::table_is_down() const {
    constexpr int failures_of_outage = 3;
    return table_.consecutive_failures() >= failures_of_outage;
}

void workflow_service::submit(accepted_workflow row, std::uint32_t max_attempts, duration timeout,
                              workflow_reply reply) {
    const std::size_t bytes = encode_workflow(row).size();
    const std::size_t progress_bytes = max_progress_bytes(row.spec, max_attempts);
    if (bytes > row_bytes_ || progress_bytes > max_progress_text(row_bytes_)) {
        log_event(log_level::info, "submission_refused",
                  {{"job", row.id.view()},
                   {"reason", "its rows can exceed the limit of the table"},
                   {"bytes", static_cast<std::int64_t>(bytes)},
                   {"progress_bytes", static_cast<std::int64_t>(progress_bytes)}});
        reply(workflow_refused{result_code::write_rejected, duration::zero()});
        return;
    }
    if (stopped_) {
        log_event(log_level::info, "submission_refused",
                  {{"job", row.id.view()}, {"reason", "the process is about to end"}});
        reply(workflow_refused{result_code::node_stopping, retry_delay()});
        return;
    }
    if (table_is_down()) {
        log_event(log_level::info, "submission_refused",
                  {{"job", row.id.view()}, {"reason", "the table does not answer"}});
        reply(workflow_refused{result_code::table_unavailable, retry_delay()});
        return;
    }
    const auto retry_after =
        admission_check_ && !may_be_stored(row.id) ? admission_check_(row) : std::nullopt;
    if (retry_after) {
        reply(workflow_refused{result_code::queue_full, *retry_after});
        return;
    }
    note_submitted(row.id);
    const std::uint64_t number = ++last_submission_;
    callers_.emplace(number, waiting_caller{std::move(reply), timers_.now()});
    const std::uint32_t part = work_part(row.id);
    handle(workflow_submitted{static_cast<submission_id>(number), std::move(row), part,
                              timers_.now() + timeout, bytes});
}

void workflow_service::note_submitted(const job_id& job) {
    // Callers repeat a submission within seconds; one VM takes less than 100 a second.
    constexpr std::size_t max_submitted = 8000;
    if (!admission_check_ || !submitted_.insert(job).second) {
        return;
    }
    submitted_order_.push_back(job);
    if (submitted_order_.size() > max_submitted) {
        submitted_.erase(submitted_order_.front());
        submitted_order_.pop_front();
    }
}

void workflow_service::handle(const submission_input& input) {
    for (const submission_effect& effect : decisions_.handle(input, timers_.now())) {
        std::visit([this](const auto& item) { perform(item); }, effect);
    }
}

void workflow_service::perform(const write_batch& effect) {
    std::vector<table_check> checks;
    std::vector<table_write> writes;
    for (const accepted_workflow* row : effect.rows) {
        const std::string key = work_row_key(row->id);
        checks.push_back({key, absent_row});
        writes.push_back({key, encode_workflow(*row)});
    }
    table_.commit(checks, writes,
                  [this, part = effect.part](const absl::StatusOr<table_commit>& result) {
                      if (!result.ok()) {
                          process_failed_batch(part, result.status());
                          return;
                      }
                      if (result->committed) {
                          handle(batch_stored{part});
                          return;
                      }
                      batch_conflict conflict{part, {}};
                      for (const table_row& row : result->conflicts) {
                          if (row.version != absent_row) {
                              conflict.stored.push_back(parse_job_row_key(row.key).job);
                          }
                      }
                      handle(conflict);
                  });
}

void workflow_service::process_failed_batch(std::uint32_t part, const absl::Status& status) {
    switch (code_of(status)) {
    case result_code::commit_in_doubt:
        handle(batch_in_doubt{part});
        return;
    case result_code::write_rejected:
        log_event(log_level::warning, "submissions_rejected",
                  {{"part", static_cast<std::int64_t>(part)}, {"reason", message_of(status)}});
        handle(batch_rejected{part});
        return;
    default:
        handle(batch_refused{part});
        return;
    }
}

void workflow_service::perform(const answer_submission& effect) {
    constexpr std::string_view names[] = {"accepted", "refused", "rejected", "unknown"};
    log_event(
        log_level::info, "submission_answered",
        {{"job", effect.job.view()}, {"result", names[static_cast<std::size_t>(effect.result)]}});
    const auto node = callers_.extract(static_cast<std::uint64_t>(effect.id));
    const waiting_caller& caller = node.mapped();
    const std::array labels = {
        metric_label{"result", names[static_cast<std::size_t>(effect.result)]}};
    registry_.observe("citronford_submission_seconds", labels, timers_.now() - caller.since);
    switch (effect.result) {
    case submission_result::accepted:
        cache_state(effect.job, workflow_state::pending);
        caller.reply(workflow_accepted{effect.job});
        return;
    case submission_result::refused:
        caller.reply(workflow_refused{result_code::table_unavailable, retry_delay()});
        return;
    case submission_result::rejected:
        caller.reply(workflow_refused{result_code::write_rejected, duration::zero()});
        return;
    case submission_result::unknown:
        caller.reply(workflow_in_doubt{});
        return;
    }
}

void workflow_service::cache_state(const job_id& job, workflow_state state) {
    if (!known_states_.insert_or_assign(job, state).second) {
        return;
    }
    known_states_order_.push_back(job);
    if (known_states_order_.size() > max_known_states) {
        known_states_.erase(known_states_order_.front());
        known_states_order_.pop_front();
    }
}

void workflow_service::read_state(const job_id& job, state_callback done) {
    const auto known = known_states_.find(job);
    if (known != known_states_.end() && ended(known->second)) {
        done(workflow_status{known->second});
        return;
    }
    table_.scan(progress_row_key(job), 0,
                [this, job, done = std::move(done)](absl::StatusOr<table_scan> result) mutable {
                    if (!result.ok()) {
                        done(result.status());
                        return;
                    }
                    if (result->rows.empty() || !result->rows.front().value) {
                        if (known_states_.contains(job)) {
                            done(workflow_status{workflow_state::pending});
                        } else {
                            read_work_row(job, std::move(done));
                        }
                        return;
                    }
                    const auto state = decode_progress_state(*result->rows.front().value);
                    if (!state.ok()) {
                        done(state.status());
                        return;
                    }
                    if (ended(*state)) {
                        cache_state(job, *state);
                    }
                    done(workflow_status{*state});
                });
}

void workflow_service::read_work_row(const job_id& job, state_callback done) {
    table_.scan(work_row_key(job), 0,
                [this, job, done = std::move(done)](absl::StatusOr<table_scan> result) {
                    if (!result.ok()) {
                        done(result.status());
                        return;
                    }
                    for (const table_row& row : result->rows) {
                        if (!parse_job_row_key(row.key).is_cancel) {
                            cache_state(job, workflow_state::pending);
                            done(workflow_status{workflow_state::pending});
                            return;
                        }
                    }
                    done(workflow_unknown{});
                });
}

workflow_service::call_number workflow_service::open_call(const job_id& job, duration timeout,
                                                          workflow_reply reply) {
    const call_number call = ++last_call_;
    // A caller that waits for less than a second still gives the table most of that time.
    const duration margin = std::min<duration>(answer_margin, timeout / 4);
    calls_.emplace(call, waiting_call{job, std::move(reply), timers_.now() + timeout - margin});
    return call;
}

void workflow_service::answer_call(call_number call, const workflow_answer& answer) {
    const auto node = calls_.extract(call);
    if (!node.empty()) {
        node.mapped().reply(answer);
    }
}

void workflow_service::stop() {
    stopped_ = true;
    handle(submissions_ended{});
    while (!calls_.empty()) {
        answer_call(calls_.begin()->first, answer_unavailable{retry_delay()});
    }
}

duration workflow_service::retry_delay() const {
    return stopped_ ? stop_retry_delay : outage_retry_delay;
}

void workflow_service::answer_late_calls(instant now) {
    std::vector<call_number> late;
    for (const auto& [call, waiting] : calls_) {
        if (now >= waiting.answer_by) {
            late.push_back(call);
        }
    }
    for (const call_number call : late) {
        log_event(log_level::warning, "call_timed_out",
                  {{"job", calls_.at(call).job.view()},
                   {"reason", "the table gave no result within the caller's deadline"}});
        answer_call(call, answer_unavailable{retry_delay()});
    }
}

void workflow_service::get_status(const job_id& job, duration timeout, workflow_reply reply) {
    if (stopped_) {
        reply(answer_unavailable{retry_delay()});
        return;
    }
    const call_number call = open_call(job, timeout, std::move(reply));
    read_state(job, [this, job, call](const absl::StatusOr<workflow_answer>& answer) {
        if (!answer.ok()) {
            log_event(log_level::warning, "state_unavailable",
                      {{"job", job.view()}, {"reason", message_of(answer.status())}});
            answer_call(call, answer_unavailable{retry_delay()});
            return;
        }
        answer_call(call, *answer);
    });
}

void workflow_service::cancel(const job_id& job, duration timeout, workflow_reply reply) {
    if (stopped_) {
        reply(answer_unavailable{retry_delay()});
        return;
    }
    const call_number call = open_call(job, timeout, std::move(reply));
    read_state(job, [this, job, call](const absl::StatusOr<workflow_answer>& answer) {
        if (!answer.ok()) {
            answer_call(call, answer_unavailable{retry_delay()});
            return;
        }
        const auto* shown = std::get_if<workflow_status>(&*answer);
        if (shown == nullptr) {
            answer_call(call, *answer);
            return;
        }
        if (ended(shown->state)) {
            answer_call(call, workflow_cancel_stored{});
            return;
        }
        constexpr int max_attempts = 3;
        store_cancel(job, max_attempts, call);
    });
}

void workflow_service::store_cancel(const job_id& job, int attempts_left, call_number call) {
    const std::array writes = {table_write{cancel_row_key(job), "cancel"}};
    table_.commit({}, writes,
                  [this, job, attempts_left, call](const absl::StatusOr<table_commit>& result) {
                      const bool rejected = code_of(result.status()) == result_code::write_rejected;
                      if (!result.ok() && !rejected && attempts_left > 1) {
                          constexpr duration pause = milliseconds(150);
                          timers_.once(pause, [this, job, attempts_left, call](instant) {
                              store_cancel(job, attempts_left - 1, call);
                          });
                          return;
                      }
                      log_event(log_level::info, "cancel_answered",
                                {{"job", job.view()}, {"stored", result.ok() ? "yes" : "unknown"}});
                      if (result.ok()) {
                          answer_call(call, workflow_cancel_stored{});
                      } else {
                          answer_call(call, answer_unavailable{retry_delay()});
                      }
                  });
}

void workflow_service::get_queue_status(const queue_id& queue, duration timeout,
                                        workflow_reply reply) {
    if (stopped_) {
        reply(answer_unavailable{retry_delay()});
        return;
    }
    const call_number call = open_call(job_id(), timeout, std::move(reply));
    table_.scan(waiting_row_key, 0, [this, queue, call](const absl::StatusOr<table_scan>& result) {
        if (!result.ok()) {
            answer_call(call, answer_unavailable{retry_delay()});
            return;
        }
        queue_status shown;
        if (!result->rows.empty() && result->rows.front().value) {
            const auto row = decode_fenced_value(*result->rows.front().value);
            const auto counts = row.ok() ? decode_waiting_counts(row->text)
                                         : absl::StatusOr<waiting_counts>(row.status());
            if (!counts.ok()) {
                log_event(log_level::error, "row_unreadable",
                          {{"key", waiting_row_key}, {"reason", message_of(counts.status())}});
                answer_call(call, answer_unavailable{retry_delay()});
                return;
            }
            const auto found = counts->find(queue);
            shown.waiting = found == counts->end() ? 0 : found->second;
        }
        answer_call(call, shown);
    });
}

} // namespace citronford
