#include "decide/dispatch/dispatcher_state.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace citronford {

using namespace dispatch;

bool dispatcher::implementation::allows_copies(const workflow_step& step) const {
    return pace_ && step.speculative && !step.gang && !step.long_running;
}

dispatcher::implementation::task_run*
dispatcher::implementation::tracked_run(const task_record& record, const backend_entry& server,
                                        std::uint32_t number) {
    for (task_run* run : {record.run, record.copy}) {
        if (run != nullptr && run->server == &server && run->number == number) {
            return run;
        }
    }
    return nullptr;
}

dispatcher::implementation::task_record&
dispatcher::implementation::record_of(const task_run& run) {
    return run.workflow->occurrences.at(run.occurrence).steps[run.step].tasks[run.index];
}

bool dispatcher::implementation::may_adopt_copy(const task_location& location,
                                                const running_task& reported) const {
    if (location.record == nullptr || location.record->done || location.workflow->is_ended()) {
        return false;
    }
    const task_record& record = *location.record;
    return allows_copies(location.workflow->step(reported.task.step)) && record.run != nullptr &&
           record.copy == nullptr && record.run->number != reported.run &&
           location.workflow->may_have_unknown_run(record);
}

bool dispatcher::implementation::awaits_copy(const backend_entry& server,
                                             const run_completion& completion) {
    const task_location location = find_task(completion.task);
    if (location.record == nullptr || location.record->copy == nullptr ||
        completion.kind != completion_kind::done) {
        return false;
    }
    const task_run& copy = *location.record->copy;
    const std::string_view state = run_machine_.name_of(copy.position);
    const bool may_start = state == "start_sent" || state == "in_doubt" ||
                           (state == "stopping" && !copy.last_seen_at && !copy.stop_accepted_at);
    return may_start && !(copy.server == &server && copy.number == completion.run);
}

void dispatcher::implementation::stop_runs(const task_record& record) {
    for (task_run* run : {record.run, record.copy}) {
        if (run != nullptr) {
            process_run_event(*run, stop_requested{});
        }
    }
}

/// Starts copies of the tasks that are held up most, while nothing else waits in the pool.
void dispatcher::implementation::start_copies() {
    if (!copies_due_ || now_ >= commands_until_) {
        return;
    }
    copies_due_ = false;
    for (auto& [name, pool] : pools_) {
        // A due placement means that tasks wait for room; these go first.
        if (pool.recovered && !pool.placement_due) {
            start_copies(pool);
        }
    }
}

void dispatcher::implementation::start_copies(pool_state& pool) {
    // Bounds what copies cost the pool. A long task on a sound server looks held up, too, and
    // three tasks in a hundred of seven times the mean are 18% of those that run at a moment.
    constexpr std::size_t runs_per_copy = 10;
    std::size_t runs = 0;
    std::size_t copies = 0;
    std::vector<held_up_run> held_up;
    for (const auto& [id, server] : pool.servers) {
        runs += server->runs.size();
        for (task_run* run : server->runs) {
            copies += record_of(*run).copy == run ? 1 : 0;
            const delay_cause cause = delay_of(*run);
            if (cause != delay_cause::none && may_copy(*run)) {
                held_up.push_back({run, cause, pace_->servers.is_doubtful(id),
                                   pace_->servers.remaining_time(paced(*run), now_)});
            }
        }
    }
    std::ranges::stable_sort(held_up, std::greater{}, &held_up_run::key);
    const std::size_t most = std::max<std::size_t>(1, runs / runs_per_copy);
    for (const held_up_run& item : held_up) {
        if (copies >= most) {
            return;
        }
        backend_entry* server = select_copy_server(*item.run);
        if (server != nullptr) {
            start_copy(item, *server);
            ++copies;
        }
    }
}

/// Whether a second run of the task may be started: with all runs failing, there must be no more
/// failed ones than attempts, and no run of an earlier owner may be unknown.
bool dispatcher::implementation::may_copy(const task_run& run) const {
    const workflow_entry& entry = *run.workflow;
    const task_record& record = record_of(run);
    constexpr std::size_t runs_of_task = 2;
    return allows_copies(entry.step(run.step)) && record.run == &run && record.copy == nullptr &&
           !record.done && !entry.is_ended() &&
           record.failed_runs.size() + runs_of_task <= entry.terms.max_attempts &&
           !(entry.may_have_unknown_run(record) &&
             (may_have_unknown_runs(*run.server->pool) ||
              may_have_unread_completions(*run.server->pool)));
}

delay_cause dispatcher::implementation::delay_of(task_run& run) const {
    if (!has_pace(run) || run_machine_.name_of(run.position) != "running") {
        return delay_cause::none;
    }
    const paced_run paced_view = paced(run);
    // A copy takes the expected time from now, so it must be expected to end sooner.
    const bool gains = pace_->servers.remaining_time(paced_view, now_) > run.expected;
    return gains ? pace_->servers.delay_of(paced_view, now_) : delay_cause::none;
}

/// The fullest sound server that has room for a copy of `run`. Servers without tasks are not
/// polled; they are read now, and can be used at the next review.
dispatcher::implementation::backend_entry*
dispatcher::implementation::select_copy_server(const task_run& run) const {
    const workflow_entry& entry = *run.workflow;
    if (!within_team_limit(entry.row.team, entry.step(run.step).size)) {
        return nullptr;
    }
    backend_entry* best = nullptr;
    for (const auto& [id, server] : run.server->pool->servers) {
        const bool usable = server != run.server && accepts_tasks(*server) &&
                            !is_quarantined(*server) && !pace_->servers.is_doubtful(id) &&
                            server->free_capacity().holds(run.reserved) &&
                            meets_constraints(*server, *run.workflow, run.occurrence, run.step);
        if (usable && !server->has_recent_contact(now_)) {
            server->poll_wanted = true;
        } else if (usable && (best == nullptr || server->free_capacity().millicores <
                                                     best->free_capacity().millicores)) {
            best = server;
        }
    }
    return best;
}

void dispatcher::implementation::start_copy(const held_up_run& item, backend_entry& server) {
    task_run& original = *item.run;
    workflow_entry& entry = *original.workflow;
    occurrence_state& occurrence = entry.occurrences.at(original.occurrence);
    const std::uint32_t number = entry.next_run_number(record_of(original));
    log("task_copied", entry.row.id, server.registration.id,
        "task=" + std::to_string(original.step) + "." + std::to_string(original.index) +
            " run=" + std::to_string(number) +
            " original=" + std::string(original.server->registration.id.view()) +
            " percent=" + std::to_string(original.progress.percent) +
            " elapsed_ms=" + std::to_string(to_ms(now_ - original.progress.since)) +
            " expected_ms=" + std::to_string(to_ms(original.expected)) +
            " remaining_ms=" + std::to_string(to_ms(item.remaining)) +
            " cause=" + (item.cause == delay_cause::no_progress ? "no_progress" : "slow_progress"));
    ++counts_.copies_started;
    emit_start(add_run(entry, occurrence, original.step, original.index, number, server));
}

} // namespace citronford
