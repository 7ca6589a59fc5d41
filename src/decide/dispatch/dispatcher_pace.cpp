#include "decide/dispatch/dispatcher_state.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace citronford {

using namespace dispatch;

absl::StatusOr<std::optional<dispatcher::implementation::pace_state>>
dispatcher::implementation::create_pace(const charts& life_cycles,
                                        const dispatch_options& options) {
    if (!options.slow_servers) {
        return std::nullopt;
    }
    if (life_cycles.server_pace == nullptr) {
        return make_status(result_code::chart_invalid, "no chart of the pace of servers");
    }
    auto servers = server_pace::create(*life_cycles.server_pace);
    if (!servers.ok()) {
        return servers.status();
    }
    return pace_state{*std::move(servers), run_time_estimates()};
}

/// Whether the progress of the run depends on its server alone. Members of a gang wait for each
/// other, tasks without reserved CPU for what others leave, and long-running tasks do not end.
bool dispatcher::implementation::has_pace(const task_run& run) const {
    const workflow_step& step = run.workflow->step(run.step);
    return pace_ && !step.long_running && !step.gang && !step.best_effort_cpu;
}

paced_run dispatcher::implementation::paced(task_run& run) {
    return {run.server->registration.pool, run.server->registration.id,
            std::hash<job_id>{}(run.workflow->row.id), run.expected, run.progress};
}

void dispatcher::implementation::update_expected(task_run& run) {
    if (run.expected == duration::zero()) {
        const workflow_entry& entry = *run.workflow;
        run.expected =
            pace_->run_times.expected(kind_of(entry.step(run.step), entry.row.queue, run.step))
                .value_or(duration::zero());
    }
}

void dispatcher::implementation::note_start(task_run& run, bool resumed) {
    if (!has_pace(run)) {
        return;
    }
    run.progress = run_progress::started(now_, resumed);
    update_expected(run);
    backend_entry& server = *run.server;
    pace_->servers.note_start(server.registration.id, now_);
    // The trial of a slow server ends with one task.
    server.slow = server.slow || (pace_->servers.is_slow(server.registration.id) &&
                                  !server.pool->slowness_ignored);
}

void dispatcher::implementation::note_report(task_run& run, int percent) {
    if (has_pace(run)) {
        pace_->servers.note_report(paced(run), percent, now_);
    }
}

void dispatcher::implementation::note_done(task_run& run) {
    if (!has_pace(run)) {
        return;
    }
    const task_record& record = record_of(run);
    counts_.copies_won += record.copy == &run && !record.done ? 1 : 0;
    pace_->servers.note_done(paced(run), now_);
    // The whole run time is known of runs from the beginning only.
    if (run.progress.start_known && run.progress.first_percent == 0) {
        const workflow_entry& entry = *run.workflow;
        pace_->run_times.add(kind_of(entry.step(run.step), entry.row.queue, run.step),
                             now_ - run.progress.since);
    }
}

void dispatcher::implementation::review_pace() {
    // A walk over all runs; a slow run is found so much later, which is little beside its time.
    constexpr duration period = milliseconds(200);
    if (!pace_ || now_ < pace_->reviewed_at + period) {
        return;
    }
    pace_->reviewed_at = now_;
    copies_due_ = true;
    pace_->servers.update(now_);
    for (auto& [name, pool] : pools_) {
        review_pace(pool);
        mark_slow_servers(pool);
    }
    for (const pace_change& change : pace_->servers.take_changes()) {
        log(change.slow ? "server_slow" : "server_sound", {}, change.server,
            "pool=" + std::string(change.pool.view()) +
                " slow_runs=" + std::to_string(change.evidence) +
                " expected_ms=" + std::to_string(to_ms(change.expected)) +
                " projected_ms=" + std::to_string(to_ms(change.projected)));
    }
}

void dispatcher::implementation::review_pace(pool_state& pool) {
    for (const auto& [id, server] : pool.servers) {
        for (task_run* run : server->runs) {
            if (run->progress.judged || !has_pace(*run) ||
                run_machine_.name_of(run->position) != "running") {
                continue;
            }
            update_expected(*run);
            pace_->servers.review(paced(*run), now_);
        }
    }
}

/// Ignores slowness in a pool while it would concern more than a third of the servers: then the
/// estimates are more likely at fault than the servers.
void dispatcher::implementation::mark_slow_servers(pool_state& pool) {
    constexpr std::size_t servers_per_slow = 3;
    std::size_t accepting = 0;
    std::size_t slow = 0;
    for (const auto& [id, server] : pool.servers) {
        server->slow = pace_->servers.is_slow(id);
        if (accepts_tasks(*server)) {
            ++accepting;
            slow += server->slow ? 1 : 0;
        }
    }
    const bool ignored = slow * servers_per_slow > accepting;
    if (std::exchange(pool.slowness_ignored, ignored) != ignored) {
        log(ignored ? "slow_servers_ignored" : "slow_servers_avoided", {}, {},
            "pool=" + std::string(pool.name.view()) + " slow=" + std::to_string(slow) +
                " servers=" + std::to_string(accepting));
    }
    for (const auto& [id, server] : pool.servers) {
        server->slow = server->slow && !ignored;
    }
}

} // namespace citronford
