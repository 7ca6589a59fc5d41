#include "node/task_driver.h"

#include "citronford/chart.h"
#include "io/digest.h"
#include "io/job_codec.h"
#include "io/log.h"

#include <charconv>
#include <span>
#include <utility>

namespace citronford {
namespace {

/// Interval between two scheduler ticks; adds to the latency of urgent starts.
constexpr duration tick_interval = milliseconds(20);
/// Delay before another attempt to read the row of a write with an uncertain result.
constexpr duration resolve_retry_delay = milliseconds(500);

std::string lease_key(const worker_id& worker) {
    return "lease/worker/" + worker.str();
}

absl::StatusOr<scheduler_charts> load_charts(const std::string& directory) {
    auto job = chart::load(directory + "/job.scxml");
    auto lease = chart::load(directory + "/worker_lease.scxml");
    auto health = chart::load(directory + "/worker_health.scxml");
    for (const auto* loaded : {&job, &lease, &health}) {
        if (!loaded->ok()) {
            return loaded->status();
        }
    }
    return scheduler_charts{*std::move(job), *std::move(lease), *std::move(health)};
}

worker_listing workers_of(std::span<const vm_listing> vms, const fleet_configuration& fleet) {
    worker_listing listing;
    for (const vm_listing& vm : vms) {
        const pool_definition* pool = find_pool(fleet, vm.pool.view());
        if (pool != nullptr && pool->workers) {
            listing.workers.push_back({worker_id(vm.id.view()), vm.zone, vm.address, vm.leaving});
        }
    }
    return listing;
}

run_state run_state_of(const job_row& row) {
    if (row.state == job_state::done || row.state == job_state::failed) {
        return run_state::run;
    }
    return ended(row.state) && row.attempt == 0 ? run_state::not_run : run_state::unknown;
}

} // namespace

absl::StatusOr<std::unique_ptr<task_driver>>
task_driver::create(const settings& node_settings, node_links links, team_limits& limits,
                    std::uint64_t incarnation, confirmation_clock confirmed_at) {
    const auto charts = load_charts(node_settings.charts);
    if (!charts.ok()) {
        return charts.status();
    }
    scheduler_options options;
    options.self = {node_settings.node, node_settings.zone, incarnation};
    auto scheduler = task_scheduler::create(*charts, options, limits);
    if (!scheduler.ok()) {
        return scheduler.status();
    }
    return std::unique_ptr<task_driver>(new task_driver(node_settings, links, limits, options.self,
                                                        *std::move(scheduler),
                                                        std::move(confirmed_at)));
}

task_driver::task_driver(settings node_settings, node_links links, team_limits& limits,
                         live_member self, std::unique_ptr<task_scheduler> scheduler,
                         confirmation_clock confirmed_at)
    : settings_(std::move(node_settings)), links_(links), limits_(limits), self_(std::move(self)),
      scheduler_(std::move(scheduler)), confirmed_at_(std::move(confirmed_at)) {}

void task_driver::start() {
    tick_timer_ = links_.timers.every(tick_interval,
                                      [this](instant) { handle(scheduler_tick{confirmed_at_()}); });
    job_timer_ =
        links_.timers.every(settings_.configuration_poll, [this](instant) { poll_jobs(); });
    vm_timer_ = links_.timers.every(settings_.vm_list_poll, [this](instant) { poll_vms(); });
    poll_jobs();
    poll_vms();
}

void task_driver::set_members(std::span<const live_member> members) {
    handle(member_listing{{members.begin(), members.end()}});
}

void task_driver::configure(const fleet_configuration& fleet) {
    fleet_ = fleet;
    scheduler_->configure(fleet);
    poll_vms();
}

void task_driver::handle(const scheduler_input& input) {
    limits_.set_now(links_.timers.now());
    const std::vector<scheduler_effect> effects = scheduler_->handle(input, links_.timers.now());
    for (const scheduler_effect& effect : effects) {
        std::visit([this](const auto& item) { perform(item); }, effect);
    }
}

void task_driver::perform(const write_job& effect) {
    const table_check check{job_key(effect.row.job.id), effect.expected};
    const table_write write{check.key, job_row_json(effect.row)};
    links_.table.commit(
        std::span(&check, 1), std::span(&write, 1),
        [this, effect](const absl::StatusOr<table_commit>& commit) {
            using outcome = job_write_result::outcome;
            const job_id& id = effect.row.job.id;
            if (commit.ok() && commit->committed) {
                handle(job_write_result{id, effect.write, outcome::written, commit->version});
            } else if (!commit.ok() && code_of(commit.status()) != result_code::commit_in_doubt) {
                handle(job_write_result{id, effect.write, outcome::unavailable, 0});
            } else {
                resolve_write(effect);
            }
        });
}

void task_driver::resolve_write(const write_job& effect) {
    read_row(effect.row.job.id, [this, effect](const absl::StatusOr<versioned_job_row>& seen) {
        using outcome = job_write_result::outcome;
        const job_id& id = effect.row.job.id;
        if (!seen.ok() && code_of(seen.status()) != result_code::not_found) {
            links_.timers.once(resolve_retry_delay,
                               [this, effect](instant) { resolve_write(effect); });
            return;
        }
        const bool exists = seen.ok();
        if (exists && job_row_json(seen->row) == job_row_json(effect.row)) {
            handle(job_write_result{id, effect.write, outcome::written, seen->version});
            return;
        }
        if ((exists ? seen->version : absent_row) == effect.expected) {
            handle(job_write_result{id, effect.write, outcome::unavailable, 0});
            return;
        }
        const bool mine = exists && seen->row.owner == self_.id &&
                          seen->row.epoch == self_.incarnation && effect.generation &&
                          seen->row.generation == *effect.generation;
        if (!mine) {
            handle(job_write_result{id, effect.write, outcome::conflict, 0});
            return;
        }
        // Only a cancellation request or an earlier write of this node came in between.
        write_job again = effect;
        again.expected = seen->version;
        again.row.cancel = again.row.cancel || seen->row.cancel;
        if (seen->row.cancel) {
            handle(job_cancellation{{id}});
        }
        perform(again);
    });
}

void task_driver::perform(const acquire_worker_lease& effect) {
    const std::string key = lease_key(effect.worker);
    links_.table.scan(key, 0,
                      [this, key, worker = effect.worker](const absl::StatusOr<table_scan>& scan) {
                          if (!scan.ok()) {
                              handle(worker_lease_refused{worker});
                              return;
                          }
                          table_version present = absent_row;
                          for (const table_row& row : scan->rows) {
                              present = row.key == key ? row.version : present;
                          }
                          acquire_lease(worker, present);
                      });
}

void task_driver::acquire_lease(const worker_id& worker, table_version expected) {
    const table_check check{lease_key(worker), expected};
    const table_write write{check.key, self_.id.str()};
    links_.table.commit(std::span(&check, 1), std::span(&write, 1),
                        [this, worker](const absl::StatusOr<table_commit>& commit) {
                            if (commit.ok() && commit->committed) {
                                // Table versions only increase, so the version of the row serves as
                                // the epoch.
                                handle(worker_lease_granted{worker, commit->version});
                            } else {
                                handle(worker_lease_refused{worker});
                            }
                        });
}

void task_driver::perform(const sync_worker& effect) {
    links_.workers.sync(
        effect.to, effect.message, effect.timeout,
        [this, worker = effect.worker, sequence = effect.message.sequence](sync_result result) {
            handle(sync_report{worker, sequence, std::move(result)});
        });
}

void task_driver::perform(const answer_job& effect) {
    if (effect.code == result_code::ok) {
        answer(effect.caller, effect.row);
    } else {
        refuse(effect.caller, effect.row.job.team, effect.row.job.id,
               make_status(effect.code, entry_of(effect.code).meaning));
    }
}

void task_driver::perform(const send_peer& effect) {
    links_.peers.send({self_.id, self_.incarnation}, effect);
}

void task_driver::perform(const read_jobs& /*effect*/) {
    poll_jobs();
}

void task_driver::answer(caller_id caller, const job_row& row) {
    const std::string body = job_row_json(row);
    constexpr int ok = 200;
    links_.callers.answer(
        caller, {ok, result_code::ok, run_state_of(row), request_id(row.job.id.view()), body});
}

void task_driver::perform(const job_sli_event& effect) {
    if (listeners_.sli_event) {
        listeners_.sli_event(effect);
    }
}

void task_driver::refuse(caller_id caller, const team_id& team, const job_id& id,
                         const absl::Status& status) {
    const result_code_entry& entry = entry_of(code_of(status));
    if (listeners_.refused) {
        listeners_.refused(id, team, entry.code);
    }
    links_.callers.answer(caller, {entry.http_status, entry.code, entry.state,
                                   request_id(id.view()), message_of(status)});
}

void task_driver::read_row(const job_id& id, row_callback done) {
    links_.table.scan(job_key(id), 0,
                      [id, done = std::move(done)](const absl::StatusOr<table_scan>& scan) {
                          if (!scan.ok()) {
                              done(scan.status());
                              return;
                          }
                          for (const table_row& row : scan->rows) {
                              if (row.key == job_key(id) && row.value) {
                                  auto parsed = parse_job_row(*row.value);
                                  if (!parsed.ok()) {
                                      done(parsed.status());
                                  } else {
                                      done(versioned_job_row{*std::move(parsed), row.version});
                                  }
                                  return;
                              }
                          }
                          done(make_status(result_code::not_found, "there is no such job"));
                      });
}

void task_driver::show(caller_id caller, const team_id& team, const job_id& id) {
    const job_row* own = scheduler_->find(id);
    if (own != nullptr && own->job.team == team) {
        answer(caller, *own);
        return;
    }
    read_row(id, [this, caller, team, id](const absl::StatusOr<versioned_job_row>& seen) {
        if (!seen.ok()) {
            refuse(caller, team, id, seen.status());
        } else if (seen->row.job.team != team) {
            refuse(caller, team, id, make_status(result_code::not_found, "there is no such job"));
        } else {
            answer(caller, seen->row);
        }
    });
}

void task_driver::cancel(caller_id caller, const team_id& team, const job_id& id) {
    const job_row* own = scheduler_->find(id);
    if (own != nullptr && own->job.team == team) {
        job_row row = *own;
        row.cancel = true;
        handle(job_cancellation{{id}});
        answer(caller, row);
        return;
    }
    read_row(id, [this, caller, team, id](const absl::StatusOr<versioned_job_row>& seen) {
        if (!seen.ok()) {
            refuse(caller, team, id, seen.status());
        } else if (seen->row.job.team != team) {
            refuse(caller, team, id, make_status(result_code::not_found, "there is no such job"));
        } else if (ended(seen->row.state)) {
            answer(caller, seen->row);
        } else {
            commit_cancellation(caller, *seen);
        }
    });
}

void task_driver::commit_cancellation(caller_id caller, const versioned_job_row& seen) {
    job_row row = seen.row;
    row.cancel = true;
    const table_check check{job_key(row.job.id), seen.version};
    const table_write write{check.key, job_row_json(row)};
    links_.table.commit(std::span(&check, 1), std::span(&write, 1),
                        [this, caller, row](const absl::StatusOr<table_commit>& commit) {
                            if (!commit.ok()) {
                                refuse(caller, row.job.team, row.job.id, commit.status());
                            } else if (!commit->committed) {
                                refuse(
                                    caller, row.job.team, row.job.id,
                                    make_status(result_code::conflict,
                                                "the job changed concurrently; retry the request"));
                            } else {
                                answer(caller, row);
                            }
                        });
}

void task_driver::poll_jobs() {
    if (polling_) {
        return;
    }
    polling_ = true;
    links_.table.scan(job_prefix, scanned_, [this](const absl::StatusOr<table_scan>& scan) {
        polling_ = false;
        if (!scan.ok()) {
            return;
        }
        scanned_ = std::max(scanned_, scan->version);
        for (const table_row& row : scan->rows) {
            if (!row.value) {
                continue;
            }
            auto parsed = parse_job_row(*row.value);
            if (parsed.ok()) {
                handle(versioned_job_row{*std::move(parsed), row.version});
            } else {
                log_event(log_level::error, "job_row_invalid",
                          {{"row", row.key}, {"reason", message_of(parsed.status())}});
            }
        }
    });
}

void task_driver::poll_vms() {
    links_.vms.list([this](const absl::StatusOr<std::vector<vm_listing>>& vms) {
        if (vms.ok()) {
            handle(workers_of(*vms, fleet_));
        }
    });
}

} // namespace citronford
