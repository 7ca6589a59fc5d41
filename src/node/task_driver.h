#pragma once

#include "citronford/settings.h"
#include "citronford/task_scheduler.h"
#include "citronford/team_limits.h"
#include "node/node_links.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <utility>

namespace citronford {

/// Feeds the task scheduler of a node with inputs and performs its effects through the interfaces
/// in `node_links`.
class task_driver {
  public:
    /// Returns the time at which the node's configuration was last confirmed.
    using confirmation_clock = std::function<instant()>;

    /// Callbacks for service level events and refused requests; empty ones are not called.
    struct job_listeners {
        std::function<void(const job_sli_event&)> sli_event;
        std::function<void(const job_id&, const team_id&, result_code)> refused;
    };

    /// `incarnation` is that of the node's registration. Fails with `chart_invalid` if a chart
    /// cannot be loaded or bound.
    static absl::StatusOr<std::unique_ptr<task_driver>>
    create(const settings& node_settings, node_links links, team_limits& limits,
           std::uint64_t incarnation, confirmation_clock confirmed_at);

    task_driver(const task_driver&) = delete;
    task_driver& operator=(const task_driver&) = delete;
    task_driver(task_driver&&) = delete;
    task_driver& operator=(task_driver&&) = delete;
    ~task_driver() = default;

    void subscribe(job_listeners listeners) { listeners_ = std::move(listeners); }

    /// Starts the timers that tick the scheduler and read the VM list and the job rows.
    void start();

    void configure(const fleet_configuration& fleet);

    /// Sets the live nodes, including this one.
    void set_members(std::span<const live_member> members);
    void handle(const scheduler_input& input);

    /// Answers the caller with the job `id` if it belongs to `team`, whichever node owns the job.
    void show(caller_id caller, const team_id& team, const job_id& id);

    /// Cancels the job `id` if it belongs to `team`; if another node owns the job, records the
    /// request in the row for that node.
    void cancel(caller_id caller, const team_id& team, const job_id& id);

    [[nodiscard]] const task_scheduler& scheduler() const { return *scheduler_; }

  private:
    using row_callback = std::function<void(absl::StatusOr<versioned_job_row>)>;

    task_driver(settings node_settings, node_links links, team_limits& limits, live_member self,
                std::unique_ptr<task_scheduler> scheduler, confirmation_clock confirmed_at);

    void perform(const write_job& effect);
    void perform(const acquire_worker_lease& effect);
    void perform(const sync_worker& effect);
    void perform(const answer_job& effect);
    void perform(const job_sli_event& effect);
    void perform(const send_peer& effect);
    void perform(const read_jobs& effect);

    /// Reads the row to find out whether a write with an uncertain result took effect.
    void resolve_write(const write_job& effect);
    void acquire_lease(const worker_id& worker, table_version expected);
    void read_row(const job_id& id, row_callback done);
    void commit_cancellation(caller_id caller, const versioned_job_row& seen);
    void answer(caller_id caller, const job_row& row);
    void refuse(caller_id caller, const team_id& team, const job_id& id,
                const absl::Status& status);
    void poll_jobs();
    void poll_vms();

    settings settings_;
    node_links links_;
    team_limits& limits_;
    live_member self_;
    std::unique_ptr<task_scheduler> scheduler_;
    confirmation_clock confirmed_at_;
    job_listeners listeners_;
    fleet_configuration fleet_;
    table_version scanned_ = 0;
    bool polling_ = false;
    timer_subscription tick_timer_;
    timer_subscription job_timer_;
    timer_subscription vm_timer_;
};

} // namespace citronford
