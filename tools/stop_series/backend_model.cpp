#include "stop_series/backend_model.h"

#include "io/log.h"
#include "stop_series/kept_caller.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace citronford {
namespace {

using nlohmann::json;

constexpr duration tick_period = milliseconds(20);

/// Time that the server takes to stop a task.
constexpr duration stop_time = milliseconds(50);

/// Time after which a task that cannot be done fails.
constexpr duration failure_time = milliseconds(50);

/// Most ends in the reply to one poll.
constexpr std::size_t max_listed_ends = 500;

} // namespace

backend_model::backend_model(std::string id, backend_options options, timer_service& timers,
                             run_ledger& ledger)
    : id_(std::move(id)), options_(options), timers_(timers), ledger_(ledger), born_(timers.now()),
      born_unix_ms_(std::chrono::duration_cast<milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count()) {
    ticks_ = timers_.every(tick_period, [this](instant now) { tick(now); });
}

backend_model::~backend_model() {
    for (const auto& [task, active] : running_) {
        active.record->running = false;
    }
    forfeit_ends();
}

std::int64_t backend_model::clock_ms() const {
    const auto elapsed = static_cast<double>(to_ms(timers_.now() - born_));
    return options_.clock_start_ms + static_cast<std::int64_t>(elapsed * options_.clock_rate);
}

json backend_model::reply_document() const {
    return {{"ClockMs", clock_ms()}};
}

void backend_model::refuse(const http_responder& responder, const char* reason) {
    json reply = reply_document();
    reply["Reason"] = reason;
    responder.send({409, {}, reply.dump()});
}

void backend_model::handle(const http_request& request, const http_responder& responder) {
    if (request.header("expect-instance") != id_) {
        responder.send({421, {}, "{}"});
        return;
    }
    const json call = json::parse(request.body, nullptr, false);
    if (!call.is_object()) {
        responder.send({400, {}, "{}"});
        return;
    }
    const auto token = call.value("FencingToken", std::uint64_t{0});
    if (token < token_) {
        refuse(responder, "fence");
        return;
    }
    token_ = token;
    if (request.path == "/run-start") {
        start(call, responder);
    } else if (request.path == "/run-stop") {
        stop(call, responder);
    } else if (request.path == "/hold") {
        poll(call, responder);
    } else {
        responder.send({404, {}, "{}"});
    }
}

void backend_model::extend_lease(const json& call) {
    if (call.contains("DeadlineMs")) {
        const auto asked = call.at("DeadlineMs").get<std::int64_t>();
        const std::int64_t latest = clock_ms() + to_ms(options_.longest_lease);
        lease_until_ms_ = std::max(lease_until_ms_, std::min(asked, latest));
    }
}

void backend_model::start(const json& call, const http_responder& responder) {
    const std::string task = call.at("Task");
    const auto run = call.at("Run").get<std::uint32_t>();
    if (call.at("DeadlineMs").get<std::int64_t>() <= clock_ms()) {
        refuse(responder, "late");
        return;
    }
    extend_lease(call);
    const auto present = running_.find(task);
    if (present != running_.end() && present->second.run == run) {
        responder.send({200, {}, reply_document().dump()});
        return;
    }
    const auto highest = highest_run_.find(task);
    if (present != running_.end() || (highest != highest_run_.end() && run <= highest->second)) {
        refuse(responder, "old");
        return;
    }
    const std::string spec = call.value("Spec", "");
    auto record = ledger_.note_start({task, id_, run, token_, timers_.now()});
    auto end_timer =
        timers_.after(time_of(spec), [this, task, fails = spec == failing_spec](instant) {
            end(task, fails ? "failed" : "done");
        });
    running_.insert_or_assign(task, active_run{run, std::move(record), std::move(end_timer)});
    responder.send({200, {}, reply_document().dump()});
}

duration backend_model::time_of(std::string_view spec) const {
    if (spec == failing_spec) {
        return failure_time;
    }
    return spec == long_spec ? options_.long_task_time : options_.task_time;
}

void backend_model::stop(const json& call, const http_responder& responder) {
    const std::string task = call.at("Task");
    const auto run = call.at("Run").get<std::uint32_t>();
    std::uint32_t& highest = highest_run_[task];
    highest = std::max(highest, run);
    const auto present = running_.find(task);
    if (present != running_.end() && present->second.run <= run) {
        present->second.end =
            timers_.after(stop_time, [this, task](instant) { end(task, "stopped"); });
    }
    responder.send({200, {}, reply_document().dump()});
}

void backend_model::poll(const json& call, const http_responder& responder) {
    extend_lease(call);
    const auto acknowledged = call.value("SeenUpto", std::uint64_t{0});
    while (!ended_.empty() && ended_.front().number <= acknowledged) {
        ended_.pop_front();
    }
    const milliseconds wait(call.value("WaitMs", std::int64_t{0}));
    if (ended_.empty() && wait > milliseconds::zero()) {
        polls_.push_back({timers_.now() + wait, responder});
    } else {
        answer_poll(responder);
    }
}

void backend_model::answer_poll(const http_responder& responder) {
    json running = json::array();
    for (const auto& [task, active] : running_) {
        running.push_back({task, active.run, "", 100, 0});
    }
    json ended = json::array();
    for (const listed_end& item : ended_) {
        if (ended.size() == max_listed_ends) {
            break;
        }
        ended.push_back({item.number, item.task, item.run, item.how, ""});
    }
    json reply = reply_document();
    reply["born"] = born_unix_ms_;
    reply["Running"] = std::move(running);
    reply["Ended"] = std::move(ended);
    responder.send({200, {}, reply.dump()});
}

void backend_model::end(const std::string& task, const std::string& how) {
    const auto node = running_.extract(task);
    if (node.empty()) {
        return;
    }
    const active_run& active = node.mapped();
    active.record->running = false;
    active.record->done = how == "done";
    if (active.record->doubled) {
        log_event(log_level::warning, "doubled_run_ended",
                  {{"task", task},
                   {"backend", id_},
                   {"run", static_cast<std::int64_t>(active.run)},
                   {"how", how},
                   {"age_ms", to_ms(timers_.now() - active.record->started)}});
    }
    std::uint32_t& highest = highest_run_[task];
    highest = std::max(highest, active.run);
    ended_.push_back({++last_end_, task, active.run, how, active.record});
}

void backend_model::end_lease() {
    forfeit_ends();
    while (!running_.empty()) {
        end(std::string(running_.begin()->first), "lapsed");
    }
    lease_until_ms_ = 0;
}

void backend_model::forfeit_ends() {
    for (const listed_end& listed : ended_) {
        listed.record->forfeited = true;
    }
}

void backend_model::tick(instant now) {
    if (lease_until_ms_ > 0 && clock_ms() >= lease_until_ms_) {
        end_lease();
    }
    polls_.remove_if([&](const waiting_poll& poll) {
        const bool due = !ended_.empty() || now >= poll.until;
        if (due) {
            answer_poll(poll.responder);
        }
        return due;
    });
}

} // namespace citronford
