// The faults of a series: stops, kills, pauses, silences of the store, and changes.
#include "stop_series/stop_scenario.h"

#include "io/log.h"

#include <algorithm>
#include <csignal>

namespace citronford {
namespace {

/// Time that the platform takes to start an ended process again.
constexpr duration restart_delay = milliseconds(700);

} // namespace

void stop_scenario::schedule_stop() {
    if (stops_left_ == 0) {
        stopping_done_ = true;
        timers_.once(seconds(3), [this](instant) { finish_callers(); });
        return;
    }
    if (options_.owner_only || options_.restarts) {
        find_owner(0);
        return;
    }
    std::vector<std::size_t> candidates;
    for (std::size_t vm = 0; vm < fleet_->size(); ++vm) {
        if (fleet_->running(vm) && !fleet_->stopping(vm)) {
            candidates.push_back(vm);
        }
    }
    if (candidates.size() < 2) {
        timers_.once(milliseconds(200), [this](instant) { schedule_stop(); });
        return;
    }
    std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
    stop_vm(candidates[draw(random_)]);
}

void stop_scenario::find_owner(std::size_t vm) {
    if (vm == fleet_->size()) {
        timers_.once(milliseconds(300), [this](instant) { schedule_stop(); });
        return;
    }
    if (!fleet_->running(vm) || fleet_->stopping(vm)) {
        find_owner(vm + 1);
        return;
    }
    calls_.call(fleet_->metrics(vm), {"GET", "/metrics", {}, {}, seconds(2)},
                [this, vm](const http_result& result) {
                    const auto* reply = std::get_if<http_reply>(&result);
                    if (reply != nullptr &&
                        reply->body.find("citronford_owner 1") != std::string::npos) {
                        stop_vm(vm);
                    } else {
                        find_owner(vm + 1);
                    }
                });
}

void stop_scenario::stop_vm(std::size_t vm) {
    if (options_.restarts) {
        --stops_left_;
        server_faults_->begin_round(vm);
        timers_.once(server_faults_->pause(), [this](instant) { schedule_stop(); });
        return;
    }
    const bool kill_now = options_.kills && stops_left_ % 2 == 0;
    --stops_left_;
    log_event(log_level::info, "stop",
              {{"vm", static_cast<std::int64_t>(vm)}, {"kill", kill_now ? "yes" : "no"}});
    if (kill_now) {
        fleet_->send(vm, SIGKILL);
    } else {
        fleet_->request_stop(vm);
        if (options_.pauses) {
            hold_up(vm);
        }
        if (options_.silences) {
            silence_store();
        }
    }
    const duration pause = options_.stops_overlap ? between(milliseconds(300), milliseconds(4000))
                                                  : milliseconds(7500);
    timers_.once(pause, [this](instant) { schedule_stop(); });
}

/// Suspends the process for a while, every second time around the end of the balancer's delay, when
/// most stops end.
void stop_scenario::hold_up(std::size_t vm) {
    const bool at_delay = stops_left_ % 2 == 0;
    const duration begin = at_delay ? between(milliseconds(2290), milliseconds(2340))
                                    : between(milliseconds(0), milliseconds(5400));
    const duration length = between(milliseconds(300), milliseconds(600));
    timers_.once(begin, [this, vm, length](instant) {
        fleet_->send(vm, SIGSTOP);
        timers_.once(length, [this, vm](instant) { fleet_->send(vm, SIGCONT); });
    });
}

void stop_scenario::silence_store() {
    const duration begin = between(milliseconds(1500), milliseconds(3500));
    const duration length = between(milliseconds(500), milliseconds(4500));
    timers_.once(begin, [this, length](instant) {
        store_.set_silent(true);
        timers_.once(length, [this](instant) { store_.set_silent(false); });
    });
}

void stop_scenario::schedule_reload() {
    if (stopping_done_) {
        return;
    }
    for (std::size_t vm = 0; vm < fleet_->size(); ++vm) {
        // A process that the kernel has not started yet cannot handle a signal.
        if (fleet_->started(vm)) {
            fleet_->send(vm, SIGHUP);
        }
    }
    timers_.once(between(milliseconds(100), milliseconds(1500)),
                 [this](instant) { schedule_reload(); });
}

void stop_scenario::schedule_change() {
    if (stopping_done_) {
        return;
    }
    version_ += std::uniform_int_distribution<std::int64_t>(1, 5)(random_);
    write_configuration();
    timers_.once(between(milliseconds(200), milliseconds(2000)),
                 [this](instant) { schedule_change(); });
}

void stop_scenario::process_ended(const ended_process& ended) {
    // Before the daemon handles SIGTERM, nothing listens, and the kernel ends the process.
    const bool starting = ended.signal == SIGTERM && !fleet_->started(ended.vm);
    const bool clean =
        ended.after_stop && (starting || (ended.signal == 0 && ended.exit_code == 0));
    const bool kills = options_.kills || options_.restarts;
    const bool intended = kills && ended.signal == SIGKILL && !ended.after_stop;
    result_.wrong_ends += clean || intended ? 0 : 1;
    if (ended.after_stop) {
        result_.longest_stop = std::max(result_.longest_stop, *ended.after_stop);
    }
    log_event(log_level::info, "process_ended",
              {{"vm", static_cast<std::int64_t>(ended.vm)},
               {"after_stop_ms", ended.after_stop ? to_ms(*ended.after_stop) : -1},
               {"exit_code", ended.exit_code},
               {"signal", static_cast<std::int64_t>(ended.signal)}});
    const duration delay = options_.restarts ? server_faults_->relaunch_delay() : restart_delay;
    timers_.once(delay, [this, vm = ended.vm](instant) { fleet_->launch(vm); });
}

} // namespace citronford
