#pragma once

#include "citronford/backend_link.h"
#include "citronford/drain.h"
#include "citronford/fleet_rows.h"
#include "citronford/fleet_settings.h"
#include "citronford/memory_watch.h"
#include "citronford/queue_catalog.h"
#include "citronford/vm_fleet.h"
#include "io/listener_set.h"
#include "node/fleet/admission_driver.h"
#include "node/fleet/dispatch_driver.h"
#include "node/fleet/observed_table.h"
#include "node/fleet/ownership_driver.h"
#include "node/fleet/vm_driver.h"
#include "node/fleet/workflow_service.h"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace citronford {

/// The interfaces through which a node of the scheduler performs its effects.
struct fleet_links {
    timer_service& timers;
    table_service& table;
    backend_link& backends;
    vm_fleet& vms;
    const fleet_rows& rows;
    std::function<std::int64_t()> unix_ms; ///< Time of day.
};

/// Functions of the process that a node calls for a planned stop.
struct fleet_process {
    std::function<std::size_t()> open_requests;    ///< Requests that have not been answered.
    std::function<std::size_t()> open_connections; ///< Of callers.
    /// Of all listeners. Asks the kernel about each connection.
    std::function<std::vector<listener_load>()> listener_loads;
    std::function<void()> close_after_answers; ///< Closes each connection after its next answer.
    std::function<void()> stop_listening;
    std::function<void()> leave; ///< Ends the process.
    std::function<absl::StatusOr<std::uint64_t>()> resident_bytes;
};

/// The node of the scheduler on one entry VM: serves callers, follows the rows of the operators,
/// and runs the dispatcher while it owns the scheduler.
class fleet_node {
  public:
    static absl::StatusOr<std::unique_ptr<fleet_node>>
    create(const fleet_settings& own_settings, fleet_links links, fleet_process process);

    fleet_node(const fleet_node&) = delete;
    fleet_node& operator=(const fleet_node&) = delete;
    fleet_node(fleet_node&&) = delete;
    fleet_node& operator=(fleet_node&&) = delete;
    ~fleet_node() = default;

    void start();

    /// Starts a planned stop.
    void request_stop();

    /// Whether the load balancer should send requests to this node.
    [[nodiscard]] bool ready() const;

    /// Null until the first configuration has been read.
    [[nodiscard]] const queue_catalog* catalog() const { return catalog_.get(); }

    [[nodiscard]] workflow_service& workflows() { return workflows_; }

    /// The metrics of this node in the Prometheus text format.
    [[nodiscard]] std::string metrics_text();
    [[nodiscard]] const observed_table& table() const { return table_; }
    [[nodiscard]] const ownership_driver& owner() const { return owner_; }

    /// Null while another node owns the scheduler.
    [[nodiscard]] const dispatch_driver* dispatching() const { return dispatch_.get(); }

  private:
    struct life_cycles {
        chart workflow;
        chart task_run;
        chart backend_contact;
        chart vm_order;
        chart server_pace;
    };

    fleet_node(const fleet_settings& own_settings, fleet_links links, fleet_process process,
               life_cycles charts, drain stop, ownership owner, const ownership_options& options,
               submission_batcher submissions);

    void use_admission(load_admission decisions);
    void begin_dispatching(fencing_token token);
    void begin_vm_orders(fencing_token token);
    [[nodiscard]] bool may_order_vms() const;
    void end_dispatching();
    void apply_order_rows(std::span<const table_row> rows, bool is_snapshot);
    void apply_order_row(const table_row& row);
    void apply(const std::shared_ptr<const queue_catalog>& catalog);
    void apply(const zone_order& order);
    void apply(const wave_order& order);
    void apply(const wave_withdrawn& order);
    void apply(const order_ignored& /*order*/) {}
    void watch_memory();
    void tick_drain();
    void perform(const stop_listening& effect);
    void perform(const hand_over& effect);
    void perform(const answer_open_work& effect);
    void perform(const leave& effect);

    fleet_settings own_settings_;
    fleet_links links_;
    fleet_process process_;
    life_cycles charts_;
    metrics registry_;
    observed_table table_;
    drain drain_;
    timer_subscription drain_ticks_;
    memory_watch memory_;
    timer_subscription memory_ticks_;
    ownership_driver owner_;
    table_follower orders_follower_;
    workflow_service workflows_;
    std::unique_ptr<admission_driver> admission_; ///< Null while admission is switched off.
    std::shared_ptr<const queue_catalog> catalog_;
    operator_orders orders_;
    std::map<wave_number, wave_order> waves_;
    std::unique_ptr<dispatch_driver> dispatch_;
    std::unique_ptr<vm_driver> vms_; ///< Exists only together with `dispatch_`.
    instant owner_since_{};
    bool ownership_stopped_ = false;
};

} // namespace citronford
