#include "citronford/planted_fault.h"
#include "decide/request_router_state.h"

namespace citronford {

std::span<const request_router::implementation::machine::guard>
request_router::implementation::guards() {
    static constexpr machine::guard table[] = {
        {"needs_claim", [](const step_context& context,
                           const request_event&) { return !context.request.service.idempotent; }},
        {"is_idempotent", [](const step_context& context,
                             const request_event&) { return context.request.service.idempotent; }},
        {"may_have_run", [](const step_context& context,
                            const request_event&) { return context.request.may_have_run; }},
        {"attempt_open",
         [](const step_context& context, const request_event&) {
             return !context.request.open_attempts.empty();
         }},
        {"may_retry",
         [](const step_context& context, const request_event&) {
             return context.router.retry_allowed(context.request, context.now);
         }},
        {"may_retry_lost",
         [](const step_context& context, const request_event&) {
             return (context.request.service.idempotent || fault_planted("at-most-once")) &&
                    context.router.retry_allowed(context.request, context.now);
         }},
        {"may_query_again",
         [](const step_context& context, const request_event&) {
             return context.now < context.request.deadline;
         }},
    };
    return table;
}

std::span<const request_router::implementation::machine::action>
request_router::implementation::actions() {
    static constexpr machine::action table[] = {
        {"commit_claim",
         [](step_context& context, const request_event&) {
             const auto& submission = context.request.submission;
             context.effects.emplace_back(commit_claim{submission.caller, submission.request});
         }},
        {"abandon_claim",
         [](step_context& context, const request_event&) {
             context.effects.emplace_back(abandon_claim{context.request.submission.caller});
         }},
        {"enqueue",
         [](step_context& context, const request_event&) {
             request_entry& request = context.request;
             service_state& service = context.router.service_of(request);
             request.queue_ticket = service.queue.push(request.submission.team,
                                                       request.submission.caller, context.now);
             service.update_peak_slots();
             context.router.to_dispatch_.insert(request.submission.service);
         }},
        {"dequeue",
         [](step_context& context, const request_event&) {
             request_entry& request = context.request;
             request_queue& queue = context.router.service_of(request).queue;
             const team_id& team = request.submission.team;
             // The queue is also unblocked for every dispatch, so `blocked` alone misses teams at
             // their limit.
             const team_limits& limits = context.router.limits_;
             request.team_was_at_limit =
                 queue.blocked(team) ||
                 (!team.empty() && limits.running(team) >= limits.units(team));
             queue.erase(request.submission.team, request.queue_ticket);
         }},
        {"send_attempt",
         [](step_context& context, const request_event&) {
             request_entry& request = context.request;
             context.router.send(request, context.now, context.effects);
             const duration p95 = context.router.service_of(request).queue.p95_run_time();
             if (request.service.idempotent && p95 > duration::zero()) {
                 context.router.schedule_timer(request, context.now + p95, timer_kind::hedge);
             }
         }},
        {"send_hedge",
         [](step_context& context, const request_event&) {
             context.router.send_hedge(context.request, context.now, context.effects);
         }},
        {"query_outcome",
         [](step_context& context, const request_event&) {
             context.effects.emplace_back(query_outcome{context.request.submission.caller,
                                                        context.request.address,
                                                        context.request.submission.request});
         }},
        {"release_held_unit",
         [](step_context& context, const request_event&) {
             context.router.release_held_unit(context.request.last_attempt);
         }},
        {"spend_retry",
         [](step_context& context, const request_event&) {
             context.router.service_of(context.request).budget.spend();
             ++context.router.counters_.retries;
             ++context.router.service_of(context.request).counters.retries;
         }},
        {"answer_caller",
         [](step_context& context, const request_event& event) {
             const attempt_answered& answer = *std::get<answered>(event).answer;
             context.effects.emplace_back(
                 answer_caller{context.request.submission.caller, answer.status, result_code::ok,
                               context.request.submission.request, answer.body});
         }},
        {"answer_outcome",
         [](step_context& context, const request_event& event) {
             const outcome_done& outcome = *std::get<outcome_known>(event).outcome;
             context.effects.emplace_back(
                 answer_caller{context.request.submission.caller, outcome.status, result_code::ok,
                               context.request.submission.request, outcome.body});
         }},
        {"answer_duplicate",
         [](step_context& context, const request_event& event) {
             const auto& duplicate = std::get<claim_duplicate>(event);
             const auto code = result_code::duplicate_request;
             context.effects.emplace_back(
                 answer_caller{context.request.submission.caller, entry_of(code).http_status, code,
                               context.request.submission.request, duplicate.outcome});
         }},
        {"answer_table_unavailable",
         [](step_context& context, const request_event&) {
             refuse_before_claim(context.request.submission, result_code::table_unavailable,
                                 context.effects);
         }},
        {"answer_deadline_passed",
         [](step_context& context, const request_event&) {
             refuse_before_claim(context.request.submission, result_code::deadline_passed,
                                 context.effects);
         }},
        {"answer_queue_timeout",
         [](step_context& context, const request_event&) {
             answer_with_code(context, context.request.team_was_at_limit
                                           ? result_code::team_limit_reached
                                           : result_code::deadline_passed);
         }},
        {"answer_refused",
         [](step_context& context, const request_event&) {
             const bool spent = !context.router.service_of(context.request).budget.available();
             answer_with_code(context, spent ? result_code::retry_budget_spent
                                             : result_code::no_backend_server);
         }},
        {"answer_unknown",
         [](step_context& context, const request_event&) {
             answer_with_code(context, fault_planted("true-refusal")
                                           ? result_code::deadline_passed
                                           : result_code::outcome_unknown);
         }},
        {"record_done",
         [](step_context& context, const request_event&) {
             if (!context.request.service.idempotent) {
                 context.effects.emplace_back(
                     record_outcome{context.request.submission.request, "done"});
             }
         }},
        {"forget_claim",
         [](step_context& context, const request_event&) {
             if (!context.request.service.idempotent) {
                 context.effects.emplace_back(forget_claim{context.request.submission.request});
             }
         }},
        {"record_not_run",
         [](step_context& context, const request_event&) {
             if (!context.request.service.idempotent) {
                 context.effects.emplace_back(
                     record_outcome{context.request.submission.request, "not_run"});
             }
         }},
    };
    return table;
}

} // namespace citronford
