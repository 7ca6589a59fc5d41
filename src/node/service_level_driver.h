#pragma once

#include "citronford/caller_link.h"
#include "citronford/service_levels.h"
#include "citronford/timer_service.h"
#include "io/log.h"

#include <functional>
#include <map>
#include <vector>

namespace citronford {

/// Feeds the service levels from the answers to callers, and logs alerts and failed requests.
class service_level_driver {
  public:
    using listener = std::function<void(const answer_given&)>;

    /// `timers` must outlive the driver. `zone` is that of the node.
    service_level_driver(timer_service& timers, zone_id zone);
    service_level_driver(const service_level_driver&) = delete;
    service_level_driver& operator=(const service_level_driver&) = delete;
    service_level_driver(service_level_driver&&) = delete;
    service_level_driver& operator=(service_level_driver&&) = delete;
    ~service_level_driver() = default;

    /// Begins to check the alerts.
    void start();
    void configure(const fleet_configuration& fleet);

    /// Calls `function` for every answer, also for those that do not count for a service level.
    void subscribe(listener function) { listeners_.push_back(std::move(function)); }

    /// A request was accepted; its latency is measured from now.
    void received(caller_id caller, const service_id& service, const team_id& team);
    /// A request was answered; ignored unless it was received before.
    void answered(caller_id caller, const request_id& request, result_code code, int http_status);
    /// A request was refused before it was accepted.
    void refused(const service_id& service, const request_id& request, result_code code);
    /// A job was served well or badly.
    void served(const team_id& team, bool bad) { handle(job_served{team, bad}); }
    /// A job was refused; it counts for no service level.
    void job_refused(const job_id& job, const team_id& team, result_code code);
    /// The caller has gone away; nobody waits for the answer.
    void left(caller_id caller);

    [[nodiscard]] std::vector<burn_report> reports() const;
    /// How long the counts reach back, since they begin with the process.
    [[nodiscard]] duration covered() const;

  private:
    struct open_request {
        service_id service;
        team_id team;
        instant received_at;
    };

    void observe(const answer_given& answer, const request_id& request);
    void handle(const service_level_input& input);

    timer_service& timers_;
    zone_id zone_;
    instant started_at_;
    service_levels levels_;
    configuration_version version_ = 0;
    log_limiter limiter_;
    std::map<caller_id, open_request> open_;
    std::vector<listener> listeners_;
    timer_subscription tick_timer_;
};

} // namespace citronford
