// Executors that run tasks under leases, and the gangs of their tasks.
#pragma once

#include "store.h"

#include <algorithm>
#include <fstream>

namespace standin {

/// Lines of record.txt: what was sent, answered and run.
class recorder {
  public:
    explicit recorder(const std::string& path) : file_(path) {}

    void write(const std::string& text) {
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f  ", static_cast<double>(now_ms()) / 1000);
        file_ << time << text << std::endl;
    }

  private:
    std::ofstream file_;
};

/// Bounds of the deployment, as in the example of the settings.
struct bounds {
    std::int64_t hold_max_ms = 6000;
    std::int64_t stop_timeout_ms = 900;
    std::int64_t gang_timeout_ms = 3000;
    std::int64_t heartbeat_ms = 1500;
};

struct task_name {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    static task_name parse(const std::string& text) {
        task_name name;
        const std::size_t first = text.find('.');
        name.job = text.substr(0, first);
        std::sscanf(text.c_str() + first, ".%u.%u.%u", &name.occurrence, &name.step, &name.index);
        return name;
    }
};

/// What a run does on a sound executor.
struct behaviour {
    std::int64_t work_ms = -1; ///< Until it ends; negative: it goes on until it is stopped.
    std::string how = "done";  ///< How it ends then.
};

/// What the executors know about the submitted jobs, and what they report to a check.
struct task_world {
    recorder& record;
    bounds limits;
    /// The steps of each submitted job, as the client sent them.
    std::map<std::string, json> steps_of_job;
    std::function<behaviour(const task_name&, int run)> behave = [](const task_name&, int) {
        return behaviour{};
    };
    /// Called after each start and each end of a run, and when `SeenUpto` has reached an end.
    std::function<void(const std::string& task, int run, const std::string& what,
                       const std::string& executor)>
        observe = [](const std::string&, int, const std::string&, const std::string&) {};
    std::int64_t stop_ms = 300; ///< How long a stop takes; at most `limits.stop_timeout_ms`.
    /// Time after which an order is carried out that gets no answer; zero for a usual order.
    std::function<std::int64_t()> late_order_ms = [] { return std::int64_t{0}; };

    const json& step(const task_name& name) const {
        return steps_of_job.at(name.job).at(name.step);
    }
};

class executor;

/// The gangs of all executors. The work of a gang begins when all tasks of one run are present.
class gang_table {
  public:
    void join(executor* where, const std::string& task, int run, std::size_t size);
    void leave(const std::string& task, int run, const std::string& how);

  private:
    struct member {
        executor* where = nullptr;
        std::string task;
    };
    static std::string key_of(const std::string& task, int run) {
        return task.substr(0, task.rfind('.')) + " run " + std::to_string(run);
    }
    std::map<std::string, std::vector<member>> members_;
};

class executor {
  public:
    executor(loop& on, store& registry, task_world& world, gang_table& gangs, std::string id,
             std::string service, std::string zone, json capacity)
        : loop_(on), registry_(registry), world_(world), gangs_(gangs), id_(std::move(id)),
          service_(std::move(service)), zone_(std::move(zone)), capacity_(std::move(capacity)),
          born_(unix_ms()), started_at_(now_ms()),
          server_(std::make_unique<server>(
              on, [this](const message& request, const server::responder& answer) {
                  handle(request, answer);
              })) {
        register_now();
        tick();
    }

    const std::string& id() const { return id_; }
    const std::string& zone() const { return zone_; }
    const json& capacity() const { return capacity_; }
    bool alive() const { return alive_; }
    bool runs_nothing() const { return runs_.empty(); }

    /// Cores in thousandths that runs with names of this job use.
    std::int64_t used_cpu(const std::function<bool(const task_name&)>& counts) const {
        std::int64_t sum = 0;
        for (const auto& [task, run] : runs_) {
            const task_name name = task_name::parse(task);
            sum += counts(name) ? world_.step(name).value("Cpu", 0) : 0;
        }
        return sum;
    }

    bool runs(const std::string& task) const { return runs_.contains(task); }

    /// The process ends at once; its registration expires after three heartbeats.
    void crash() {
        world_.record.write("executor " + id_ + " crashes");
        alive_ = false;
        server_.reset();
        polls_.clear();
        while (!runs_.empty()) {
            const auto [task, run] = *runs_.begin();
            runs_.erase(runs_.begin());
            gangs_.leave(task, run.number, "broken");
        }
        loop_.after(3 * world_.limits.heartbeat_ms, [this] { registry_.remove("servers", id_); });
    }

    /// All tasks of the run's gang are present: the work begins.
    void begin_gang_work(const std::string& task, int number) {
        const auto found = runs_.find(task);
        if (found != runs_.end() && found->second.number == number) {
            begin_work(task, number);
        }
    }

    /// Another member of the run's gang ended.
    void end_member(const std::string& task, int number, const std::string& how) {
        const auto found = runs_.find(task);
        if (found != runs_.end() && found->second.number == number) {
            end_run(task, how);
        }
    }

  private:
    struct run {
        int number = 0;
        bool working = false;
        bool stopping = false;
    };
    struct held_poll {
        server::responder answer;
    };

    std::int64_t clock() const { return now_ms() - started_at_; }

    void register_now() {
        json entry = {{"Service", service_},
                      {"Address", "127.0.0.1:" + std::to_string(server_->port())},
                      {"Zone", zone_},
                      {"Version", "v1"},
                      {"Slots", 8},
                      {"State", "ready"},
                      {"ColdMs", 0},
                      {"Capacity", capacity_},
                      {"Labels", json::array({"a", "r1-1"})},
                      {"ClockMs", clock()},
                      {"Seq", ++sequence_},
                      {"born", born_}};
        registry_.put("servers", id_, entry);
        loop_.after(world_.limits.heartbeat_ms, [this] {
            if (alive_) {
                register_now();
            }
        });
    }

    /// Ends what runs when the lease is over.
    void tick() {
        if (!alive_) {
            return;
        }
        end_lapsed_runs();
        loop_.after(10, [this] { tick(); });
    }

    void end_lapsed_runs() {
        if (clock() < lease_until_) {
            return;
        }
        while (!runs_.empty()) {
            end_run(runs_.begin()->first, "lapsed");
        }
        lapsed_upto_ = last_end_;
    }

    void handle(const message& request, const server::responder& answer) {
        const std::string path = request.first_line.substr(5, request.first_line.find(' ', 5) - 5);
        if (request.header("expect-instance") != id_) {
            answer(421, "{}");
            return;
        }
        const json body = json::parse(request.body);
        const bool is_order = path == "/run-start" || path == "/run-stop";
        const std::int64_t late_ms = is_order ? world_.late_order_ms() : 0;
        if (late_ms > 0) {
            world_.record.write("executor " + id_ + " leaves " + path + " " +
                                body.value("Task", "") + " run " +
                                std::to_string(body.value("Run", 0)) + " unanswered");
            loop_.after(late_ms, [this, path, body] {
                if (alive_) {
                    execute(path, body, [this, path, body](int status, const std::string& reply) {
                        world_.record.write("executor " + id_ + " carries out " + path + " " +
                                            body.value("Task", "") +
                                            " late: " + std::to_string(status) + " " + reply);
                    });
                }
            });
            return;
        }
        execute(path, body, answer);
    }

    void execute(const std::string& path, const json& body, const server::responder& answer) {
        const std::int64_t token = body.value("FencingToken", std::int64_t{0});
        if (token < fence_) {
            refuse(answer, "fence");
            return;
        }
        fence_ = token;
        if (path == "/run-start") {
            start(body, answer);
        } else if (path == "/run-stop") {
            stop(body, answer);
        } else if (path == "/hold") {
            hold(body, answer);
        } else {
            answer(200, json{{"ClockMs", clock()}}.dump());
        }
    }

    void refuse(const server::responder& answer, const std::string& reason) {
        answer(409, json{{"ClockMs", clock()}, {"Reason", reason}}.dump());
    }

    void extend_lease(const json& body) {
        if (body.contains("DeadlineMs")) {
            const std::int64_t longest = clock() + world_.limits.hold_max_ms;
            lease_until_ =
                std::max(lease_until_, std::min(body["DeadlineMs"].get<std::int64_t>(), longest));
        }
    }

    bool has_room(const task_name& name) const {
        const json& wanted = world_.step(name);
        std::int64_t cpu = wanted.value("Fills", false) ? 0 : wanted.value("Cpu", 0);
        std::int64_t memory = wanted.value("MemMb", 0);
        for (const auto& [task, run] : runs_) {
            const json& step = world_.step(task_name::parse(task));
            cpu += step.value("Fills", false) ? 0 : step.value("Cpu", 0);
            memory += step.value("MemMb", 0);
        }
        return cpu <= capacity_.value("Cpu", 0) && memory <= capacity_.value("MemMb", 0);
    }

    void start(const json& body, const server::responder& answer) {
        const std::string task = body.at("Task");
        const int number = body.at("Run");
        const auto present = runs_.find(task);
        if (present != runs_.end() && present->second.number == number) {
            answer(200, json{{"ClockMs", clock()}}.dump());
            return;
        }
        extend_lease(body);
        const auto highest = highest_ended_.find(task);
        if (present != runs_.end() ||
            (highest != highest_ended_.end() && number <= highest->second)) {
            refuse(answer, "old");
            return;
        }
        if (body.value("DeadlineMs", std::int64_t{0}) <= clock()) {
            refuse(answer, "late");
            return;
        }
        const task_name name = task_name::parse(task);
        if (!has_room(name)) {
            refuse(answer, "room");
            return;
        }
        runs_[task] = {number};
        world_.record.write("executor " + id_ + " starts " + task + " run " +
                            std::to_string(number));
        world_.observe(task, number, "start", id_);
        answer(200, json{{"ClockMs", clock()}}.dump());
        const json& step = world_.step(name);
        if (!step.value("Gang", false)) {
            begin_work(task, number);
            return;
        }
        loop_.after(world_.limits.gang_timeout_ms, [this, task, number] {
            const auto found = runs_.find(task);
            if (found != runs_.end() && found->second.number == number && !found->second.working &&
                !found->second.stopping) {
                end_run(task, "alone");
            }
        });
        gangs_.join(this, task, number, step.at("Count"));
    }

    void begin_work(const std::string& task, int number) {
        runs_.at(task).working = true;
        const behaviour what = world_.behave(task_name::parse(task), number);
        if (what.work_ms < 0) {
            return;
        }
        loop_.after(what.work_ms, [this, task, number, how = what.how] {
            const auto found = runs_.find(task);
            if (found != runs_.end() && found->second.number == number && !found->second.stopping) {
                end_run(task, how);
            }
        });
    }

    void stop(const json& body, const server::responder& answer) {
        const std::string task = body.at("Task");
        const int number = body.at("Run");
        int& highest = highest_ended_[task];
        highest = std::max(highest, number);
        answer(200, json{{"ClockMs", clock()}}.dump());
        const auto found = runs_.find(task);
        if (found == runs_.end() || found->second.number > number || found->second.stopping) {
            return;
        }
        found->second.stopping = true;
        const int running = found->second.number;
        world_.record.write("executor " + id_ + " is told to stop " + task + " run " +
                            std::to_string(running));
        loop_.after(world_.stop_ms, [this, task, running] {
            const auto still = runs_.find(task);
            if (still != runs_.end() && still->second.number == running) {
                end_run(task, "stopped");
            }
        });
    }

    void end_run(const std::string& task, const std::string& how) {
        const int number = runs_.at(task).number;
        runs_.erase(task);
        int& highest = highest_ended_[task];
        highest = std::max(highest, number);
        ended_.push_back(json::array({++last_end_, task, number, how, ""}));
        world_.record.write("executor " + id_ + " ends " + task + " run " + std::to_string(number) +
                            " " + how);
        world_.observe(task, number, how, id_);
        gangs_.leave(task, number, how);
        answer_polls();
    }

    json lists() const {
        json running = json::array();
        for (const auto& [task, run] : runs_) {
            // A gang that waits for its members is not at work.
            running.push_back(json::array({task, run.number, "", run.working ? 100 : 0, 10}));
        }
        json ended = json::array();
        for (const json& item : ended_) {
            if (ended.size() < 500) {
                ended.push_back(item);
            }
        }
        return {{"ClockMs", clock()}, {"born", born_}, {"Running", running}, {"Ended", ended}};
    }

    void hold(const json& body, const server::responder& answer) {
        end_lapsed_runs();
        extend_lease(body);
        const std::int64_t seen = body.value("SeenUpto", std::int64_t{0});
        std::erase_if(ended_, [&](const json& item) {
            const bool noted = item[0] <= seen;
            // By the rules, an end isn't taken note of if the lease lapsed before.
            if (noted && item[0] > lapsed_upto_) {
                world_.observe(item[1], item[2], "noted " + item[3].get<std::string>(), id_);
            }
            return noted;
        });
        const std::int64_t wait = body.value("WaitMs", std::int64_t{0});
        if (wait == 0 || !ended_.empty()) {
            answer(200, lists().dump());
            return;
        }
        const std::int64_t number = ++last_poll_;
        polls_[number] = {answer};
        loop_.after(wait, [this, number] {
            const auto node = polls_.extract(number);
            if (!node.empty()) {
                node.mapped().answer(200, lists().dump());
            }
        });
    }

    void answer_polls() {
        for (const auto& [number, poll] : std::exchange(polls_, {})) {
            poll.answer(200, lists().dump());
        }
    }

    loop& loop_;
    store& registry_;
    task_world& world_;
    gang_table& gangs_;
    std::string id_;
    std::string service_;
    std::string zone_;
    json capacity_;
    std::int64_t born_ = 0;
    std::int64_t started_at_ = 0;
    bool alive_ = true;
    int sequence_ = 0;
    std::int64_t fence_ = 0;
    std::int64_t lease_until_ = 0;
    std::map<std::string, run> runs_;
    std::map<std::string, int> highest_ended_;
    std::vector<json> ended_;
    std::int64_t last_end_ = 0;
    std::int64_t lapsed_upto_ = 0; ///< Ends up to this one stood when the lease lapsed.
    std::map<std::int64_t, held_poll> polls_;
    std::int64_t last_poll_ = 0;
    std::unique_ptr<server> server_;
};

inline void gang_table::join(executor* where, const std::string& task, int run, std::size_t size) {
    std::vector<member>& present = members_[key_of(task, run)];
    present.push_back({where, task});
    if (present.size() == size) {
        for (const member& item : std::vector<member>(present)) {
            item.where->begin_gang_work(item.task, run);
        }
    }
}

inline void gang_table::leave(const std::string& task, int run, const std::string& how) {
    const auto found = members_.find(key_of(task, run));
    if (found == members_.end()) {
        return;
    }
    const std::vector<member> others = found->second;
    members_.erase(found);
    for (const member& item : others) {
        if (item.task != task) {
            item.where->end_member(item.task, run, how == "done" ? "done" : "broken");
        }
    }
}

} // namespace standin
