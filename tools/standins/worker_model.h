#pragma once

#include "citronford/manual_timer_service.h"
#include "citronford/overloaded.h"
#include "citronford/task_scheduler.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace citronford {

/// What a job really does, as opposed to what it declares.
struct job_truth {
    resources usage;
    duration left{}; ///< Run time that remains; kept at a checkpoint.
    int starts = 0;
    bool restartable = false;
    bool done = false;
};

struct model_task {
    task_start start;
    task_state state = task_state::running;
    resources usage;
    duration left{};
    instant started_at{};
    instant checkpointed_at = instant::max();
    int percent = 100; ///< Of its processors, as throttled.
    [[nodiscard]] std::int64_t wanted() const {
        return state == task_state::running ? usage.millicores * percent / 100 : 0;
    }
    [[nodiscard]] bool running() const {
        return state == task_state::running || state == task_state::checkpointed;
    }
};

/// A worker in memory that fences epochs and sequences and stops tasks without a lease.
struct model_worker {
    worker_listing::worker listing;
    resources capacity{64000, 131072, 0};
    std::uint64_t incarnation = 1;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    bool fails_all = false;
    bool silent = false; ///< Messages do not reach it.
    instant lease_until{};
    instant advanced_at{};
    std::map<task_id, model_task> tasks;
    double speed = 1; ///< Below 1 while the tasks want more processors than there are.
    std::map<team_id, double> consumed; ///< Processor-seconds by team.

    void advance(instant now, std::map<job_id, job_truth>& truth) {
        std::int64_t total = 0;
        for (const auto& [id, task] : tasks) {
            total += task.wanted();
        }
        const double speed =
            total <= capacity.millicores
                ? 1.0
                : static_cast<double>(capacity.millicores) / static_cast<double>(total);
        const double elapsed = static_cast<double>((now - advanced_at).count());
        advanced_at = now;
        for (auto& [id, task] : tasks) {
            if (task.running() && now > lease_until) {
                task.state = task_state::expired;
            }
            if (task.state != task_state::running) {
                continue;
            }
            constexpr double millicore_microseconds = 1e9;
            consumed[task.start.team] +=
                static_cast<double>(task.wanted()) * speed * elapsed / millicore_microseconds;
            task.left -= duration(static_cast<duration::rep>(elapsed * speed * task.percent / 100));
            if (fails_all) {
                task.state = task_state::failed;
            } else if (task.left <= duration::zero()) {
                task.state = task_state::done;
                truth[task.start.job].done = true;
            } else if (task.checkpointed_at <= now) {
                task.state = task_state::checkpointed;
                truth[task.start.job].left = task.left;
            }
        }
    }

    sync_result sync(const sync_request& message, instant now, std::map<job_id, job_truth>& truth,
                     const std::function<void(const model_worker&, const task_start&)>& on_start) {
        constexpr duration checkpoint_time = milliseconds(200);
        constexpr duration usage_lag = milliseconds(2000);
        if (message.epoch < epoch || (message.epoch == epoch && message.sequence <= sequence)) {
            return sync_rejected{epoch};
        }
        epoch = message.epoch;
        sequence = message.sequence;
        advance(now, truth);
        lease_until = std::max(lease_until, now + message.lease);
        std::vector<task_id> forgotten;
        for (const task_id& id : message.stop) {
            const auto found = tasks.find(id);
            if (found != tasks.end() && found->second.running()) {
                tasks.erase(found);
            } else {
                forgotten.push_back(id);
            }
        }
        for (const task_start& start : message.start) {
            if (tasks.contains(start.id)) {
                continue;
            }
            job_truth& real = truth[start.job];
            ++real.starts;
            tasks.emplace(start.id, model_task{start, task_state::running, real.usage, real.left,
                                               now, instant::max(), 100});
            on_start(*this, start);
        }
        for (const task_id& id : message.checkpoint) {
            const auto found = tasks.find(id);
            if (found != tasks.end() && found->second.checkpointed_at == instant::max()) {
                found->second.checkpointed_at = now + checkpoint_time;
            }
        }
        for (const task_throttle& throttle : message.throttle) {
            const auto found = tasks.find(throttle.id);
            if (found != tasks.end()) {
                found->second.percent = throttle.percent;
            }
        }
        sync_accepted answer{incarnation, listing.leaving, capacity, {}};
        for (const auto& [id, task] : tasks) {
            const bool measured = now - task.started_at >= usage_lag;
            resources usage = task.usage;
            usage.millicores =
                static_cast<std::int64_t>(static_cast<double>(task.wanted()) * speed);
            answer.tasks.push_back({id, task.state, measured ? usage : resources{}});
        }
        for (const task_id& id : forgotten) {
            tasks.erase(id);
        }
        return answer;
    }
};

struct model_node {
    live_member self;
    team_limits limits;
    std::unique_ptr<task_scheduler> scheduler;
    fleet_configuration fleet;
    instant confirmed_at{};
    instant paused_until{};
    bool cut_off = false; ///< From the platform.
    bool dead = false;
    table_version scanned = 0;
    std::vector<scheduler_input> backlog; ///< Arrived while the node was paused.
};

/// Probabilities of faults in a thousand messages.
struct model_faults {
    unsigned lost_requests = 0;
    unsigned lost_replies = 0;
    unsigned lost_commit_replies = 0;
    duration longest_delay = milliseconds(5);
};

/// Several nodes, workers and one table in memory, in virtual time.
class model_fleet {
  public:
    explicit model_fleet(std::uint64_t seed) : random(seed) {}

    /// Calls of `on_start` tell the truth about starts at the workers.
    std::function<void(const model_worker&, const task_start&)> on_start = [](const model_worker&,
                                                                              const task_start&) {};
    manual_timer_service timers;
    std::mt19937_64 random;
    model_faults faults;
    bool outage = false; ///< Of the platform.
    fleet_configuration fleet;
    std::vector<std::unique_ptr<model_node>> nodes;
    std::vector<model_worker> workers;
    std::map<job_id, job_truth> truth;
    std::map<job_id, std::pair<job_row, table_version>> rows;
    std::vector<answer_job> answers;
    std::uint64_t steps = 0;

    std::uint64_t below(std::uint64_t bound) { return random() % bound; }
    bool chance(unsigned in_a_thousand) { return below(1000) < in_a_thousand; }
    [[nodiscard]] instant now() const { return timers.now(); }

    model_node& add_node(const scheduler_charts& charts, const scheduler_options& options,
                         duration tick = milliseconds(20)) {
        auto node = std::make_unique<model_node>();
        node->self = options.self;
        node->scheduler = *task_scheduler::create(charts, options, node->limits);
        model_node* target = node.get();
        nodes.push_back(std::move(node));
        timers_kept_.push_back(timers.every(tick, [this, target](instant) { tick_node(*target); }));
        timers_kept_.push_back(
            timers.every(milliseconds(1000), [this, target](instant) { poll(*target); }));
        return *target;
    }

    void add_workers(std::size_t count, std::size_t zones) {
        for (std::size_t index = 0; index < count; ++index) {
            model_worker worker;
            worker.listing.id = worker_id("w" + std::to_string(index));
            worker.listing.zone = zone_id(std::string(1, static_cast<char>('a' + index % zones)));
            workers.push_back(std::move(worker));
        }
        timers_kept_.push_back(timers.every(milliseconds(50), [this](instant now) {
            for (model_worker& worker : workers) {
                worker.advance(now, truth);
            }
        }));
    }

    /// Tells every live node of all workers and of the live members.
    void announce() {
        worker_listing listing;
        for (const model_worker& worker : workers) {
            listing.workers.push_back(worker.listing);
        }
        member_listing members;
        for (const auto& node : nodes) {
            if (!node->dead) {
                members.members.push_back(node->self);
            }
        }
        for (const auto& node : nodes) {
            deliver(*node, listing);
            deliver(*node, members);
        }
    }

    void submit(model_node& node, const job_definition& job, const job_truth& real) {
        truth[job.id] = real;
        truth[job.id].restartable = job.restartable;
        deliver(node, job_submission{{}, job});
    }

    void deliver(model_node& node, scheduler_input input) {
        if (node.dead) {
            return;
        }
        if (now() < node.paused_until) {
            node.backlog.push_back(std::move(input));
            return;
        }
        ++steps;
        for (const scheduler_effect& effect : node.scheduler->handle(input, now())) {
            std::visit([&](const auto& item) { perform(node, item); }, effect);
        }
    }

    [[nodiscard]] std::map<team_id, int> running() const {
        std::map<team_id, int> count;
        for (const model_worker& worker : workers) {
            for (const auto& [id, task] : worker.tasks) {
                count[task.start.team] += task.running() ? 1 : 0;
            }
        }
        return count;
    }

  private:
    void later(duration delay, const std::function<void()>& function) {
        const std::uint64_t number = next_event_++;
        events_[number] = timers.after(delay, [this, number, function](instant) {
            const auto kept = events_.extract(number);
            function();
        });
    }
    duration delay() {
        return duration(below(static_cast<std::uint64_t>(faults.longest_delay.count()) + 1));
    }
    [[nodiscard]] bool reaches_table(const model_node& node) const {
        return !outage && !node.cut_off;
    }

    void tick_node(model_node& node) {
        if (node.dead || now() < node.paused_until) {
            return;
        }
        for (scheduler_input& input : std::exchange(node.backlog, {})) {
            deliver(node, std::move(input));
        }
        deliver(node, scheduler_tick{node.confirmed_at});
    }

    void poll(model_node& node) {
        if (node.dead || now() < node.paused_until || !reaches_table(node)) {
            return;
        }
        node.confirmed_at = now();
        if (node.fleet.version != fleet.version) {
            node.fleet = fleet;
            node.scheduler->configure(fleet);
        }
        const table_version since = std::exchange(node.scanned, version_);
        for (const auto& [id, row] : std::map(rows)) {
            if (row.second > since) {
                deliver(node, versioned_job_row{row.first, row.second});
            }
        }
    }

    void perform(model_node& node, const write_job& effect) {
        later(delay(), [this, &node, effect] { commit(node, effect); });
    }

    void commit(model_node& node, const write_job& effect) {
        using outcome = job_write_result::outcome;
        job_write_result result{effect.row.job.id, effect.write, outcome::unavailable, 0};
        duration pause = delay();
        if (reaches_table(node)) {
            auto& [row, version] = rows[effect.row.job.id];
            const bool mine = version != absent_row && row.owner == node.self.id &&
                              row.epoch == node.self.incarnation && effect.generation &&
                              row.generation == *effect.generation;
            if (version == effect.expected || mine) {
                row = effect.row;
                version = ++version_;
                result.result = outcome::written;
                result.version = version;
            } else {
                result.result = outcome::conflict;
            }
            // The driver reads a row again whose reply was lost.
            pause += chance(faults.lost_commit_replies) ? milliseconds(500) : duration::zero();
        }
        later(pause, [this, &node, result] { deliver(node, result); });
    }

    void perform(model_node& node, const acquire_worker_lease& effect) {
        later(delay(), [this, &node, effect] {
            const bool reached = reaches_table(node);
            const std::uint64_t epoch = reached ? ++version_ : 0;
            later(delay(), [this, &node, effect, reached, epoch] {
                if (reached) {
                    deliver(node, worker_lease_granted{effect.worker, epoch});
                } else {
                    deliver(node, worker_lease_refused{effect.worker});
                }
            });
        });
    }

    void perform(model_node& node, const sync_worker& effect) {
        const bool lost = chance(faults.lost_requests);
        const auto report = [this, &node, worker = effect.worker,
                             sequence = effect.message.sequence](duration after,
                                                                 const sync_result& result) {
            later(after, [this, &node, worker, sequence, result] {
                deliver(node, sync_report{worker, sequence, result});
            });
        };
        later(delay(), [this, effect, lost, report] {
            const auto found = std::ranges::find(
                workers, effect.worker, [](const model_worker& item) { return item.listing.id; });
            if (found == workers.end() || lost || found->silent) {
                report(effect.timeout, sync_unanswered{});
                return;
            }
            const sync_result result = found->sync(effect.message, now(), truth, on_start);
            if (chance(faults.lost_replies)) {
                report(effect.timeout, sync_unanswered{});
            } else {
                report(delay(), result);
            }
        });
    }

    void perform(model_node& node, const send_peer& effect) {
        const member_id from{node.self.id, node.self.incarnation};
        later(delay(), [this, from, effect] {
            const auto to = std::ranges::find_if(
                nodes, [&](const auto& item) { return item->self.id == effect.to; });
            if (to != nodes.end()) {
                deliver(**to, handover_received{from, std::get<job_handover>(effect.message)});
            }
        });
    }

    void perform(model_node& node, const read_jobs& /*effect*/) {
        later(delay(), [this, &node] { poll(node); });
    }

    void perform(model_node& /*node*/, const answer_job& effect) { answers.push_back(effect); }

    void perform(model_node& /*node*/, const job_sli_event& /*effect*/) {}

    table_version version_ = 0;
    std::uint64_t next_event_ = 0;
    std::map<std::uint64_t, timer_subscription> events_;
    std::vector<timer_subscription> timers_kept_;
};

/// The charts of the scheduler; ends the program when they cannot be read.
inline scheduler_charts charts_in(const std::string& directory) {
    return {*chart::load(directory + "/job.scxml"), *chart::load(directory + "/worker_lease.scxml"),
            *chart::load(directory + "/worker_health.scxml")};
}

} // namespace citronford
