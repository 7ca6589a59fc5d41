// A small deployment on loopback: stand-ins of the platform and the project's own daemons.
#pragma once

#include "platform.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <iomanip>
#include <iostream>
#include <sstream>

extern char** environ;

namespace review {

/// One entry VM: its ports and the process of the role `entry`.
struct entry_vm {
    std::string name;
    std::string zone;
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t figures = 0;
    std::string settings;
    pid_t pid = 0;
    std::int64_t down_since_ms = -1; ///< Set when the platform has ended the process.
};

/// The exit codes of a case.
enum verdict : int { held = 0, broken = 1, could_not_run = 2 };

/// The processes that the case has started and not yet ended.
inline std::array<volatile pid_t, 16> started_processes{};

inline void end_started_processes() {
    for (volatile pid_t& process : started_processes) {
        if (process > 0) {
            kill(process, SIGKILL);
            process = 0;
        }
    }
}

class deployment {
  public:
    static constexpr const char* host = "jobs.example";
    static constexpr const char* prefix = "/queue/";
    static constexpr const char* key = "key-of-a";
    static constexpr const char* service = "pool-1";
    static constexpr std::int64_t hold_max_ms = 6000;
    static constexpr std::int64_t memory_mb = 260;

    explicit deployment(const std::string& folder, const std::string& work)
        : log(folder + "/record.txt"), rows_(log), work_(work) {
        store_port_ = serve([this](const request& call) { return rows_.handle(call); });
        cloud_port_ = serve([this](const request& call) { return machines(call); });
    }

    void add_executor(const std::string& id, executor::behaviour ends) {
        executors.push_back(
            std::make_unique<executor>(id, hold_max_ms, book, log, std::move(ends)));
    }

    /// Writes the configuration, registers the executors and starts `count` entry VMs.
    bool start(int count, int attempts) {
        rows_.put("op", "config",
                  {{"Version", 3},
                   {"Routes",
                    {{{"Name", "r-1"},
                      {"Host", host},
                      {"Prefix", prefix},
                      {"Type", "non_idempotent"},
                      {"TimeoutMs", 3000},
                      {"SloMs", 600},
                      {"Priority", 0},
                      {"Service", service},
                      {"Attempts", attempts},
                      {"Stretch", 2.0},
                      {"Public", false}}}},
                   {"Services", {{{"Name", service}, {"EnforcesCapacity", true}}}},
                   {"Tenants", tenants},
                   {"Limits", json::object()}});
        register_executors();
        std::thread([this] {
            while (true) {
                std::this_thread::sleep_for(std::chrono::milliseconds(1500));
                register_executors();
            }
        }).detach();
        for (int number = 1; number <= count; ++number) {
            entry_vm vm;
            vm.name = "edge-zone-" + std::to_string(number) + "-1";
            vm.zone = "zone-" + std::to_string(number);
            vm.front = free_port();
            vm.ready = free_port();
            vm.figures = free_port();
            vm.settings = work_ + "/" + vm.name + ".ini";
            write_settings(vm);
            vms.push_back(vm);
        }
        for (entry_vm& vm : vms) {
            launch(vm);
        }
        return wait_until(15000, [this] {
            for (const entry_vm& vm : vms) {
                if (call(vm.ready, "GET", "/ready", "host: x\r\n", "").status != 200) {
                    return false;
                }
            }
            return owner() != nullptr;
        });
    }

    void launch(entry_vm& vm) {
        const std::string program = "target/citronford_fleetd";
        const std::string output = work_ + "/" + vm.name + ".log";
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, 1, output.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                         0644);
        posix_spawn_file_actions_adddup2(&files, 1, 2);
        const char* arguments[] = {program.c_str(), "--settings", vm.settings.c_str(), nullptr};
        if (posix_spawn(&vm.pid, program.c_str(), &files, nullptr, const_cast<char**>(arguments),
                        environ) != 0) {
            vm.pid = 0;
        }
        posix_spawn_file_actions_destroy(&files);
        for (volatile pid_t& process : started_processes) {
            if (process == 0) {
                process = vm.pid;
                break;
            }
        }
    }

    /// Ends the process of a VM by SIGKILL.
    static void stop(entry_vm& vm) {
        if (vm.pid > 0) {
            kill(vm.pid, SIGKILL);
            waitpid(vm.pid, nullptr, 0);
            for (volatile pid_t& process : started_processes) {
                process = process == vm.pid ? 0 : process;
            }
            vm.pid = 0;
        }
    }

    /// The VM that shows itself as the owner of the scheduler; null if there is none.
    entry_vm* owner() {
        for (entry_vm& vm : vms) {
            if (vm.pid > 0 && call(vm.figures, "GET", "/metrics", "host: x\r\n", "")
                                      .body.find("citronford_owner 1") != std::string::npos) {
                return &vm;
            }
        }
        return nullptr;
    }

    response submit(const std::string& id, const json& steps, const std::string& with_key = key) {
        const std::string body = json{{"Spec", "text of " + id}, {"Steps", steps}}.dump();
        const response reply = client_call("POST", id, body, with_key);
        log.write("client: POST " + id + " " + body.substr(0, 200) + " -> " +
                  std::to_string(reply.status));
        return reply;
    }

    std::string state_of(const std::string& id, const std::string& with_key = key) {
        const response reply = client_call("GET", id, "", with_key);
        const json shown = json::parse(reply.body, nullptr, false);
        return reply.status == 200 && shown.is_object() ? shown.value("State", "?")
                                                        : std::to_string(reply.status);
    }

    /// The platform's limit on the memory of a process: ends each one that exceeds it, and starts
    /// it again after a second. Returns how many processes were ended.
    int enforce_memory_limit() {
        int ended = 0;
        for (entry_vm& vm : vms) {
            if (vm.pid == 0 && vm.down_since_ms >= 0 && log.now_ms() > vm.down_since_ms + 1000) {
                vm.down_since_ms = -1;
                launch(vm);
                continue;
            }
            const std::int64_t used_mb = resident_mb(vm);
            if (used_mb > memory_mb) {
                log.write("platform: ends " + vm.name + ", which uses " + std::to_string(used_mb) +
                          " MB of " + std::to_string(memory_mb));
                stop(vm);
                vm.down_since_ms = log.now_ms();
                ++ended;
            }
        }
        return ended;
    }

    static std::int64_t resident_mb(const entry_vm& vm) {
        std::ifstream status("/proc/" + std::to_string(vm.pid) + "/status");
        std::string word;
        std::int64_t kilobytes = 0;
        while (vm.pid > 0 && status >> word) {
            if (word == "VmRSS:") {
                status >> kilobytes;
                break;
            }
        }
        return kilobytes / 1024;
    }

    /// Adds the rows that `count` jobs like the ended job `id` have left in the store.
    std::size_t add_past_jobs(const std::string& id, std::size_t count) {
        return rows_.add_past_rows(id, count, [](std::size_t number) {
            std::ostringstream name;
            name << std::hex << std::setw(16) << std::setfill('0')
                 << (number + 1) * 0x9e3779b97f4a7c15U;
            return name.str();
        });
    }

    template <class Condition> bool wait_until(std::int64_t limit_ms, Condition condition) {
        const std::int64_t end = log.now_ms() + limit_ms;
        while (log.now_ms() < end) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return condition();
    }

    void wait(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

    /// Runs of the tasks whose names begin with `task`.
    std::vector<run_record> runs_of(const std::string& task) {
        const std::lock_guard lock(book.mutex);
        std::vector<run_record> found;
        for (const auto& run : book.runs) {
            if (run->task.starts_with(task)) {
                found.push_back(*run);
            }
        }
        return found;
    }

    /// Writes every run of the tasks whose names begin with `task`, at most `most` of them.
    void write_runs(const std::string& task, std::size_t most) {
        std::size_t written = 0;
        for (const run_record& run : runs_of(task)) {
            if (++written > most) {
                log.write("(further runs are left out)");
                return;
            }
            write_run(run);
        }
    }

    void write_run(const run_record& run) {
        std::ostringstream text;
        text << "run: task " << run.task << " run " << run.run << " on " << run.executor
             << ", begun " << run.begun_ms << ", ended " << run.ended_ms << " " << run.how
             << ", taken note of " << run.noted_ms;
        log.write(text.str());
    }

    /// The tenants of the configuration; a case may replace them before `start`.
    json tenants = json::array({{{"Name", "a"}, {"ApiKeys", {key}}, {"Weight", 10}}});
    record log;
    run_book book;
    std::vector<std::unique_ptr<executor>> executors;
    std::vector<entry_vm> vms;

  private:
    response client_call(const std::string& method, const std::string& id, const std::string& body,
                         const std::string& with_key) {
        const std::string headers = std::string("host: ") + host +
                                    "\r\ncontent-type: application/json\r\nauthorization: Token " +
                                    with_key + "\r\ndeadline-ms: 3000\r\n";
        for (const entry_vm& vm : vms) {
            if (vm.pid > 0) {
                const response reply = call(vm.front, method, prefix + id, headers, body);
                if (reply.status != 0) {
                    return reply;
                }
            }
        }
        return {0, ""};
    }

    void register_executors() {
        ++sequence_;
        int number = 0;
        for (const auto& item : executors) {
            ++number;
            rows_.put("servers", item->id(),
                      {{"Service", service},
                       {"Address", "127.0.0.1:" + std::to_string(item->port())},
                       {"Zone", "zone-1"},
                       {"Version", "v1"},
                       {"Slots", 8},
                       {"State", "ready"},
                       {"ColdMs", 0},
                       {"Capacity", {{"Cpu", 64000}, {"MemMb", 131072}, {"Gpu", 0}}},
                       {"Labels", {"a", "r1-" + std::to_string(number)}},
                       {"born", item->born_unix_ms()},
                       {"Seq", sequence_}});
        }
    }

    response machines(const request& call) {
        if (call.path != "/machines") {
            log.write("cloud: " + call.path + " " + call.body);
            return {400, "{}"};
        }
        json list = json::array();
        int number = 0;
        for (const auto& item : executors) {
            ++number;
            list.push_back({{"Machine", "m-" + std::to_string(number)},
                            {"Pool", service},
                            {"State", "up"},
                            {"Zone", "zone-1"},
                            {"Labels", {"a", "r1-" + std::to_string(number)}},
                            {"Capacity", {{"Cpu", 64000}, {"MemMb", 131072}, {"Gpu", 0}}},
                            {"Id", item->id()}});
        }
        return {200, json{{"Machines", list}, {"NextToken", nullptr}}.dump()};
    }

    /// Fills in the template of the deploy file as the platform does.
    void write_settings(const entry_vm& vm) const {
        const std::string ip = "127.0.0.1";
        const std::map<std::string, std::string> values = {
            {"Node", vm.name},
            {"Zone", vm.zone},
            {"Limits.CpuShare", "0.25"},
            {"Limits.LinkMbps", "1000.0"},
            {"Limits.MemoryMb", std::to_string(memory_mb)},
            {"Listen.Front", ip + ":" + std::to_string(vm.front)},
            {"Listen.Ready", ip + ":" + std::to_string(vm.ready)},
            {"Ip", ip},
            {"PortRange.0", std::to_string(vm.figures)},
            {"platform.Address", ip + ":" + std::to_string(store_port_)},
            {"Cloud.Address", ip + ":" + std::to_string(cloud_port_)},
            {"Advice", ""},
            {"Bounds.HoldMaxMs", std::to_string(hold_max_ms)},
            {"Bounds.StopTimeoutMs", "900"},
            {"Bounds.LeaseMs", "3000"},
            {"Bounds.GraceS", "6"},
            {"Bounds.MoveS", "1.5"},
            {"Bounds.MaintenanceS", "2"}};
        std::ifstream source("deploy/settings.ini.template");
        std::string text((std::istreambuf_iterator<char>(source)),
                         std::istreambuf_iterator<char>());
        for (const auto& [name, value] : values) {
            const std::string mark = "{{" + name + "}}";
            for (std::size_t at = text.find(mark); at != std::string::npos; at = text.find(mark)) {
                text.replace(at, mark.size(), value);
            }
        }
        std::ofstream(vm.settings) << text;
    }

    store rows_;
    std::string work_;
    std::uint16_t store_port_ = 0;
    std::uint16_t cloud_port_ = 0;
    std::uint64_t sequence_ = 0;
};

/// Whether the environment asks for the disruption; `TROUBLE=0` leaves it out.
inline bool troubled() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Runs `play(deployment)`, then ends the daemons and leaves. The threads of the stand-ins run
/// until then, so the deployment is never destroyed.
template <class Play> [[noreturn]] void run_case(int argc, char** argv, Play play) {
    int result = could_not_run;
    if (argc == 3) {
        signal(SIGPIPE, SIG_IGN);
        const auto leave = [](int) {
            end_started_processes();
            std::_Exit(could_not_run);
        };
        signal(SIGTERM, leave);
        signal(SIGINT, leave);
        signal(SIGALRM, leave);
        constexpr unsigned longest_s = 115;
        alarm(longest_s);
        try {
            auto& played = *new deployment(argv[1], argv[2]);
            result = play(played);
            played.log.write("exit code " + std::to_string(result));
        } catch (const std::exception& error) {
            std::cerr << error.what() << '\n';
        }
        end_started_processes();
    }
    std::_Exit(result);
}

} // namespace review
