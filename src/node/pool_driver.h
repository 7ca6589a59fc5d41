#pragma once

#include "citronford/pool_controller.h"
#include "citronford/settings.h"
#include "citronford/table_service.h"
#include "citronford/timer_service.h"
#include "citronford/vm_control.h"
#include "citronford/vm_list.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace citronford {

/// Interfaces used by the pool driver; all of them outlive it.
struct pool_links {
    timer_service& timers;
    table_service& table;
    vm_list& vms;
    vm_control& vm_controls;
};

/// Feeds inputs to the pool controller and performs its effects through the interfaces of the node.
class pool_driver {
  public:
    using change_callback = std::function<void(absl::StatusOr<table_version>)>;

    /// Fails with `chart_invalid`.
    static absl::StatusOr<std::unique_ptr<pool_driver>> create(const settings& node_settings,
                                                               pool_links links);

    pool_driver(const pool_driver&) = delete;
    pool_driver& operator=(const pool_driver&) = delete;
    pool_driver(pool_driver&&) = delete;
    pool_driver& operator=(pool_driver&&) = delete;
    ~pool_driver() = default;

    /// Starts the timers that poll the rows and the VM list and that tick the controller.
    void start();

    void configure(const fleet_configuration& fleet);

    /// Sets the live nodes, among which the pools are distributed. Until the first call, no pool is
    /// assigned to this node.
    void set_members(std::span<const node_id> nodes);

    /// Sets the number of VMs that each pool needs, including its buffer.
    void set_buffer_requirements(std::span<const pool_requirement> requirements);

    /// Orders a move. Fails like `pool_controller::move_order`, with `conflict` and a message that
    /// names the version committed first, with `table_unavailable` or with `commit_in_doubt`.
    void move(const vm_id& vm, const pool_id& target, std::string_view reason,
              change_callback done);

    /// Starts a maintenance roll-out over a pool. Fails like `move`.
    void maintain(const pool_id& pool, std::string_view reason, change_callback done);

    /// The pool of a VM according to its row; empty if it has no row.
    [[nodiscard]] std::optional<pool_id> pool_of(const vm_id& vm) const;

    /// Whether the row of a VM permits it to accept work; true if it has no row.
    [[nodiscard]] bool in_service(const vm_id& vm) const;

    [[nodiscard]] const pool_controller& controller() const { return *controller_; }

  private:
    /// Rows of one read. They are passed to the controller only after every prefix was scanned.
    struct row_read {
        pool_rows_read rows;
        std::vector<table_version> scanned; ///< Scan versions of the prefixes scanned so far.
    };

    pool_driver(settings node_settings, pool_links links,
                std::unique_ptr<pool_controller> controller);

    void handle(const pool_input& input);
    void perform(const commit_pool_rows& effect);
    void perform(const order_drain& effect);
    void perform(const order_reboot& effect);
    void perform(const query_vm_status& effect);
    void perform(const read_pool_rows& effect);

    void commit_order(const table_check& check, const table_write& write, change_callback done);
    void poll_rows();
    void scan_next(const std::shared_ptr<row_read>& read);
    static void process_scan(const table_scan& scan, row_read& read);
    void end_poll();
    void poll_vms();

    settings settings_;
    pool_links links_;
    std::unique_ptr<pool_controller> controller_;
    std::vector<table_version> scanned_versions_; ///< Of the last complete read; empty before it.
    bool polling_ = false;
    bool poll_again_ = false;
    timer_subscription tick_timer_;
    timer_subscription row_timer_;
    timer_subscription read_timer_;
    timer_subscription vm_timer_;
};

} // namespace citronford
