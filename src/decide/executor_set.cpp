#include "citronford/executor_set.h"

#include "citronford/overloaded.h"
#include "citronford/planted_fault.h"

#include <algorithm>
#include <utility>

namespace citronford {
namespace {

/// Additive increase of the concurrency limit over as many answers as the limit. Each increase by a
/// whole slot costs a refusal if other nodes share the executor, so it is small compared with the
/// retry budget.
constexpr double limit_increase = 0.2;
constexpr double limit_decrease_factor = 0.7;
/// Pause after a refusal, in which the executor gets no new requests.
constexpr duration refusal_pause = milliseconds(10);
/// Minimum time between two decreases, so that the attempts lost in one incident count once.
constexpr duration limit_decrease_interval = milliseconds(100);
/// Consecutive failures at which an executor is ejected after a server error.
constexpr int max_failures = 5;
/// Consecutive failures at which an executor is ejected after a lost attempt.
constexpr int max_losses = 3;
constexpr int first_server_error = 500;

} // namespace

absl::StatusOr<executor_set> executor_set::create(const chart& life_cycle,
                                                  executor_set_options options) {
    auto bound = machine::create(life_cycle, guards(), actions());
    if (!bound.ok()) {
        return bound.status();
    }
    return executor_set(*std::move(bound), std::move(options));
}

executor_set::executor_set(machine life_cycle, executor_set_options options)
    : machine_(std::move(life_cycle)), options_(std::move(options)),
      healthy_(machine_.position_of("healthy")), suspect_(machine_.position_of("suspect")),
      leaving_(machine_.position_of("leaving")), random_(options_.seed) {}

std::span<const executor_set::machine::guard> executor_set::guards() {
    static constexpr machine::guard table[] = {
        // An error that most executors of a service return is a fault of the service, not of this
        // executor.
        {"fails_more_than_others",
         [](const step_context& context, const event&) {
             if (context.subject.failures < max_failures) {
                 return false;
             }
             std::size_t working = 0;
             std::size_t total = 0;
             for (const service_id& service : context.subject.services) {
                 for (const executor* other : context.set.members(service)) {
                     ++total;
                     working += context.set.accepts_work(*other) && other->failures == 0 ? 1 : 0;
                 }
             }
             return 2 * working >= total;
         }},
        {"loses_repeatedly", [](const step_context& context,
                                const event&) { return context.subject.failures >= max_losses; }},
        {"contact_overdue",
         [](const step_context& context, const event&) {
             return context.now - context.subject.last_contact_at >=
                    context.set.options_.probe_interval;
         }},
        {"backoff_passed",
         [](const step_context& context, const event&) {
             return context.now >= context.subject.next_probe_at;
         }},
        {"may_remove",
         [](const step_context& context, const event&) {
             const executor& subject = context.subject;
             return !subject.listed && subject.in_flight == 0 &&
                    context.now - subject.unlisted_at >= context.set.options_.rejoin_delay;
         }},
        {"may_rejoin",
         [](const step_context& context, const event&) {
             const executor& subject = context.subject;
             return subject.listed &&
                    (!subject.departure_seen_at ||
                     context.now - *subject.departure_seen_at >= context.set.options_.rejoin_delay);
         }},
    };
    return table;
}

std::span<const executor_set::machine::action> executor_set::actions() {
    static constexpr machine::action table[] = {
        {"raise_limit",
         [](step_context& context, const event&) {
             executor& subject = context.subject;
             const double slots = context.set.options_.slots;
             subject.limit = std::min(subject.limit + limit_increase / subject.limit, slots);
         }},
        // The slots beyond those in flight are in use by other nodes.
        {"limit_to_accepted",
         [](step_context& context, const event&) {
             executor& subject = context.subject;
             subject.limit = std::max(static_cast<double>(subject.in_flight), 1.0);
             subject.saturated_until = context.now + refusal_pause;
         }},
        {"lower_limit",
         [](step_context& context, const event&) {
             executor& subject = context.subject;
             if (context.now - subject.limit_lowered_at >= limit_decrease_interval) {
                 subject.limit = std::max(subject.limit * limit_decrease_factor, 1.0);
                 subject.limit_lowered_at = context.now;
             }
         }},
        {"send_probe",
         [](step_context& context, const event&) {
             executor& subject = context.subject;
             if (subject.probe_sent_at &&
                 context.now - *subject.probe_sent_at < context.set.options_.probe_timeout) {
                 return;
             }
             subject.probe_sent_at = context.now;
             context.set.probes_.push_back({subject.id, subject.address});
         }},
        {"begin_backoff",
         [](step_context& context, const event&) {
             executor& subject = context.subject;
             constexpr int max_doublings = 16;
             const auto& options = context.set.options_;
             const int doublings = std::min(subject.ejections++, max_doublings);
             subject.next_probe_at =
                 context.now + std::min(options.initial_backoff * (std::int64_t{1} << doublings),
                                        options.max_backoff);
             subject.limit = 1;
         }},
    };
    return table;
}

void executor_set::step(executor& subject, const event& occurred, instant now) {
    step_context context{*this, subject, now};
    machine_.step(subject.position, context, occurred);
}

void executor_set::set_removed_zones(std::span<const zone_removal> removals) {
    removed_zones_.clear();
    for (const zone_removal& removal : removals) {
        removed_zones_.insert(removal.zone);
    }
}

void executor_set::update(const executor_listing& listing, instant now) {
    has_listing_ = true;
    std::map<executor_id, std::vector<service_id>> services;
    std::set<executor_id> leaving;
    for (const auto& item : listing.executors) {
        services[item.id].push_back(item.service);
        if (item.leaving) {
            leaving.insert(item.id);
        }
        const auto [place, added] = executors_.try_emplace(item.id);
        executor& subject = place->second;
        if (added) {
            subject.id = item.id;
            subject.position = machine_.initial();
            subject.limit = options_.slots;
            subject.limit_lowered_at = now;
            subject.last_contact_at = now;
        }
        subject.zone = item.zone;
        subject.address = item.address;
    }
    for (auto& [id, subject] : executors_) {
        const auto found = services.find(id);
        if (subject.listed && found == services.end()) {
            subject.unlisted_at = now;
        }
        subject.listed = found != services.end();
        if (leaving.contains(id)) {
            record_departure(subject, now);
        } else if (!subject.listed) {
            step(subject, unlisted{}, now);
        }
        if (subject.listed) {
            subject.services = found->second;
        }
    }
    rebuild_index();
}

void executor_set::tick(instant now) {
    for (auto& [id, subject] : executors_) {
        step(subject, tick_passed{}, now);
    }
    const auto gone = std::erase_if(
        executors_, [&](const auto& item) { return machine_.is_final(item.second.position); });
    if (gone > 0) {
        rebuild_index();
    }
}

void executor_set::rebuild_index() {
    by_service_.clear();
    for (auto& [id, subject] : executors_) {
        for (const service_id& service : subject.services) {
            by_service_[service].push_back(&subject);
        }
    }
}

void executor_set::record_probe(const probe_report& report, instant now) {
    executor* subject = find(report.executor);
    if (subject == nullptr) {
        return;
    }
    subject->probe_sent_at.reset();
    if (report.leaving) {
        record_departure(*subject, now);
    } else if (report.healthy) {
        subject->last_contact_at = now;
        step(*subject, probe_healthy{}, now);
    } else {
        step(*subject, probe_failed{}, now);
    }
}

void executor_set::record_departure(executor& subject, instant now) {
    subject.departure_seen_at = now;
    step(subject, departure{}, now);
}

std::optional<executor_set::choice> executor_set::choose(const service_id& service, bool spill,
                                                         instant now, const executor_id& excluded) {
    std::vector<const executor*> local;
    std::vector<const executor*> remote;
    for (const executor* candidate : members(service)) {
        if (!accepts_work(*candidate) || !in_allowed_zone(*candidate, spill) ||
            candidate->id == excluded || candidate->saturated_until > now ||
            candidate->in_flight >= static_cast<int>(candidate->limit)) {
            continue;
        }
        if (candidate->zone == options_.zone) {
            local.push_back(candidate);
        } else if (2 * candidate->in_flight < static_cast<int>(candidate->limit)) {
            remote.push_back(candidate);
        }
    }
    const auto& candidates = local.empty() ? remote : local;
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
    const executor* first = candidates[index(random_)];
    const executor* second = candidates[index(random_)];
    const executor* chosen = second->in_flight < first->in_flight ? second : first;
    return choice{chosen->id, chosen->address};
}

void executor_set::record_sent(const executor_id& id) {
    if (executor* subject = find(id)) {
        ++subject->in_flight;
    }
}

void executor_set::record_result(const executor_id& id, const attempt_result& result, instant now) {
    executor* subject = find(id);
    if (subject == nullptr) {
        return;
    }
    --subject->in_flight;
    bool announces_departure = false;
    std::visit(overloaded{
                   [&](const attempt_answered& answer) {
                       announces_departure = answer.leaving;
                       subject->last_contact_at = now;
                       if (answer.status >= first_server_error) {
                           ++subject->failures;
                           step(*subject, failed{}, now);
                       } else {
                           subject->failures = 0;
                           subject->ejections = 0;
                           step(*subject, answered{}, now);
                       }
                   },
                   [&](const attempt_refused& answer) {
                       announces_departure = answer.leaving;
                       subject->last_contact_at = now;
                       step(*subject, refused{}, now);
                   },
                   [&](const attempt_unreachable&) { step(*subject, unreachable{}, now); },
                   [&](const attempt_lost&) {
                       ++subject->failures;
                       step(*subject, lost{}, now);
                   },
               },
               result);
    if (announces_departure) {
        record_departure(*subject, now);
    }
}

int executor_set::capacity(const service_id& service, bool spill) const {
    int total = 0;
    for (const executor* member : members(service)) {
        if (accepts_work(*member) && in_allowed_zone(*member, spill)) {
            total += static_cast<int>(member->limit);
        }
    }
    return total;
}

int executor_set::in_flight(const service_id& service) const {
    int total = 0;
    for (const executor* member : members(service)) {
        total += member->in_flight;
    }
    return total;
}

bool executor_set::available(const service_id& service, bool spill) const {
    return std::ranges::any_of(members(service), [&](const executor* member) {
        return in_allowed_zone(*member, spill) &&
               (accepts_work(*member) || member->position == suspect_);
    });
}

std::span<const service_id> executor_set::services_of(const executor_id& id) const {
    const auto found = executors_.find(id);
    return found == executors_.end() ? std::span<const service_id>() : found->second.services;
}

std::string_view executor_set::state_of(const executor_id& id) const {
    const auto found = executors_.find(id);
    return found == executors_.end() ? "" : machine_.name_of(found->second.position);
}

std::vector<probe_executor> executor_set::take_probes() {
    return std::exchange(probes_, {});
}

bool executor_set::accepts_work(const executor& subject) const {
    return subject.position == healthy_ ||
           (fault_planted("departing") && subject.position == leaving_);
}

bool executor_set::in_allowed_zone(const executor& subject, bool spill) const {
    return (spill || subject.zone == options_.zone || removed_zones_.contains(options_.zone)) &&
           !removed_zones_.contains(subject.zone);
}

executor_set::executor* executor_set::find(const executor_id& id) {
    const auto found = executors_.find(id);
    return found == executors_.end() ? nullptr : &found->second;
}

std::span<executor_set::executor* const> executor_set::members(const service_id& service) const {
    const auto found = by_service_.find(service);
    return found == by_service_.end() ? std::span<executor* const>() : found->second;
}

} // namespace citronford
