#pragma once

#include "citronford/instant.h"
#include "citronford/server_pace.h"

#include <tuple>

namespace citronford::dispatch {

struct task_run;

/// A run that takes longer than its kind should.
struct held_up_run {
    task_run* run = nullptr;
    delay_cause cause = delay_cause::none;
    bool on_doubtful_server = false;
    duration remaining{};

    [[nodiscard]] auto key() const {
        return std::tuple(cause == delay_cause::no_progress, on_doubtful_server, remaining);
    }
};

} // namespace citronford::dispatch
