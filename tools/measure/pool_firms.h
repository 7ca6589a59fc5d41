#pragma once

#include "measure/pool_model.h"

#include <algorithm>
#include <string>
#include <vector>

namespace citronford {

/// Pools of one firm at its present size: five services and a spare pool, about 50 VMs in all.
struct pool_firm {
    std::string name;
    std::vector<std::pair<std::string, int>> services;
    std::pair<std::string, int> spare;
};

inline std::vector<pool_firm> pool_firms() {
    return {{"kettunen",
             {{"quote", 12}, {"booking", 10}, {"delivery", 8}, {"catalogue", 8}, {"settlement", 8}},
             {"ledger", 6}},
            {"panier_frais",
             {{"plans", 10}, {"rounds", 10}, {"invoices", 8}, {"baskets", 8}, {"orders", 8}},
             {"office_tools", 8}}};
}

inline constexpr duration firm_reboot = seconds(120);
inline constexpr std::int64_t firm_budget = 2;

/// The model of a firm: VMs in three zones, four to a rack, with the rows already written.
class firm_model {
  public:
    explicit firm_model(const pool_firm& firm) : model(1, options()), spare(firm.spare.first) {
        add_pool(firm.spare.first, firm.spare.second, 0, "");
        for (const auto& [name, size] : firm.services) {
            add_pool(name, size, size, firm.spare.first);
        }
        model.on_row = [this](const auto& /*writer*/, const vm_record* before,
                              const vm_record& after) {
            moves += before != nullptr && before->pool != after.pool ? 1 : 0;
        };
        model.configure();
        run(seconds(20));
    }

    /// Advances by `span` and counts the instants at which a pool is beyond its budget.
    void run(duration span) {
        for (const instant end = model.timers.now() + span; model.timers.now() < end;) {
            model.advance(milliseconds(200));
            breaches += breached() ? 1 : 0;
        }
    }

    void remove_zone(const std::string& zone) {
        model.fleet.removals.push_back({zone_id(zone), "power"});
        model.configure();
    }

    void restore_zones() {
        model.fleet.removals.clear();
        model.configure();
    }

    [[nodiscard]] bool rolled_out() const {
        return std::ranges::all_of(model.vms, [&](const auto& item) {
            const auto pool = model.pools.find(item.second.row.pool);
            return item.second.row.state == vm_states::serving &&
                   (pool == model.pools.end() ||
                    item.second.row.maintained >= pool->second.version);
        });
    }

    [[nodiscard]] bool settled() const {
        return std::ranges::all_of(model.vms, [](const auto& item) {
            return item.second.row.state == vm_states::serving && item.second.row.home.empty() &&
                   item.second.row.target.empty();
        });
    }

    /// VMs of `pool` that serve in a zone that is not removed.
    [[nodiscard]] std::int64_t serving(const pool_id& pool) const {
        return std::ranges::count_if(model.vms, [&](const auto& item) {
            const vm_record& row = item.second.row;
            return row.pool == pool && row.state == vm_states::serving &&
                   model.physical_vms.at(row.id).up() && !zone_removed(model.fleet, row.zone);
        });
    }

    pool_model model;
    std::string spare;
    std::uint64_t breaches = 0;
    std::uint64_t moves = 0;

  private:
    static pool_model::options options() {
        pool_model::options values;
        values.drain = seconds(5);
        values.reboot = firm_reboot;
        return values;
    }

    void add_pool(const std::string& name, int size, std::int64_t wanted,
                  const std::string& lender) {
        constexpr std::string_view zones[] = {"a", "b", "c"};
        model.fleet.defaults.pools.push_back({pool_id(name), wanted, firm_budget, pool_id(lender)});
        for (int index = 0; index < size; ++index) {
            const std::size_t place = model.physical_vms.size();
            const std::string zone(zones[place % 3]);
            pool_model::physical_vm item;
            item.listing = {vm_id(name + "-" + std::to_string(index)),
                            zone_id(zone),
                            rack_id(zone + std::to_string(place / 12)),
                            pool_id(name),
                            {},
                            false};
            model.physical_vms.emplace(item.listing.id, item);
        }
    }

    /// Planned unavailability by what is up; lent VMs and VMs on their way in are not planned
    /// unavailability of the pool.
    [[nodiscard]] bool breached() const {
        return std::ranges::any_of(model.fleet.defaults.pools, [&](const pool_definition& pool) {
            const auto down = std::ranges::count_if(model.vms, [&](const auto& item) {
                const vm_record& row = item.second.row;
                return row.pool == pool.name && row.state != vm_states::moving &&
                       row.step != vm_step::lend && !model.physical_vms.at(row.id).up();
            });
            return down > pool.unavailable;
        });
    }
};

} // namespace citronford
