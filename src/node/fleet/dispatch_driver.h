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
};

/// Until when the owner may act.
struct owner_authority {
    instant accepts_work_until{};   ///< Takes in workflows that are new to it.
    instant sends_commands_until{}; ///< Gives orders to backend servers.
};

/// Runs one dispatcher from the beginning of an ownership to its end: loads what the store knows,
/// follows the changes, and performs the effects.
class dispatch_driver {
  public:
    struct callbacks {
        std::function<owner_authority()> authority;
        std::function<std::int64_t()> unix_ms; ///< Time of day.
        std::function<void()> superseded;      ///< Another owner has taken over.
    };

    static absl::StatusOr<std::unique_ptr<dispatch_driver>>
    create(const dispatcher::charts& life_cycles, const dispatch_options& options,
           dispatch_services links, callbacks on);

    dispatch_driver(const dispatch_driver&) = delete;
    dispatch_driver& operator=(const dispatch_driver&) = delete;
    dispatch_driver(dispatch_driver&&) = delete;
    dispatch_driver& operator=(dispatch_driver&&) = delete;
    ~dispatch_driver() = default;

    void start();

    /// Ends all activity; the callbacks are not used any more.
    void stop();

    void apply(std::shared_ptr<const queue_catalog> catalog);
    void apply(const operator_orders& orders);
    void drain_backends(const backends_to_drain& backends);
    void update_present_backends(const present_backends& backends);

    [[nodiscard]] const dispatcher& state() const { return *decisions_; }

  private:
    dispatch_driver(std::unique_ptr<dispatcher> decisions, const dispatch_options& options,
                    dispatch_services links, callbacks on);

    void handle(const dispatch_input& input);
    void perform(const send_start& effect);
    void perform(const send_stop& effect);
    void perform(const send_poll& effect);
    void perform(const save_progress& effect);
    void perform(const fenced_out& effect);
    void perform(const log_decision& effect);

    void tick(instant now);
    void load_progress();
    void load_progress_rows(const absl::StatusOr<table_scan>& result);
    void process_work_rows(std::span<const table_row> rows, bool stored_before);
    void process_work_row(const table_row& row, bool stored_before);
    void process_backend_rows(std::span<const table_row> rows);
    void process_backend_row(const table_row& row);
    void publish_waiting_counts(instant now);

    std::unique_ptr<dispatcher> decisions_;
    dispatch_options options_;
    dispatch_services links_;
    callbacks on_;
    progress_writer progress_;
    ended_work_marker ended_rows_;
    owner_row_writer waiting_writer_;
    table_follower work_;
    table_follower backends_;
    timer_subscription ticks_;
    std::map<job_id, workflow_progress>
        loaded_progress_;              ///< Read at the start, until the rows are matched.
    std::vector<table_row> postponed_; ///< New work that came while the lease was over.
    std::set<backend_id> registered_;
    instant published_at_{};
    bool loaded_ = false; ///< The work that was stored before has been taken in.
    bool stopped_ = false;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace citronford
