#pragma once

#include "citronford/request_router.h"

#include "citronford/invariant.h"
#include "citronford/overloaded.h"
#include "citronford/request_queue.h"
#include "citronford/retry_budget.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <tuple>
#include <utility>

namespace citronford {

/// State of a router. The guards and actions of the chart `request` are in
/// request_router_steps.cpp.
class request_router::implementation {
  public:
    struct submitted {
        static constexpr std::string_view event_name = "submitted";
    };
    struct dispatched {
        static constexpr std::string_view event_name = "dispatched";
    };
    struct answered {
        static constexpr std::string_view event_name = "answered";
        const attempt_answered* answer = nullptr;
    };
    struct not_run {
        static constexpr std::string_view event_name = "not_run";
    };
    struct lost {
        static constexpr std::string_view event_name = "lost";
    };
    struct outcome_known {
        static constexpr std::string_view event_name = "outcome_done";
        const outcome_done* outcome = nullptr;
    };
    struct outcome_pending {
        static constexpr std::string_view event_name = "outcome_pending";
    };
    struct deadline_passed {
        static constexpr std::string_view event_name = "deadline_passed";
    };

    struct hedge_due {
        static constexpr std::string_view event_name = "hedge_due";
    };

    using request_event =
        std::variant<submitted, claim_granted, claim_duplicate, claim_unavailable, dispatched,
                     hedge_due, answered, not_run, lost, outcome_known, outcome_pending,
                     deadline_passed, caller_disconnected>;

    /// What happens to a request when its timer expires.
    enum class timer_kind : std::uint8_t { deadline, hedge, outcome_query };
    using timer_entry = std::tuple<instant, caller_id, timer_kind>;

    struct request_entry {
        request_submission submission;
        service_definition service;
        instant deadline;
        chart_position position{};
        executor_id executor; ///< Of the last attempt.
        endpoint address;     ///< Of the last attempt.
        attempt_id last_attempt{};
        std::vector<attempt_id> open_attempts; ///< Without a report yet; two when hedged.
        bool may_have_run = false;             ///< Set once an attempt was lost.
        request_queue::ticket queue_ticket{};
        bool team_was_at_limit = false; ///< When the request left the queue.
        std::vector<timer_entry> timers;
    };

    /// An attempt whose report has not arrived.
    struct open_attempt {
        caller_id caller{};
        request_id request;
        executor_id executor;
        team_id team;
        service_id service;
        instant sent_at;
    };

    /// State of one service.
    struct service_state {
        service_definition definition;
        /// False after the service was removed; its open requests are still finished.
        bool configured = false;
        bool spill = false; ///< Whether executors of other zones may be used.
        request_queue queue;
        retry_budget budget;
        router_counters counters;
        std::size_t open_attempts = 0;
        std::size_t peak_slots = 0; ///< Maximum of `slots()` since the last reset.

        [[nodiscard]] std::size_t slots() const { return queue.size() + open_attempts; }
        void update_peak_slots() { peak_slots = std::max(peak_slots, slots()); }
    };

    /// Context of the guards and actions of one step.
    struct step_context {
        implementation& router;
        request_entry& request;
        instant now;
        std::vector<router_effect>& effects;
    };
    using machine = chart_machine<step_context, request_event>;

    implementation(machine life_cycle, executor_set executors, router_options options,
                   team_limits& limits)
        : machine_(std::move(life_cycle)), executors_(std::move(executors)),
          options_(std::move(options)), limits_(limits) {}

    static std::span<const machine::guard> guards();
    static std::span<const machine::action> actions();

    void configure(const fleet_configuration& fleet);

    std::vector<router_effect> handle(const router_input& input, instant now);

    [[nodiscard]] std::size_t open_requests() const { return requests_.size(); }
    [[nodiscard]] std::size_t queued(const service_id& service) const {
        const auto found = services_.find(service);
        return found == services_.end() ? 0 : found->second.queue.size();
    }
    [[nodiscard]] std::size_t queued(const service_id& service, const team_id& team) const {
        const auto found = services_.find(service);
        return found == services_.end() ? 0 : found->second.queue.size(team);
    }
    [[nodiscard]] service_activity activity(const service_id& service) const {
        const auto found = services_.find(service);
        if (found == services_.end()) {
            return {};
        }
        const service_state& state = found->second;
        return {state.queue.size(), state.budget.tokens(), state.counters};
    }
    [[nodiscard]] std::map<service_id, std::size_t> take_peak_slots() {
        std::map<service_id, std::size_t> slots;
        for (auto& [name, service] : services_) {
            slots[name] = std::exchange(service.peak_slots, service.slots());
        }
        return slots;
    }
    [[nodiscard]] const router_counters& counters() const { return counters_; }
    [[nodiscard]] const executor_set& executors() const { return executors_; }

  private:
    using effects_out = std::vector<router_effect>&;

    void process(const request_submission& submission, instant now, effects_out effects);

    /// Decides whether a new request is accepted; returns `ok` or the reason of the refusal. An
    /// early refusal leaves the caller time to try elsewhere and keeps the executors from work that
    /// nobody waits for.
    result_code check_admission(const request_submission& submission, duration timeout,
                                instant now);

    /// Whether an attempt would probably end after its deadline. Always false while no attempt of
    /// the service is in flight, so that an outdated estimate is corrected.
    [[nodiscard]] bool would_miss_deadline(const service_state& service, duration remaining) const {
        return service.queue.p95_run_time() > remaining &&
               executors_.in_flight(service.definition.name) > 0;
    }

    void process(const claim_granted& event, instant now, effects_out effects) {
        step(event.caller, event, now, effects);
    }
    void process(const claim_duplicate& event, instant now, effects_out effects) {
        step(event.caller, event, now, effects);
    }
    void process(const claim_unavailable& event, instant now, effects_out effects) {
        step(event.caller, event, now, effects);
    }
    void process(const caller_disconnected& event, instant now, effects_out effects) {
        step(event.caller, event, now, effects);
    }

    void process(const attempt_report& report, instant now, effects_out effects);

    /// Returns the reported result, or `attempt_lost` if the answer names another request or
    /// attempt, since a misrouted answer is not a result of this attempt.
    static attempt_result checked_result(const attempt_report& report, const open_attempt& attempt);

    static request_event event_of(const attempt_result& result);

    static void record_answer(service_state& service, const attempt_answered& answer,
                              duration run_time);

    void process(const outcome_report& report, instant now, effects_out effects);

    void process(const executor_listing& listing, instant now, effects_out /*effects*/) {
        executors_.update(listing, now);
        dispatch_all();
    }

    void process(const probe_report& report, instant now, effects_out /*effects*/);

    void process(const router_tick& /*tick*/, instant now, effects_out effects);

    void schedule_timer(request_entry& request, instant due, timer_kind kind) {
        request.timers.emplace_back(due, request.submission.caller, kind);
        timers_.insert(request.timers.back());
    }

    void step(caller_id caller, const request_event& event, instant now, effects_out effects);

    /// Unblocks all teams before the dispatch, since the units of teams also change without an
    /// input to the router.
    void dispatch_all();

    void dispatch_queued(const service_id& name, instant now, effects_out effects);

    void send(request_entry& request, instant now, effects_out effects);

    void send_hedge(request_entry& request, instant now, effects_out effects);

    static void refuse(const request_submission& submission, result_code code, effects_out effects);

    /// Refuses a request before its id was checked in the table. A repeated request may have run,
    /// so that it is not refused as "not run".
    static void refuse_before_claim(const request_submission& submission, result_code code,
                                    effects_out effects);

    static void answer_with_code(step_context& context, result_code code) {
        const request_entry& request = context.request;
        invariant_monitor::check(entry_of(code).state != run_state::not_run ||
                                     (!request.may_have_run && request.open_attempts.empty()),
                                 "true-refusal", "a request that may have run is refused");
        // The id of an idempotent request is never checked in the table.
        if (request.service.idempotent) {
            refuse_before_claim(request.submission, code, context.effects);
        } else {
            refuse(request.submission, code, context.effects);
        }
    }

    service_state& service_of(const request_entry& request) {
        return services_[request.submission.service];
    }
    [[nodiscard]] bool retry_allowed(const request_entry& request, instant now) const {
        return now < request.deadline &&
               services_.at(request.submission.service).budget.available();
    }

    void release_unit(const team_id& team);

    void release_held_unit(attempt_id attempt);

    void release_held_units(instant now);

    machine machine_;
    executor_set executors_;
    router_options options_;
    team_limits& limits_;
    std::map<service_id, service_state> services_;
    std::map<caller_id, request_entry> requests_;
    std::map<attempt_id, open_attempt> attempts_;
    std::set<timer_entry> timers_;
    std::set<service_id> to_dispatch_;                ///< Services whose queue may make progress.
    std::map<team_id, std::set<service_id>> blocked_; ///< Queues in which the team is blocked.
    std::map<attempt_id, team_id> held_units_;        ///< Units held for lost attempts.
    std::deque<std::pair<instant, attempt_id>> held_unit_expiries_;
    router_counters counters_;
    std::uint64_t next_attempt_ = 1;
};

} // namespace citronford
