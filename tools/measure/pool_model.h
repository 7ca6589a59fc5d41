#pragma once

#include "citronford/chart.h"
#include "citronford/manual_timer_service.h"
#include "citronford/overloaded.h"
#include "citronford/pool_controller.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace citronford {

/// The platform and the nodes that control its pools, in memory and virtual time. Replies take
/// time and can be lost, nodes pause and restart, the list lags, VMs fail.
class pool_model {
  public:
    struct physical_vm {
        vm_listing listing;
        vm_status::condition state = vm_status::condition::serving;
        vm_order_number order = 0;
        instant due = instant::max();       ///< End of the drain or reboot under way.
        instant failed_at = instant::max(); ///< When the VM was lost without an order.
        [[nodiscard]] bool up() const { return state == vm_status::condition::serving; }
    };
    template <class Row> struct stored {
        Row row;
        table_version version = 0;
    };
    struct node {
        node_id name;
        std::unique_ptr<pool_controller> controller;
        std::uint64_t incarnation = 0;
        instant paused_until{};
    };
    struct options {
        duration drain = seconds(5);
        duration reboot = seconds(60);
        duration list_lag = seconds(2);
        duration reply = milliseconds(20); ///< Longest time of one way to the platform.
        double lost_replies = 0;           ///< Share of transactions whose reply is lost.
        double late = 0;                   ///< Share of messages that arrive up to 15 s late.
        std::size_t nodes = 3;
    };
    /// Sees every row that a transaction changes, before and after.
    std::function<void(const node& writer, const vm_record* before, const vm_record& after)> on_row;
    /// Sees every order that a node sends, and whether it is a drain.
    std::function<void(const node& sender, const vm_id& vm, vm_order_number order, bool drain)>
        on_order;

    pool_model(std::uint64_t seed, const options& values) : values_(values), random_(seed) {
        for (std::size_t index = 0; index < values.nodes; ++index) {
            nodes_.push_back({node_id("n" + std::to_string(index)), nullptr, 0, instant()});
            start(nodes_.back());
        }
    }

    /// Replaces a node by a new process of the same name.
    void start(node& target) {
        static const chart vm_chart = *chart::load(std::string(CITRONFORD_CHARTS) + "/vm.scxml");
        static const chart zone_chart =
            *chart::load(std::string(CITRONFORD_CHARTS) + "/zone.scxml");
        pool_controller_options own;
        own.node = target.name;
        own.reboot_timeout = 4 * values_.reboot;
        own.missing_vm_timeout = seconds(120);
        target.controller = *pool_controller::create(vm_chart, zone_chart, own);
        target.controller->configure(fleet);
        target.paused_until = timers.now();
        const std::uint64_t incarnation = ++target.incarnation;
        tell(target, pool_live_nodes{live_nodes()});
        for (const auto& [period, function] :
             {std::pair(milliseconds(500), &pool_model::tick),
              std::pair(milliseconds(1000), &pool_model::read_rows),
              std::pair(milliseconds(1000), &pool_model::read_list)}) {
            repeat(target, incarnation, period, function);
        }
    }

    /// Freezes a node; what reaches it meanwhile is handled in order afterwards.
    void pause(node& target, duration span) {
        target.paused_until = std::max(target.paused_until, timers.now() + span);
    }

    /// Every node learns of a change of `fleet` within a second.
    void configure() {
        for (node& target : nodes_) {
            later(random_span(seconds(1)), [this, &target, copy = fleet] {
                when_running(target, [&target, copy] { target.controller->configure(copy); });
            });
        }
    }

    void set_live(std::set<std::size_t> indices) {
        live_ = std::move(indices);
        for (node& target : nodes_) {
            later(random_span(seconds(3)),
                  [this, &target] { tell(target, pool_live_nodes{live_nodes()}); });
        }
    }

    void fail(physical_vm& vm) {
        vm.state = vm_status::condition::gone;
        vm.due = instant::max();
        vm.failed_at = timers.now();
        list_changed_ = true;
    }

    void recover(physical_vm& vm) {
        vm.state = vm_status::condition::serving;
        vm.failed_at = instant::max();
        list_changed_ = true;
    }

    void advance(duration span) {
        for (const instant end = timers.now() + span; timers.now() < end;) {
            timers.advance(step_length);
            for (auto& [id, vm] : physical_vms) {
                if (vm.due <= timers.now()) {
                    const bool drained = vm.state == vm_status::condition::draining;
                    vm.due = instant::max();
                    vm.state =
                        drained ? vm_status::condition::drained : vm_status::condition::serving;
                }
            }
            record_list();
            ++steps;
        }
    }

    /// An operator's order through a node: a conditional write of the row that the node knows.
    bool move(node& through, const vm_id& vm, const pool_id& target) {
        const auto order = through.controller->move_order(vm, target, "test");
        if (!order.ok() || outage || vms[vm].version != order->expected) {
            return false;
        }
        write(through, std::span(&order->row, 1));
        return true;
    }

    void maintain(const pool_id& pool) { pools[pool] = {{pool, "test"}, ++version}; }

    duration random_span(duration longest) {
        return duration(std::uniform_int_distribution<std::int64_t>(0, longest.count())(random_));
    }
    bool chance(double share) { return std::bernoulli_distribution(share)(random_); }
    std::uint64_t below(std::uint64_t limit) {
        return std::uniform_int_distribution<std::uint64_t>(0, limit - 1)(random_);
    }

    manual_timer_service timers;
    fleet_configuration fleet;
    std::map<vm_id, physical_vm> physical_vms;
    std::map<vm_id, stored<vm_record>> vms;
    std::map<pool_id, stored<pool_record>> pools;
    std::map<pool_id, stored<lease_record>> leases;
    table_version version = 0;
    bool outage = false;
    std::uint64_t steps = 0;
    std::deque<node>& nodes() { return nodes_; }

  private:
    [[nodiscard]] std::vector<node_id> live_nodes() const {
        std::vector<node_id> names;
        for (std::size_t index = 0; index < values_.nodes; ++index) {
            if (live_.empty() || live_.contains(index)) {
                names.push_back(node_id("n" + std::to_string(index)));
            }
        }
        return names;
    }

    /// Adds the present list to the history and drops what the lag has passed.
    void record_list() {
        if (history_.empty() || list_changed_) {
            history_.push_back({timers.now(), listed()});
            list_changed_ = false;
        }
        while (history_.size() > 1 && history_[1].first <= timers.now() - values_.list_lag) {
            history_.pop_front();
        }
    }

    [[nodiscard]] std::vector<vm_listing> listed() const {
        std::vector<vm_listing> list;
        for (const auto& [id, vm] : physical_vms) {
            if (vm.state != vm_status::condition::gone) {
                list.push_back(vm.listing);
            }
        }
        return list;
    }

    void later(duration delay, std::function<void()> function) {
        const std::uint64_t number = next_event_++;
        events_[number] =
            timers.after(delay, [this, number, function = std::move(function)](instant) {
                const auto kept = events_.extract(number);
                function();
            });
    }

    void repeat(node& target, std::uint64_t incarnation, duration period,
                void (pool_model::*function)(node&)) {
        later(period, [this, &target, incarnation, period, function] {
            if (target.incarnation == incarnation) {
                when_running(target, [this, &target, function] { (this->*function)(target); });
                repeat(target, incarnation, period, function);
            }
        });
    }

    /// Runs `function` now, or when the node resumes; never after a restart of the node.
    void when_running(node& target, const std::function<void()>& function) {
        if (timers.now() >= target.paused_until) {
            function();
            return;
        }
        later(target.paused_until - timers.now(),
              [this, &target, function, incarnation = target.incarnation] {
                  if (target.incarnation == incarnation) {
                      when_running(target, function);
                  }
              });
    }

    /// A message to the node; it is lost when the node restarts before it arrives.
    void tell(node& target, const pool_input& input, duration delay = {}) {
        later(delay, [this, &target, input, incarnation = target.incarnation] {
            if (target.incarnation != incarnation) {
                return;
            }
            when_running(target, [this, &target, input] {
                for (const pool_effect& effect : target.controller->handle(input, timers.now())) {
                    std::visit([&](const auto& item) { perform(target, item); }, effect);
                }
            });
        });
    }

    duration message_time(bool late) {
        return random_span(late ? duration(seconds(15)) : values_.reply);
    }

    void tick(node& target) { tell(target, pools_tick{}); }

    void read_list(node& target) {
        if (!outage && !history_.empty()) {
            tell(target, vms_listed{history_.front().second, timers.now()},
                 random_span(values_.reply));
        }
    }

    void read_rows(node& target) {
        if (outage) {
            return;
        }
        pool_rows_read rows;
        rows.begun_at = timers.now();
        rows.version = version;
        for (const auto& [id, item] : vms) {
            rows.vms.push_back({item.row, item.version, item.row.state == vm_states::removed});
        }
        for (const auto& [id, item] : pools) {
            rows.pools.push_back({item.row, item.version});
        }
        for (const auto& [id, item] : leases) {
            rows.leases.push_back({item.row, item.version});
        }
        tell(target, rows, random_span(values_.reply));
    }

    /// Writes the rows of one transaction, then shows each change.
    void write(const node& writer, std::span<const vm_record> rows) {
        std::vector<std::optional<vm_record>> before;
        ++version;
        for (const vm_record& row : rows) {
            const auto found = vms.find(row.id);
            before.push_back(found == vms.end() ? std::nullopt : std::optional(found->second.row));
            vms[row.id] = {row, version};
        }
        for (std::size_t index = 0; on_row && index < rows.size(); ++index) {
            on_row(writer, before[index] ? &*before[index] : nullptr, rows[index]);
        }
    }

    /// Live version of a row for the check of a transaction.
    table_version present(const vm_id& vm) {
        const auto found = vms.find(vm);
        return found == vms.end() || found->second.row.state == vm_states::removed
                   ? absent_row
                   : found->second.version;
    }

    void perform(node& target, const commit_pool_rows& effect) {
        const bool late = chance(values_.late);
        if (late) {
            tell(target,
                 pool_commit_report{effect.lease.pool, effect.number,
                                    pool_commit_report::outcome::in_doubt, 0},
                 seconds(2));
        }
        later(message_time(late), [this, &target, effect, late, incarnation = target.incarnation] {
            using enum pool_commit_report::outcome;
            const pool_id& pool = effect.lease.pool;
            pool_commit_report report{pool, effect.number, not_written, 0};
            if (!outage) {
                bool holds = leases[pool].version == effect.lease_expected;
                for (const vm_write& item : effect.writes) {
                    holds = holds && present(item.row.id) == item.expected;
                }
                report.result = holds ? committed : conflicted;
                if (holds) {
                    commit(target, effect);
                    report.version = version;
                }
                if (chance(values_.lost_replies)) {
                    report.result = in_doubt;
                }
            }
            if (target.incarnation == incarnation && !late) {
                tell(target, report,
                     report.result == in_doubt ? seconds(2) : random_span(values_.reply));
            }
        });
    }

    void commit(const node& writer, const commit_pool_rows& effect) {
        std::vector<vm_record> rows;
        for (const vm_write& item : effect.writes) {
            rows.push_back(item.row);
        }
        write(writer, rows);
        leases[effect.lease.pool] = {effect.lease, version};
    }

    void carry_out(node& target, const vm_id& vm, vm_order_number order, bool drain) {
        if (on_order) {
            on_order(target, vm, order, drain);
        }
        later(message_time(chance(values_.late)), [this, vm, order, drain] {
            physical_vm& item = physical_vms[vm];
            if (outage || order <= item.order || item.state == vm_status::condition::gone) {
                return;
            }
            item.order = order;
            item.state = drain ? vm_status::condition::draining : vm_status::condition::rebooting;
            item.due = timers.now() + (drain ? values_.drain : values_.reboot);
        });
    }

    void perform(node& target, const order_drain& effect) {
        carry_out(target, effect.vm, effect.order, true);
    }
    void perform(node& target, const order_reboot& effect) {
        carry_out(target, effect.vm, effect.order, false);
    }
    void perform(node& target, const query_vm_status& effect) {
        if (!outage) {
            const physical_vm& vm = physical_vms[effect.vm];
            tell(target, vm_status_report{effect.vm, vm_status{vm.state, vm.order}},
                 random_span(values_.reply));
        }
    }
    void perform(node& target, const read_pool_rows& /*effect*/) {
        later(milliseconds(1), [this, &target] { read_rows(target); });
    }

    /// Machines and lists change at multiples of this.
    static constexpr duration step_length = milliseconds(200);

    options values_;
    std::mt19937_64 random_;
    std::deque<node> nodes_;
    std::set<std::size_t> live_;
    std::deque<std::pair<instant, std::vector<vm_listing>>> history_;
    std::uint64_t next_event_ = 1;
    std::map<std::uint64_t, timer_subscription> events_; ///< Callbacks that are still due.
    bool list_changed_ = true;
};

} // namespace citronford
