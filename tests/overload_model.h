#pragma once

#include "citronford/overload_order.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace citronford {

/// A workflow of `pool_model`: steps of equal tasks, one after the other.
struct model_workflow {
    std::string job;
    instant arrived{};
    int steps = 1;
    int steps_left = 1;
    int waiting = 0; ///< Tasks of the current step.
    int running = 0;
    int priority = 0;
    bool beyond_share = false;
    instant started = instant::max(); ///< Its first task.
    instant ended = instant::max();
};

/// A pool that is one large server, with a queue of workflows of 8 tasks a step, each 3 cores for
/// 0.64 s, and the objective of the deployments. Run times vary by a fifth around the estimate.
class pool_model {
  public:
    static constexpr int step_tasks = 8;
    static constexpr double task_cores = 3;
    static constexpr duration estimate = milliseconds(640);

    pool_model(double cores, bool by_cost) : cores_(cores), free_(cores), by_cost_(by_cost) {}

    static duration objective(const model_workflow& workflow) {
        return std::chrono::duration_cast<duration>(1.6 * workflow.steps * estimate) +
               milliseconds(600);
    }

    /// Submits `per_s` workflows a second for `length`.
    void offer(double per_s, duration length, int priority = 0, bool beyond_share = false) {
        const auto count = static_cast<int>(per_s * std::chrono::duration<double>(length).count());
        for (int index = 0; index < count; ++index) {
            model_workflow workflow;
            workflow.job = "j-" + std::to_string(workflows_.size());
            workflow.arrived = now_ + length * index / count;
            workflow.steps = index % 5 < 2 ? 1 : 2;
            workflow.steps_left = workflow.steps;
            workflow.waiting = step_tasks;
            workflow.priority = priority;
            workflow.beyond_share = beyond_share;
            workflows_.push_back(workflow);
        }
    }

    void run(duration length) {
        for (const instant end = now_ + length; now_ < end; now_ += milliseconds(20)) {
            end_tasks();
            start_tasks();
        }
    }

    /// Workflows of a kind that ended within their objective.
    [[nodiscard]] int in_time(int priority = 0, bool beyond_share = false) const {
        return static_cast<int>(std::ranges::count_if(workflows_, [&](const auto& workflow) {
            return workflow.priority == priority && workflow.beyond_share == beyond_share &&
                   workflow.ended <= workflow.arrived + objective(workflow);
        }));
    }
    /// When the last workflow of a priority started; the maximum if one has not started.
    [[nodiscard]] instant last_start(int priority) const {
        instant last = instant::min();
        for (const model_workflow& workflow : workflows_) {
            last = workflow.priority == priority ? std::max(last, workflow.started) : last;
        }
        return last;
    }
    [[nodiscard]] bool all_ended() const {
        return std::ranges::none_of(
            workflows_, [](const auto& workflow) { return workflow.ended == instant::max(); });
    }
    /// Work of the workflows that arrived by `latest` and of which tasks wait.
    [[nodiscard]] double waiting_core_s(instant latest) const {
        double sum = 0;
        for (const model_workflow& workflow : workflows_) {
            sum +=
                workflow.arrived <= latest && workflow.waiting > 0 ? work_of(workflow).core_s : 0;
        }
        return sum;
    }
    [[nodiscard]] instant now() const { return now_; }

  private:
    struct running_task {
        instant end;
        std::size_t workflow = 0;
    };

    void end_tasks() {
        std::erase_if(running_, [this](const running_task& task) {
            if (now_ < task.end) {
                return false;
            }
            model_workflow& workflow = workflows_[task.workflow];
            free_ += task_cores;
            if (--workflow.running == 0 && workflow.waiting == 0) {
                if (--workflow.steps_left == 0) {
                    workflow.ended = now_;
                } else {
                    workflow.waiting = step_tasks;
                }
            }
            return true;
        });
    }

    void start_tasks() {
        std::vector<std::size_t> waiting;
        std::vector<waiting_work> work;
        double committed = 0;
        for (std::size_t index = 0; index < workflows_.size(); ++index) {
            const model_workflow& workflow = workflows_[index];
            if (workflow.arrived > now_ || workflow.ended != instant::max()) {
                continue;
            }
            committed += 0.5 * workflow.running * task_core_s;
            if (workflow.waiting > 0) {
                waiting.push_back(index);
                work.push_back(work_of(workflow));
            } else {
                committed += (workflow.steps_left - 1) * step_tasks * task_core_s;
            }
        }
        for (const std::size_t item : order_of(work, committed)) {
            start(waiting[item], by_cost_ && aged_[item]);
        }
    }

    [[nodiscard]] waiting_work work_of(const model_workflow& workflow) const {
        waiting_work work;
        work.job = workflow.job;
        work.core_s = (workflow.waiting + (workflow.steps_left - 1) * step_tasks) * task_core_s;
        work.cores = workflow.waiting * task_cores;
        work.critical_path = workflow.steps_left * estimate;
        work.waited = now_ - workflow.arrived;
        work.slack = objective(workflow) - work.waited - work.critical_path;
        work.useful_slack = work.slack + 2 * objective(workflow);
        work.priority = workflow.priority;
        work.value = 0.3 + 0.7 * workflow.steps / 1.6;
        work.beyond_share = workflow.beyond_share;
        return work;
    }

    /// Items of `work` in the order in which they are started.
    std::vector<std::size_t> order_of(const std::vector<waiting_work>& work, double committed) {
        std::vector<std::size_t> order(work.size());
        aged_.assign(work.size(), false);
        if (by_cost_) {
            const auto ordered =
                order_waiting_work(work, {cores_, free_, committed, aging_.credit_core_s()});
            for (std::size_t item = 0; item < work.size(); ++item) {
                order[ordered[item].place] = item;
                aged_[item] = ordered[item].aged;
            }
            return order;
        }
        // The order without the switch: on time, over quota, late, expired; then least slack first.
        for (std::size_t item = 0; item < work.size(); ++item) {
            order[item] = item;
        }
        std::ranges::stable_sort(order, {}, [&](std::size_t item) {
            const waiting_work& one = work[item];
            int rank = one.beyond_share ? 1 : 0;
            if (one.useful_slack < duration::zero()) {
                rank = 3;
            } else if (one.slack < -one.critical_path / 10) {
                rank = 2;
            }
            return std::tuple(rank, one.priority, one.slack);
        });
        return order;
    }

    void start(std::size_t index, bool aged) {
        model_workflow& workflow = workflows_[index];
        for (; workflow.waiting > 0 && free_ >= task_cores; --workflow.waiting) {
            ++workflow.running;
            workflow.started = std::min(workflow.started, now_);
            free_ -= task_cores;
            const double factor = std::uniform_real_distribution(0.8, 1.2)(random_);
            running_.push_back(
                {now_ + std::chrono::duration_cast<duration>(factor * estimate), index});
            aging_.note_start(task_core_s, aged, cores_);
        }
    }

    static constexpr double task_core_s = task_cores * 0.64;

    double cores_;
    double free_;
    bool by_cost_;
    instant now_{seconds(100)};
    std::vector<model_workflow> workflows_;
    std::vector<running_task> running_;
    std::vector<bool> aged_;
    aging_account aging_;
    std::mt19937 random_{20261206};
};

/// Workflows a second that fill the pool of the model: 1.6 steps of 8 tasks each.
constexpr double full_rate(double cores) {
    return cores / (1.6 * 8 * 3 * 0.64);
}

} // namespace citronford
