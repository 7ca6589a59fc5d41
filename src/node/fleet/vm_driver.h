#pragma once

#include "citronford/capacity_planner.h"
#include "citronford/dispatcher.h"
#include "citronford/fleet_rows.h"
#include "citronford/table_service.h"
#include "citronford/timer_service.h"
#include "citronford/vm_fleet.h"
#include "citronford/wave_planner.h"
#include "citronford/work_pace.h"
#include "io/metrics.h"

#include <functional>
#include <memory>
#include <set>
#include <span>
#include <vector>

namespace citronford {

struct vm_links {
    timer_service& timers;
    table_service& table;
    vm_fleet& vms;
    const fleet_rows& rows;
    metrics* registry = nullptr; ///< For the plans of pools; null for none.
};

/// Limits for the first orders of an owner, which may follow orders of the previous owner.
struct vm_order_timing {
    instant owner_since{};
    duration interval{};         ///< Minimum between orders of two owners to one VM.
    duration shortest_absence{}; ///< A VM that executes an order is not up for at least this time.
};

/// Runs the wave planner and the capacity planner during one ownership and performs their effects.
class vm_driver {
  public:
    struct callbacks {
        std::function<bool()> may_order;       ///< Whether the owner may send orders to VMs now.
        std::function<std::int64_t()> unix_ms; ///< Time of day.
        std::function<const dispatcher&()> current_dispatcher;
        std::function<const queue_catalog&()> catalog;
        std::function<const std::set<zone_id>&()> removed_zones;
        std::function<void(const backends_to_drain&)> drain_backends;
        std::function<void(const present_backends&)> note_present;
    };

    vm_driver(wave_planner waves, capacity_planner capacity, vm_order_origin origin, vm_links links,
              const vm_order_timing& timing, callbacks on);
    vm_driver(const vm_driver&) = delete;
    vm_driver& operator=(const vm_driver&) = delete;
    vm_driver(vm_driver&&) = delete;
    vm_driver& operator=(vm_driver&&) = delete;
    ~vm_driver() = default;

    void start();

    /// Ends all activity; no callback is called after that.
    void stop();

    void set_wave(const wave_order& wave);
    void withdraw(wave_number wave);

  private:
    void tick(instant now);
    void read_records();
    void list_vms(instant now);
    void apply_list(std::vector<fleet_vm> vms, instant requested_at);
    void update_initially_up_vms(instant requested_at);
    /// VMs that an earlier owner may have ordered less than `vm_order_timing::interval` ago.
    [[nodiscard]] std::vector<vm_id> blocked_vms(instant now) const;
    void perform(std::span<const wave_effect> effects);
    void plan_capacity(const fleet_index& fleet, std::span<const vm_id> blocked, instant now);
    void report_plans(instant now);
    void perform(const move_vm& effect);
    void perform(const maintain_vm& effect);
    void perform(const save_wave& effect);
    void perform(const publish_wave_status& effect);
    void write(const table_write& row, int attempts_left);

    wave_planner waves_;
    capacity_planner capacity_;
    vm_order_origin origin_;
    vm_links links_;
    vm_order_timing timing_;
    callbacks on_;
    pool_plan_filter plan_filter_;
    std::set<vm_id> initially_up_vms_; ///< Up in all lists of this ownership.
    timer_subscription ticks_;
    instant ticked_at_{};
    work_pace pace_; ///< Of the plans.
    bool records_read_ = false;
    bool listing_ = false;
    instant list_requested_at_ = instant::min();
    instant listed_at_ = instant::min(); ///< When the list in `vms_` was requested.
    std::vector<fleet_vm> vms_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace citronford
