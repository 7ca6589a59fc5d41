#pragma once

#include "citronford/chart.h"
#include "citronford/drain.h"

#include <random>
#include <string>
#include <vector>

namespace citronford {

/// Result of one simulated planned stop under load.
struct stop_outcome {
    std::uint64_t steps = 0;
    std::uint64_t cut_off = 0; ///< Requests under way when the process left.
    std::uint64_t refused = 0; ///< Requests sent while the listening socket was closed.
    bool left = false;
};

/// A node with the decisions of `drain` behind a load balancer that notices a failed readiness
/// late, at most 5 s, and goes on sending requests that take at most 20 s.
class stop_scenario {
  public:
    stop_scenario(std::uint64_t seed, const chart& life_cycle, drain_options options)
        : random_(seed), stop_(*drain::create(life_cycle, options)) {
        balancer_lag_ = milliseconds(number(0, slowest_balancer_ms));
        stop_at_ = instant() + milliseconds(number(0, 1000));
        second_signal_at_ = stop_at_ + milliseconds(number(0, 10000));
    }

    stop_outcome run() {
        constexpr duration step = milliseconds(10);
        constexpr duration longest_run = seconds(60);
        for (instant now; !outcome_.left && now - instant() < longest_run; now += step) {
            ++outcome_.steps;
            advance(now);
        }
        outcome_.cut_off = ends_.size();
        return outcome_;
    }

  private:
    static constexpr std::int64_t slowest_balancer_ms = 5000;
    static constexpr std::int64_t longest_request_ms = 20000;

    std::int64_t number(std::int64_t least, std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>(least, most)(random_);
    }

    void advance(instant now) {
        std::erase_if(ends_, [&](instant end) { return end <= now; });
        if (now >= stop_at_ || now >= second_signal_at_) {
            perform(stop_.handle(stop_requested{}, now));
        }
        if (!stop_.ready() && unready_at_ == instant::max()) {
            unready_at_ = now;
        }
        const bool balanced = stop_.ready() || now - unready_at_ < balancer_lag_;
        if (balanced && number(0, 9) == 0) {
            receive_request(now);
        }
        perform(stop_.handle(drain_tick{ends_.size()}, now));
    }

    void receive_request(instant now) {
        if (listening_) {
            ends_.push_back(now + milliseconds(number(1, longest_request_ms)));
        } else {
            ++outcome_.refused;
        }
    }

    void perform(const std::vector<drain_effect>& effects) {
        for (const drain_effect& effect : effects) {
            listening_ = listening_ && !std::holds_alternative<stop_listening>(effect);
            outcome_.left = outcome_.left || std::holds_alternative<leave>(effect);
        }
    }

    std::mt19937_64 random_;
    drain stop_;
    duration balancer_lag_{};
    instant stop_at_;
    instant second_signal_at_;
    instant unready_at_ = instant::max();
    std::vector<instant> ends_; ///< End of each request under way.
    bool listening_ = true;
    stop_outcome outcome_;
};

} // namespace citronford
