#pragma once

#include "standins/worker_model.h"

#include <array>
#include <cmath>
#include <string>
#include <vector>

namespace citronford {

/// About 50 workers of 64 processors and 128 GB in three zones, one entry VM in each zone, and six
/// teams that always have jobs waiting. Declared sizes are wrong by up to 4x in both directions;
/// tasks run for 2 s to 2 min.
class task_scenario {
  public:
    static constexpr std::array<double, 6> shares{8, 4, 2, 1, 1, 1};
    static constexpr std::size_t zones = 3;

    task_scenario(std::uint64_t seed, const scheduler_options& options) : model(seed) {
        static const scheduler_charts charts = charts_in(CITRONFORD_CHARTS);
        for (std::size_t index = 0; index < shares.size(); ++index) {
            model.fleet.defaults.teams.push_back({team_of(index), shares[index], 1000000});
        }
        model.fleet.version = 1;
        model.add_workers(51, zones);
        for (std::size_t zone = 0; zone < zones; ++zone) {
            scheduler_options own = options;
            own.self = {node_id("n" + std::to_string(zone)),
                        zone_id(std::string(1, static_cast<char>('a' + zone))), zone + 1};
            model_node& node = model.add_node(charts, own);
            for (std::size_t index = 0; index < shares.size(); ++index) {
                node.limits.set_units(team_of(index), 1000000);
            }
        }
        model.on_start = [this](const model_worker& worker, const task_start& start) {
            ++started;
            if (start.job.view().front() == 'b') {
                ++started_of_team_[start.team];
            }
            if (worker.fails_all) {
                ++started_in_vain;
            }
            const auto urgent = urgent_since_.find(start.job);
            if (urgent != urgent_since_.end()) {
                urgent_waits.push_back(model.now() - urgent->second);
                urgent_since_.erase(urgent);
            }
        };
        model.announce();
    }

    static team_id team_of(std::size_t index) { return team_id("team" + std::to_string(index)); }

    /// Advances time; tops up the waiting jobs, and submits urgent ones at `urgent_rate` a second.
    void run(int seconds_long, unsigned urgent_rate = 0) {
        constexpr int steps_a_second = 4;
        for (int step = 0; step < seconds_long * steps_a_second; ++step) {
            top_up();
            for (unsigned count = 0; count < urgent_rate; ++count) {
                if (model.chance(1000 / steps_a_second)) {
                    submit_urgent();
                }
            }
            model.timers.advance(milliseconds(1000 / steps_a_second));
        }
    }

    /// Processor-seconds used so far, by team.
    [[nodiscard]] std::array<double, 6> consumed() const {
        std::array<double, 6> total{};
        for (const model_worker& worker : model.workers) {
            for (std::size_t index = 0; index < shares.size(); ++index) {
                const auto found = worker.consumed.find(team_of(index));
                total[index] += found == worker.consumed.end() ? 0 : found->second;
            }
        }
        return total;
    }

    /// Processor-seconds used so far in the zones that `counts` accepts.
    template <class Predicate> [[nodiscard]] double consumed_where(Predicate counts) const {
        double total = 0;
        for (const model_worker& worker : model.workers) {
            for (const auto& [team, amount] : worker.consumed) {
                total += counts(worker.listing.zone) ? amount : 0;
            }
        }
        return total;
    }

    model_fleet model;
    std::uint64_t started = 0;
    std::uint64_t started_in_vain = 0; ///< On workers that fail everything.
    std::vector<duration> urgent_waits;

    /// Urgent jobs that still wait count with the time that they have waited.
    [[nodiscard]] std::vector<duration> all_urgent_waits() const {
        std::vector<duration> waits = urgent_waits;
        for (const auto& [job, since] : urgent_since_) {
            waits.push_back(model.now() - since);
        }
        std::ranges::sort(waits);
        return waits;
    }

  private:
    /// Jobs of each team that wait at all times.
    static constexpr std::uint64_t backlog = 240;

    void top_up() {
        for (std::uint64_t round = 0; round < backlog; ++round) {
            for (std::size_t index = 0; index < shares.size(); ++index) {
                const team_id team = team_of(index);
                if (submitted_[team] < started_of_team_[team] + backlog) {
                    ++submitted_[team];
                    submit(index);
                }
            }
        }
    }

    void submit(std::size_t team) {
        constexpr std::int64_t largest_usage = 32000;
        const std::int64_t processors = std::int64_t{1} << model.below(4);
        job_definition job;
        job.id = job_id("b" + std::to_string(next_job_));
        job.team = team_of(team);
        job.size = {processors * 1000, processors * 1024, 0};
        job.restartable = model.chance(500);
        const auto usage = static_cast<std::int64_t>(static_cast<double>(job.size.millicores) *
                                                     std::exp2(uniform() * 4 - 2));
        const double run = 2 * std::pow(60.0, uniform());
        model.submit(*model.nodes[next_job_++ % zones], job,
                     {{std::min(usage, largest_usage), job.size.memory_mb, 0},
                      duration(static_cast<duration::rep>(run * 1e6))});
    }

    void submit_urgent() {
        job_definition job;
        job.id = job_id("u" + std::to_string(next_job_));
        job.team = team_of(model.below(shares.size()));
        job.size = {4000, 4096, 0};
        job.urgent = true;
        urgent_since_[job.id] = model.now();
        model.submit(*model.nodes[next_job_++ % zones], job, {job.size, seconds(5)});
    }

    double uniform() { return static_cast<double>(model.below(1000000)) / 1e6; }

    std::uint64_t next_job_ = 0;
    std::map<team_id, std::uint64_t> submitted_;
    std::map<team_id, std::uint64_t> started_of_team_;
    std::map<job_id, instant> urgent_since_;
};

} // namespace citronford
