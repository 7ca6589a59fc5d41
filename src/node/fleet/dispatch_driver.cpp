#include "node/fleet/dispatch_driver.h"

#include "citronford/result_code.h"
#include "citronford/workflow_rows.h"
#include "io/load_codec.h"
#include "io/log.h"
#include "io/progress_codec.h"
#include "io/workflow_codec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace citronford {
namespace {

constexpr duration tick_period = milliseconds(20);

/// New work within this time is fetched in one batch.
constexpr duration work_pause = milliseconds(20);

/// Timeout of a poll, added to the time that the server may delay its reply.
constexpr duration poll_timeout = milliseconds(300);

follow_options work_options() {
    follow_options options;
    for (std::uint32_t part = 0; part < work_part_count; ++part) {
        options.snapshot_prefixes.push_back(work_part_prefix(part));
    }
    options.watch_prefix = std::string(work_rows_prefix);
    options.pause = work_pause;
    return options;
}

follow_options backend_options(const fleet_rows& rows) {
    const std::string prefix(rows.backends_prefix());
    return {{prefix}, prefix, milliseconds(2000), duration::zero()};
}

} // namespace

absl::StatusOr<std::unique_ptr<dispatch_driver>>
dispatch_driver::create(const dispatcher::charts& life_cycles, const dispatch_options& options,
                        dispatch_services services, callbacks on) {
    auto decisions = dispatcher::create(life_cycles, options, services.timers.now());
    if (!decisions.ok()) {
        return decisions.status();
    }
    return std::unique_ptr<dispatch_driver>(
        new dispatch_driver(*std::move(decisions), options, services, std::move(on)));
}

dispatch_driver::dispatch_driver(std::unique_ptr<dispatcher> decisions,
                                 const dispatch_options& options, dispatch_services services,
                                 callbacks on)
    : decisions_(std::move(decisions)), options_(options), services_(services), on_(std::move(on)),
      progress_(services.table, services.timers, {options.token, services.row_bytes},
                [this] { perform(fenced_out{}); }),
      ended_marker_(services.table),
      waiting_writer_(services.table, options.token, std::string(waiting_row_key)),
      load_writer_(services.table, options.token, std::string(load_row_key)),
      work_(
          services.table, services.timers, work_options(),
          [this](std::span<const table_row> rows) {
              // After missed changes the rows are read again; these may hold work that was stored
              // during this ownership.
              process_work_rows(rows, !std::exchange(loaded_, true));
              handle(workflows_loaded{});
              loaded_progress_.clear();
          },
          [this](std::span<const table_row> rows) { process_work_rows(rows, false); }),
      backends_(
          services.table, services.timers, backend_options(services.rows),
          [this](std::span<const table_row> rows) { process_backend_rows(rows); },
          [this](std::span<const table_row> rows) {
              for (const table_row& row : rows) {
                  process_backend_row(row);
              }
          }) {}

void dispatch_driver::start() {
    const owner_authority authority = on_.authority();
    handle(ownership_extended{authority.accepts_work_until, authority.sends_commands_until});
    ticked_at_ = services_.timers.now();
    backends_.start();
    progress_.acquire_fence([this] { load_progress(); });
    ticks_ = services_.timers.every(tick_period, [this](instant now) { tick(now); });
}

void dispatch_driver::stop() {
    stopped_ = true;
    ticks_.cancel();
    ended_marker_.stop();
    alive_.reset();
}

void dispatch_driver::load_progress() {
    services_.table.scan(
        progress_rows_prefix, 0,
        [this, alive = std::weak_ptr(alive_)](const absl::StatusOr<table_scan>& result) {
            if (!alive.expired()) {
                load_progress_rows(result);
            }
        });
}

void dispatch_driver::load_progress_rows(const absl::StatusOr<table_scan>& result) {
    constexpr duration retry_pause = milliseconds(150);
    if (!result.ok()) {
        services_.timers.once(retry_pause, [this, alive = std::weak_ptr(alive_)](instant) {
            if (!alive.expired()) {
                load_progress();
            }
        });
        return;
    }
    for (const table_row& row : result->rows) {
        if (row.key == progress_fence_key || !row.value) {
            continue;
        }
        const auto state = decode_progress_state(*row.value);
        if (!state.ok()) {
            log_event(log_level::error, "row_unreadable",
                      {{"key", row.key}, {"reason", message_of(state.status())}});
            continue;
        }
        // Of ended workflows, of which there are many, only the state is needed.
        loaded_progress_.emplace(
            parse_job_row_key(row.key).job,
            loaded_progress{*state, ended(*state) ? std::string() : *row.value});
    }
    work_.start();
}

void dispatch_driver::process_work_rows(std::span<const table_row> rows, bool stored_before) {
    const bool lease_is_late = services_.timers.now() >= on_.authority().accepts_work_until;
    if (!stored_before && (lease_is_late || !deferred_work_.empty())) {
        // Another node may be the owner by now and would not know of runs of new work that this
        // node starts. Rows that come later wait as well: an order to cancel must not be processed
        // before its workflow.
        deferred_work_.insert(deferred_work_.end(), rows.begin(), rows.end());
        return;
    }
    for (const table_row& row : rows) {
        process_work_row(row, stored_before);
    }
}

void dispatch_driver::process_work_row(const table_row& row, bool stored_before) {
    const job_row_key name = parse_job_row_key(row.key);
    if (!row.value || *row.value == ended_work_value) {
        return;
    }
    if (name.is_cancel) {
        handle(workflow_cancelled{name.job});
        return;
    }
    auto found = decode_workflow(name.job, *row.value);
    if (!found.ok()) {
        log_event(log_level::error, "row_unreadable",
                  {{"key", row.key}, {"reason", message_of(found.status())}});
        return;
    }
    const workflow_progress progress = saved_progress(name.job, found->spec);
    if (ended(progress.state)) {
        ended_marker_.add(name.job, services_.timers.now());
    }
    log_event(log_level::info, "workflow_found",
              {{"job", name.job.view()},
               {"queue", found->queue.view()},
               {"pool", found->pool.view()},
               {"steps", static_cast<std::int64_t>(found->spec.steps.size())},
               {"stored_before", stored_before ? "yes" : "no"}});
    handle(workflow_found{*std::move(found), progress, stored_before});
}

workflow_progress dispatch_driver::saved_progress(const job_id& job,
                                                  const workflow_spec& spec) const {
    const auto saved = loaded_progress_.find(job);
    if (saved == loaded_progress_.end()) {
        return {};
    }
    if (ended(saved->second.state)) {
        return {saved->second.state, {}, {}};
    }
    auto progress = decode_progress(saved->second.text, spec);
    if (!progress.ok()) {
        log_event(log_level::error, "row_unreadable",
                  {{"key", progress_row_key(job)}, {"reason", message_of(progress.status())}});
        return {};
    }
    return *std::move(progress);
}

void dispatch_driver::process_backend_rows(std::span<const table_row> rows) {
    std::set<backend_id> present;
    for (const table_row& row : rows) {
        present.insert(services_.rows.decode_backend_id(row.key));
        process_backend_row(row);
    }
    const std::set<backend_id> known = registered_;
    for (const backend_id& id : known) {
        if (!present.contains(id)) {
            registered_.erase(id);
            handle(backend_deregistered{id});
        }
    }
    handle(backends_loaded{});
}

void dispatch_driver::process_backend_row(const table_row& row) {
    const backend_id id = services_.rows.decode_backend_id(row.key);
    if (!row.value) {
        registered_.erase(id);
        handle(backend_deregistered{id});
        return;
    }
    auto registration = services_.rows.decode_registration(row);
    if (!registration.ok()) {
        log_event(log_level::warning, "row_unreadable",
                  {{"key", row.key}, {"reason", message_of(registration.status())}});
        if (registered_.erase(id) > 0) {
            handle(backend_deregistered{id});
        }
        return;
    }
    registered_.insert(id);
    handle(backend_registered{*std::move(registration)});
}

void dispatch_driver::apply(std::shared_ptr<const queue_catalog> catalog) {
    handle(catalog_applied{std::move(catalog)});
}

void dispatch_driver::apply(const operator_orders& orders) {
    handle(orders_applied{orders});
}

void dispatch_driver::drain_backends(const backends_to_drain& backends) {
    handle(backends);
}

void dispatch_driver::update_present_backends(const present_backends& backends) {
    handle(backends);
}

void dispatch_driver::tick(instant now) {
    const owner_authority authority = on_.authority();
    handle(ownership_extended{authority.accepts_work_until, authority.sends_commands_until});
    if (!deferred_work_.empty() && now < authority.accepts_work_until) {
        process_work_rows(std::exchange(deferred_work_, {}), false);
    }
    handle(dispatch_tick{on_.unix_ms(), lateness(now)});
    publish_waiting_counts(now);
    publish_load(now);
    ended_marker_.tick(now);
}

duration dispatch_driver::lateness(instant now) {
    const duration gap = now - std::exchange(ticked_at_, now);
    return std::max<duration>(gap - tick_period, duration::zero());
}

void dispatch_driver::handle(const dispatch_input& input) {
    if (stopped_) {
        return;
    }
    for (const dispatch_effect& effect : decisions_->handle(input, services_.timers.now())) {
        std::visit([this](const auto& item) { perform(item); }, effect);
    }
}

void dispatch_driver::perform(const send_start& effect) {
    services_.backends.start(
        effect.to, effect.command, options_.command_timeout,
        [this, run = effect.run, alive = std::weak_ptr(alive_)](const command_result& result) {
            if (!alive.expired()) {
                handle(start_answered{run, result});
            }
        });
}

void dispatch_driver::perform(const send_stop& effect) {
    services_.backends.stop(
        effect.to, effect.command, options_.command_timeout,
        [this, run = effect.run, alive = std::weak_ptr(alive_)](const command_result& result) {
            if (!alive.expired()) {
                handle(stop_answered{run, result});
            }
        });
}

void dispatch_driver::perform(const send_poll& effect) {
    services_.backends.poll(
        effect.to, effect.request, poll_timeout,
        [this, id = effect.to.id, alive = std::weak_ptr(alive_)](const poll_result& result) {
            if (!alive.expired()) {
                handle(poll_answered{id, result});
            }
        });
}

void dispatch_driver::perform(const save_progress& effect) {
    std::vector<job_id> ended_jobs;
    for (const progress_row& row : effect.rows) {
        if (ended(row.progress.state)) {
            ended_jobs.push_back(row.job);
        }
    }
    progress_.write(effect.rows,
                    [this, ended_jobs = std::move(ended_jobs)](std::span<const job_id> rejected) {
                        for (const job_id& job : ended_jobs) {
                            if (std::ranges::find(rejected, job) == rejected.end()) {
                                ended_marker_.add(job, services_.timers.now());
                            }
                        }
                        handle(progress_saved{{rejected.begin(), rejected.end()}});
                    });
}

void dispatch_driver::perform(const fenced_out& /*effect*/) {
    if (!std::exchange(stopped_, true)) {
        on_.superseded();
    }
}

void dispatch_driver::perform(const log_decision& effect) {
    log_event(log_level::info, effect.event,
              {{"job", effect.job.view()},
               {"backend", effect.backend.view()},
               {"detail", effect.detail}});
}

void dispatch_driver::publish_waiting_counts(instant now) {
    constexpr duration period = milliseconds(500);
    if (!loaded_ || now < published_at_ + period) {
        return;
    }
    published_at_ = now;
    waiting_writer_.write(encode_waiting_counts(decisions_->waiting_workflows()));
}

void dispatch_driver::publish_load(instant now) {
    constexpr duration period = milliseconds(500);
    if (!options_.admission || now < load_published_at_ + period) {
        return;
    }
    load_published_at_ = now;
    load_report report = decisions_->report_load(now);
    const auto shows_load = [](const load_report& load) {
        return !load.pools.empty() || load.owner_backlog > milliseconds::zero();
    };
    if (shows_load(report) || shows_load(published_load_)) {
        report.sequence = published_load_.sequence + 1;
        published_load_ = std::move(report);
    }
    // The end of the pressure is passed again until it is written; the writer omits repetitions.
    if (published_load_.sequence > 0) {
        load_writer_.write(encode_load_report(published_load_));
    }
}

} // namespace citronford
