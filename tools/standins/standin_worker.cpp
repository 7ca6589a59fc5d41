// Stand-in for a worker: runs tasks under fenced leases, reports usage with a lag, checkpoints,
// throttles and stops; with switchable faults. For tests and demonstrations only.
// GET /stats tells what ran.
#include "standins/standin.h"

#include "citronford/resources.h"
#include "io/digest.h"
#include "io/url.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace {

namespace po = boost::program_options;
using namespace citronford;
using nlohmann::json;

struct worker_settings {
    double processors = 64;
    std::int64_t memory_mb = 131072;
    std::int64_t accelerators = 0;
    std::int64_t usage_lag_ms = 1000;
    std::int64_t checkpoint_ms = 100;
};

struct fault_switches {
    bool fail_all = false; ///< Every task fails soon after its start.
    bool leaving = false;
    bool silent = false;       ///< Accept messages but never answer.
    std::int64_t delay_ms = 0; ///< Added to every answer.
};

struct task {
    json definition;
    std::string state = "running";
    instant started_at{};
    duration left{};
    int percent = 100;
    instant checkpoint_at = instant::max();
};

class worker {
  public:
    worker(event_loop& loop, worker_settings own) : loop_(loop), settings_(own) {
        ticking_ = loop_.every(tick, [this](instant) { advance(); });
    }

    void handle(const http_request& request, const http_responder& responder) {
        const std::vector<std::string> path = path_segments(request.path);
        const json document = json::parse(request.body, nullptr, false);
        if (path == std::vector<std::string>{"sync"} && document.is_object()) {
            sync(document, responder);
        } else if (path == std::vector<std::string>{"fault"} && document.is_object()) {
            set_faults(document);
            responder.send({200, {}, "{}"});
        } else if (path == std::vector<std::string>{"stats"}) {
            tell_stats(responder);
        } else {
            responder.send({404, {}, R"({"error":"unknown path"})"});
        }
    }

  private:
    static constexpr duration tick = milliseconds(10);

    void sync(const json& message, const http_responder& responder) {
        const auto epoch = message.value("epoch", std::uint64_t{0});
        const auto sequence = message.value("sequence", std::uint64_t{0});
        if (epoch < epoch_ || (epoch == epoch_ && sequence <= sequence_)) {
            ++rejected_;
            responder.send({409, {}, json{{"epoch", epoch_}}.dump()});
            return;
        }
        if (epoch != epoch_ && epoch_ != 0) {
            longest_change_ = std::max(longest_change_, loop_.now() - heard_at_);
        }
        heard_at_ = loop_.now();
        epoch_ = epoch;
        sequence_ = sequence;
        expire();
        const auto lease = milliseconds(message.value("lease_ms", std::int64_t{0}));
        lease_until_ = std::max(lease_until_, loop_.now() + lease);
        std::vector<std::string> forgotten;
        for (const json& id : message.value("stop", json::array())) {
            stop(id, forgotten);
        }
        for (const json& definition : message.value("start", json::array())) {
            start(definition);
        }
        for (const json& id : message.value("checkpoint", json::array())) {
            const auto found = tasks_.find(id);
            if (found != tasks_.end() && found->second.checkpoint_at == instant::max()) {
                found->second.checkpoint_at = loop_.now() + milliseconds(settings_.checkpoint_ms);
            }
        }
        for (const json& item : message.value("throttle", json::array())) {
            const auto found = tasks_.find(item.at("id"));
            if (found != tasks_.end()) {
                found->second.percent = item.at("percent");
            }
        }
        answer(responder);
        for (const std::string& id : forgotten) {
            tasks_.erase(id);
        }
    }

    void start(const json& definition) {
        const std::string id = definition.at("id");
        if (tasks_.contains(id) || faults_.leaving) {
            return;
        }
        task entry;
        entry.definition = definition;
        entry.started_at = loop_.now();
        entry.left = milliseconds(definition.value("run_ms", std::int64_t{0}));
        tasks_.emplace(id, std::move(entry));
        ++starts_[definition.value("job", "")];
        count_running();
    }

    /// A running task is gone at once; an ended one is listed in this answer for the last time.
    void stop(const std::string& id, std::vector<std::string>& forgotten) {
        const auto found = tasks_.find(id);
        if (found == tasks_.end()) {
            return;
        }
        if (found->second.state == "running" || found->second.state == "checkpointed") {
            ++stopped_;
            tasks_.erase(found);
        } else {
            forgotten.push_back(id);
        }
    }

    void answer(const http_responder& responder) {
        json listed = json::array();
        for (const auto& [id, entry] : tasks_) {
            listed.push_back({{"id", id}, {"state", entry.state}, {"usage", usage_of(entry)}});
        }
        const json document = {{"epoch", epoch_},
                               {"incarnation", incarnation_},
                               {"leaving", faults_.leaving},
                               {"capacity",
                                {{"processors", settings_.processors},
                                 {"memory_mb", settings_.memory_mb},
                                 {"accelerators", settings_.accelerators}}},
                               {"tasks", listed}};
        if (faults_.silent) {
            unanswered_.push_back(responder);
            return;
        }
        loop_.once(milliseconds(faults_.delay_ms), [responder, body = document.dump()](instant) {
            responder.send({200, {}, body});
        });
    }

    json usage_of(const task& entry) {
        if (loop_.now() - entry.started_at < milliseconds(settings_.usage_lag_ms)) {
            return json::object();
        }
        return {{"processors", entry.definition.value("processors", 0.0) * entry.percent / 100},
                {"memory_mb", entry.definition.value("memory_mb", std::int64_t{0})},
                {"accelerators", entry.definition.value("accelerators", std::int64_t{0})}};
    }

    void expire() {
        if (loop_.now() <= lease_until_) {
            return;
        }
        for (auto& [id, entry] : tasks_) {
            if (entry.state == "running" || entry.state == "checkpointed") {
                entry.state = "expired";
                ++expired_;
            }
        }
    }

    void advance() {
        expire();
        for (auto& [id, entry] : tasks_) {
            if (entry.state != "running") {
                continue;
            }
            entry.left -= tick * entry.percent / 100;
            if (faults_.fail_all) {
                entry.state = "failed";
                ++failed_;
            } else if (entry.left <= duration::zero()) {
                entry.state = "done";
                ++done_;
            } else if (loop_.now() >= entry.checkpoint_at) {
                entry.state = "checkpointed";
            }
        }
    }

    void count_running() {
        std::map<std::string, int> running;
        for (const auto& [id, entry] : tasks_) {
            if (entry.state == "running" || entry.state == "checkpointed") {
                ++running[entry.definition.value("team", "")];
            }
        }
        for (const auto& [team, count] : running) {
            most_running_[team] = std::max(most_running_[team], count);
        }
    }

    void tell_stats(const http_responder& responder) {
        const json document = {
            {"starts", starts_},      {"most_running", most_running_},
            {"done", done_},          {"failed", failed_},
            {"expired", expired_},    {"stopped", stopped_},
            {"rejected", rejected_},  {"epoch", epoch_},
            {"tasks", tasks_.size()}, {"longest_change_ms", longest_change_.count() / 1000}};
        responder.send({200, {}, document.dump()});
    }

    void set_faults(const json& document) {
        faults_.fail_all = document.value("fail_all", faults_.fail_all);
        faults_.leaving = document.value("leaving", faults_.leaving);
        faults_.silent = document.value("silent", faults_.silent);
        faults_.delay_ms = document.value("delay_ms", faults_.delay_ms);
    }

    event_loop& loop_;
    worker_settings settings_;
    timer_subscription ticking_;
    std::string incarnation_text_ = random_hex(6);
    std::uint64_t incarnation_ = std::strtoull(incarnation_text_.c_str(), nullptr, 16);
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    instant heard_at_{};        ///< Of the latest accepted message.
    duration longest_change_{}; ///< From the last message of an owner to the first of the next.
    instant lease_until_{};
    std::map<std::string, task> tasks_;
    std::map<std::string, int> starts_;       ///< By job.
    std::map<std::string, int> most_running_; ///< By team.
    std::uint64_t done_ = 0;
    std::uint64_t failed_ = 0;
    std::uint64_t expired_ = 0;
    std::uint64_t stopped_ = 0;
    std::uint64_t rejected_ = 0;
    std::vector<http_responder> unanswered_;
    fault_switches faults_;
};

} // namespace

int main(int argc, char** argv) {
    std::string listen;
    worker_settings own;
    po::options_description description("standin_worker");
    auto add = description.add_options();
    add("help", "show this text");
    add("listen", po::value(&listen)->default_value("127.0.0.1:8200"), "ADDRESS:PORT");
    add("processors", po::value(&own.processors)->default_value(own.processors), "processors");
    add("memory-mb", po::value(&own.memory_mb)->default_value(own.memory_mb), "memory");
    add("accelerators", po::value(&own.accelerators)->default_value(own.accelerators),
        "accelerators");
    add("usage-lag-ms", po::value(&own.usage_lag_ms)->default_value(own.usage_lag_ms),
        "age of a task when its usage is first reported");
    add("checkpoint-ms", po::value(&own.checkpoint_ms)->default_value(own.checkpoint_ms),
        "time that a checkpoint takes");
    if (!parse_options(argc, argv, description)) {
        return EXIT_SUCCESS;
    }
    return run_standin(listen, [&](event_loop& loop) { return worker(loop, own); });
}
