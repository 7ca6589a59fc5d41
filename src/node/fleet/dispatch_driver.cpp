#include "node/fleet/dispatch_driver.h"

#include "citronford/result_code.h"
#include "citronford/workflow_rows.h"
#include "io/log.h"
#include "io/workflow_codec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace citronford {
namespace {

constexpr duration tick_period = milliseconds(20);

/// New work is fetched together when it comes within this time.
constexpr duration work_pause = milliseconds(20);

/// Of one order to a backend server. Servers answer within milliseconds.
constexpr duration order_timeout = milliseconds(1000);

/// Beside the wait of a look.
constexpr duration look_timeout = milliseconds(1000);

follow_options work_options() {
    follow_options options;
    for (std::uint32_t part = 0; part < work_parts; ++part) {
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
                        dispatch_services links, callbacks on) {
    auto decisions = dispatcher::create(life_cycles, options, links.timers.now());
    if (!decisions.ok()) {
        return decisions.status();
    }
    return std::unique_ptr<dispatch_driver>(
        new dispatch_driver(*std::move(decisions), options, links, std::move(on)));
}

dispatch_driver::dispatch_driver(std::unique_ptr<dispatcher> decisions,
                                 const dispatch_options& options, dispatch_services links,
                                 callbacks on)
    : decisions_(std::move(decisions)), options_(options), links_(links), on_(std::move(on)),
      progress_(links.table, links.timers, options.token, [this] { perform(fenced_out{}); }),
      ended_rows_(links.table),
      waiting_writer_(links.table, options.token, std::string(waiting_row_key)),
      work_(
          links.table, links.timers, work_options(),
          [this](std::span<const table_row> rows) {
              // Rows that are read again, after changes were missed, hold work of this ownership
              // too.
              process_work_rows(rows, !std::exchange(loaded_, true));
              handle(workflows_loaded{});
              loaded_progress_.clear();
          },
          [this](std::span<const table_row> rows) { process_work_rows(rows, false); }),
      backends_(
          links.table, links.timers, backend_options(links.rows),
          [this](std::span<const table_row> rows) { process_backend_rows(rows); },
          [this](std::span<const table_row> rows) {
              for (const table_row& row : rows) {
                  process_backend_row(row);
              }
          }) {}

void dispatch_driver::start() {
    const owner_authority authority = on_.authority();
    handle(ownership_extended{authority.accepts_work_until, authority.sends_commands_until});
    backends_.start();
    progress_.acquire_fence([this] { load_progress(); });
    ticks_ = links_.timers.every(tick_period, [this](instant now) { tick(now); });
}

void dispatch_driver::stop() {
    stopped_ = true;
    ticks_.cancel();
    ended_rows_.stop();
    alive_.reset();
}

void dispatch_driver::load_progress() {
    links_.table.scan(
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
        links_.timers.once(retry_pause, [this, alive = std::weak_ptr(alive_)](instant) {
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
        auto progress = decode_progress(*row.value);
        if (progress.ok()) {
            loaded_progress_.emplace(row_name_of(row.key).job, *std::move(progress));
        } else {
            log_event(log_level::error, "row_unreadable",
                      {{"key", row.key}, {"reason", message_of(progress.status())}});
        }
    }
    work_.start();
}

void dispatch_driver::process_work_rows(std::span<const table_row> rows, bool stored_before) {
    if (!stored_before && links_.timers.now() >= on_.authority().accepts_work_until) {
        // Another node may be the owner by now, and would not know that this one runs new work.
        postponed_.insert(postponed_.end(), rows.begin(), rows.end());
        return;
    }
    for (const table_row& row : rows) {
        process_work_row(row, stored_before);
    }
}

void dispatch_driver::process_work_row(const table_row& row, bool stored_before) {
    const row_name name = row_name_of(row.key);
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
    const auto saved = loaded_progress_.find(name.job);
    const workflow_progress progress =
        saved == loaded_progress_.end() ? workflow_progress{} : saved->second;
    if (ended(progress.state)) {
        ended_rows_.add(name.job, links_.timers.now());
    }
    log_event(log_level::info, "workflow_found",
              {{"job", name.job.view()},
               {"queue", found->queue.view()},
               {"pool", found->pool.view()},
               {"steps", static_cast<std::int64_t>(found->spec.steps.size())},
               {"stored_before", stored_before ? "yes" : "no"}});
    handle(workflow_found{*std::move(found), progress, stored_before});
}

void dispatch_driver::process_backend_rows(std::span<const table_row> rows) {
    std::set<backend_id> present;
    for (const table_row& row : rows) {
        present.insert(links_.rows.backend_named(row.key));
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
    const backend_id id = links_.rows.backend_named(row.key);
    if (!row.value) {
        registered_.erase(id);
        handle(backend_deregistered{id});
        return;
    }
    auto registration = links_.rows.listing_of(row);
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
    if (!postponed_.empty() && now < authority.accepts_work_until) {
        process_work_rows(std::exchange(postponed_, {}), false);
    }
    handle(dispatch_tick{on_.unix_ms()});
    publish_waiting_counts(now);
    ended_rows_.tick(now);
}

void dispatch_driver::handle(const dispatch_input& input) {
    if (stopped_) {
        return;
    }
    for (const dispatch_effect& effect : decisions_->handle(input, links_.timers.now())) {
        std::visit([this](const auto& item) { perform(item); }, effect);
    }
}

void dispatch_driver::perform(const send_start& effect) {
    links_.backends.start(
        effect.to, effect.order, order_timeout,
        [this, run = effect.run, alive = std::weak_ptr(alive_)](const command_result& result) {
            if (!alive.expired()) {
                handle(start_answered{run, result});
            }
        });
}

void dispatch_driver::perform(const send_stop& effect) {
    links_.backends.stop(
        effect.to, effect.order, order_timeout,
        [this, run = effect.run, alive = std::weak_ptr(alive_)](const command_result& result) {
            if (!alive.expired()) {
                handle(stop_answered{run, result});
            }
        });
}

void dispatch_driver::perform(const send_poll& effect) {
    links_.backends.poll(
        effect.to, effect.order, look_timeout,
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
    progress_.write(effect.rows, [this, ended_jobs = std::move(ended_jobs)] {
        for (const job_id& job : ended_jobs) {
            ended_rows_.add(job, links_.timers.now());
        }
        handle(progress_saved{});
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
    waiting_writer_.write(encode_waiting(decisions_->waiting_workflows()));
}

} // namespace citronford
