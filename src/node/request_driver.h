#pragma once

#include "citronford/claim_sweep.h"
#include "citronford/group_commit.h"
#include "citronford/request_router.h"
#include "citronford/settings.h"
#include "citronford/team_limits.h"
#include "citronford/worker_ownership.h"
#include "node/node_links.h"
#include "node/pool_driver.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <span>

namespace citronford {

/// Performs the effects of the request router, the group commit and the claim sweep through the
/// interfaces of the node.
class request_driver {
  public:
    /// Fails with `chart_invalid`. `pools` gives the pool of a VM and whether it is in service.
    static absl::StatusOr<std::unique_ptr<request_driver>> create(const settings& node_settings,
                                                                  node_links links,
                                                                  team_limits& limits,
                                                                  const pool_driver& pools);

    request_driver(const request_driver&) = delete;
    request_driver& operator=(const request_driver&) = delete;
    request_driver(request_driver&&) = delete;
    request_driver& operator=(request_driver&&) = delete;
    ~request_driver() = default;

    /// Starts the timers that check deadlines and poll the VM list.
    void start();

    /// Sets a function that is called with every answer before it is sent to the caller.
    void on_answer(std::function<void(const answer_caller&)> function) {
        on_answer_ = std::move(function);
    }

    void configure(const fleet_configuration& fleet);

    /// Updates the live nodes. They share the request rates of the table, and one of them runs the
    /// claim sweep.
    void set_members(std::span<const live_member> members);
    void handle(const router_input& input);

    [[nodiscard]] std::size_t open_requests() const { return router_->open_requests(); }

    /// Work that a planned stop waits for: open requests, and claims and outcomes that are not
    /// recorded yet.
    [[nodiscard]] std::size_t open_work() const {
        return router_->open_requests() + group_commit_.open_entries();
    }
    [[nodiscard]] const request_router& router() const { return *router_; }
    /// Number of claims granted since the node started.
    [[nodiscard]] std::uint64_t claims_granted() const { return group_commit_.claims_granted(); }
    [[nodiscard]] std::map<service_id, std::size_t> take_peak_slots() {
        return router_->take_peak_slots();
    }

  private:
    request_driver(settings node_settings, node_links links, team_limits& limits,
                   const pool_driver& pools, std::unique_ptr<request_router> router,
                   claim_sweep sweep);

    void handle_commit(const group_commit_input& input);
    void handle_sweep(const claim_sweep_input& input);

    void perform(const commit_claim& effect);
    void perform(const abandon_claim& effect);
    void perform(const record_outcome& effect);
    void perform(const forget_claim& effect);
    void perform(const send_attempt& effect);
    void perform(const query_outcome& effect);
    void perform(const probe_executor& effect);
    void perform(const answer_caller& effect);
    void perform(const commit_transaction& effect);
    void perform(const read_claim_row& effect);
    void perform(const claim_recorded& effect);
    void perform(const claim_taken& effect);
    void perform(const claim_refused& effect);
    void perform(const schedule_commit_tick& effect);
    void perform(const sweep_scan& effect);
    void perform(const sweep_transaction& effect);

    void poll_vms();

    settings settings_;
    node_links links_;
    team_limits& limits_;
    const pool_driver& pools_;
    std::unique_ptr<request_router> router_;
    group_commit group_commit_;
    claim_sweep sweep_;
    bool sweep_assigned_ = false; ///< Whether this node runs the claim sweep.
    fleet_configuration fleet_;
    bool listing_vms_ = false;
    std::function<void(const answer_caller&)> on_answer_;
    timer_subscription tick_timer_;
    timer_subscription commit_timer_; ///< For `schedule_commit_tick`.
    timer_subscription vm_timer_;
};

} // namespace citronford
