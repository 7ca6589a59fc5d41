#include "citronford/load_admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <xxhash.h>

namespace citronford {
namespace {

/// A workflow is useful until this many objectives have passed.
constexpr int objectives_of_useful_time = 3;

/// The measured pace is used once the cores of a pool have been about the same for this long. It is
/// measured over a second, at the end of tasks: before, it shows the time before the burst.
constexpr duration steady_time = seconds(2);

/// Growth of the cores above which the pace is measured anew.
constexpr double steady_growth = 1.1;

/// Bounds of the pace as a share of the cores. Below, tasks are more likely held up by a short loss
/// of contact; above, their estimates are wrong for a while.
constexpr double min_pace = 0.5;
constexpr double max_pace = 2;

/// Work admitted this long before a report may be missing from it: the time of a write, of the
/// owner's tick and of two held watches.
constexpr duration report_delay = milliseconds(60);

constexpr duration min_retry_delay = seconds(1);
constexpr duration max_retry_delay = seconds(30);

/// The share of a delay that is added, by job: between zero and a half.
double spread_of(const job_id& job) {
    constexpr std::uint64_t steps = 1024;
    const std::uint64_t hash = XXH64(job.view().data(), job.view().size(), 1);
    return 0.5 * static_cast<double>(hash % steps) / static_cast<double>(steps);
}

/// The share of the submissions that an owner with this backlog gets. It falls with the backlog,
/// and steeply near the limit: callers that were refused return together, and a report comes twice
/// a second.
double admitted_share(duration backlog, duration limit) {
    const double room =
        1 - static_cast<double>(backlog.count()) / static_cast<double>(limit.count());
    return room > 0 ? room * room : 0;
}

/// A place of the job between zero and one, independent of its delay.
double place_of(const job_id& job) {
    constexpr std::uint64_t steps = 1024;
    const std::uint64_t hash = XXH64(job.view().data(), job.view().size(), 2);
    return static_cast<double>(hash % steps) / static_cast<double>(steps);
}

duration duration_of(double span_s) {
    const double longest_s = std::chrono::duration<double>(longest_wait).count();
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(span_s, longest_s)));
}

double seconds_of(duration span) {
    return std::chrono::duration<double>(span).count();
}

double core_s_of(const workflow_spec& spec) {
    double sum = 0;
    for (const workflow_step& step : spec.steps) {
        sum += estimated_core_s(step, step.tasks);
    }
    return sum;
}

/// Long-running and scheduled work is never refused.
bool may_be_refused(const workflow_spec& spec) {
    return spec.occurrences == 0 && std::ranges::none_of(spec.steps, &workflow_step::long_running);
}

} // namespace

std::string_view name_of(load_refusal reason) {
    constexpr std::string_view names[] = {"useless", "beyond_share", "owner_behind"};
    return names[static_cast<std::size_t>(reason)];
}

bool has_usable_objective(const queue_definition& queue) {
    return std::isfinite(queue.stretch) && queue.stretch > 0 &&
           queue.objective_slack >= milliseconds::zero();
}

std::optional<duration> objective_of(const queue_definition& queue, duration critical_path) {
    const bool unset = queue.stretch == 1 && queue.objective_slack == milliseconds::zero();
    if (unset || !has_usable_objective(queue) || critical_path < duration::zero()) {
        return std::nullopt;
    }
    // Three objectives of this length still fit a duration.
    constexpr double longest_s = 1e9;
    const double objective_s =
        seconds_of(critical_path) * queue.stretch + seconds_of(queue.objective_slack);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(objective_s, longest_s)));
}

absl::StatusOr<load_admission> load_admission::create(const chart& life_cycle,
                                                      load_admission_options options) {
    static constexpr machine::guard guards[] = {
        {"pressure_is_high",
         [](const step_context& context, const event&) {
             return pressure_of(context.pool.load) >= context.admission.options_.high_pressure;
         }},
        {"pressure_is_low",
         [](const step_context& context, const event&) {
             return pressure_of(context.pool.load) < reported_pressure;
         }},
    };
    static constexpr machine::action actions[] = {
        {"reset_pace",
         [](step_context& context, const event&) {
             context.pool.steady_since = context.now;
             context.pool.steady_cores = context.pool.load.cores;
         }},
        {"update_pace",
         [](step_context& context, const event&) {
             pool_entry& pool = context.pool;
             if (pool.load.cores > pool.steady_cores * steady_growth ||
                 pool.load.cores * steady_growth < pool.steady_cores) {
                 pool.steady_since = context.now;
                 pool.steady_cores = pool.load.cores;
             }
         }},
    };
    auto bound = machine::create(life_cycle, guards, actions);
    if (!bound.ok()) {
        return bound.status();
    }
    return load_admission(*std::move(bound), options);
}

bool load_admission::handle(const load_input& input, instant now) {
    return std::visit([&](const auto& item) { return apply(item, now); }, input);
}

bool load_admission::apply(const load_report_received& input, instant now) {
    // A change can be delivered twice, and a report of an earlier owner can be stored late.
    const auto order = std::pair(input.token, input.report.sequence);
    if (received_ && order <= std::pair(token_, sequence_)) {
        return false;
    }
    received_ = true;
    std::tie(token_, sequence_) = order;
    received_at_ = now;
    expires_at_ = input.stored_after + options_.report_lifetime;
    if (!is_current(now)) {
        return apply(load_tick{}, now);
    }
    owner_backlog_ = input.report.owner_backlog;
    teams_beyond_share_ = {input.report.teams_beyond_share.begin(),
                           input.report.teams_beyond_share.end()};
    std::set<pool_id> listed;
    for (const reported_pool& load : input.report.pools) {
        listed.insert(load.pool);
        const auto [found, added] = pools_.try_emplace(load.pool);
        pool_entry& pool = found->second;
        if (added) {
            pool.position = machine_.initial();
        }
        pool.load = load;
        std::erase_if(pool.admitted, [now](const own_work& work) {
            return work.admitted_at + report_delay <= now;
        });
        step(pool, load_reported{}, now);
    }
    for (auto& [name, pool] : pools_) {
        if (!listed.contains(name)) {
            step(pool, pressure_ended{}, now);
        }
    }
    drop_ended_pools();
    return true;
}

bool load_admission::apply(const load_tick& /*input*/, instant now) {
    if (is_current(now) || pools_.empty()) {
        return false;
    }
    for (auto& [name, pool] : pools_) {
        step(pool, report_outdated{}, now);
    }
    drop_ended_pools();
    return true;
}

void load_admission::step(pool_entry& pool, const event& trigger, instant now) {
    step_context context{*this, pool, now};
    machine_.step(pool.position, context, trigger);
}

void load_admission::drop_ended_pools() {
    std::erase_if(pools_,
                  [this](const auto& item) { return machine_.is_final(item.second.position); });
}

bool load_admission::is_current(instant now) const {
    return now < expires_at_;
}

bool load_admission::is_pressed(const pool_entry& pool) const {
    return machine_.name_of(pool.position) == "pressed";
}

std::size_t load_admission::pressed_pools() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        pools_, [this](const auto& item) { return is_pressed(item.second); }));
}

std::optional<duration> load_admission::report_age(instant now) const {
    return is_current(now) ? std::optional(now - received_at_) : std::nullopt;
}

load_decision load_admission::decide(const load_submission& submission, instant now) {
    apply(load_tick{}, now);
    if (const auto refusal = judge_owner(submission, now)) {
        return *refusal;
    }
    const accepted_workflow& row = submission.row;
    const auto found = pools_.find(row.pool);
    if (found == pools_.end() || submission.queue == nullptr) {
        return submission_admitted{};
    }
    pool_entry& pool = found->second;
    const auto objective = objective_of(*submission.queue, critical_path_length(row.spec));
    load_decision decision = submission_admitted{};
    if (objective && is_pressed(pool) && may_be_refused(row.spec)) {
        decision = judge(pool, submission, *objective, now);
    }
    if (std::holds_alternative<submission_admitted>(decision)) {
        pool.admitted.push_back({now, submission.queue->priority,
                                 teams_beyond_share_.contains(row.team), core_s_of(row.spec)});
    }
    return decision;
}

std::optional<submission_refused_by_load>
load_admission::judge_owner(const load_submission& submission, instant now) const {
    const accepted_workflow& row = submission.row;
    const double share = admitted_share(owner_backlog_, options_.max_owner_backlog);
    if (!is_current(now) || place_of(row.id) < share || !may_be_refused(row.spec)) {
        return std::nullopt;
    }
    const duration excess = std::clamp<duration>(owner_backlog_ - options_.max_owner_backlog,
                                                 min_retry_delay, max_retry_delay);
    return submission_refused_by_load{load_refusal::owner_behind, owner_backlog_,
                                      now - received_at_,
                                      duration_of(seconds_of(excess) * (1 + spread_of(row.id)))};
}

load_decision load_admission::judge(const pool_entry& pool, const load_submission& submission,
                                    duration objective, instant now) const {
    const accepted_workflow& row = submission.row;
    const bool beyond_share = teams_beyond_share_.contains(row.team);
    const bool has_room = pool.load.cores > 0 || !pool.load.arriving.empty();
    if (!has_room) {
        // Nothing is known about when the pool has servers again.
        return submission_admitted{};
    }
    const work_ahead ahead = ahead_of(pool, submission.queue->priority, beyond_share);
    const duration age = now - received_at_;
    const auto wait_for = [&](double core_s) {
        return std::max(time_to_do(pool, core_s, now) - age, duration::zero());
    };
    const duration run_time = critical_path_length(row.spec);
    if (wait_for(ahead.in_time) + run_time <= objective) {
        return submission_admitted{};
    }
    const duration wait = wait_for(beyond_share ? ahead.in_time : ahead.all);
    const duration allowed = beyond_share ? objective : objectives_of_useful_time * objective;
    if (wait + run_time <= allowed) {
        return submission_admitted{};
    }
    const duration in_time_after =
        std::clamp(wait + run_time - objective, min_retry_delay, max_retry_delay);
    return submission_refused_by_load{
        beyond_share ? load_refusal::beyond_share : load_refusal::useless, wait, age,
        duration_of(seconds_of(in_time_after) * (1 + spread_of(row.id)))};
}

load_admission::work_ahead load_admission::ahead_of(const pool_entry& pool, int priority,
                                                    bool beyond_share) {
    // Running tasks are not stopped for others, whatever their priority.
    work_ahead ahead{pool.load.running_core_s, pool.load.running_core_s};
    const auto add = [&](double core_s) {
        ahead.in_time += core_s;
        ahead.all += core_s;
    };
    for (const priority_backlog& work : pool.load.waiting) {
        if (work.priority <= priority) {
            add(work.on_time_core_s + (beyond_share ? work.beyond_share_core_s : 0));
            ahead.all += work.late_core_s;
        }
    }
    for (const own_work& work : pool.admitted) {
        if (work.priority <= priority && (beyond_share || !work.beyond_share)) {
            add(work.core_s);
        }
    }
    return ahead;
}

duration load_admission::time_to_do(const pool_entry& pool, double core_s, instant now) {
    const reported_pool& load = pool.load;
    double efficiency = 1;
    if (load.cores > 0 && now >= pool.steady_since + steady_time) {
        efficiency = std::clamp(load.pace_cores / load.cores, min_pace, max_pace);
    }
    double cores = load.cores * efficiency;
    double at_s = 0;
    for (const arriving_cores& more : load.arriving) {
        const double arrival_s = std::max(seconds_of(more.in), at_s);
        if (core_s <= cores * (arrival_s - at_s)) {
            break;
        }
        core_s -= cores * (arrival_s - at_s);
        cores += more.cores * efficiency;
        at_s = arrival_s;
    }
    return cores > 0 ? duration_of(at_s + core_s / cores) : longest_wait;
}

} // namespace citronford
