#pragma once

#include "citronford/configuration.h"
#include "citronford/configuration_log.h"
#include "citronford/peer_link.h"
#include "citronford/settings.h"
#include "citronford/table_service.h"
#include "citronford/team_limits.h"
#include "citronford/timer_service.h"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace citronford {

/// The interfaces that the control of a node needs; all outlive it.
struct control_links {
    timer_service& timers;
    table_service& table;
    peer_link& peers;
};

/// An accepted or previewed change.
struct change_result {
    configuration_version version = 0;
    std::vector<zone_progress> zones;
};

/// Performs the effects of membership, configuration and escrow through the interfaces of the node.
class control_driver {
  public:
    using listener = std::function<void(const fleet_configuration&)>;
    using handover_listener = std::function<void(const member_id&, const job_handover&)>;
    using change_callback = std::function<void(const absl::StatusOr<change_result>&)>;

    /// Fails with `chart_invalid`. `limits` must outlive the driver.
    static absl::StatusOr<std::unique_ptr<control_driver>>
    create(const settings& node_settings, control_links links, team_limits& limits);

    control_driver(const control_driver&) = delete;
    control_driver& operator=(const control_driver&) = delete;
    control_driver(control_driver&&) = delete;
    control_driver& operator=(control_driver&&) = delete;
    ~control_driver() = default;

    /// Begins to read the table, to register and to send heartbeats.
    void start();

    /// Calls `function` after every change of the copy of the configuration.
    void subscribe(listener function) { listeners_.push_back(std::move(function)); }

    /// Sets the function that receives handovers of peers.
    void on_handover(handover_listener function) { handover_heard_ = std::move(function); }

    /// Commits a change, or previews it. `done` is called once, when the change is in force or
    /// after 4 s with the nodes that are missing. Fails with the code of `validated`, `conflict`,
    /// `table_unavailable`, `commit_in_doubt`, `lease_lost` or `node_joining`.
    void change(const configuration_change& change, bool dry_run, change_callback done);

    /// Begins to return the units of the node, as its work ends.
    void hand_over();

    /// Deletes the registration, tells the peers and calls `done` shortly after.
    void leave(std::function<void()> done);

    [[nodiscard]] bool loaded() const { return configuration_->loaded(); }
    [[nodiscard]] const fleet_configuration& fleet() const { return configuration_->fleet(); }
    [[nodiscard]] configuration_view view() const { return configuration_->view(); }
    [[nodiscard]] std::string_view key_state(const key_id& id) const {
        return configuration_->key_state(id);
    }
    [[nodiscard]] const membership& members() const { return *membership_; }

  private:
    /// Result of the scans of one read of the table.
    struct table_snapshot {
        registrations_read registrations;
        configuration_read fleet;
        escrow_read units;
    };

    control_driver(settings node_settings, control_links links, team_limits& limits);

    void handle(const membership_input& input);
    void handle(const configuration_input& input);
    void handle(const escrow_input& input);

    void perform(const write_registration& effect);
    void perform(const erase_registration& effect);
    void perform(const send_peer& effect);
    void perform(const write_escrow& effect);
    void perform(const commit_change& effect);
    void perform(const answer_change& effect);
    void perform(const push_configuration& effect);
    void perform(const read_table& effect);
    void perform(const fence_commit& effect);
    void perform(const configuration_applied& effect);

    void receive(const member_id& from, const peer_message& message);
    void take_update(const member_id& from, const configuration_update& update);
    void tick();
    void read();
    void read_fleet(const std::shared_ptr<table_snapshot>& found);
    void read_units(const std::shared_ptr<table_snapshot>& found);
    void publish();

    settings settings_;
    control_links links_;
    team_limits& limits_;
    std::unique_ptr<membership> membership_;
    std::unique_ptr<escrow> escrow_;
    std::unique_ptr<configuration> configuration_;
    fleet_configuration scanned_fleet_; ///< As of the table version `scanned_`.
    table_version scanned_ = 0;
    table_version version_row_ = 0;
    member_id author_;
    table_version scanned_units_ = 0;
    configuration_log log_; ///< For updates to peers.
    bool reading_ = false;
    bool read_again_ = false;
    bool leaving_ = false;
    std::uint64_t next_change_ = 1;
    std::map<change_id, change_callback> changes_;
    std::vector<listener> listeners_;
    handover_listener handover_heard_;
    timer_subscription leave_timer_;
    timer_subscription tick_timer_;
    timer_subscription poll_timer_;
};

} // namespace citronford
