#include "stop_series/backend_model.h"

#include "stop_series/kept_caller.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace citronford {
namespace {

using nlohmann::json;

constexpr duration tick_period = milliseconds(20);

/// Longest lease that the server grants.
constexpr std::int64_t longest_lease_ms = 6000;

/// Time that the server takes to stop a task.
constexpr duration stop_time = milliseconds(50);

/// Time after which a task that cannot be done fails.
constexpr duration failure_time = milliseconds(50);

/// Most ends in the reply to one poll.
constexpr std::size_t max_listed_ends = 500;

} // namespace

void run_ledger::note_start(const std::string& task, instant now) {
    task_history& history = tasks_[task];
    history.first_start = std::min(history.first_start, now);
    if (history.done || history.running > 0) {
        doubled_.push_back(task);
    }
    ++history.running;
}

void run_ledger::note_end(const std::string& task, bool done) {
    task_history& history = tasks_[task];
    --history.running;
    history.done = history.done || done;
}

bool run_ledger::has_run(const std::string& id) const {
    const auto found = tasks_.lower_bound(id);
    return found != tasks_.end() && found->first.starts_with(id);
}

std::optional<instant> run_ledger::first_start(const std::string& id) const {
    std::optional<instant> first;
    for (auto task = tasks_.lower_bound(id); task != tasks_.end() && task->first.starts_with(id);
         ++task) {
        first = std::min(first.value_or(instant::max()), task->second.first_start);
    }
    return first;
}

backend_model::backend_model(std::string id, duration task_time, timer_service& timers,
                             run_ledger& ledger)
    : id_(std::move(id)), task_time_(task_time), timers_(timers), ledger_(ledger),
      born_(timers.now()), born_unix_ms_(std::chrono::duration_cast<milliseconds>(
                                             std::chrono::system_clock::now().time_since_epoch())
                                             .count()) {
    ticks_ = timers_.every(tick_period, [this](instant now) { tick(now); });
}

std::int64_t backend_model::clock_ms() const {
    return to_ms(timers_.now() - born_) + 1;
}

json backend_model::reply_document() const {
    return {{"ClockMs", clock_ms()}, {"born", born_unix_ms_}};
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
        lease_until_ms_ = std::max(lease_until_ms_, std::min(asked, clock_ms() + longest_lease_ms));
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
    ledger_.note_start(task, timers_.now());
    const bool fails = call.value("Spec", "") == failing_spec;
    running_.insert_or_assign(task, active_run{run, timers_.after(fails ? failure_time : task_time_,
                                                                  [this, task, fails](instant) {
                                                                      end(task, fails ? "failed"
                                                                                      : "done");
                                                                  })});
    responder.send({200, {}, reply_document().dump()});
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
    reply["Running"] = std::move(running);
    reply["Ended"] = std::move(ended);
    responder.send({200, {}, reply.dump()});
}

void backend_model::end(const std::string& task, const std::string& how) {
    const auto node = running_.extract(task);
    if (node.empty()) {
        return;
    }
    ledger_.note_end(task, how == "done");
    std::uint32_t& highest = highest_run_[task];
    highest = std::max(highest, node.mapped().run);
    ended_.push_back({++last_end_, task, node.mapped().run, how});
}

void backend_model::tick(instant now) {
    if (lease_until_ms_ > 0 && clock_ms() >= lease_until_ms_) {
        while (!running_.empty()) {
            end(std::string(running_.begin()->first), "lapsed");
        }
        lease_until_ms_ = 0;
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
