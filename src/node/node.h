#pragma once

#include "citronford/drain.h"
#include "citronford/settings.h"
#include "citronford/team_limits.h"
#include "node/buffer_driver.h"
#include "node/control_driver.h"
#include "node/node_links.h"
#include "node/pool_driver.h"
#include "node/request_driver.h"
#include "node/service_level_driver.h"
#include "node/task_driver.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace citronford {

/// A request of a caller, free of any encoding.
struct caller_request {
    caller_id caller{};
    request_id request;
    service_id service;
    key_digest digest; ///< Empty when no key was presented.
    std::string_view body;
    duration timeout{};    ///< Zero for the fleet default.
    bool repeated = false; ///< The caller sent the request id before and got no answer.
};

/// All decisions of one entry VM and the drivers that perform their effects.
class node {
  public:
    /// Fails with `chart_invalid`. `on_leave` is called at the end of a planned stop,
    /// `on_stop_listening` when new connections are to be refused.
    static absl::StatusOr<std::unique_ptr<node>> create(const settings& node_settings,
                                                        node_links links,
                                                        std::function<void()> on_stop_listening,
                                                        std::function<void()> on_leave);

    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;
    ~node() = default;

    void start();

    /// Whether the load balancer should send new connections: not in a planned stop, before the
    /// configuration is read, or in a removed zone while other zones serve.
    [[nodiscard]] bool ready() const;

    /// Takes in a request; it is answered through `caller_link`.
    void submit(const caller_request& request);
    void caller_left(caller_id caller);

    /// Takes in a job for the team of its key; it is answered through `caller_link`.
    void submit_job(caller_id caller, const key_digest& digest,
                    const absl::StatusOr<job_definition>& job);
    void show_job(caller_id caller, const key_digest& digest, const job_id& id);
    void cancel_job(caller_id caller, const key_digest& digest, const job_id& id);

    /// Begins a planned stop.
    void request_stop();

    [[nodiscard]] control_driver& configuration() { return *configuration_; }
    [[nodiscard]] const control_driver& configuration() const { return *configuration_; }
    [[nodiscard]] pool_driver& pools() { return *pools_; }
    [[nodiscard]] const pool_driver& pools() const { return *pools_; }
    /// The buffers of the pools with a demand.
    [[nodiscard]] const std::map<pool_id, pool_buffer>& buffers() const {
        return buffers_->buffers();
    }
    [[nodiscard]] const team_limits& limits() const { return limits_; }
    [[nodiscard]] std::size_t open_requests() const { return requests_->open_requests(); }
    [[nodiscard]] const task_scheduler& tasks() const { return tasks_->scheduler(); }
    [[nodiscard]] const request_driver& requests() const { return *requests_; }
    [[nodiscard]] std::string_view drain_state() const { return drain_.state(); }
    [[nodiscard]] service_level_driver& levels() { return *levels_; }
    [[nodiscard]] const settings& node_settings() const { return settings_; }

  private:
    node(settings node_settings, node_links links, drain stop);

    void handle(const drain_input& input);
    void apply(const fleet_configuration& fleet);
    void share_members(instant now);
    [[nodiscard]] bool other_zones_serve() const;
    void refuse(const caller_request& request, const absl::Status& status);
    void refuse_job(caller_id caller, const job_id& id, const absl::Status& status);

    settings settings_;
    node_links links_;
    team_limits limits_;
    drain drain_;
    std::unique_ptr<control_driver> configuration_;
    std::unique_ptr<service_level_driver> levels_;
    std::unique_ptr<pool_driver> pools_;
    std::unique_ptr<request_driver> requests_;
    std::unique_ptr<task_driver> tasks_;
    std::unique_ptr<buffer_driver> buffers_;
    std::function<void()> on_stop_listening_;
    std::function<void()> on_leave_;
    timer_subscription drain_timer_;
    timer_subscription member_timer_;
};

} // namespace citronford
