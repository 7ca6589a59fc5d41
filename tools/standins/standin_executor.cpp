// Stand-in for an executor of a service, with switchable faults. For tests and demonstrations only.
// It records what it ran; GET /stats tells how many requests ran more than once.
#include "standins/standin.h"

#include "io/url.h"

#include <nlohmann/json.hpp>

#include <map>

namespace {

namespace po = boost::program_options;
using namespace citronford;
using nlohmann::json;

struct fault_switches {
    bool fail_all = false;     ///< Answer 500 to everything.
    bool leaving = false;      ///< Announce departure and refuse new work.
    bool silent = false;       ///< Execute but never answer.
    bool cross = false;        ///< Answer with the ids of another request.
    std::int64_t delay_ms = 0; ///< Added to the execution time.
};

struct execution {
    int runs = 0;
    bool done = false;
    std::string answer;
};

class executor {
  public:
    executor(event_loop& loop, int slots, duration work)
        : loop_(loop), slots_(slots), work_(work) {}

    void handle(const http_request& request, const http_responder& responder) {
        const std::vector<std::string> path = path_segments(request.path);
        if (path.size() == 2 && path[0] == "execute") {
            execute(path[1], request, responder);
        } else if (path.size() == 2 && path[0] == "outcomes") {
            tell_outcome(path[1], responder);
        } else if (path.size() == 1 && path[0] == "healthz") {
            const http_header headers[] = {{"leaving", faults_.leaving ? "true" : "false"}};
            responder.send({200, headers, "ok\n", "text/plain"});
        } else if (path.size() == 1 && path[0] == "fault") {
            set_faults(json::parse(request.body, nullptr, false));
            responder.send({200, {}, "{}"});
        } else if (path.size() == 1 && path[0] == "stats") {
            tell_stats(responder);
        } else {
            responder.send({404, {}, R"({"error":"unknown path"})"});
        }
    }

  private:
    void execute(const std::string& service, const http_request& request,
                 const http_responder& responder) {
        const std::string id(request.header("request-id"));
        const std::string attempt(request.header("attempt-id"));
        if (running_ >= slots_ || faults_.leaving) {
            const http_header headers[] = {{"not-run", "true"},
                                           {"leaving", faults_.leaving ? "true" : "false"}};
            responder.send({503, headers, R"({"error":"busy"})"});
            return;
        }
        ++running_;
        ++total_runs_;
        execution& entry = executions_[id];
        ++entry.runs;
        entry.answer = json{{"service", service},
                            {"request", id},
                            {"bytes", request.body.size()},
                            {"echo", std::string(request.body)}}
                           .dump();
        loop_.once(work_ + milliseconds(faults_.delay_ms),
                   [this, id, attempt, responder](instant) { finish(id, attempt, responder); });
    }

    void finish(const std::string& id, const std::string& attempt,
                const http_responder& responder) {
        --running_;
        execution& entry = executions_[id];
        entry.done = true;
        if (faults_.silent) {
            unanswered_.push_back(responder);
            return;
        }
        const std::string& shown_id = faults_.cross ? previous_id_ : id;
        const http_header headers[] = {{"request-id", shown_id},
                                       {"attempt-id", attempt},
                                       {"leaving", faults_.leaving ? "true" : "false"}};
        responder.send({faults_.fail_all ? 500 : 200, headers, entry.answer});
        previous_id_ = id;
    }

    void tell_outcome(const std::string& id, const http_responder& responder) {
        const auto found = executions_.find(id);
        json document = {{"state", "not_seen"}};
        if (found != executions_.end()) {
            document = {{"state", found->second.done ? "done" : "running"},
                        {"status", 200},
                        {"body", found->second.answer}};
        }
        responder.send({200, {}, document.dump()});
    }

    void tell_stats(const http_responder& responder) {
        json doubled = json::array();
        for (const auto& [id, entry] : executions_) {
            if (entry.runs > 1) {
                doubled.push_back(id);
            }
        }
        json ids = json::array();
        for (const auto& [id, entry] : executions_) {
            ids.push_back(id);
        }
        responder.send(
            {200, {}, json{{"runs", total_runs_}, {"doubled", doubled}, {"requests", ids}}.dump()});
    }

    void set_faults(const json& document) {
        if (!document.is_object()) {
            return;
        }
        faults_.fail_all = document.value("fail_all", faults_.fail_all);
        faults_.leaving = document.value("leaving", faults_.leaving);
        faults_.silent = document.value("silent", faults_.silent);
        faults_.cross = document.value("cross", faults_.cross);
        faults_.delay_ms = document.value("delay_ms", faults_.delay_ms);
    }

    event_loop& loop_;
    int slots_;
    duration work_;
    int running_ = 0;
    std::uint64_t total_runs_ = 0;
    std::map<std::string, execution> executions_;
    std::string previous_id_ = "none";
    std::vector<http_responder> unanswered_;
    fault_switches faults_;
};

} // namespace

int main(int argc, char** argv) {
    std::string listen;
    int slots = 8;
    std::int64_t work_ms = 5;
    po::options_description description("standin_executor");
    auto add = description.add_options();
    add("help", "show this text");
    add("listen", po::value(&listen)->default_value("127.0.0.1:8100"), "ADDRESS:PORT");
    add("slots", po::value(&slots)->default_value(slots), "requests run at once");
    add("work-ms", po::value(&work_ms)->default_value(work_ms), "execution time of a request");
    if (!parse_options(argc, argv, description)) {
        return EXIT_SUCCESS;
    }
    return run_standin(
        listen, [&](event_loop& loop) { return executor(loop, slots, milliseconds(work_ms)); });
}
