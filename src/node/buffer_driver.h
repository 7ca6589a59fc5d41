#pragma once

#include "citronford/buffer_control.h"
#include "citronford/fleet_configuration.h"
#include "citronford/settings.h"
#include "citronford/table_service.h"
#include "citronford/timer_service.h"
#include "node/pool_driver.h"

#include <functional>
#include <span>
#include <vector>

namespace citronford {

/// Samples the demand of the queues for the buffer planner and passes the resulting requirements to
/// the pool controller.
class buffer_driver {
  public:
    /// Returns the peak demand of the queues of this node since the last call.
    using demand_reader = std::function<std::vector<pool_load>()>;

    /// All references outlive the driver.
    buffer_driver(const settings& node_settings, timer_service& timers, table_service& table,
                  pool_driver& pools, demand_reader demand);

    buffer_driver(const buffer_driver&) = delete;
    buffer_driver& operator=(const buffer_driver&) = delete;
    buffer_driver(buffer_driver&&) = delete;
    buffer_driver& operator=(buffer_driver&&) = delete;
    ~buffer_driver() = default;

    void start();
    /// Sets the live nodes; demand rows of other nodes are not counted.
    void set_members(std::span<const node_id> nodes);

    [[nodiscard]] const std::map<pool_id, pool_buffer>& buffers() const {
        return control_.buffers();
    }

  private:
    void handle(const buffer_input& input);
    void perform(const write_demand& effect);
    void perform(const erase_demand& effect);
    void perform(const update_requirements& effect);
    void end_interval();
    void process_scan(const table_scan& scan);
    void commit(const table_check& check, const table_write& write);

    timer_service& timers_;
    table_service& table_;
    pool_driver& pools_;
    demand_reader read_demand_;
    duration sample_period_;
    buffer_control control_;
    table_version scanned_version_ = 0;
    bool scanning_ = false;
    timer_subscription sample_timer_;
    timer_subscription interval_timer_;
};

/// Demand of the pools, in VMs, for `slots` of services and for `workers`. Slots are converted with
/// the number of slots of one executor; workers are divided among the worker pools in proportion to
/// their wanted size.
std::vector<pool_load> loads_of(const fleet_configuration& fleet,
                                const std::map<service_id, std::size_t>& slots, double workers);

} // namespace citronford
