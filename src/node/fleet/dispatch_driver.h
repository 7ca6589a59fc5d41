#pragma once

#include "citronford/backend_link.h"
#include "citronford/dispatcher.h"
#include "citronford/fleet_rows.h"
#include "citronford/table_service.h"
#include "citronford/timer_service.h"
#include "node/fleet/ended_work_marker.h"
#include "node/fleet/owner_row_writer.h"
#include "node/fleet/progress_writer.h"
#include "node/fleet/table_follower.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace citronford {

struct dispatch_services {
    timer_service& timers;
    table_service& table;
    backend_link& backends;
    const fleet_rows& rows;
    std::size_t row_bytes = default_row_bytes; ///< Largest value of a row of the table.
};

/// Times up to which the owner may act.
struct owner_authority {
    instant accepts_work_until{};   ///< Accepts new workflows.
    instant sends_commands_until{}; ///< Sends commands to backend servers.
};

/// Runs one dispatcher during one ownership: loads the stored state, watches the table for changes,
/// and performs the dispatcher's effects.
class dispatch_driver {
  public:
    struct callbacks {
        std::function<owner_authority()> authority;
        std::function<std::int64_t()> unix_ms; ///< Time of day.
        std::function<void()> superseded;      ///< Called once when another node is the owner.
    };

    static absl::StatusOr<std::unique_ptr<dispatch_driver>>
    create(const dispatcher::charts& life_cycles, const dispatch_options& options,
           dispatch_services services, callbacks on);

    dispatch_driver(const dispatch_driver&) = delete;
    dispatch_driver& operator=(const dispatch_driver&) = delete;
    dispatch_driver(dispatch_driver&&) = delete;
    dispatch_driver& operator=(dispatch_driver&&) = delete;
    ~dispatch_driver() = default;

    void start();

    /// Stops all activity; no callback is called afterwards.
    void stop();

    void apply(std::shared_ptr<const queue_catalog> catalog);
    void apply(const operator_orders& orders);
    void drain_backends(const backends_to_drain& backends);
    void update_present_backends(const present_backends& backends);

    [[nodiscard]] const dispatcher& state() const { return *decisions_; }

  private:
    /// A progress row that was read before its workflow.
    struct loaded_progress {
        workflow_state state = workflow_state::pending;
        std::string text; ///< Empty for a workflow that has ended.
    };

    dispatch_driver(std::unique_ptr<dispatcher> decisions, const dispatch_options& options,
                    dispatch_services services, callbacks on);

    void handle(const dispatch_input& input);
    void perform(const send_start& effect);
    void perform(const send_stop& effect);
    void perform(const send_poll& effect);
    void perform(const save_progress& effect);
    void perform(const fenced_out& effect);
    void perform(const log_decision& effect);

    void tick(instant now);
    /// Time by which the loop has delayed this tick.
    duration lateness(instant now);
    void load_progress();
    void load_progress_rows(const absl::StatusOr<table_scan>& result);
    void process_work_rows(std::span<const table_row> rows, bool stored_before);
    [[nodiscard]] workflow_progress saved_progress(const job_id& job,
                                                   const workflow_spec& spec) const;
    void process_work_row(const table_row& row, bool stored_before);
    void process_backend_rows(std::span<const table_row> rows);
    void process_backend_row(const table_row& row);
    void publish_waiting_counts(instant now);
    void publish_load(instant now);

    std::unique_ptr<dispatcher> decisions_;
    instant ticked_at_{};
    dispatch_options options_;
    dispatch_services services_;
    callbacks on_;
    progress_writer progress_;
    ended_work_marker ended_marker_;
    owner_row_writer waiting_writer_;
    owner_row_writer load_writer_;
    table_follower work_;
    table_follower backends_;
    timer_subscription ticks_;
    std::map<job_id, loaded_progress> loaded_progress_; ///< Dropped when workflows are loaded.
    std::vector<table_row> deferred_work_; ///< New work that came after the lease had expired.
    std::set<backend_id> registered_;
    instant published_at_{};
    instant load_published_at_{};
    load_report published_load_; ///< Sequence zero: none was published.
    bool loaded_ = false;        ///< The workflows stored before the ownership are loaded.
    bool stopped_ = false;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace citronford
