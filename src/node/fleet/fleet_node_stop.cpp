#include "node/fleet/fleet_node.h"

#include "io/log.h"

namespace citronford {
namespace {

constexpr duration stop_tick_period = milliseconds(20);

} // namespace

void fleet_node::request_stop() {
    if (!drain_.ready()) {
        return;
    }
    log_event(log_level::info, "stop_requested", {});
    log_loads("stop_requested", process_.listener_loads());
    process_.close_after_answers();
    drain_.handle(stop_requested{}, links_.timers.now());
    owner_.request_stop();
    drain_ticks_ = links_.timers.every(stop_tick_period, [this](instant) { tick_drain(); });
}

void fleet_node::tick_drain() {
    const drain_tick tick{process_.open_requests(), ownership_stopped_ ? 0U : 1U,
                          process_.open_connections()};
    for (const drain_effect& effect : drain_.handle(tick, links_.timers.now())) {
        std::visit([this](const auto& item) { perform(item); }, effect);
    }
}

void fleet_node::perform(const stop_listening& /*effect*/) {
    process_.stop_listening();
    log_loads("listening_ended", process_.listener_loads());
}

void fleet_node::perform(const hand_over& /*effect*/) {}

void fleet_node::perform(const answer_open_work& /*effect*/) {
    log_event(log_level::warning, "open_requests_answered",
              {{"open_requests", static_cast<std::int64_t>(process_.open_requests())}});
    workflows_.stop();
}

void fleet_node::perform(const leave& /*effect*/) {
    drain_ticks_.cancel();
    process_.leave();
}

} // namespace citronford
