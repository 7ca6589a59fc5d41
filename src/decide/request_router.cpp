#include "citronford/request_router.h"

#include "citronford/invariant.h"
#include "citronford/planted_fault.h"
#include "decide/request_router_state.h"

#include <algorithm>

namespace citronford {

void request_router::implementation::configure(const fleet_configuration& fleet) {
    for (auto& [name, service] : services_) {
        service.configured = false;
    }
    for (const service_definition& definition : fleet.defaults.services) {
        service_state& service = services_[definition.name];
        service.definition = definition;
        service.configured = true;
        service.budget.set_ratio(fleet.defaults.retry_ratio);
        service.spill = exception_value(fleet, "service/" + definition.name.str(), "spill") == "on";
    }
    executors_.set_removed_zones(fleet.removals);
}

std::vector<router_effect> request_router::implementation::handle(const router_input& input,
                                                                  instant now) {
    std::vector<router_effect> effects;
    std::visit([&](const auto& event) { process(event, now, effects); }, input);
    // A step can release units of a team that requests of other services wait for.
    while (!to_dispatch_.empty()) {
        const service_id service = *to_dispatch_.begin();
        to_dispatch_.erase(to_dispatch_.begin());
        dispatch_queued(service, now, effects);
    }
    for (probe_executor& probe : executors_.take_probes()) {
        effects.emplace_back(std::move(probe));
    }
    return effects;
}

void request_router::implementation::process(const request_submission& submission, instant now,
                                             effects_out effects) {
    const duration timeout = std::min(submission.timeout, options_.max_timeout);
    const result_code code = check_admission(submission, timeout, now);
    if (code != result_code::ok) {
        refuse_before_claim(submission, code, effects);
        return;
    }
    request_entry entry;
    entry.submission = submission;
    entry.service = services_.at(submission.service).definition;
    entry.deadline = now + timeout;
    entry.position = machine_.initial();
    const auto [place, inserted] = requests_.emplace(submission.caller, std::move(entry));
    invariant_monitor::check(inserted, "whole-answer", "a caller id was used twice");
    schedule_timer(place->second, place->second.deadline, timer_kind::deadline);
    step(submission.caller, submitted{}, now, effects);
}

result_code request_router::implementation::check_admission(const request_submission& submission,
                                                            duration timeout, instant now) {
    const auto found = services_.find(submission.service);
    if (found == services_.end() || !found->second.configured) {
        return result_code::unknown_service;
    }
    const service_id& name = found->first;
    service_state& service = found->second;
    if (executors_.has_listing() && !executors_.available(name, service.spill)) {
        return result_code::no_backend_server;
    }
    if (service.queue.size(submission.team) >= options_.queue_limit) {
        return result_code::queue_full;
    }
    const int capacity = executors_.capacity(name, service.spill);
    const duration wait = service.queue.estimated_wait(submission.team, capacity, now);
    if (would_miss_deadline(service, timeout - wait)) {
        ++counters_.shed;
        ++service.counters.shed;
        return result_code::deadline_passed;
    }
    if (service.queue.blocked(submission.team)) {
        const auto ahead = static_cast<std::int64_t>(service.queue.size(submission.team));
        const std::int64_t units = std::max(limits_.units(submission.team), std::int64_t{1});
        if (would_miss_deadline(service, timeout - service.queue.mean_run_time() * ahead / units)) {
            ++counters_.shed;
            ++service.counters.shed;
            return result_code::team_limit_reached;
        }
    }
    return result_code::ok;
}

void request_router::implementation::process(const attempt_report& report, instant now,
                                             effects_out effects) {
    const auto found = attempts_.find(report.attempt);
    if (found == attempts_.end() || found->second.caller != report.caller) {
        return;
    }
    const open_attempt attempt = std::move(found->second);
    attempts_.erase(found);
    const attempt_result result = checked_result(report, attempt);
    executors_.record_result(attempt.executor, result, now);
    for (const service_id& service : executors_.services_of(attempt.executor)) {
        to_dispatch_.insert(service);
    }
    to_dispatch_.insert(attempt.service);
    service_state& service_of_attempt = services_[attempt.service];
    --service_of_attempt.open_attempts;
    service_of_attempt.queue.record_free_slot(now);
    const auto request = requests_.find(report.caller);
    const bool open =
        request != requests_.end() && std::erase(request->second.open_attempts, report.attempt) > 0;
    if (std::holds_alternative<attempt_lost>(result)) {
        held_units_.emplace(report.attempt, attempt.team);
        held_unit_expiries_.emplace_back(now + options_.lost_attempt_hold, report.attempt);
        if (open) {
            request->second.may_have_run = true;
        }
    } else {
        release_unit(attempt.team);
    }
    if (const auto* answer = std::get_if<attempt_answered>(&result)) {
        record_answer(services_[attempt.service], *answer, now - attempt.sent_at);
    }
    if (open) {
        step(report.caller, event_of(result), now, effects);
    }
}

attempt_result request_router::implementation::checked_result(const attempt_report& report,
                                                              const open_attempt& attempt) {
    const auto* answer = std::get_if<attempt_answered>(&report.result);
    if (answer != nullptr && !fault_planted("whole-answer") &&
        (answer->request != attempt.request || answer->attempt != report.attempt)) {
        return attempt_lost{};
    }
    return report.result;
}

request_router::implementation::request_event
request_router::implementation::event_of(const attempt_result& result) {
    return std::visit(
        overloaded{
            [](const attempt_answered& item) -> request_event { return answered{&item}; },
            [](const attempt_refused&) -> request_event { return not_run{}; },
            [](const attempt_unreachable&) -> request_event { return not_run{}; },
            [](const attempt_lost&) -> request_event { return lost{}; },
        },
        result);
}

void request_router::implementation::record_answer(service_state& service,
                                                   const attempt_answered& answer,
                                                   duration run_time) {
    constexpr int first_server_error = 500;
    service.queue.record_run_time(run_time);
    if (answer.status < first_server_error) {
        service.budget.record_success();
    }
}

void request_router::implementation::process(const outcome_report& report, instant now,
                                             effects_out effects) {
    const auto* done = std::get_if<outcome_done>(&report.result);
    if (done != nullptr) {
        step(report.caller, outcome_known{done}, now, effects);
        return;
    }
    const auto found = requests_.find(report.caller);
    if (found != requests_.end()) {
        schedule_timer(found->second, now + options_.outcome_query_interval,
                       timer_kind::outcome_query);
    }
}

void request_router::implementation::process(const probe_report& report, instant now,
                                             effects_out /*effects*/) {
    executors_.record_probe(report, now);
    for (const service_id& service : executors_.services_of(report.executor)) {
        to_dispatch_.insert(service);
    }
}

void request_router::implementation::process(const router_tick& /*tick*/, instant now,
                                             effects_out effects) {
    release_held_units(now);
    executors_.tick(now);
    while (!timers_.empty() && std::get<instant>(*timers_.begin()) <= now) {
        const auto [due, caller, kind] = *timers_.begin();
        timers_.erase(timers_.begin());
        switch (kind) {
        case timer_kind::deadline:
            step(caller, deadline_passed{}, now, effects);
            break;
        case timer_kind::hedge:
            step(caller, hedge_due{}, now, effects);
            break;
        case timer_kind::outcome_query:
            step(caller, outcome_pending{}, now, effects);
            break;
        }
    }
    dispatch_all();
}

void request_router::implementation::step(caller_id caller, const request_event& event, instant now,
                                          effects_out effects) {
    const auto found = requests_.find(caller);
    if (found == requests_.end()) {
        return;
    }
    step_context context{*this, found->second, now, effects};
    machine_.step(found->second.position, context, event);
    if (machine_.is_final(found->second.position)) {
        for (const timer_entry& item : found->second.timers) {
            timers_.erase(item);
        }
        requests_.erase(found);
    }
}

void request_router::implementation::dispatch_all() {
    for (auto& [name, service] : services_) {
        if (service.queue.size() > 0) {
            service.queue.unblock_all();
            to_dispatch_.insert(name);
        }
    }
}

void request_router::implementation::dispatch_queued(const service_id& name, instant now,
                                                     effects_out effects) {
    service_state& service = services_[name];
    while (service.queue.size() > 0) {
        const auto executor = executors_.choose(name, service.spill, now);
        const auto caller = executor ? service.queue.next() : std::nullopt;
        if (!caller) {
            return;
        }
        request_entry& request = requests_.at(*caller);
        if (would_miss_deadline(service, request.deadline - now)) {
            step(*caller, deadline_passed{}, now, effects);
        } else if (!limits_.acquire(request.submission.team)) {
            service.queue.block(request.submission.team);
            blocked_[request.submission.team].insert(name);
        } else {
            request.executor = executor->id;
            request.address = executor->address;
            step(*caller, dispatched{}, now, effects);
        }
    }
}

void request_router::implementation::send(request_entry& request, instant now,
                                          effects_out effects) {
    const auto& submission = request.submission;
    invariant_monitor::check(request.service.idempotent ||
                                 (!request.may_have_run && request.open_attempts.empty()),
                             "at-most-once", "a request that may have run is sent again");
    invariant_monitor::check(executors_.state_of(request.executor) != "leaving", "departing",
                             "a request is sent to a leaving executor");
    request.last_attempt = static_cast<attempt_id>(next_attempt_++);
    request.open_attempts.push_back(request.last_attempt);
    attempts_.emplace(request.last_attempt,
                      open_attempt{submission.caller, submission.request, request.executor,
                                   submission.team, submission.service, now});
    service_state& service = services_[submission.service];
    ++service.open_attempts;
    service.update_peak_slots();
    executors_.record_sent(request.executor);
    duration timeout = request.deadline - now;
    if (!request.service.idempotent) {
        // Part of the time is reserved to query the outcome of a lost attempt.
        constexpr int query_reserve_divisor = 5;
        timeout -= std::min(timeout / query_reserve_divisor, options_.max_query_reserve);
    }
    effects.emplace_back(send_attempt{submission.caller, request.address,
                                      attempt{request.last_attempt, submission.request,
                                              submission.service, submission.body, timeout}});
}

void request_router::implementation::send_hedge(request_entry& request, instant now,
                                                effects_out effects) {
    const auto& submission = request.submission;
    service_state& service = services_[submission.service];
    // While requests are queued, a hedge would take the slot of one that was not sent at all.
    if (service.queue.size() > 0) {
        return;
    }
    const auto executor =
        executors_.choose(submission.service, service.spill, now, request.executor);
    if (!executor || !limits_.acquire(submission.team)) {
        return;
    }
    service.budget.spend();
    ++counters_.hedges;
    ++service.counters.hedges;
    request.executor = executor->id;
    request.address = executor->address;
    send(request, now, effects);
}

void request_router::implementation::refuse(const request_submission& submission, result_code code,
                                            effects_out effects) {
    effects.emplace_back(answer_caller{submission.caller, entry_of(code).http_status, code,
                                       submission.request, std::string(entry_of(code).meaning)});
}

void request_router::implementation::refuse_before_claim(const request_submission& submission,
                                                         result_code code, effects_out effects) {
    const result_code reported = refusal_before_claim(code, submission.repeated);
    refuse(submission, reported, effects);
    if (reported != code) {
        std::get<answer_caller>(effects.back()).body = reason_of(code);
    }
}

void request_router::implementation::release_unit(const team_id& team) {
    limits_.release(team);
    const auto found = blocked_.find(team);
    if (found == blocked_.end()) {
        return;
    }
    for (const service_id& service : found->second) {
        services_[service].queue.unblock(team);
        to_dispatch_.insert(service);
    }
    blocked_.erase(found);
}

void request_router::implementation::release_held_unit(attempt_id attempt) {
    const auto found = held_units_.find(attempt);
    if (found != held_units_.end()) {
        release_unit(found->second);
        held_units_.erase(found);
    }
}

void request_router::implementation::release_held_units(instant now) {
    while (!held_unit_expiries_.empty() && held_unit_expiries_.front().first <= now) {
        release_held_unit(held_unit_expiries_.front().second);
        held_unit_expiries_.pop_front();
    }
}

absl::StatusOr<std::unique_ptr<request_router>>
request_router::create(router_charts charts, router_options options, team_limits& limits) {
    auto machine = implementation::machine::create(charts.request, implementation::guards(),
                                                   implementation::actions());
    if (!machine.ok()) {
        return machine.status();
    }
    auto executors = executor_set::create(charts.connection, options.executors);
    if (!executors.ok()) {
        return executors.status();
    }
    auto impl = std::make_unique<implementation>(*std::move(machine), *std::move(executors),
                                                 std::move(options), limits);
    return std::unique_ptr<request_router>(new request_router(std::move(impl)));
}

request_router::request_router(std::unique_ptr<implementation> impl) : impl_(std::move(impl)) {}
request_router::~request_router() = default;

void request_router::configure(const fleet_configuration& fleet) {
    impl_->configure(fleet);
}

std::vector<router_effect> request_router::handle(const router_input& input, instant now) {
    return impl_->handle(input, now);
}

std::size_t request_router::open_requests() const {
    return impl_->open_requests();
}

std::size_t request_router::queued(const service_id& service) const {
    return impl_->queued(service);
}

std::size_t request_router::queued(const service_id& service, const team_id& team) const {
    return impl_->queued(service, team);
}

service_activity request_router::activity(const service_id& service) const {
    return impl_->activity(service);
}

std::map<service_id, std::size_t> request_router::take_peak_slots() {
    return impl_->take_peak_slots();
}

const router_counters& request_router::counters() const {
    return impl_->counters();
}

std::string_view request_router::executor_state(const executor_id& executor) const {
    return impl_->executors().state_of(executor);
}

} // namespace citronford
