// Cost of one request through the router, and the heap of its open requests.
#include "capacity/slope.h"

#include "citronford/overloaded.h"
#include "citronford/request_router.h"

#include <memory>
#include <string>

namespace citronford {
namespace {

/// A router with `executors` executors of one service and one open request per executor.
class loaded_router {
  public:
    explicit loaded_router(std::size_t executors) {
        const std::string charts = CITRONFORD_CHARTS;
        const auto request_chart = chart::load(charts + "/request.scxml");
        const auto connection_chart = chart::load(charts + "/connection.scxml");
        router_ = *request_router::create({*request_chart, *connection_chart}, {}, limits_);
        limits_.set_units(team_, static_cast<std::int64_t>(executors) * 2);
        fleet_configuration fleet;
        service_definition service;
        service.name = service_id("quote");
        service.idempotent = true;
        fleet.defaults.services = {service};
        router_->configure(fleet);
        executor_listing listing;
        for (std::size_t index = 0; index < executors; ++index) {
            listing.executors.push_back({executor_id("e" + std::to_string(index)),
                                         service.name,
                                         zone_id("a"),
                                         {"127.0.0.1", 1},
                                         false});
        }
        handle(listing);
        for (std::size_t index = 0; index < executors; ++index) {
            submit();
        }
    }

    /// Submits one request and answers it.
    void serve_one() {
        const auto [caller, attempt] = submit();
        handle(
            attempt_report{caller, attempt, attempt_answered{200, "ok", false, request_, attempt}});
    }

  private:
    std::pair<caller_id, attempt_id> submit() {
        const auto caller = static_cast<caller_id>(next_caller_++);
        const auto effects = handle(
            request_submission{caller, request_, team_, service_id("quote"), "body", seconds(10)});
        attempt_id attempt{};
        for (const router_effect& effect : effects) {
            if (const auto* sent = std::get_if<send_attempt>(&effect)) {
                attempt = sent->work.id;
            }
        }
        return {caller, attempt};
    }

    std::vector<router_effect> handle(const router_input& input) {
        return router_->handle(input, instant());
    }

    const request_id request_{"request"};
    team_limits limits_;
    team_id team_{"team"};
    std::unique_ptr<request_router> router_;
    std::uint64_t next_caller_ = 1;
};

cost_sample request_cost(std::size_t executors) {
    constexpr std::size_t passes = 2000;
    return sampled(
        executors, passes, [&] { return std::make_unique<loaded_router>(executors); },
        [](loaded_router& router) { router.serve_one(); });
}

const capacity_registration
    request({"request", "executors", "request", {50, 200, 800}, request_cost});

} // namespace
} // namespace citronford
