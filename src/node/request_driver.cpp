#include "node/request_driver.h"

#include "citronford/chart.h"
#include "io/log.h"

#include <span>
#include <string>
#include <utility>

namespace citronford {
namespace {

/// Pause between two checks of deadlines.
constexpr duration tick_period = milliseconds(20);

std::string claim_key(const request_id& request) {
    return "claim/" + request.str();
}

/// The executors of all services among the listed VMs. The pool of the row counts; the list gives
/// only the first pool. A VM that is drained or rebooted is not an executor.
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
    const auto life_cycle = chart::load(node_settings.charts + "/request.scxml");
    if (!life_cycle.ok()) {
        return life_cycle.status();
    }
    router_options options;
    options.zone = node_settings.zone;
    auto router = request_router::create(*life_cycle, options, limits);
    if (!router.ok()) {
        return router.status();
    }
    return std::unique_ptr<request_driver>(
        new request_driver(node_settings, links, pools, *std::move(router)));
}

request_driver::request_driver(settings node_settings, node_links links, const pool_driver& pools,
                               std::unique_ptr<request_router> router)
    : settings_(std::move(node_settings)), links_(links), pools_(pools),
      router_(std::move(router)) {}

void request_driver::start() {
    tick_timer_ = links_.timers.every(tick_period, [this](instant) { handle(router_tick{}); });
    vm_timer_ = links_.timers.every(settings_.vm_list_poll, [this](instant) { poll_vms(); });
    poll_vms();
}

void request_driver::configure(const fleet_configuration& fleet) {
    fleet_ = fleet;
    router_->configure(fleet);
    poll_vms();
}

void request_driver::handle(const router_input& input) {
    const std::vector<router_effect> effects = router_->handle(input, links_.timers.now());
    for (const router_effect& effect : effects) {
        std::visit([this](const auto& item) { perform(item); }, effect);
    }
}

void request_driver::perform(const commit_claim& effect) {
    const table_check check{claim_key(effect.request), absent_row};
    const table_write write{check.key, settings_.node.str()};
    links_.table.commit(std::span(&check, 1), std::span(&write, 1),
                        [this, effect](const absl::StatusOr<table_commit>& commit) {
                            if (!commit.ok()) {
                                handle(claim_unavailable{effect.caller});
                            } else if (commit->committed) {
                                handle(claim_granted{effect.caller});
                            } else {
                                read_claim(effect.caller, effect.request);
                            }
                        });
}

void request_driver::read_claim(caller_id caller, const request_id& request) {
    links_.table.scan(claim_key(request), 0,
                      [this, caller, request](const absl::StatusOr<table_scan>& scan) {
                          std::string outcome;
                          if (scan.ok()) {
                              for (const table_row& row : scan->rows) {
                                  if (row.key == claim_key(request)) {
                                      outcome = row.value.value_or("");
                                  }
                              }
                          }
                          handle(claim_duplicate{caller, outcome});
                      });
}

void request_driver::perform(const record_outcome& effect) {
    const table_write write{claim_key(effect.request), effect.outcome};
    links_.table.commit({}, std::span(&write, 1), [](const absl::StatusOr<table_commit>&) {});
}

void request_driver::perform(const send_attempt& effect) {
    links_.executors.send(
        effect.to, effect.work,
        [this, caller = effect.caller, attempt = effect.work.id](attempt_result result) {
            handle(attempt_report{caller, attempt, std::move(result)});
        });
}

void request_driver::perform(const ask_outcome& effect) {
    links_.executors.ask_outcome(effect.to, effect.request,
                                 [this, caller = effect.caller](outcome_result result) {
                                     handle(outcome_report{caller, std::move(result)});
                                 });
}

void request_driver::perform(const answer_caller& effect) {
    links_.callers.answer(effect.caller, {effect.status, effect.code, entry_of(effect.code).state,
                                          effect.request, effect.body});
}

void request_driver::poll_vms() {
    links_.vms.list([this](const absl::StatusOr<std::vector<vm_listing>>& vms) {
        if (vms.ok()) {
            handle(executors_of(*vms, fleet_, pools_));
        }
    });
}

} // namespace citronford
