// Open-loop load generator: sends requests at a fixed rate, whatever the answers take.
#include "citronford/result_code.h"
#include "endpoint_text.h"
#include "io/event_loop.h"
#include "io/http_client.h"
#include "io/latency_histogram.h"
#include "io/url.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <unistd.h>

namespace {

namespace po = boost::program_options;
using namespace citronford;

struct load_options {
    std::vector<std::string> entries;
    std::vector<std::string> idempotent;
    std::vector<std::string> non_idempotent;
    std::vector<std::string> keys;
    std::string record;
    std::string prefix = "load-" + std::to_string(getpid());
    double rate = 200;
    std::uint64_t count = 1000;
    std::int64_t duration_ms = 60000;
    std::int64_t timeout_ms = 12000;
    std::int64_t probe_ms = 200;
    std::size_t open_limit = 500;
    std::size_t body_bytes = 64;
    bool repeated = false;
};

struct entry_vm {
    endpoint address;
    bool ready = true; ///< Result of the last readiness probe.
};

struct service_choice {
    std::string name;
    bool idempotent = false;
};

struct planned_request {
    std::uint64_t number = 0;
    instant planned;
    std::size_t entry = 0;
    std::size_t refusals = 0; ///< Entry VMs that refused the connection so far.
};

/// What the caller learned about one request.
struct request_record {
    std::string state;            ///< `run`, `not-run`, `unknown`, `none` (no answer) or `unsent`.
    int code = -1;                ///< Result code; -1 without an answer.
    std::string content = "none"; ///< Whether the body belongs to the request: `own` or `other`.
};

/// Whether the body is the answer of an executor to the request `id`; executors echo the id.
std::string content_of(const http_reply& reply, std::string_view id) {
    const auto document = nlohmann::json::parse(reply.body, nullptr, false);
    if (!document.is_object() || !document.contains("request")) {
        return "none";
    }
    return document["request"] == id ? "own" : "other";
}

request_record record_of(const http_reply& reply, std::string_view id) {
    request_record record;
    record.state = std::string(reply.header("run-state"));
    const std::string_view number = reply.header("result-code");
    std::from_chars(number.data(), number.data() + number.size(), record.code);
    record.content = content_of(reply, id);
    if (reply.header("request-id") != id || (record.state == "run" && record.content != "own")) {
        record.content = "other";
    }
    if (record.state.empty()) {
        record.state = "none";
    }
    return record;
}

class load_generator {
  public:
    load_generator(event_loop& loop, load_options options)
        : loop_(loop), client_(loop.handle(), loop), options_(std::move(options)),
          body_(options_.body_bytes, 'x') {
        for (const std::string& text : options_.entries) {
            entries_.push_back({parse_endpoint(text)});
        }
        for (const std::string& name : options_.idempotent) {
            services_.push_back({name, true});
        }
        for (const std::string& name : options_.non_idempotent) {
            services_.push_back({name, false});
        }
        if (!options_.record.empty()) {
            record_.open(options_.record, std::ios::app);
        }
    }

    [[nodiscard]] bool record_failed() const { return !options_.record.empty() && !record_; }

    void start() {
        started_at_ = loop_.now();
        if (options_.probe_ms > 0) {
            probe_timer_ =
                loop_.every(milliseconds(options_.probe_ms), [this](instant) { probe_entries(); });
        }
        send_timer_ = loop_.every(milliseconds(1), [this](instant now) { send_due(now); });
    }

    void report() {
        record_.flush();
        std::cout << "load: sent=" << sent_ << " answered=" << answered_
                  << " unsent=" << planned_ - sent_ << '\n';
        for (const auto& [key, count] : results_) {
            const auto& [state, code] = key;
            const std::string_view name =
                code < 0 ? "no_answer" : entry_of(static_cast<result_code>(code)).name;
            std::cout << "result: run_state=" << state << " code=" << code << " name=" << name
                      << " count=" << count << '\n';
        }
        const auto shown = [](duration latency) {
            return static_cast<double>(latency.count()) / 1000;
        };
        std::cout << "latency_ms: p50=" << shown(latencies_.quantile(0.5))
                  << " p95=" << shown(latencies_.quantile(0.95))
                  << " p99=" << shown(latencies_.quantile(0.99))
                  << " p99.9=" << shown(latencies_.quantile(0.999))
                  << " max=" << shown(latencies_.longest()) << std::endl;
    }

    [[nodiscard]] bool all_answered() const { return answered_ == planned_; }

  private:
    [[nodiscard]] instant planned_at(std::uint64_t number) const {
        constexpr double us_per_s = 1e6;
        return started_at_ + duration(static_cast<std::int64_t>(static_cast<double>(number) *
                                                                us_per_s / options_.rate));
    }

    void send_due(instant now) {
        const bool time_left = now - started_at_ < milliseconds(options_.duration_ms);
        while (time_left && planned_ < options_.count && planned_at(planned_) <= now) {
            waiting_.push_back({planned_, planned_at(planned_)});
            ++planned_;
        }
        // The bound on open connections delays requests but not their planned time.
        while (!waiting_.empty() && client_.open_calls() < options_.open_limit) {
            planned_request request = waiting_.front();
            waiting_.pop_front();
            request.entry = next_entry();
            send(request);
        }
        if ((planned_ == options_.count || !time_left) && waiting_.empty() &&
            finished_ == planned_) {
            loop_.stop();
        }
    }

    /// The next entry VM in turn among those that are ready, as a load balancer chooses.
    std::size_t next_entry() {
        for (std::size_t tried = 0; tried < entries_.size(); ++tried) {
            turn_ = (turn_ + 1) % entries_.size();
            if (entries_[turn_].ready) {
                break;
            }
        }
        return turn_;
    }

    void send(const planned_request& request) {
        const service_choice& service = services_[request.number % services_.size()];
        const std::string id = options_.prefix + "-" + std::to_string(request.number);
        const std::string path = "/v1/services/" + url_encoded(service.name) + "/requests";
        const std::string timeout = std::to_string(options_.timeout_ms);
        std::vector<std::pair<std::string_view, std::string_view>> headers = {
            {"request-id", id}, {"request-timeout-ms", timeout}};
        if (options_.repeated) {
            headers.emplace_back("request-repeated", "true");
        }
        std::string authorization;
        if (!options_.keys.empty()) {
            authorization = "Bearer " + options_.keys[request.number % options_.keys.size()];
            headers.emplace_back("authorization", authorization);
        }
        // The client waits longer than the deadline of the request, so that its answer arrives.
        const duration call_timeout = milliseconds(options_.timeout_ms) + milliseconds(2000);
        client_.call(entries_[request.entry].address, {"POST", path, headers, body_, call_timeout},
                     [this, request, id, idempotent = service.idempotent](http_result result) {
                         take_result(request, id, idempotent, std::move(result));
                     });
    }

    void take_result(planned_request request, const std::string& id, bool idempotent,
                     http_result result) {
        if (std::holds_alternative<http_unreachable>(result) &&
            ++request.refusals < entries_.size()) {
            // Nothing was sent, so the next entry VM gets the request, as from a load balancer.
            entries_[request.entry].ready = false;
            request.entry = next_entry();
            send(request);
            return;
        }
        ++finished_;
        request_record record{.state = "none"};
        if (const auto* reply = std::get_if<http_reply>(&result)) {
            record = record_of(*reply, id);
            ++answered_;
            ++sent_;
        } else if (std::holds_alternative<http_lost>(result)) {
            ++sent_;
        } else {
            record.state = "unsent";
        }
        latencies_.record(loop_.now() - request.planned);
        ++results_[{record.state, record.code}];
        if (record_.is_open()) {
            record_ << id << ' ' << record.state << ' ' << record.code << ' ' << record.content
                    << ' ' << (idempotent ? "idempotent" : "non-idempotent") << '\n';
        }
    }

    void probe_entries() {
        for (std::size_t index = 0; index < entries_.size(); ++index) {
            client_.call(entries_[index].address,
                         {"GET", "/healthz/ready", {}, {}, milliseconds(options_.probe_ms)},
                         [this, index](const http_result& result) {
                             const auto* reply = std::get_if<http_reply>(&result);
                             entries_[index].ready = reply != nullptr && reply->status == 200;
                         });
        }
    }

    event_loop& loop_;
    http_client client_;
    load_options options_;
    std::string body_;
    std::vector<entry_vm> entries_;
    std::vector<service_choice> services_;
    std::deque<planned_request> waiting_;
    std::ofstream record_;
    latency_histogram latencies_;
    std::map<std::pair<std::string, int>, std::uint64_t> results_;
    std::uint64_t planned_ = 0;
    std::uint64_t sent_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t finished_ = 0;
    std::size_t turn_ = 0;
    instant started_at_{};
    timer_subscription send_timer_;
    timer_subscription probe_timer_;
};

/// The fault of the options; empty when they are valid.
std::string fault_of(const load_options& options) {
    constexpr double highest_rate = 20000;
    constexpr std::uint64_t highest_count = 10000000;
    if (options.entries.empty()) {
        return "--entry is needed";
    }
    for (const std::string& text : options.entries) {
        if (parse_endpoint(text).port == 0) {
            return "--entry " + text + ": not ADDRESS:PORT";
        }
    }
    if (options.idempotent.empty() && options.non_idempotent.empty()) {
        return "--idempotent or --non-idempotent is needed";
    }
    if (options.rate <= 0 || options.rate > highest_rate) {
        return "--rate must lie above 0 and at most at 20000";
    }
    if (options.count == 0 || options.count > highest_count) {
        return "--count must lie from 1 to 10000000";
    }
    if (options.timeout_ms < 1 || options.duration_ms < 1 || options.open_limit == 0) {
        return "--timeout-ms, --duration-ms and --open-limit must be above 0";
    }
    return {};
}

int run(const load_options& options) {
    auto loop = event_loop::create();
    if (!loop.ok()) {
        std::cerr << "citronford_load: " << loop.status().message() << '\n';
        return EXIT_FAILURE;
    }
    load_generator generator(**loop, options);
    if (generator.record_failed()) {
        std::cerr << "citronford_load: cannot write " << options.record << '\n';
        return EXIT_FAILURE;
    }
    generator.start();
    (*loop)->run();
    generator.report();
    std::_Exit(generator.all_answered() ? EXIT_SUCCESS : EXIT_FAILURE);
}

} // namespace

int main(int argc, char** argv) {
    load_options options;
    po::options_description description(
        "citronford_load: sends requests at a fixed rate and reports results and latencies.\n"
        "Exits with 0 when every request was answered, 1 otherwise, 2 on a wrong option");
    auto add = description.add_options();
    add("help", "show this text");
    add("entry", po::value(&options.entries), "ADDRESS:PORT of an entry VM; repeat for several");
    add("idempotent", po::value(&options.idempotent), "idempotent service; repeat for several");
    add("non-idempotent", po::value(&options.non_idempotent),
        "service that is not idempotent; repeat for several");
    add("key", po::value(&options.keys), "key of a team; several are used in turn");
    add("rate", po::value(&options.rate)->default_value(options.rate), "requests a second");
    add("count", po::value(&options.count)->default_value(options.count), "most requests to send");
    add("duration-ms", po::value(&options.duration_ms)->default_value(options.duration_ms),
        "longest time during which requests are sent");
    add("timeout-ms", po::value(&options.timeout_ms)->default_value(options.timeout_ms),
        "deadline of a request");
    add("probe-ms", po::value(&options.probe_ms)->default_value(options.probe_ms),
        "pause between readiness probes of the entry VMs; 0 sends to all");
    add("open-limit", po::value(&options.open_limit)->default_value(options.open_limit),
        "most connections open at once");
    add("body-bytes", po::value(&options.body_bytes)->default_value(options.body_bytes),
        "size of a request body");
    add("prefix", po::value(&options.prefix)->default_value(options.prefix),
        "start of every Request-Id; unique per run");
    add("repeated", po::bool_switch(&options.repeated),
        "mark every request as a repetition of one that was sent before");
    add("record", po::value(&options.record),
        "file to append one line a request to: id, run state, code, content, kind");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << "citronford_load: " << error.what() << '\n';
        return 2;
    }
    if (values.count("help") != 0) {
        std::cout << description;
        return EXIT_SUCCESS;
    }
    if (const std::string fault = fault_of(options); !fault.empty()) {
        std::cerr << "citronford_load: " << fault << '\n';
        return 2;
    }
    return run(options);
}
