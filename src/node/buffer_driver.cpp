#include "node/buffer_driver.h"

#include "citronford/executor_set.h"
#include "citronford/result_code.h"
#include "io/demand_codec.h"
#include "io/log.h"

#include <algorithm>
#include <utility>

namespace citronford {
namespace {

/// Samples per interval, whose peak is written to the row of the node. With the default poll period
/// of 1 s, a node writes its row at most once in 10 s.
constexpr int samples_per_interval = 10;

buffer_control_options options_of(const settings& node_settings) {
    buffer_control_options options;
    options.node = node_settings.node;
    return options;
}

} // namespace

std::vector<pool_load> loads_of(const fleet_configuration& fleet,
                                const std::map<service_id, std::size_t>& slots, double workers) {
    std::map<pool_id, double> vms;
    const double slots_per_vm = executor_set_options().slots;
    for (const service_definition& service : fleet.defaults.services) {
        const auto wanted = slots.find(service.name);
        if (wanted != slots.end()) {
            vms[service.pool] += static_cast<double>(wanted->second) / slots_per_vm;
        }
    }
    double weights = 0;
    for (const pool_definition& pool : fleet.defaults.pools) {
        weights += pool.workers ? static_cast<double>(std::max<std::int64_t>(1, pool.wanted)) : 0;
    }
    for (const pool_definition& pool : fleet.defaults.pools) {
        if (pool.workers) {
            const auto weight = static_cast<double>(std::max<std::int64_t>(1, pool.wanted));
            vms[pool.name] += workers * weight / weights;
        }
    }
    std::vector<pool_load> loads;
    loads.reserve(vms.size());
    for (const auto& [pool, count] : vms) {
        loads.push_back({pool, count});
    }
    return loads;
}

buffer_driver::buffer_driver(const settings& node_settings, timer_service& timers,
                             table_service& table, pool_driver& pools, demand_reader demand)
    : timers_(timers), table_(table), pools_(pools), read_demand_(std::move(demand)),
      sample_period_(node_settings.configuration_poll), control_(options_of(node_settings)) {}

void buffer_driver::start() {
    sample_timer_ =
        timers_.every(sample_period_, [this](instant) { handle(demand_sampled{read_demand_()}); });
    interval_timer_ =
        timers_.every(sample_period_ * samples_per_interval, [this](instant) { end_interval(); });
}

void buffer_driver::set_members(std::span<const node_id> nodes) {
    handle(buffer_live_nodes{{nodes.begin(), nodes.end()}});
}

void buffer_driver::handle(const buffer_input& input) {
    for (const buffer_effect& effect : control_.handle(input, timers_.now())) {
        std::visit([this](const auto& item) { perform(item); }, effect);
    }
}

/// The interval ends when the scan of the demand rows succeeds; after a failed scan it is extended,
/// so that no sum lacks the demand of the other nodes.
void buffer_driver::end_interval() {
    if (scanning_) {
        return;
    }
    scanning_ = true;
    table_.scan(demand_prefix, scanned_version_, [this](const absl::StatusOr<table_scan>& scan) {
        scanning_ = false;
        if (scan.ok()) {
            process_scan(*scan);
        }
    });
}

void buffer_driver::process_scan(const table_scan& scan) {
    demand_rows_read read;
    for (const table_row& row : scan.rows) {
        auto parsed = parse_demand_row(row);
        if (parsed.ok()) {
            read.rows.push_back(*std::move(parsed));
        } else {
            log_event(log_level::error, "row_invalid",
                      {{"row", row.key}, {"reason", message_of(parsed.status())}});
        }
    }
    scanned_version_ = scan.version;
    handle(read);
    demand_interval_ended ended;
    const pool_controller& controller = pools_.controller();
    for (const pool_id& pool : controller.pools()) {
        ended.placements.emplace(pool, placement_of(controller.vms(), pool));
    }
    handle(ended);
}

void buffer_driver::perform(const write_demand& effect) {
    commit({demand_key(effect.record.node), effect.expected}, demand_row_write(effect.record));
}

void buffer_driver::perform(const erase_demand& effect) {
    const std::string key = demand_key(effect.node);
    commit({key, effect.expected}, {key, std::nullopt});
}

void buffer_driver::perform(const update_requirements& effect) {
    pools_.set_buffer_requirements(effect.pools);
}

/// The result is ignored: the next scan shows whether the write was committed.
void buffer_driver::commit(const table_check& check, const table_write& write) {
    table_.commit(std::span(&check, 1), std::span(&write, 1),
                  [](const absl::StatusOr<table_commit>&) {});
}

} // namespace citronford
