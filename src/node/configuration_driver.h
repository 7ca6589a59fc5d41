#pragma once

#include "citronford/authorization.h"
#include "citronford/configuration_change.h"
#include "citronford/fleet_configuration.h"
#include "citronford/settings.h"
#include "node/node_links.h"

#include <absl/status/statusor.h>

#include <functional>
#include <vector>

namespace citronford {

/// Keeps the node's copy of the configuration and commits the changes of operators.
class configuration_driver {
  public:
    using listener = std::function<void(const fleet_configuration&)>;
    using change_callback = std::function<void(absl::StatusOr<configuration_version>)>;

    configuration_driver(const settings& node_settings, node_links links);
    configuration_driver(const configuration_driver&) = delete;
    configuration_driver& operator=(const configuration_driver&) = delete;
    configuration_driver(configuration_driver&&) = delete;
    configuration_driver& operator=(configuration_driver&&) = delete;
    ~configuration_driver() = default;

    /// Begins to poll the table.
    void start();

    /// Calls `function` after every change of the copy.
    void subscribe(listener function) { listeners_.push_back(std::move(function)); }

    /// Whether the table was read at least once.
    [[nodiscard]] bool loaded() const { return loaded_; }
    [[nodiscard]] const fleet_configuration& fleet() const { return fleet_; }
    [[nodiscard]] configuration_view view() const;

    /// Commits a change. Fails with the code of `validated`, `conflict`, `table_unavailable` or
    /// `commit_in_doubt`.
    void change(const configuration_change& change, change_callback done);

  private:
    void poll();
    void take_scan(const table_scan& scan, instant begun_at);

    settings settings_;
    node_links links_;
    fleet_configuration fleet_;
    table_version scanned_ = 0;
    table_version version_row_ = absent_row; ///< Table version of the row `config/version`.
    instant confirmed_at_{};
    bool loaded_ = false;
    bool polling_ = false;
    std::vector<listener> listeners_;
    timer_subscription poll_timer_;
};

} // namespace citronford
