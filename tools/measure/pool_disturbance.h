#pragma once

#include "measure/pool_model.h"

#include <algorithm>
#include <map>
#include <string>

namespace citronford {

/// Random orders of operators and faults over a fleet of two service pools and a spare pool in
/// three zones, for the proofs of pools.
class pool_disturbance {
  public:
    explicit pool_disturbance(std::uint64_t seed, bool with_failures)
        : model(seed, options_for(seed)), with_failures_(with_failures) {
        for (const auto& [name, size] : {std::pair("quote", 9), {"booking", 6}, {"ledger", 5}}) {
            const auto budget = static_cast<std::int64_t>(1 + model.below(3));
            model.fleet.defaults.pools.push_back(
                {pool_id(name), name == std::string("ledger") ? 0 : size, budget,
                 name == std::string("ledger") ? pool_id() : pool_id("ledger")});
            add_vms(name, size);
        }
        model.configure();
    }

    /// Lets the fleet settle, then disturbs it for `rounds` of about five seconds each.
    template <class Check> void run(int rounds, Check check) {
        for (int round = 0; round < rounds + 4; ++round) {
            if (round >= 4) {
                disturb();
            }
            for (int part = 0; part < 10; ++part) {
                model.advance(milliseconds(500));
                check();
            }
        }
    }

    [[nodiscard]] bool removed_since(const zone_id& zone, duration span) const {
        const auto found = removed_at_.find(zone);
        return found != removed_at_.end() && model.timers.now() - found->second >= span;
    }

    pool_model model;

  private:
    static pool_model::options options_for(std::uint64_t seed) {
        pool_model::options options;
        options.drain = seconds(2);
        options.reboot = seconds(12);
        options.list_lag = seconds(static_cast<int>(seed % 8));
        options.lost_replies = seed % 3 == 0 ? 0.1 : 0;
        options.late = seed % 5 == 0 ? 0.05 : 0;
        return options;
    }

    void add_vms(const std::string& pool, int count) {
        constexpr std::string_view zones[] = {"a", "b", "c"};
        for (int index = 0; index < count; ++index) {
            const vm_id id(pool + std::to_string(index));
            const std::string zone(zones[index % 3]);
            pool_model::physical_vm item;
            item.listing = {
                id, zone_id(zone), rack_id(zone + std::to_string(index / 12)), pool_id(pool),
                {}, false};
            model.physical_vms.emplace(id, item);
        }
    }

    pool_model::node& any_node() { return model.nodes()[model.below(model.nodes().size())]; }
    pool_id any_pool() {
        return model.fleet.defaults.pools[model.below(model.fleet.defaults.pools.size())].name;
    }
    pool_model::physical_vm& any_vm() {
        return std::next(model.physical_vms.begin(),
                         static_cast<std::ptrdiff_t>(model.below(model.physical_vms.size())))
            ->second;
    }

    void disturb() {
        switch (model.below(10)) {
        case 0:
        case 1:
            model.maintain(any_pool());
            break;
        case 2:
            race_moves();
            break;
        case 3:
            toggle_zone();
            break;
        case 4:
            model.pause(any_node(), model.random_span(seconds(25)));
            break;
        case 5:
            model.start(any_node());
            break;
        case 6:
            model.set_live({model.below(model.nodes().size()), model.below(model.nodes().size())});
            break;
        case 7:
            model.outage = !model.outage;
            break;
        case 8:
            change_demand();
            break;
        default:
            fail_or_recover();
            break;
        }
        // An outage lasts one round.
        model.outage = model.outage && model.chance(0.5);
    }

    /// Two operators order moves of one VM through different nodes.
    void race_moves() {
        const vm_id vm = any_vm().listing.id;
        model.move(any_node(), vm, any_pool());
        model.move(any_node(), vm, any_pool());
    }

    void toggle_zone() {
        const zone_id zone(std::string(1, static_cast<char>('a' + model.below(3))));
        if (model.fleet.removals.empty()) {
            model.fleet.removals.push_back({zone, "test"});
            removed_at_[zone] = model.timers.now();
        } else {
            model.fleet.removals.clear();
            removed_at_.clear();
        }
        model.configure();
    }

    void change_demand() {
        const auto change = static_cast<std::int64_t>(model.below(3)) - 1;
        model.fleet.defaults.pools[0].wanted += change;
        model.fleet.defaults.pools[1].wanted -= change;
        model.configure();
    }

    void fail_or_recover() {
        if (!with_failures_) {
            return;
        }
        pool_model::physical_vm& vm = any_vm();
        if (vm.state == vm_status::condition::gone) {
            model.recover(vm);
        } else {
            model.fail(vm);
        }
    }

    bool with_failures_;
    std::map<zone_id, instant> removed_at_;
};

} // namespace citronford
