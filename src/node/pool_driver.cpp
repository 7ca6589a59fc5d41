#include "node/pool_driver.h"

#include "citronford/chart.h"
#include "citronford/result_code.h"
#include "io/log.h"
#include "io/vm_codec.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace citronford {
namespace {

/// Interval of the controller ticks. A new step waits for the next tick, so this adds to the time
/// of every reboot of a roll-out.
constexpr duration tick_period = milliseconds(500);

/// A read that must begin after a given instant is delayed by the resolution of the clock.
constexpr duration clock_resolution = milliseconds(1);

constexpr std::array prefixes = {pool_lease_prefix, vm_prefix, pool_prefix};

pool_commit_report report_of(const commit_pool_rows& effect,
                             const absl::StatusOr<table_commit>& commit) {
    using enum pool_commit_report::outcome;
    pool_commit_report report{effect.lease.pool, effect.number, in_doubt, 0};
    if (commit.ok()) {
        report.result = commit->committed ? committed : conflicted;
        report.version = commit->version;
    } else if (code_of(commit.status()) == result_code::table_unavailable) {
        report.result = not_written;
    }
    return report;
}

} // namespace

absl::StatusOr<std::unique_ptr<pool_driver>> pool_driver::create(const settings& node_settings,
                                                                 pool_links links) {
    const auto vm_chart = chart::load(node_settings.charts + "/vm.scxml");
    if (!vm_chart.ok()) {
        return vm_chart.status();
    }
    const auto zone_chart = chart::load(node_settings.charts + "/zone.scxml");
    if (!zone_chart.ok()) {
        return zone_chart.status();
    }
    pool_controller_options options;
    options.node = node_settings.node;
    options.lease_duration = node_settings.node_lease;
    auto controller = pool_controller::create(*vm_chart, *zone_chart, options);
    if (!controller.ok()) {
        return controller.status();
    }
    return std::unique_ptr<pool_driver>(
        new pool_driver(node_settings, links, *std::move(controller)));
}

pool_driver::pool_driver(settings node_settings, pool_links links,
                         std::unique_ptr<pool_controller> controller)
    : settings_(std::move(node_settings)), links_(links), controller_(std::move(controller)) {}

void pool_driver::start() {
    poll_rows();
    poll_vms();
    tick_timer_ = links_.timers.every(tick_period, [this](instant) { handle(pools_tick{}); });
    row_timer_ =
        links_.timers.every(settings_.configuration_poll, [this](instant) { poll_rows(); });
    vm_timer_ = links_.timers.every(settings_.vm_list_poll, [this](instant) { poll_vms(); });
}

void pool_driver::configure(const fleet_configuration& fleet) {
    controller_->configure(fleet);
}

void pool_driver::set_members(std::span<const node_id> nodes) {
    handle(pool_live_nodes{{nodes.begin(), nodes.end()}});
}

void pool_driver::set_buffer_requirements(std::span<const pool_requirement> requirements) {
    handle(buffers_planned{{requirements.begin(), requirements.end()}});
}

std::optional<pool_id> pool_driver::pool_of(const vm_id& vm) const {
    const vm_entry* entry = controller_->vms().find(vm);
    return entry == nullptr ? std::nullopt : std::optional(entry->row.pool);
}

bool pool_driver::in_service(const vm_id& vm) const {
    const vm_entry* entry = controller_->vms().find(vm);
    return entry == nullptr || entry->row.state == vm_states::serving;
}

void pool_driver::handle(const pool_input& input) {
    for (const pool_effect& effect : controller_->handle(input, links_.timers.now())) {
        std::visit([this](const auto& item) { perform(item); }, effect);
    }
}

void pool_driver::perform(const commit_pool_rows& effect) {
    const table_write lease = lease_row_write(effect.lease);
    std::vector<table_check> checks{{lease.key, effect.lease_expected}};
    std::vector<table_write> writes{lease};
    for (const vm_write& item : effect.writes) {
        table_write write = vm_row_write(item.row);
        log_event(log_level::info, "vm_step",
                  {{"vm", item.row.id.view()},
                   {"pool", item.row.pool.view()},
                   {"state", item.row.state},
                   {"step", name_of(item.row.step)},
                   {"epoch", static_cast<std::int64_t>(item.row.epoch)}});
        checks.push_back({write.key, item.expected});
        writes.push_back(std::move(write));
    }
    links_.table.commit(checks, writes, [this, effect](const absl::StatusOr<table_commit>& commit) {
        handle(report_of(effect, commit));
    });
}

void pool_driver::perform(const order_drain& effect) {
    links_.vm_controls.drain(effect.vm, effect.order, [](const absl::Status&) {});
}

void pool_driver::perform(const order_reboot& effect) {
    links_.vm_controls.reboot(effect.vm, effect.order, [](const absl::Status&) {});
}

void pool_driver::perform(const query_vm_status& effect) {
    links_.vm_controls.query_status(
        effect.vm, [this, vm = effect.vm](const absl::StatusOr<vm_status>& state) {
            handle(vm_status_report{vm, state.ok() ? std::optional(*state) : std::nullopt});
        });
}

void pool_driver::perform(const read_pool_rows& /*effect*/) {
    read_timer_ = links_.timers.after(clock_resolution, [this](instant) { poll_rows(); });
}

void pool_driver::move(const vm_id& vm, const pool_id& target, std::string_view reason,
                       change_callback done) {
    const auto write = controller_->move_order(vm, target, reason);
    if (!write.ok()) {
        done(write.status());
        return;
    }
    const table_write row = vm_row_write(write->row);
    commit_order({row.key, write->expected}, row, std::move(done));
}

void pool_driver::maintain(const pool_id& pool, std::string_view reason, change_callback done) {
    const auto write = controller_->maintenance_order(pool, reason);
    if (!write.ok()) {
        done(write.status());
        return;
    }
    const table_write row = pool_row_write(write->row);
    commit_order({row.key, write->expected}, row, std::move(done));
}

void pool_driver::commit_order(const table_check& check, const table_write& write,
                               change_callback done) {
    links_.table.commit(
        std::span(&check, 1), std::span(&write, 1),
        [this, done = std::move(done)](const absl::StatusOr<table_commit>& commit) {
            poll_rows();
            if (!commit.ok()) {
                done(commit.status());
            } else if (!commit->committed) {
                done(make_status(result_code::conflict,
                                 "another change was committed first, at table version " +
                                     std::to_string(commit->conflict_version)));
            } else {
                done(commit->version);
            }
        });
}

void pool_driver::poll_rows() {
    if (polling_) {
        poll_again_ = true;
        return;
    }
    polling_ = true;
    poll_again_ = false;
    auto read = std::make_shared<row_read>();
    read->rows.begun_at = links_.timers.now();
    scan_next(read);
}

void pool_driver::scan_next(const std::shared_ptr<row_read>& read) {
    const std::size_t index = read->scanned.size();
    if (index == prefixes.size()) {
        scanned_versions_ = read->scanned;
        handle(read->rows);
        end_poll();
        return;
    }
    const table_version since = scanned_versions_.empty() ? 0 : scanned_versions_.at(index);
    links_.table.scan(prefixes.at(index), since,
                      [this, read](const absl::StatusOr<table_scan>& scan) {
                          if (!scan.ok()) {
                              end_poll();
                              return;
                          }
                          process_scan(*scan, *read);
                          scan_next(read);
                      });
}

void pool_driver::process_scan(const table_scan& scan, row_read& read) {
    for (const table_row& row : scan.rows) {
        const absl::Status status = add_row(row, read.rows);
        if (!status.ok()) {
            log_event(log_level::error, "row_invalid",
                      {{"row", row.key}, {"reason", message_of(status)}});
        }
    }
    read.scanned.push_back(scan.version);
    read.rows.version = std::max(read.rows.version, scan.version);
}

void pool_driver::end_poll() {
    polling_ = false;
    if (poll_again_) {
        read_timer_ = links_.timers.after(clock_resolution, [this](instant) { poll_rows(); });
    }
}

void pool_driver::poll_vms() {
    links_.vms.list(
        [this, begun_at = links_.timers.now()](absl::StatusOr<std::vector<vm_listing>> vms) {
            if (vms.ok()) {
                handle(vms_listed{*std::move(vms), begun_at});
            }
        });
}

} // namespace citronford
