#include "load_fixture.h"

#include <algorithm>
#include <functional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace citronford;

namespace {

/// A pool in virtual time that does waiting work by priority, on time before late, and several
/// entry VMs that admit to it. The owner reports the load each 500 ms.
class fleet_model {
  public:
    struct item {
        int priority = 0;
        bool beyond_share = false;
        instant accepted_at{};
        double core_s = workflow_core_s;
    };
    struct counts {
        int submitted = 0;
        int refused = 0;
        int expired = 0; ///< Admitted, and not done within the useful time.
        int in_time = 0; ///< Ended within the objective.
        int useful = 0;  ///< Ended after it, within the useful time.
    };

    explicit fleet_model(int entry_vms) {
        for (int vm = 0; vm < entry_vms; ++vm) {
            vms_.push_back(make_admission());
        }
    }

    double cores = 100;
    bool reports = true;                     ///< The owner reports the load.
    std::vector<arriving_cores> arriving;    ///< As reported.
    std::vector<team_id> teams_beyond_share; ///< As reported.
    instant now{seconds(100)};
    instant last_refusal = instant::min();
    counts urgent;
    counts other;
    counts beyond;

    void submit(const queue_definition& queue, const team_id& team) {
        counts& sums = sums_of(queue.priority, is_beyond(team));
        const accepted_workflow row =
            workflow_of(queue.name, team, "job-" + std::to_string(++submitted_));
        load_admission& vm = vms_[static_cast<std::size_t>(submitted_) % vms_.size()];
        ++sums.submitted;
        if (refusal_in(vm.decide({row, &queue}, now)) != nullptr) {
            ++sums.refused;
            last_refusal = now;
            return;
        }
        waiting_.push_back({queue.priority, is_beyond(team), now});
    }

    /// Runs for `span`; `arrivals` is called in each step.
    void run(duration span, const std::function<void()>& arrivals) {
        const instant end = now + span;
        for (; now < end; now += step) {
            arrivals();
            work();
            if (reports && now >= report_at_) {
                report_at_ = now + milliseconds(500);
                publish();
            }
        }
    }

    static constexpr duration step = milliseconds(20);

  private:
    [[nodiscard]] bool is_beyond(const team_id& team) const {
        return std::ranges::find(teams_beyond_share, team) != teams_beyond_share.end();
    }
    counts& sums_of(int priority, bool beyond_share) {
        return beyond_share ? beyond : priority == 0 ? urgent : other;
    }
    [[nodiscard]] bool is_late(const item& work) const {
        return now + seconds(1) > work.accepted_at + objective;
    }
    [[nodiscard]] auto order_of(const item& work) const {
        const int rank = is_late(work) ? 2 : work.beyond_share ? 1 : 0;
        return std::tuple(rank, work.priority, work.accepted_at);
    }
    void work() {
        std::ranges::stable_sort(waiting_, {}, [this](const item& work) { return order_of(work); });
        double left = cores * std::chrono::duration<double>(step).count();
        for (item& work : waiting_) {
            const double done = std::min(left, work.core_s);
            work.core_s -= done;
            left -= done;
        }
        std::erase_if(waiting_, [this](const item& work) { return remove(work); });
    }
    /// Whether the work is done or past its useful time.
    bool remove(const item& work) {
        counts& sums = sums_of(work.priority, work.beyond_share);
        if (work.core_s <= 0) {
            ++(is_late(work) ? sums.useful : sums.in_time);
            return true;
        }
        const bool over = now + seconds(1) > work.accepted_at + useful_time;
        sums.expired += over ? 1 : 0;
        return over;
    }
    void publish() {
        load_report report;
        report.sequence = ++sequence_;
        report.teams_beyond_share = teams_beyond_share;
        reported_pool load{pool, cores, cores, 0, arriving, {{0}, {1}}};
        for (const item& work : waiting_) {
            priority_backlog& sums = load.waiting[static_cast<std::size_t>(work.priority)];
            (is_late(work)       ? sums.late_core_s
             : work.beyond_share ? sums.beyond_share_core_s
                                 : sums.on_time_core_s) += work.core_s;
        }
        if (pressure_of(load) >= reported_pressure) {
            report.pools.push_back(load);
        }
        for (load_admission& vm : vms_) {
            vm.handle(load_report_received{1, report, now}, now);
        }
    }

    std::vector<load_admission> vms_;
    std::vector<item> waiting_;
    int submitted_ = 0;
    std::uint64_t sequence_ = 0;
    instant report_at_{};
};

std::string text_of(const fleet_model::counts& sums) {
    return std::to_string(sums.submitted) + " submitted, " + std::to_string(sums.refused) +
           " refused, " + std::to_string(sums.in_time) + " in time, " +
           std::to_string(sums.useful) + " useful, " + std::to_string(sums.expired) + " expired";
}

/// Calls `submit` at `rate` per second, in steps of the model.
std::function<void()> arrivals(double rate, std::function<void()> submit) {
    return [rate, submit = std::move(submit), due = 0.0]() mutable {
        due += rate * std::chrono::duration<double>(fleet_model::step).count();
        for (; due >= 1; due -= 1) {
            submit();
        }
    };
}

const queue_definition urgent = queue_named(urgent_queue, 0);
const queue_definition other = queue_named(other_queue, 1);

/// Workflows per second that the 100 cores of the model can do.
constexpr double pace = 100 / workflow_core_s;

} // namespace

// Guards against a whole queue that becomes worthless in a burst (deployment A: of 1,827 workflows
// of one queue, 327 were in time and 652 were accepted and not done): four times the pace of the
// pool for 8 s, over six entry VMs, with admission and without. Refusals end with the burst. Work
// that was admitted first and became late still expires behind later work that is on time.
Test(load_burst, refuses_what_cannot_end_in_a_burst) {
    fleet_model model(6);
    fleet_model without(6);
    without.reports = false;
    for (fleet_model* each : {&model, &without}) {
        each->run(seconds(8), arrivals(4 * pace, [&] { each->submit(urgent, small_team); }));
    }
    const instant burst_end = model.now;
    for (fleet_model* each : {&model, &without}) {
        each->run(seconds(10), arrivals(pace / 20, [&] { each->submit(urgent, small_team); }));
    }
    const std::string figures =
        "with: " + text_of(model.urgent) + " without: " + text_of(without.urgent);
    cr_log_info("%s", figures.c_str());
    cr_assert(without.urgent.refused == 0);
    cr_assert(model.urgent.refused > model.urgent.submitted / 4, "%s", figures.c_str());
    cr_assert(model.last_refusal < burst_end + seconds(2), "refused %lld ms after the burst",
              static_cast<long long>(to_ms(model.last_refusal - burst_end)));
    cr_assert(model.urgent.expired * 2 <= without.urgent.expired, "%s", figures.c_str());
    cr_assert(model.urgent.in_time >= without.urgent.in_time, "%s", figures.c_str());
}

// Guards against refusals for a burst that the fleet can serve once its VMs have moved: the cores
// of four pools arrive 2 s after the begin of the burst.
Test(load_burst, admits_a_burst_that_arriving_cores_can_serve) {
    fleet_model model(6);
    model.arriving = {{300, milliseconds(2000)}};
    const auto burst = arrivals(4 * pace, [&] { model.submit(urgent, small_team); });
    model.run(seconds(2), burst);
    model.cores = 400;
    model.arriving.clear();
    model.run(milliseconds(2500), burst);
    model.run(seconds(5), [] {});
    cr_assert(model.urgent.refused == 0, "%d refused", model.urgent.refused);
    cr_assert(model.urgent.expired == 0, "%d expired", model.urgent.expired);
}

// Guards against urgent work that is refused because of a burst of less important work.
Test(load_burst, refuses_less_urgent_work_first) {
    fleet_model model(6);
    const auto urgent_work = arrivals(pace / 2, [&] { model.submit(urgent, small_team); });
    const auto other_work = arrivals(4 * pace, [&] { model.submit(other, small_team); });
    model.run(seconds(8), [&] {
        urgent_work();
        other_work();
    });
    cr_assert(model.urgent.refused == 0, "%d urgent workflows refused", model.urgent.refused);
    cr_assert(model.urgent.expired == 0, "%d urgent workflows expired", model.urgent.expired);
    cr_assert(model.other.refused > 0);
}

// Guards against a team that causes refusals for others by sending many times its share.
Test(load_burst, refuses_work_beyond_a_share_first) {
    fleet_model model(6);
    model.teams_beyond_share = {large_team};
    const auto in_share = arrivals(pace / 2, [&] { model.submit(urgent, small_team); });
    const auto beyond = arrivals(4 * pace, [&] { model.submit(urgent, large_team); });
    model.run(seconds(8), [&] {
        in_share();
        beyond();
    });
    cr_assert(model.urgent.refused == 0, "%d refused in their share", model.urgent.refused);
    cr_assert(model.beyond.refused > model.beyond.submitted / 2, "%d of %d refused",
              model.beyond.refused, model.beyond.submitted);
}
