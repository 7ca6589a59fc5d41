// Requests under load: a burst, the outage of a service, and the cost of claims in the table.
#include "citronford/chart.h"
#include "citronford/group_commit.h"
#include "citronford/manual_timer_service.h"
#include "citronford/overloaded.h"
#include "citronford/request_router.h"
#include "measure/measure.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>

namespace {

using namespace citronford;

constexpr std::size_t executor_count = 10;
constexpr int slots = 8;
constexpr duration run_least = milliseconds(25);
constexpr duration run_most = milliseconds(75);
constexpr double capacity_per_second = 1600; ///< 80 slots, mean run time 50 ms.
constexpr duration deadline = milliseconds(250);
const service_id service("quote");

chart loaded(const std::string& name) {
    auto result = chart::load(std::string(CITRONFORD_CHARTS) + "/" + name + ".scxml");
    if (!result.ok()) {
        throw std::runtime_error(result.status().ToString());
    }
    return *std::move(result);
}

/// Routers of several nodes in front of the executors of one service, in virtual time.
class service_fleet {
  public:
    explicit service_fleet(std::size_t node_count) : executors_(executor_count) {
        fleet_configuration fleet;
        fleet.defaults.services = {{.name = service, .pool = {}, .idempotent = true}};
        const chart request_chart = loaded("request");
        const chart connection_chart = loaded("connection");
        executor_listing listing;
        for (std::uint16_t index = 0; index < executor_count; ++index) {
            listing.executors.push_back(
                {executor_id(std::to_string(index)), service, zone_id(), {"", index}});
        }
        for (std::size_t index = 0; index < node_count; ++index) {
            router_options options;
            options.executors.seed = static_cast<std::uint32_t>(index + 1);
            routers_.push_back(
                *request_router::create({request_chart, connection_chart}, options, limits_));
            routers_[index]->configure(fleet);
            handle(index, listing);
            keep(time_.every(milliseconds(20),
                             [this, index](instant) { handle(index, router_tick{}); }));
        }
    }

    /// Offers `rate` requests a second for `span`, then returns.
    void offer(double rate, duration span) {
        const instant end = time_.now() + span;
        std::exponential_distribution<double> gap(rate);
        while (true) {
            const auto pause = duration(static_cast<std::int64_t>(gap(random_) * 1e6));
            if (time_.now() + pause >= end) {
                time_.advance(end - time_.now());
                return;
            }
            time_.advance(pause);
            submit();
        }
    }

    void set_outage(bool out, bool silent) {
        out_ = out;
        silent_ = silent;
    }

    std::uint64_t offered = 0;
    std::uint64_t answered = 0;         ///< With an answer of an executor.
    std::uint64_t answered_in_time = 0; ///< Within the deadline.

    [[nodiscard]] std::uint64_t added_attempts() const {
        std::uint64_t sum = 0;
        for (const auto& router : routers_) {
            sum += router->counters().retries + router->counters().hedges;
        }
        return sum;
    }

  private:
    void submit() {
        const std::uint64_t number = next_caller_++;
        const std::size_t node = number % routers_.size();
        ++offered;
        submitted_.emplace_back(time_.now());
        // Six teams, a few of them large.
        static constexpr int team_of[] = {0, 0, 0, 0, 1, 1, 1, 2, 3, 4, 5};
        const team_id team("team" + std::to_string(team_of[random_() % std::size(team_of)]));
        limits_.set_units(team, 1000);
        handle(node,
               request_submission{static_cast<caller_id>(number),
                                  request_id(std::to_string(number)), team, service, "", deadline});
    }

    void handle(std::size_t node, const router_input& input) {
        for (const router_effect& effect : routers_[node]->handle(input, time_.now())) {
            std::visit(overloaded{
                           [&](const send_attempt& item) { send(node, item); },
                           [&](const probe_executor& item) { probe(node, item); },
                           [&](const answer_caller& item) { take_answer(item); },
                           [](const auto&) {},
                       },
                       effect);
        }
    }

    void send(std::size_t node, const send_attempt& item) {
        const attempt_report base{item.caller, item.work.id, attempt_lost{}};
        if (out_) {
            report(node, base, silent_ ? attempt_result(attempt_lost{}) : attempt_unreachable{},
                   silent_ ? item.work.timeout : milliseconds(1));
            return;
        }
        int& running = executors_[item.to.port];
        if (running >= slots) {
            report(node, base, attempt_refused{}, milliseconds(1));
            return;
        }
        ++running;
        std::uniform_int_distribution<std::int64_t> run(run_least.count(), run_most.count());
        const duration run_time(run(random_));
        keep(time_.after(run_time, [this, port = item.to.port](instant) { --executors_[port]; }));
        attempt_answered answer{200, "", false, item.work.request, item.work.id};
        const bool in_time = run_time < item.work.timeout;
        report(node, base, in_time ? attempt_result(std::move(answer)) : attempt_lost{},
               in_time ? run_time + milliseconds(1) : item.work.timeout);
    }

    void report(std::size_t node, attempt_report base, attempt_result result, duration delay) {
        base.result = std::move(result);
        keep(time_.after(delay,
                         [this, node, base = std::move(base)](instant) { handle(node, base); }));
    }

    void probe(std::size_t node, const probe_executor& item) {
        const bool healthy = !out_;
        keep(time_.after(milliseconds(healthy ? 1 : 1000),
                         [this, node, id = item.executor, healthy](instant) {
                             handle(node, probe_report{id, healthy, false});
                         }));
    }

    void take_answer(const answer_caller& item) {
        if (item.code != result_code::ok) {
            return;
        }
        ++answered;
        const duration age = time_.now() - submitted_[static_cast<std::size_t>(item.caller)];
        answered_in_time += age <= deadline ? 1 : 0;
    }

    void keep(timer_subscription timer) { timers_.push_back(std::move(timer)); }

    manual_timer_service time_;
    std::vector<timer_subscription> timers_;
    team_limits limits_;
    std::vector<std::unique_ptr<request_router>> routers_;
    std::vector<int> executors_; ///< Requests running on each.
    std::vector<instant> submitted_;
    std::minstd_rand random_{20261204};
    std::uint64_t next_caller_ = 0;
    bool out_ = false;
    bool silent_ = false;
};

/// The burst against one unbounded first-in-first-out queue in front of the same slots.
struct fifo_result {
    std::uint64_t answered = 0;
    std::uint64_t in_time = 0;
};

fifo_result fifo_burst(double mean_rate, duration warm_up, double burst_rate, duration burst) {
    std::minstd_rand random(20261204);
    std::multimap<double, int> free_at; // In seconds, one entry for each slot.
    for (std::size_t slot = 0; slot < executor_count * slots; ++slot) {
        free_at.emplace(0.0, 0);
    }
    const double begin = std::chrono::duration<double>(warm_up).count();
    const double end = begin + std::chrono::duration<double>(burst).count();
    std::uniform_real_distribution<double> run(std::chrono::duration<double>(run_least).count(),
                                               std::chrono::duration<double>(run_most).count());
    fifo_result result;
    double now = 0;
    while (true) {
        now += std::exponential_distribution<double>(now < begin ? mean_rate : burst_rate)(random);
        if (now >= end) {
            return result;
        }
        const double start = std::max(now, free_at.begin()->first);
        free_at.erase(free_at.begin());
        const double finish = start + run(random);
        free_at.emplace(finish, 0);
        if (finish >= begin && finish < end) {
            ++result.answered;
            result.in_time +=
                finish - now <= std::chrono::duration<double>(deadline).count() ? 1 : 0;
        }
    }
}

std::vector<measurement> burst_of(std::size_t node_count, const std::string& suffix) {
    constexpr double mean_rate = 0.6 * capacity_per_second;
    constexpr double burst_rate = 5 * mean_rate;
    constexpr duration warm_up = seconds(10);
    constexpr duration burst = seconds(5);
    service_fleet fleet(node_count);
    fleet.offer(mean_rate, warm_up);
    const std::uint64_t answered = fleet.answered;
    const std::uint64_t in_time = fleet.answered_in_time;
    fleet.offer(burst_rate, burst);
    const fifo_result fifo = fifo_burst(mean_rate, warm_up, burst_rate, burst);
    const auto share = [](std::uint64_t part, double whole) {
        return whole == 0 ? 0 : static_cast<double>(part) / whole;
    };
    const double physical = capacity_per_second * std::chrono::duration<double>(burst).count();
    using enum measurement::direction;
    return {
        {"burst_answers_in_time" + suffix,
         share(fleet.answered_in_time - in_time, static_cast<double>(fleet.answered - answered)),
         share(fifo.in_time, static_cast<double>(fifo.answered)), 0.95, at_least},
        {"burst_useful_work" + suffix, share(fleet.answered_in_time - in_time, physical),
         share(fifo.in_time, physical), 0.95, at_least}};
}

std::vector<measurement> burst() {
    std::vector<measurement> figures = burst_of(1, "");
    for (measurement& figure : burst_of(3, "_three_nodes")) {
        figures.push_back(std::move(figure));
    }
    return figures;
}

/// Attempts beyond the first during an outage of the whole service, as a share of offered load.
measurement outage_of(bool silent, const std::string& name) {
    service_fleet fleet(1);
    fleet.offer(0.6 * capacity_per_second, seconds(20));
    const std::uint64_t before = fleet.added_attempts();
    const std::uint64_t offered = fleet.offered;
    fleet.set_outage(true, silent);
    fleet.offer(0.6 * capacity_per_second, seconds(30));
    const auto added = static_cast<double>(fleet.added_attempts() - before);
    constexpr double baseline_attempts = 3;
    return {name, added / static_cast<double>(fleet.offered - offered), baseline_attempts - 1, 0.1};
}

std::vector<measurement> outage() {
    return {outage_of(false, "outage_added_attempts"),
            outage_of(true, "outage_silent_added_attempts")};
}

/// Claims and outcomes of one node against a table that answers after `round_trip`.
std::vector<measurement> claims() {
    constexpr duration round_trip = milliseconds(10);
    constexpr double rate = 300;
    constexpr std::uint64_t total = 3000;
    manual_timer_service time;
    std::vector<timer_subscription> timers;
    group_commit commits({.node = node_id("n1"), .incarnation = "i1"});
    std::minstd_rand random(20261204);
    std::exponential_distribution<double> gap(rate);
    std::uint64_t transactions = 0;
    std::uint64_t granted = 0;
    std::function<void(const group_commit_input&)> handle = [&](const group_commit_input& input) {
        for (const group_commit_effect& effect : commits.handle(input, time.now())) {
            if (std::holds_alternative<commit_transaction>(effect)) {
                ++transactions;
                timers.push_back(time.after(
                    round_trip, [&](instant) { handle(transaction_committed{transactions}); }));
            }
            if (const auto* claim = std::get_if<claim_recorded>(&effect)) {
                ++granted;
                const request_id id(std::to_string(static_cast<std::uint64_t>(claim->caller)));
                timers.push_back(time.after(milliseconds(50), [&handle, id](instant) {
                    handle(outcome_resolved{id, "done"});
                }));
            }
        }
    };
    for (std::uint64_t number = 0; number < total; ++number) {
        time.advance(duration(static_cast<std::int64_t>(gap(random) * 1e6)));
        handle(claim_requested{static_cast<caller_id>(number), request_id(std::to_string(number))});
    }
    time.advance(seconds(1));
    const double span = std::chrono::duration<double>(time.now() - instant()).count();
    // Without grouping, each claim and each outcome is a transaction.
    return {{"claim_transactions_per_second", static_cast<double>(transactions) / span,
             2 * static_cast<double>(granted) / span,
             1 / std::chrono::duration<double>(round_trip).count()},
            {"claims_granted", static_cast<double>(granted), static_cast<double>(total),
             static_cast<double>(total), measurement::direction::at_least}};
}

const measure_registration burst_registration("request_burst", burst);
const measure_registration outage_registration("request_outage", outage);
const measure_registration claims_registration("request_claims", claims);

} // namespace
