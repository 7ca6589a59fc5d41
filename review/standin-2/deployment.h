// A small deployment: the store, the VM list, executors, and daemons as processes of their own.
#pragma once

#include "executor.h"

#include <csignal>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace standin {

/// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

/// Whether the disruption of the case takes place.
inline bool with_trouble() {
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/// Renders the placeholders {{name}} of the settings template.
inline std::string rendered(std::string text, const std::map<std::string, std::string>& values) {
    std::string out;
    std::size_t at = 0;
    while (true) {
        const std::size_t begin = text.find("{{", at);
        out += text.substr(at, begin == std::string::npos ? begin : begin - at);
        if (begin == std::string::npos) {
            return out;
        }
        const std::size_t end = text.find("}}", begin);
        const auto found = values.find(text.substr(begin + 2, end - begin - 2));
        out += found == values.end() ? "" : found->second;
        at = end + 2;
    }
}

/// Arguments: the root of the repository, the folder of the case, a temporary folder.
class deployment {
  public:
    static constexpr const char* host = "pule25.example";
    static constexpr const char* prefix = "/puxa400/";
    static constexpr const char* service = "huvo11a";

    deployment(char** arguments)
        : root_(arguments[1]), folder_(arguments[3]),
          record(std::string(arguments[2]) + "/record.txt"), registry(on), world{record, {}, {}},
          vm_list_(on, [this](const message& request, const server::responder& answer) {
              list_vms(request, answer);
          }) {
        std::signal(SIGPIPE, SIG_IGN);
        record.write(with_trouble() ? "with the disruption" : "without the disruption");
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    ~deployment() {
        for (auto& [name, node] : nodes_) {
            kill_process(node.process);
        }
    }

  private:
    struct daemon {
        std::string zone;
        pid_t process = -1;
        int front = 0;
        int health = 0;
        int figures = 0;
    };

  public:
    /// A queue of `service` with the given attempts, and teams with the given limits in CPU.
    static json configuration(int version, int attempts, std::int64_t cap_millicores) {
        return {{"Version", version},
                {"Routes", json::array({route("r-1", prefix, attempts)})},
                {"Services", json::array({{{"Name", service}, {"EnforcesCapacity", true}}})},
                {"Tenants",
                 json::array({{{"Name", "t-1"},
                               {"ApiKeys", json::array({"key-1"})},
                               {"Weight", 100},
                               {"Cap", {{"Cpu", cap_millicores}, {"MemMb", 0}, {"Gpu", 0}}}}})},
                {"Limits", json::object()}};
    }
    static json route(const std::string& name, const std::string& path, int attempts) {
        return {
            {"Name", name},         {"Host", host},   {"Prefix", path}, {"Type", "non_idempotent"},
            {"TimeoutMs", 3000},    {"SloMs", 600},   {"Priority", 0},  {"Service", service},
            {"Attempts", attempts}, {"Stretch", 1.6}, {"Public", false}};
    }

    executor& add_executor(const std::string& id, std::int64_t cpu,
                           const std::string& zone = "zone-1") {
        executors.push_back(
            std::make_unique<executor>(on, registry, world, gangs, id, service, zone,
                                       json{{"Cpu", cpu}, {"MemMb", 131072}, {"Gpu", 0}}));
        return *executors.back();
    }

    void add_node(const std::string& name, const std::string& zone = "zone-1") {
        nodes_[name] = {zone, -1, free_port(), free_port(), free_port()};
        start_node(name);
    }

    /// Starts the program of the deploy file with the settings that the platform renders.
    void start_node(const std::string& name) {
        daemon& node = nodes_.at(name);
        const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
        std::ifstream file(root_ + "/deploy/settings.ini.template");
        std::stringstream text;
        text << file.rdbuf();
        std::string settings = text.str();
        // The figures are served beside the other ports, as the machines share one address here.
        const std::string figures = "{{Ip}}:{{PortRange.0}}";
        settings.replace(settings.find(figures), figures.size(), address(node.figures));
        settings = rendered(settings, {{"Node", name},
                                       {"Zone", node.zone},
                                       {"Limits.CpuShare", "0.25"},
                                       {"Limits.LinkMbps", "1000.0"},
                                       {"Limits.MemoryMb", "260"},
                                       {"Listen.Front", address(node.front)},
                                       {"Listen.Ready", address(node.health)},
                                       {"platform.Address", address(registry.port())},
                                       {"platform.RowBytes", "65536"},
                                       {"Cloud.Address", address(vm_list_.port())},
                                       {"Bounds.HoldMaxMs", "6000"},
                                       {"Bounds.StopTimeoutMs", "900"},
                                       {"Bounds.LeaseMs", "3000"},
                                       {"Bounds.GraceS", "6"},
                                       {"Bounds.MoveS", "1.5"},
                                       {"Bounds.MaintenanceS", "2"}});
        const std::string path = folder_ + "/" + name + ".ini";
        std::ofstream(path) << settings;
        const std::string log = folder_ + "/" + name + ".log";
        record.write("starts " + name);
        const pid_t parent = getpid();
        node.process = fork();
        if (node.process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent || chdir(root_.c_str()) != 0) {
                _exit(1);
            }
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1);
            dup2(out, 2);
            execl("target/citronford_fleetd", "target/citronford_fleetd", "--settings",
                  path.c_str(), nullptr);
            _exit(1);
        }
    }

    void kill_node(const std::string& name) {
        record.write("kills " + name);
        kill_process(nodes_.at(name).process);
    }

    /// Waits until all nodes report readiness.
    bool wait_until_ready(std::int64_t longest_ms = 15000) {
        const std::int64_t end = now_ms() + longest_ms;
        for (const auto& [name, node] : nodes_) {
            bool ready = false;
            while (!ready && now_ms() < end) {
                bool answered = false;
                call(on, node.health, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 500,
                     [&](int status, const std::string&) {
                         ready = status == 200;
                         answered = true;
                     });
                on.run_while_not([&] { return answered; }, 1000);
                on.run_for(50);
            }
            if (!ready) {
                record.write(name + " is not ready");
                return false;
            }
        }
        return true;
    }

    /// The node that holds the owner row; empty when none does.
    std::string owner() const {
        const std::string value = registry.value("control", "owner", "owner");
        for (const auto& [name, node] : nodes_) {
            const std::string text = "\"node\":\"" + name + "\"";
            // Base64 of a text depends on its offset, so the row is decoded.
            if (from_base64(value).find(text) != std::string::npos) {
                return name;
            }
        }
        return "";
    }

    /// One attempt of a client; status 0 without an answer.
    std::pair<int, std::string> request(const std::string& node, const std::string& method,
                                        const std::string& job, const std::string& body = "",
                                        const std::string& path = prefix) {
        int status = -1;
        std::string reply;
        std::string text = method + " " + path + job + " HTTP/1.1\r\nHost: " + host +
                           "\r\nAuthorization: Token key-1\r\nDeadline-Ms: 3000\r\n"
                           "Content-Type: application/json\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body;
        call(on, nodes_.at(node).front, text, 3000, [&](int answered, const std::string& content) {
            status = answered;
            reply = content;
        });
        on.run_while_not([&] { return status >= 0; }, 4000);
        record.write(method + " " + job + " at " + node + " -> " + std::to_string(status) + " " +
                     reply);
        return {status, reply};
    }

    /// Submits a job until it is accepted, with the same id, at the nodes in turn.
    bool submit(const std::string& job, const json& steps) {
        world.steps_of_job[job] = steps;
        const std::string body = json{{"Spec", "work"}, {"Steps", steps}}.dump();
        record.write("submits " + job + " " + body);
        for (int attempt = 0; attempt < 40; ++attempt) {
            const auto node = std::next(nodes_.begin(), attempt % static_cast<int>(nodes_.size()));
            if (request(node->first, "POST", job, body).first == 200) {
                return true;
            }
            on.run_for(300);
        }
        return false;
    }

    std::string state_of(const std::string& node, const std::string& job) {
        const auto [status, body] = request(node, "GET", job);
        return status == 200 ? json::parse(body).value("State", "") : std::to_string(status);
    }

    std::string any_node() const { return nodes_.begin()->first; }

    /// Prints the verdict and returns the exit code.
    int verdict(bool broken, const std::string& text) {
        record.write((broken ? "BROKEN: " : "held: ") + text);
        std::printf("%s: %s\n", broken ? "broken" : "held", text.c_str());
        return broken ? rule_broken : rule_held;
    }
    int failed_to_run(const std::string& text) {
        record.write("could not run: " + text);
        std::printf("could not run: %s\n", text.c_str());
        return could_not_run;
    }

  private:
    std::string root_;
    std::string folder_;

  public:
    loop on;
    recorder record;
    store registry;
    task_world world;
    gang_table gangs;
    std::vector<std::unique_ptr<executor>> executors;

  private:
    static std::string from_base64(const std::string& text) {
        std::string out;
        std::uint32_t bits = 0;
        int count = 0;
        for (const char c : text) {
            static const std::string digits =
                "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
            const std::size_t value = digits.find(c);
            if (value == std::string::npos) {
                break;
            }
            bits = bits << 6 | static_cast<std::uint32_t>(value);
            count += 6;
            if (count >= 8) {
                count -= 8;
                out += static_cast<char>(bits >> count & 255);
            }
        }
        return out;
    }

    static void kill_process(pid_t& process) {
        if (process > 0) {
            kill(process, SIGKILL);
            waitpid(process, nullptr, 0);
            process = -1;
        }
    }

    /// One machine for each executor that lives; no machine moves in these cases.
    void list_vms(const message& request, const server::responder& answer) {
        if (!request.first_line.starts_with("GET")) {
            record.write("VM order: " + request.first_line + " " + request.body);
            answer(400, "{}");
            return;
        }
        json machines = json::array();
        for (const auto& item : executors) {
            json machine = {
                {"Machine", "m-" + item->id()},           {"Pool", service},
                {"State", item->alive() ? "up" : "down"}, {"Zone", item->zone()},
                {"Labels", json::array({"a", "r1-1"})},   {"Capacity", item->capacity()}};
            if (item->alive()) {
                machine["Id"] = item->id();
            }
            machines.push_back(std::move(machine));
        }
        answer(200, json{{"Machines", machines}, {"NextToken", nullptr}}.dump());
    }

    server vm_list_;
    std::map<std::string, daemon> nodes_;
};

} // namespace standin
