#pragma once

#include "citronford/ownership.h"
#include "citronford/table_service.h"
#include "citronford/timer_service.h"

#include <functional>
#include <memory>

namespace citronford {

/// Reads the rows for `ownership` and performs its effects on the platform's table.
class ownership_driver {
  public:
    struct handlers {
        std::function<void(fencing_token)> begun;
        std::function<void()> ended;
        std::function<void()> stopped; ///< Called once after a planned stop.
    };

    ownership_driver(ownership decisions, ownership_options options, table_service& table,
                     timer_service& timers, handlers on);

    void start();
    void request_stop();

    /// Ends the ownership because another node has a higher token.
    void fenced_out();

    [[nodiscard]] const ownership& state() const { return decisions_; }

  private:
    void handle(const ownership_input& input);
    void perform(const write_claim& effect);
    void perform(const write_renewal& effect);
    void perform(const write_offer& effect);
    void perform(const write_transfer& effect);
    void perform(const write_release& effect);
    void perform(const ownership_begun& effect);
    void perform(const ownership_ended& effect);
    void perform(const ownership_stopped& effect);

    void tick(instant now);
    void read_rows();
    [[nodiscard]] table_write owner_write(bool released) const;

    ownership decisions_;
    ownership_options options_;
    table_service& table_;
    timer_service& timers_;
    handlers on_;
    timer_subscription ticks_;
    bool reading_ = false;
    bool claiming_ = false;     ///< Whether a claim is under way.
    bool transferring_ = false; ///< Whether a transfer is under way.
    instant read_at_ = instant::min();
};

} // namespace citronford
