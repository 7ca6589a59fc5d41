// Stand-in for the platform: table service, object store, VM list and orders to VMs in memory, with
// switchable faults. For tests and demonstrations only.
#include "standins/standin.h"

#include "io/url.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace {

namespace po = boost::program_options;
using namespace citronford;
using nlohmann::json;

struct stored_row {
    std::optional<std::string> value; ///< Empty for a deleted row, which is kept for scans.
    std::uint64_t version = 0;
};

struct fault_switches {
    bool outage = false;
    std::int64_t delay_ms = 0;
    std::int64_t lose_replies = 0; ///< Replies to transactions that are still to be lost.
    std::int64_t vm_lag_ms = 0;
    std::int64_t drain_ms = 1000;
    std::int64_t reboot_ms = 3000;
    std::set<std::string> stuck_vms; ///< VMs that do not come back from a reboot.
};

/// One VM as the platform runs it.
struct managed_vm {
    std::string state = "serving";
    std::uint64_t order = 0;
    std::uint64_t reboots = 0; ///< Orders to reboot that were carried out.
    timer_subscription timer;
};

class platform {
  public:
    explicit platform(event_loop& loop) : loop_(loop) {}

    void handle(const http_request& request, const http_responder& responder) {
        const std::vector<std::string> path = path_segments(request.path);
        const std::string method(request.method);
        const std::string body(request.body);
        const std::string query(request.query);
        if (path == std::vector<std::string>{"fault"}) {
            set_faults(json::parse(body, nullptr, false));
            responder.send({200, {}, "{}"});
            return;
        }
        if (path == std::vector<std::string>{"stats"}) {
            responder.send(
                {200,
                 {},
                 json{{"transactions", transactions_}, {"scans", scans_}, {"rows", rows_read_}}
                     .dump()});
            return;
        }
        if (path == std::vector<std::string>{"machines"}) {
            responder.send({200, {}, machine_lines()});
            return;
        }
        if (faults_.outage) {
            responder.send({503, {}, R"({"error":"outage"})"});
            return;
        }
        delayed([this, path, method, body, query, responder] {
            serve(path, method, body, query, responder);
        });
    }

  private:
    void delayed(std::function<void()> function) {
        if (faults_.delay_ms == 0) {
            function();
            return;
        }
        loop_.once(milliseconds(faults_.delay_ms),
                   [function = std::move(function)](instant) { function(); });
    }

    void serve(const std::vector<std::string>& path, const std::string& method,
               const std::string& body, const std::string& query, const http_responder& responder) {
        if (path.size() == 2 && path[0] == "table" && path[1] == "txn") {
            commit(json::parse(body, nullptr, false), responder);
        } else if (path.size() == 2 && path[0] == "table" && path[1] == "scan") {
            scan(query_value(query, "prefix"),
                 std::strtoull(query_value(query, "since").c_str(), nullptr, 10), responder);
        } else if (path.size() == 2 && path[0] == "objects" && method == "PUT") {
            objects_[path[1]] = body;
            responder.send({200, {}, "{}"});
        } else if (path.size() == 2 && path[0] == "objects") {
            const auto found = objects_.find(path[1]);
            responder.send(found == objects_.end() ? http_response{404, {}, "{}"}
                                                   : http_response{200, {}, found->second});
        } else if (path.size() == 1 && path[0] == "vms" && method == "PUT") {
            set_vms(json::parse(body, nullptr, false), responder);
        } else if (path.size() == 2 && path[0] == "vms") {
            show_machine(path[1], responder);
        } else if (path.size() == 3 && path[0] == "vms") {
            order_machine(path[1], path[2], json::parse(body, nullptr, false), responder);
        } else if (path.size() == 1 && path[0] == "vms") {
            responder.send({200, {}, json{{"vms", listed_vms()}}.dump()});
        } else {
            responder.send({404, {}, R"({"error":"unknown path"})"});
        }
    }

    void commit(const json& document, const http_responder& responder) {
        if (!document.is_object()) {
            responder.send({400, {}, R"({"error":"malformed"})"});
            return;
        }
        ++transactions_;
        for (const json& check : document.value("checks", json::array())) {
            const std::string key = check.at("key");
            const std::uint64_t present = live_version(key);
            if (present != check.at("version").get<std::uint64_t>()) {
                const json reply = {{"committed", false}, {"key", key}, {"version", present}};
                responder.send({409, {}, reply.dump()});
                return;
            }
        }
        ++version_;
        for (const json& write : document.value("writes", json::array())) {
            stored_row& row = rows_[write.at("key")];
            row.version = version_;
            row.value.reset();
            if (!write.value("delete", false)) {
                row.value = write.at("value").get<std::string>();
            }
        }
        if (faults_.lose_replies > 0) {
            --faults_.lose_replies;
            lost_.push_back(responder);
            return;
        }
        responder.send({200, {}, json{{"committed", true}, {"version", version_}}.dump()});
    }

    [[nodiscard]] std::uint64_t live_version(const std::string& key) const {
        const auto found = rows_.find(key);
        return found == rows_.end() || !found->second.value ? 0 : found->second.version;
    }

    void scan(const std::string& prefix, std::uint64_t since, const http_responder& responder) {
        ++scans_;
        json rows = json::array();
        for (auto row = rows_.lower_bound(prefix);
             row != rows_.end() && row->first.starts_with(prefix); ++row) {
            const auto& [key, stored] = *row;
            if (stored.version <= since || (!stored.value && since == 0)) {
                continue;
            }
            json item = {{"key", key}, {"version", stored.version}};
            if (stored.value) {
                item["value"] = *stored.value;
            } else {
                item["deleted"] = true;
            }
            rows.push_back(std::move(item));
        }
        rows_read_ += rows.size();
        responder.send({200, {}, json{{"rows", rows}, {"version", version_}}.dump()});
    }

    void show_machine(const std::string& id, const http_responder& responder) {
        if (!running_.contains(id)) {
            responder.send({404, {}, R"({"error":"unknown VM"})"});
            return;
        }
        const managed_vm& vm = managed_vms_[id];
        responder.send({200, {}, json{{"state", vm.state}, {"order", vm.order}}.dump()});
    }

    /// Every VM of the present list and its row at one instant, one a line: id, state, reboots,
    /// then pool, state and step of the row, "-" for none.
    std::string machine_lines() {
        std::string text;
        for (const std::string& id : running_) {
            const managed_vm& vm = managed_vms_[id];
            text += id + ' ' + vm.state + ' ' + std::to_string(vm.reboots);
            const auto found = rows_.find("vm/" + id);
            const json row = found == rows_.end() || !found->second.value
                                 ? json::object()
                                 : json::parse(*found->second.value, nullptr, false);
            for (const char* name : {"pool", "state", "step"}) {
                text += ' ' + row.value(name, "-");
            }
            text += '\n';
        }
        return text;
    }

    /// Carries out an order once; one with a lower number than the last is rejected.
    void order_machine(const std::string& id, const std::string& verb, const json& document,
                       const http_responder& responder) {
        if (!running_.contains(id) || (verb != "drain" && verb != "reboot")) {
            responder.send({404, {}, R"({"error":"unknown VM or order"})"});
            return;
        }
        const std::uint64_t order = document.is_object() ? document.value("order", 0ULL) : 0;
        managed_vm& vm = managed_vms_[id];
        if (order < vm.order) {
            responder.send({409, {}, json{{"order", vm.order}}.dump()});
            return;
        }
        if (order > vm.order) {
            vm.order = order;
            begin(id, vm, verb);
        }
        responder.send({200, {}, json{{"order", vm.order}}.dump()});
    }

    void begin(const std::string& id, managed_vm& vm, const std::string& verb) {
        const bool drain = verb == "drain";
        vm.state = drain ? "draining" : "rebooting";
        vm.reboots += drain ? 0 : 1;
        if (!drain && faults_.stuck_vms.contains(id)) {
            vm.timer.cancel();
            return;
        }
        vm.timer = loop_.after(milliseconds(drain ? faults_.drain_ms : faults_.reboot_ms),
                               [&vm, drain](instant) { vm.state = drain ? "drained" : "serving"; });
    }

    /// Replaces the VM list; readers see it after the lag in force.
    void set_vms(const json& document, const http_responder& responder) {
        vm_history_.emplace_back(loop_.now(), document.value("vms", json::array()));
        running_.clear();
        for (const json& vm : vm_history_.back().second) {
            running_.insert(vm.value("id", ""));
        }
        responder.send({200, {}, "{}"});
    }

    json listed_vms() {
        const instant visible = loop_.now() - milliseconds(faults_.vm_lag_ms);
        while (vm_history_.size() > 1 && vm_history_[1].first <= visible) {
            vm_history_.pop_front();
        }
        return vm_history_.empty() ? json::array() : vm_history_.front().second;
    }

    void set_faults(const json& document) {
        if (!document.is_object()) {
            return;
        }
        faults_.outage = document.value("outage", faults_.outage);
        faults_.delay_ms = document.value("delay_ms", faults_.delay_ms);
        faults_.lose_replies = document.value("lose_replies", faults_.lose_replies);
        faults_.vm_lag_ms = document.value("vm_lag_ms", faults_.vm_lag_ms);
        faults_.drain_ms = document.value("drain_ms", faults_.drain_ms);
        faults_.reboot_ms = document.value("reboot_ms", faults_.reboot_ms);
        faults_.stuck_vms = document.value("stuck_vms", faults_.stuck_vms);
    }

    event_loop& loop_;
    std::map<std::string, stored_row> rows_;
    std::map<std::string, std::string> objects_;
    std::deque<std::pair<instant, json>> vm_history_;
    std::set<std::string> running_; ///< VMs of the present list, without the lag.
    std::map<std::string, managed_vm> managed_vms_;
    std::vector<http_responder> lost_; ///< Requests whose reply is never sent.
    std::uint64_t version_ = 0;
    std::uint64_t transactions_ = 0;
    std::uint64_t scans_ = 0;
    std::uint64_t rows_read_ = 0; ///< Rows that scans returned.
    fault_switches faults_;
};

} // namespace

int main(int argc, char** argv) {
    std::string listen;
    po::options_description description("standin_platform");
    description.add_options()("help", "show this text")(
        "listen", po::value(&listen)->default_value("127.0.0.1:8090"), "ADDRESS:PORT");
    if (!parse_options(argc, argv, description)) {
        return EXIT_SUCCESS;
    }
    return run_standin(listen, [&](event_loop& loop) { return platform(loop); });
}
