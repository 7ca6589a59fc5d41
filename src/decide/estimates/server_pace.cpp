#include "citronford/server_pace.h"

#include <algorithm>

namespace citronford {
namespace {

constexpr int all_work = 100; // Percent.

} // namespace

run_progress run_progress::started(instant now, bool resumed) {
    run_progress progress;
    progress.since = now;
    progress.rose_at = now;
    if (!resumed) {
        progress.first_percent = 0;
    }
    return progress;
}

run_progress run_progress::adopted(instant now) {
    run_progress progress = started(now, true);
    progress.start_known = false;
    return progress;
}

bool run_progress::report(int reported_percent, instant now) {
    const int reported = std::clamp(reported_percent, 0, all_work);
    if (reports == 0 && reported == all_work) {
        return false;
    }
    ++reports;
    reported_at = now;
    if (!first_percent) {
        first_percent = reported;
        percent = reported;
        since = start_known ? since : now;
        rose_at = now;
        return false;
    }
    if (reported <= percent) {
        ++reports_since_rise;
        return false;
    }
    percent = reported;
    rose_at = now;
    reports_since_rise = 0;
    return true;
}

std::optional<duration> run_progress::projected_time(instant now, duration least_span) const {
    const auto elapsed = start_known ? std::optional(now - since) : std::nullopt;
    const int least_reports = start_known && first_percent == 0 ? 1 : 2;
    if (reports < least_reports || reported_at - since < std::max(least_span, duration(1))) {
        return elapsed;
    }
    // Reports are whole percents, rounded down, so the rate may be higher by one.
    const int done = percent - *first_percent + 1;
    const duration projected = (reported_at - since) * all_work / done;
    return elapsed ? std::max(*elapsed, projected) : projected;
}

absl::StatusOr<server_pace> server_pace::create(const chart& life_cycle, pace_limits limits) {
    static constexpr machine::guard guards[] = {
        {"completes_evidence",
         [](const step_context& context, const pace_event& event) {
             const server_state& server = context.server;
             const bool several = server.several_workflows ||
                                  (server.first_workflow &&
                                   *server.first_workflow != std::get<run_slow>(event).workflow);
             return several && server.evidence + 1 >= context.limits.slow_runs;
         }},
        {"ends_evidence", [](const step_context& context,
                             const pace_event&) { return context.server.evidence <= 1; }},
        {"started_in_trial",
         [](const step_context& context, const pace_event& event) {
             const instant began_at = context.server.trial_began_at;
             const auto* slow = std::get_if<run_slow>(&event);
             return began_at <=
                    (slow != nullptr ? slow->started_at : std::get<run_normal>(event).started_at);
         }},
    };
    static constexpr machine::action actions[] = {
        {"add_evidence",
         [](step_context& context, const pace_event& event) {
             server_state& server = context.server;
             const std::size_t workflow = std::get<run_slow>(event).workflow;
             server.evidence = std::min(server.evidence + 1, context.limits.max_evidence);
             server.several_workflows =
                 server.several_workflows ||
                 (server.first_workflow && *server.first_workflow != workflow);
             server.first_workflow = server.first_workflow.value_or(workflow);
         }},
        {"reduce_evidence",
         [](step_context& context, const pace_event&) { --context.server.evidence; }},
        {"clear_evidence", [](step_context& context, const pace_event&) { context.server = {}; }},
        {"start_pause",
         [](step_context& context, const pace_event&) {
             context.server.pause = context.limits.first_pause;
             context.server.retry_at = context.now + context.server.pause;
         }},
        {"double_pause",
         [](step_context& context, const pace_event&) {
             server_state& server = context.server;
             server.pause = std::min(2 * server.pause, context.limits.longest_pause);
             server.retry_at = context.now + server.pause;
         }},
        {"begin_trial",
         [](step_context& context, const pace_event&) {
             server_state& server = context.server;
             server.trial_began_at = context.now;
             server.trial_started = false;
             server.retry_at = context.now + server.pause;
         }},
    };
    auto bound = machine::create(life_cycle, guards, actions);
    if (!bound.ok()) {
        return bound.status();
    }
    return server_pace(*std::move(bound), limits);
}

void server_pace::note_start(const backend_id& server, instant now) {
    const auto found = servers_.find(server);
    if (found != servers_.end() && in_state(found->second, "trial")) {
        // The pause begins anew, so that a trial without a result is repeated after it.
        found->second.retry_at = now + found->second.pause;
        found->second.trial_started = true;
    }
}

void server_pace::note_report(const paced_run& run, int percent, instant now) {
    if (run.progress.report(percent, now)) {
        note_progress(run, now);
    }
}

void server_pace::note_done(const paced_run& run, instant now) {
    note_progress(run, now);
    if (run.progress.start_known && run.expected > duration::zero()) {
        const duration run_time = now - run.progress.since;
        judge(run, run_time > slow_limit(run.expected), run_time, now);
    }
}

void server_pace::review(const paced_run& run, instant now) {
    if (run.progress.judged) {
        return;
    }
    const delay_cause cause = delay_of(run, now);
    if (cause != delay_cause::none) {
        judge(run, true, projected_time(run, now).value_or(duration::zero()), now);
    }
}

void server_pace::update(instant now) {
    for (auto& [id, server] : servers_) {
        const bool waits = in_state(server, "slow") || in_state(server, "trial");
        if (waits && now >= server.retry_at) {
            step_context context{limits_, server, now};
            machine_.step(server.position, context, retry_due{});
        }
    }
}

void server_pace::forget(const backend_id& server, instant now) {
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    step_context context{limits_, found->second, now};
    machine_.step(found->second.position, context, server_removed{});
    if (machine_.is_final(found->second.position)) {
        servers_.erase(found);
    }
}

bool server_pace::is_slow(const backend_id& server) const {
    const auto found = servers_.find(server);
    return found != servers_.end() &&
           (in_state(found->second, "slow") ||
            (in_state(found->second, "trial") && found->second.trial_started));
}

bool server_pace::is_doubtful(const backend_id& server) const {
    return servers_.contains(server);
}

delay_cause server_pace::delay_of(const paced_run& run, instant now) const {
    if (stands_still(run, now)) {
        return delay_cause::no_progress;
    }
    const std::optional<duration> projected = projected_time(run, now);
    if (run.expected > duration::zero() && projected && *projected > slow_limit(run.expected)) {
        return delay_cause::slow_progress;
    }
    return delay_cause::none;
}

duration server_pace::remaining_time(const paced_run& run, instant now) const {
    const duration elapsed = now - run.progress.since;
    const std::optional<duration> projected = projected_time(run, now);
    return projected && *projected > elapsed ? *projected - elapsed : elapsed;
}

void server_pace::judge(const paced_run& run, bool slow, duration projected, instant now) {
    if (std::exchange(run.progress.judged, true)) {
        return;
    }
    auto found = servers_.find(run.server);
    if (found == servers_.end()) {
        if (!slow) {
            return;
        }
        found = servers_.emplace(run.server, server_state{}).first;
        found->second.position = machine_.initial();
    }
    server_state& server = found->second;
    const bool was_slow = !in_state(server, "sound") && !in_state(server, "suspected");
    const int evidence = server.evidence;
    const instant started_at = run.progress.since;
    step_context context{limits_, server, now};
    if (slow) {
        machine_.step(server.position, context, run_slow{started_at, run.workflow});
    } else {
        machine_.step(server.position, context, run_normal{started_at});
    }
    const bool is_sound = in_state(server, "sound");
    const bool now_slow = !is_sound && !in_state(server, "suspected");
    if (was_slow != now_slow) {
        changes_.push_back({run.server, run.pool, now_slow, now_slow ? server.evidence : evidence,
                            run.expected, projected});
    }
    if (is_sound) {
        servers_.erase(found);
    }
}

void server_pace::note_progress(const paced_run& run, instant now) {
    pool_progress& pool = pools_[run.pool];
    if (pool.latest_server != run.server) {
        pool.earlier_at = pool.latest_at;
        pool.latest_server = run.server;
    }
    pool.latest_at = now;
}

bool server_pace::progressed_elsewhere(const paced_run& run, instant since) const {
    const auto found = pools_.find(run.pool);
    if (found == pools_.end()) {
        return false;
    }
    const pool_progress& pool = found->second;
    return since < (pool.latest_server == run.server ? pool.earlier_at : pool.latest_at);
}

bool server_pace::stands_still(const paced_run& run, instant now) const {
    const run_progress& progress = run.progress;
    // One report may have been read shortly after the rise; the second one is a measurement.
    constexpr int least_reports = 2;
    return progress.reports_since_rise >= least_reports &&
           progress.reported_at - progress.rose_at >= limits_.standstill &&
           progressed_elsewhere(run, now - limits_.standstill);
}

duration server_pace::slow_limit(duration expected) const {
    return std::chrono::duration_cast<duration>(expected * limits_.slow_factor) + limits_.tolerance;
}

} // namespace citronford
