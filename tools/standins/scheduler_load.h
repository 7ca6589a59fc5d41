#pragma once

#include "standins/worker_model.h"

#include <cstdint>
#include <string>

namespace citronford {

/// One scheduler with many full workers and a backlog in proportion to them; each step, one task in
/// a hundred ends and is replaced.
class scheduler_load {
  public:
    scheduler_load(const scheduler_charts& charts, std::size_t workers) : model_(1) {
        for (std::size_t index = 0; index < teams; ++index) {
            model_.fleet.defaults.teams.push_back(
                {team_of(index), 1.0 + static_cast<double>(index), 1000000});
        }
        model_.fleet.version = 1;
        model_.add_workers(workers, 1);
        scheduler_options options;
        options.self = {node_id("n"), zone_id("a"), 1};
        model_node& node = model_.add_node(charts, options);
        for (std::size_t index = 0; index < teams; ++index) {
            node.limits.set_units(team_of(index), 1000000);
        }
        model_.announce();
        model_.timers.advance(seconds(3));
        for (std::size_t count = 0; count < workers * 24; ++count) {
            submit();
        }
        model_.timers.advance(seconds(3));
        starts_ = node.scheduler->counts().started;
        operations_ = node.scheduler->counts().operations;
    }

    /// One tick of the scheduler; new jobs come at the rate at which tasks end.
    void advance() {
        for (std::size_t count = 0; count < model_.workers.size() / 100 + 1; ++count) {
            submit();
        }
        model_.timers.advance(milliseconds(20));
    }

    [[nodiscard]] std::uint64_t starts() const { return counts().started - starts_; }
    [[nodiscard]] std::uint64_t operations() const { return counts().operations - operations_; }

  private:
    static constexpr std::size_t teams = 8;

    static team_id team_of(std::size_t index) { return team_id("team" + std::to_string(index)); }
    [[nodiscard]] const scheduler_counts& counts() const {
        return model_.nodes.front()->scheduler->counts();
    }

    void submit() {
        job_definition job;
        job.id = job_id("j" + std::to_string(next_job_));
        job.team = team_of(next_job_++ % teams);
        job.size = {std::int64_t{1000} << model_.below(4), 1024, 0};
        job.restartable = true;
        model_.submit(*model_.nodes.front(), job,
                      {job.size, milliseconds(2000 + model_.below(60000))});
    }

    model_fleet model_;
    std::uint64_t next_job_ = 0;
    std::uint64_t starts_ = 0;
    std::uint64_t operations_ = 0;
};

} // namespace citronford
