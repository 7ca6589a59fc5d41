#pragma once

#include "proofs/proof.h"
#include "standins/worker_model.h"

#include <string>

namespace citronford {

/// A model fleet of four nodes and twelve workers in three zones, with three teams and random jobs
/// and faults.
class task_proof {
  public:
    static constexpr int units_per_node = 2;

    explicit task_proof(std::uint64_t seed) : model(seed) {
        static const scheduler_charts charts = charts_in(CITRONFORD_CHARTS);
        for (const char* team : teams) {
            model.fleet.defaults.teams.push_back({team_id(team), 1, units_per_node * 4});
        }
        model.fleet.version = 1;
        model.add_workers(12, 3);
        for (std::size_t index = 0; index < 4; ++index) {
            scheduler_options options;
            options.self = {node_id("n" + std::to_string(index)),
                            zone_id(std::string(1, static_cast<char>('a' + index % 3))), index + 1};
            model_node& node = model.add_node(charts, options);
            for (const char* team : teams) {
                node.limits.set_units(team_id(team), units_per_node);
            }
        }
        model.faults = {30, 30, 100, milliseconds(1 + model.below(400))};
        model.announce();
    }

    /// Submits jobs and advances the virtual time; `fault` is called once a second.
    void run(int seconds_long, const std::function<void(int second)>& fault) {
        for (int second = 0; second < seconds_long; ++second) {
            fault(second);
            for (std::uint64_t count = model.below(6); count > 0; --count) {
                submit();
            }
            model.timers.advance(seconds(1));
        }
    }

    model_fleet model;
    proof_result result;

    void violate(const std::string& detail) {
        ++result.violations;
        if (result.detail.empty()) {
            result.detail = detail;
        }
    }

    proof_result finish() {
        result.steps = model.steps;
        return result;
    }

  private:
    static constexpr const char* teams[] = {"sales", "stock", "billing"};

    void submit() {
        job_definition job;
        job.id = job_id("j" + std::to_string(next_job_++));
        job.team = team_id(teams[model.below(3)]);
        job.size = {static_cast<std::int64_t>(1000 * (1 + model.below(16))), 1024, 0};
        job.urgent = model.chance(100);
        job.restartable = model.chance(500);
        const duration run = milliseconds(100 + model.below(8000));
        model_node& node = *model.nodes[model.below(model.nodes.size())];
        model.submit(node, job, {job.size, run});
    }

    std::uint64_t next_job_ = 1;
};

} // namespace citronford
