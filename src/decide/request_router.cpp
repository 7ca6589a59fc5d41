#include "citronford/request_router.h"

#include "citronford/invariant.h"
#include "citronford/overloaded.h"
#include "citronford/planted_fault.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace citronford {
namespace {

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

using request_event =
    std::variant<submitted, claim_granted, claim_duplicate, claim_unavailable, dispatched, answered,
                 not_run, lost, outcome_known, outcome_pending, deadline_passed, caller_gone>;

/// An executor as this node sees it.
struct executor_view {
    executor_listing::executor listing;
    int in_flight = 0;
};

struct request_entry {
    request_submission submission;
    service_definition service;
    instant deadline;
    chart_position position{};
    executor_id executor; ///< Of the last attempt.
    endpoint address;     ///< Of the last attempt.
    attempt_id last_attempt{};
    bool blocked_by_limit = false; ///< The last dispatch failed at the limit of the team.
    std::optional<instant> ask_at; ///< When the outcome is asked for again.
};

} // namespace

class request_router::implementation {
  public:
    /// What the actions of one step work on.
    struct step_context {
        implementation& router;
        request_entry& request;
        instant now;
        std::vector<router_effect>& effects;
    };
    using machine = chart_machine<step_context, request_event>;

    implementation(machine life_cycle, router_options options, team_limits& limits)
        : machine_(std::move(life_cycle)), options_(std::move(options)), limits_(limits),
          random_(options_.seed) {}

    static std::span<const machine::guard> guards();
    static std::span<const machine::action> actions();

    void configure(const fleet_configuration& fleet) {
        services_ = fleet.defaults.services;
        retry_ratio_ = fleet.defaults.retry_ratio;
    }

    std::vector<router_effect> handle(const router_input& input, instant now) {
        std::vector<router_effect> effects;
        std::visit([&](const auto& event) { take(event, now, effects); }, input);
        dispatch_queued(now, effects);
        return effects;
    }

    [[nodiscard]] std::size_t open_requests() const { return requests_.size(); }
    [[nodiscard]] std::size_t queued(const service_id& service) const {
        const auto found = queues_.find(service);
        return found == queues_.end() ? 0 : found->second.size();
    }

  private:
    using effects_out = std::vector<router_effect>&;

    void take(const request_submission& submission, instant now, effects_out effects) {
        const auto service =
            std::ranges::find(services_, submission.service, &service_definition::name);
        if (service == services_.end()) {
            refuse(submission, result_code::unknown_service, effects);
            return;
        }
        if (queued(submission.service) >= options_.queue_limit) {
            refuse(submission, result_code::queue_full, effects);
            return;
        }
        request_entry entry;
        entry.submission = submission;
        entry.service = *service;
        entry.deadline = now + submission.timeout;
        entry.position = machine_.initial();
        const auto [place, inserted] = requests_.emplace(submission.caller, std::move(entry));
        invariant_monitor::check(inserted, "whole-answer", "a caller id was used twice");
        step(submission.caller, submitted{}, now, effects);
    }

    void take(const claim_granted& event, instant now, effects_out effects) {
        step(event.caller, event, now, effects);
    }
    void take(const claim_duplicate& event, instant now, effects_out effects) {
        step(event.caller, event, now, effects);
    }
    void take(const claim_unavailable& event, instant now, effects_out effects) {
        step(event.caller, event, now, effects);
    }
    void take(const caller_gone& event, instant now, effects_out effects) {
        step(event.caller, event, now, effects);
    }

    void take(const attempt_report& report, instant now, effects_out effects) {
        const auto found = requests_.find(report.caller);
        if (found == requests_.end() || found->second.last_attempt != report.attempt) {
            return;
        }
        executor_view* executor = find_executor(found->second.executor);
        if (executor != nullptr) {
            --executor->in_flight;
        }
        const auto mark_leaving = [&](bool leaving) {
            if (executor != nullptr && leaving) {
                executor->listing.leaving = true;
            }
        };
        std::visit(
            overloaded{
                [&](const attempt_answered& result) {
                    mark_leaving(result.leaving);
                    ++successes_;
                    step(report.caller, answered{&result}, now, effects);
                },
                [&](const attempt_refused& result) {
                    mark_leaving(result.leaving);
                    step(report.caller, not_run{}, now, effects);
                },
                [&](const attempt_unreachable& /*result*/) {
                    step(report.caller, not_run{}, now, effects);
                },
                [&](const attempt_lost& /*result*/) { step(report.caller, lost{}, now, effects); },
            },
            report.result);
    }

    void take(const outcome_report& report, instant now, effects_out effects) {
        const auto* done = std::get_if<outcome_done>(&report.result);
        if (done != nullptr) {
            step(report.caller, outcome_known{done}, now, effects);
            return;
        }
        const auto found = requests_.find(report.caller);
        if (found != requests_.end()) {
            found->second.ask_at = now + options_.outcome_retry;
        }
    }

    void take(const executor_listing& listing, instant /*now*/, effects_out /*effects*/) {
        std::vector<executor_view> updated;
        for (const auto& executor : listing.executors) {
            const executor_view* before = find_executor(executor.id);
            executor_view& view = updated.emplace_back(executor_view{executor, 0});
            if (before != nullptr) {
                view.in_flight = before->in_flight;
                view.listing.leaving = view.listing.leaving || before->listing.leaving;
            }
        }
        executors_ = std::move(updated);
    }

    void take(const router_tick& /*tick*/, instant now, effects_out effects) {
        std::vector<caller_id> overdue;
        std::vector<caller_id> to_ask;
        for (auto& [caller, request] : requests_) {
            if (request.deadline <= now) {
                overdue.push_back(caller);
            } else if (request.ask_at && *request.ask_at <= now) {
                request.ask_at.reset();
                to_ask.push_back(caller);
            }
        }
        for (const caller_id caller : to_ask) {
            step(caller, outcome_pending{}, now, effects);
        }
        for (const caller_id caller : overdue) {
            step(caller, deadline_passed{}, now, effects);
        }
        release_held_units(now);
    }

    void step(caller_id caller, const request_event& event, instant now, effects_out effects) {
        const auto found = requests_.find(caller);
        if (found == requests_.end()) {
            return;
        }
        step_context context{*this, found->second, now, effects};
        machine_.step(found->second.position, context, event);
        if (machine_.is_final(found->second.position)) {
            requests_.erase(found);
        }
    }

    void dispatch_queued(instant now, effects_out effects) {
        for (auto& [service, queue] : queues_) {
            const std::vector<caller_id> waiting(queue.begin(), queue.end());
            for (const caller_id caller : waiting) {
                const executor_view* executor = chosen_executor(service);
                if (executor == nullptr) {
                    break;
                }
                dispatch(caller, *executor, now, effects);
            }
        }
    }

    void dispatch(caller_id caller, const executor_view& executor, instant now,
                  effects_out effects) {
        request_entry& request = requests_.at(caller);
        request.blocked_by_limit = !limits_.acquire(request.submission.team);
        if (request.blocked_by_limit) {
            return;
        }
        request.executor = executor.listing.id;
        request.address = executor.listing.address;
        step(caller, dispatched{}, now, effects);
    }

    /// The less loaded of two random executors with a free slot, from the zone of the node where
    /// it has any.
    const executor_view* chosen_executor(const service_id& service) {
        std::vector<const executor_view*> local;
        std::vector<const executor_view*> remote;
        for (const executor_view& executor : executors_) {
            if (executor.listing.service != service ||
                executor.in_flight >= options_.executor_slots ||
                (executor.listing.leaving && !fault_planted("departing"))) {
                continue;
            }
            (executor.listing.zone == options_.zone ? local : remote).push_back(&executor);
        }
        const auto& candidates = local.empty() ? remote : local;
        if (candidates.empty()) {
            return nullptr;
        }
        std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
        const executor_view* first = candidates[index(random_)];
        const executor_view* second = candidates[index(random_)];
        return second->in_flight < first->in_flight ? second : first;
    }

    executor_view* find_executor(const executor_id& id) {
        const auto found = std::ranges::find_if(
            executors_, [&](const executor_view& view) { return view.listing.id == id; });
        return found == executors_.end() ? nullptr : &*found;
    }

    static void refuse(const request_submission& submission, result_code code,
                       effects_out effects) {
        effects.emplace_back(answer_caller{submission.caller, entry_of(code).http_status, code,
                                           submission.request,
                                           std::string(entry_of(code).meaning)});
    }

    static void answer_code(step_context& context, result_code code) {
        refuse(context.request.submission, code, context.effects);
    }

    void release_held_units(instant now) {
        while (!held_units_.empty() && held_units_.front().first <= now) {
            limits_.release(held_units_.front().second);
            held_units_.pop_front();
        }
    }

    [[nodiscard]] bool retry_allowed() const {
        return static_cast<double>(retries_) <
               retry_ratio_ * static_cast<double>(successes_) + minimum_retries;
    }

    /// Retries that a node without any success so far may make.
    static constexpr double minimum_retries = 10;

    machine machine_;
    router_options options_;
    team_limits& limits_;
    std::minstd_rand random_;
    std::vector<service_definition> services_;
    double retry_ratio_ = 0;
    std::vector<executor_view> executors_;
    std::map<caller_id, request_entry> requests_;
    std::map<service_id, std::deque<caller_id>> queues_;
    std::deque<std::pair<instant, team_id>> held_units_; ///< Units of lost attempts, by expiry.
    std::uint64_t successes_ = 0;
    std::uint64_t retries_ = 0;
    std::uint64_t next_attempt_ = 1;
};

std::span<const request_router::implementation::machine::guard>
request_router::implementation::guards() {
    static constexpr machine::guard table[] = {
        {"needs_claim", [](const step_context& context,
                           const request_event&) { return !context.request.service.idempotent; }},
        {"is_idempotent", [](const step_context& context,
                             const request_event&) { return context.request.service.idempotent; }},
        {"may_retry",
         [](const step_context& context, const request_event&) {
             return context.now < context.request.deadline && context.router.retry_allowed();
         }},
        {"may_repeat",
         [](const step_context& context, const request_event&) {
             return (context.request.service.idempotent || fault_planted("at-most-once")) &&
                    context.now < context.request.deadline && context.router.retry_allowed();
         }},
        {"may_ask_again",
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
             const auto& submission = context.request.submission;
             context.router.queues_[submission.service].push_back(submission.caller);
         }},
        {"dequeue",
         [](step_context& context, const request_event&) {
             const auto& submission = context.request.submission;
             std::erase(context.router.queues_[submission.service], submission.caller);
         }},
        {"send_attempt",
         [](step_context& context, const request_event&) {
             request_entry& request = context.request;
             request.last_attempt = static_cast<attempt_id>(context.router.next_attempt_++);
             if (executor_view* executor = context.router.find_executor(request.executor)) {
                 ++executor->in_flight;
             }
             context.effects.emplace_back(
                 send_attempt{request.submission.caller, request.address,
                              attempt{request.last_attempt, request.submission.request,
                                      request.submission.service, request.submission.body,
                                      request.deadline - context.now}});
         }},
        {"ask_outcome",
         [](step_context& context, const request_event&) {
             context.effects.emplace_back(ask_outcome{context.request.submission.caller,
                                                      context.request.address,
                                                      context.request.submission.request});
         }},
        {"release_unit",
         [](step_context& context, const request_event&) {
             context.router.limits_.release(context.request.submission.team);
         }},
        {"hold_unit",
         [](step_context& context, const request_event&) {
             context.router.held_units_.emplace_back(
                 context.now + context.router.options_.unit_hold, context.request.submission.team);
         }},
        {"count_retry",
         [](step_context& context, const request_event&) { ++context.router.retries_; }},
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
             answer_code(context, result_code::table_unavailable);
         }},
        {"answer_deadline_passed",
         [](step_context& context, const request_event&) {
             answer_code(context, result_code::deadline_passed);
         }},
        {"answer_queue_timeout",
         [](step_context& context, const request_event&) {
             answer_code(context, context.request.blocked_by_limit ? result_code::team_limit_reached
                                                                   : result_code::deadline_passed);
         }},
        {"answer_no_backend_server",
         [](step_context& context, const request_event&) {
             answer_code(context, result_code::no_backend_server);
         }},
        {"answer_unknown",
         [](step_context& context, const request_event&) {
             answer_code(context, result_code::outcome_unknown);
         }},
        {"record_done",
         [](step_context& context, const request_event&) {
             if (!context.request.service.idempotent) {
                 context.effects.emplace_back(
                     record_outcome{context.request.submission.request, "done"});
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

absl::StatusOr<std::unique_ptr<request_router>>
request_router::create(const chart& life_cycle, router_options options, team_limits& limits) {
    auto machine = implementation::machine::create(life_cycle, implementation::guards(),
                                                   implementation::actions());
    if (!machine.ok()) {
        return machine.status();
    }
    auto body = std::make_unique<implementation>(*std::move(machine), std::move(options), limits);
    return std::unique_ptr<request_router>(new request_router(std::move(body)));
}

request_router::request_router(std::unique_ptr<implementation> body) : body_(std::move(body)) {}
request_router::~request_router() = default;

void request_router::configure(const fleet_configuration& fleet) {
    body_->configure(fleet);
}

std::vector<router_effect> request_router::handle(const router_input& input, instant now) {
    return body_->handle(input, now);
}

std::size_t request_router::open_requests() const {
    return body_->open_requests();
}

std::size_t request_router::queued(const service_id& service) const {
    return body_->queued(service);
}

} // namespace citronford
