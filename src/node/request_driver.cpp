#include "node/request_driver.h"

#include "citronford/chart.h"
#include "io/digest.h"

#include <optional>
#include <string>
#include <utility>

namespace citronford {
namespace {

/// Interval between two checks of deadlines.
constexpr duration tick_period = milliseconds(20);

constexpr std::size_t incarnation_bytes = 8;

/// The row with `key` in the result of a scan; empty if it is absent or deleted.
std::optional<table_row> row_of(const table_scan& scan, std::string_view key) {
    for (const table_row& row : scan.rows) {
        if (row.key == key && row.value) {
            return row;
        }
    }
    return std::nullopt;
}

group_commit_input commit_result(const absl::StatusOr<table_commit>& commit) {
    if (!commit.ok()) {
        if (code_of(commit.status()) == result_code::commit_in_doubt) {
            return transaction_in_doubt{};
        }
        return transaction_refused{};
    }
    if (commit->committed) {
        return transaction_committed{commit->version};
    }
    return transaction_conflict{commit->conflict_key};
}

/// The executors of all services among the listed VMs. The pool of a VM is taken from its row in
/// the table, since the VM list gives only its first pool. VMs that are drained or rebooted are
/// left out.
executor_listing executors_of(const std::vector<vm_listing>& vms, const fleet_configuration& fleet,
                              const pool_driver& pools) {
    executor_listing listing;
    for (const vm_listing& vm : vms) {
        if (!pools.in_service(vm.id)) {
            continue;
        }
        const pool_id pool = pools.pool_of(vm.id).value_or(vm.pool);
        for (const service_definition& service : fleet.defaults.services) {
            if (service.pool == pool) {
                listing.executors.push_back(
                    {executor_id(vm.id.view()), service.name, vm.zone, vm.address, vm.leaving});
            }
        }
    }
    return listing;
}

} // namespace

absl::StatusOr<std::unique_ptr<request_driver>>
request_driver::create(const settings& node_settings, node_links links, team_limits& limits,
                       const pool_driver& pools) {
    const auto request_chart = chart::load(node_settings.charts + "/request.scxml");
    if (!request_chart.ok()) {
        return request_chart.status();
    }
    const auto connection_chart = chart::load(node_settings.charts + "/connection.scxml");
    if (!connection_chart.ok()) {
        return connection_chart.status();
    }
    const auto sweep_chart = chart::load(node_settings.charts + "/claim_sweep.scxml");
    if (!sweep_chart.ok()) {
        return sweep_chart.status();
    }
    auto sweep = claim_sweep::create(*sweep_chart, {});
    if (!sweep.ok()) {
        return sweep.status();
    }
    router_options options;
    options.executors.zone = node_settings.zone;
    auto router =
        request_router::create({*request_chart, *connection_chart}, std::move(options), limits);
    if (!router.ok()) {
        return router.status();
    }
    return std::unique_ptr<request_driver>(new request_driver(
        node_settings, links, limits, pools, *std::move(router), *std::move(sweep)));
}

request_driver::request_driver(settings node_settings, node_links links, team_limits& limits,
                               const pool_driver& pools, std::unique_ptr<request_router> router,
                               claim_sweep sweep)
    : settings_(std::move(node_settings)), links_(links), limits_(limits), pools_(pools),
      router_(std::move(router)),
      group_commit_({.node = settings_.node, .incarnation = random_hex(incarnation_bytes)}),
      sweep_(std::move(sweep)) {}

void request_driver::start() {
    tick_timer_ = links_.timers.every(tick_period, [this](instant) {
        handle(router_tick{});
        handle_commit(commit_tick{});
        handle_sweep(sweep_tick{});
    });
    vm_timer_ = links_.timers.every(settings_.vm_list_poll, [this](instant) { poll_vms(); });
    poll_vms();
}

void request_driver::configure(const fleet_configuration& fleet) {
    fleet_ = fleet;
    router_->configure(fleet);
    sweep_.set_retention(fleet.defaults.claim_retention);
    poll_vms();
}

void request_driver::set_members(std::span<const live_member> members) {
    const live_member* owner = rendezvous_owner(members, "claim-sweep");
    const bool assigned = owner != nullptr && owner->id == settings_.node;
    if (assigned != std::exchange(sweep_assigned_, assigned)) {
        handle_sweep(assigned ? claim_sweep_input(sweep_assigned{}) : sweep_released{});
    }
    group_commit_.set_node_count(members.size());
}

void request_driver::handle(const router_input& input) {
    limits_.set_now(links_.timers.now());
    const std::vector<router_effect> effects = router_->handle(input, links_.timers.now());
    for (const router_effect& effect : effects) {
        std::visit([this](const auto& item) { perform(item); }, effect);
    }
}

void request_driver::handle_commit(const group_commit_input& input) {
    const std::vector<group_commit_effect> effects =
        group_commit_.handle(input, links_.timers.now());
    for (const group_commit_effect& effect : effects) {
        std::visit([this](const auto& item) { perform(item); }, effect);
    }
}

void request_driver::handle_sweep(const claim_sweep_input& input) {
    const std::vector<claim_sweep_effect> effects = sweep_.handle(input, links_.timers.now());
    for (const claim_sweep_effect& effect : effects) {
        std::visit([this](const auto& item) { perform(item); }, effect);
    }
}

void request_driver::perform(const sweep_scan& effect) {
    links_.table.scan(effect.prefix, 0,
                      [this, call = effect.call](const absl::StatusOr<table_scan>& scan) {
                          if (scan.ok()) {
                              handle_sweep(sweep_rows_read{call, scan->rows});
                          } else {
                              handle_sweep(sweep_failed{call});
                          }
                      });
}

void request_driver::perform(const sweep_transaction& effect) {
    links_.table.commit(effect.checks, effect.writes,
                        [this, call = effect.call](const absl::StatusOr<table_commit>& commit) {
                            if (commit.ok() && commit->committed) {
                                handle_sweep(sweep_committed{call, commit->version});
                            } else {
                                handle_sweep(sweep_failed{call});
                            }
                        });
}

void request_driver::perform(const commit_claim& effect) {
    handle_commit(claim_requested{effect.caller, effect.request});
}

void request_driver::perform(const abandon_claim& effect) {
    handle_commit(claim_abandoned{effect.caller});
}

void request_driver::perform(const record_outcome& effect) {
    handle_commit(outcome_resolved{effect.request, effect.outcome});
}

void request_driver::perform(const forget_claim& effect) {
    handle_commit(outcome_unresolved{effect.request});
}

void request_driver::perform(const commit_transaction& effect) {
    links_.table.commit(effect.checks, effect.writes,
                        [this](const absl::StatusOr<table_commit>& commit) {
                            handle_commit(commit_result(commit));
                        });
}

void request_driver::perform(const read_claim_row& effect) {
    links_.table.scan(effect.key, 0,
                      [this, key = effect.key](const absl::StatusOr<table_scan>& scan) {
                          if (scan.ok()) {
                              handle_commit(claim_row_read{key, row_of(*scan, key)});
                          } else {
                              handle_commit(claim_row_read_failed{key});
                          }
                      });
}

void request_driver::perform(const claim_recorded& effect) {
    handle(claim_granted{effect.caller});
}

void request_driver::perform(const claim_taken& effect) {
    handle(claim_duplicate{effect.caller, effect.outcome});
}

void request_driver::perform(const claim_refused& effect) {
    handle(claim_unavailable{effect.caller});
}

void request_driver::perform(const schedule_commit_tick& effect) {
    commit_timer_ = links_.timers.after(effect.at - links_.timers.now(),
                                        [this](instant) { handle_commit(commit_tick{}); });
}

void request_driver::perform(const send_attempt& effect) {
    links_.executors.send(
        effect.to, effect.work,
        [this, caller = effect.caller, attempt = effect.work.id](attempt_result result) {
            handle(attempt_report{caller, attempt, std::move(result)});
        });
}

void request_driver::perform(const query_outcome& effect) {
    links_.executors.query_outcome(effect.to, effect.request,
                                   [this, caller = effect.caller](outcome_result result) {
                                       handle(outcome_report{caller, std::move(result)});
                                   });
}

void request_driver::perform(const probe_executor& effect) {
    links_.executors.probe(effect.to,
                           [this, executor = effect.executor](bool healthy, bool leaving) {
                               handle(probe_report{executor, healthy, leaving});
                           });
}

void request_driver::perform(const answer_caller& effect) {
    if (on_answer_) {
        on_answer_(effect);
    }
    links_.callers.answer(effect.caller, {effect.status, effect.code, entry_of(effect.code).state,
                                          effect.request, effect.body});
}

void request_driver::poll_vms() {
    // Only one call at a time, so that an older list cannot arrive after a newer one.
    if (listing_vms_) {
        return;
    }
    listing_vms_ = true;
    links_.vms.list([this](const absl::StatusOr<std::vector<vm_listing>>& vms) {
        listing_vms_ = false;
        if (vms.ok()) {
            handle(executors_of(*vms, fleet_, pools_));
        }
    });
}

} // namespace citronford
