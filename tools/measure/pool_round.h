#pragma once

#include "citronford/chart.h"
#include "citronford/pool_controller.h"

#include <memory>
#include <string>
#include <vector>

namespace citronford {

/// One node that controls every pool of a fleet. Each round, half a second of virtual time, commits
/// what the controller writes, carries out its orders and plans again; a roll-out never ends,
/// unless the fleet is `idle`.
class pool_round {
  public:
    pool_round(int vms, int pools, bool idle = false) {
        const std::string charts = CITRONFORD_CHARTS;
        pool_controller_options options;
        options.node = node_id("n");
        controller_ = *pool_controller::create(*chart::load(charts + "/vm.scxml"),
                                               *chart::load(charts + "/zone.scxml"), options);
        fleet_configuration fleet;
        for (int pool = 0; pool < pools; ++pool) {
            fleet.defaults.pools.push_back({pool_name(pool), vms / pools, 1, pool_id()});
        }
        controller_->configure(fleet);
        for (int vm = 0; vm < vms; ++vm) {
            const std::string zone = "z" + std::to_string(vm % 3);
            list_.push_back({vm_id("vm" + std::to_string(vm)),
                             zone_id(zone),
                             rack_id(zone + "/" + std::to_string(vm / 12)),
                             pool_name(vm % pools),
                             {},
                             false});
        }
        take(pool_live_nodes{{options.node}});
        take(pool_rows_read{{}, {}, {}, 1, now_});
        for (int round = 0; round < 4; ++round) {
            advance();
        }
        if (idle) {
            return;
        }
        pool_rows_read roll_out{{}, {}, {}, ++version_, now_};
        for (int pool = 0; pool < pools; ++pool) {
            roll_out.pools.push_back({{pool_name(pool), "kernel"}, ++version_ + far});
        }
        take(roll_out);
    }

    void advance() {
        now_ += milliseconds(500);
        if (++rounds_ % 2 == 0) {
            take(vms_listed{list_, now_});
            take(pool_rows_read{{}, {}, {}, version_, now_});
        }
        take(pools_tick{});
    }

    [[nodiscard]] std::uint64_t operations() const { return controller_->operations(); }

  private:
    /// Beyond every version of the run, so that no VM is ever up to date.
    static constexpr table_version far = 1ULL << 40U;

    static pool_id pool_name(int pool) { return pool_id("pool" + std::to_string(pool)); }

    void take(const pool_input& input) {
        std::vector<pool_effect> effects = controller_->handle(input, now_);
        for (const pool_effect& effect : effects) {
            std::visit([this](const auto& item) { perform(item); }, effect);
        }
    }

    void perform(const commit_pool_rows& effect) {
        take(pool_commit_report{effect.lease.pool, effect.number,
                                pool_commit_report::outcome::committed, ++version_});
    }
    void perform(const order_drain& effect) {
        take(vm_status_report{effect.vm, vm_status{vm_status::condition::drained, effect.order}});
    }
    void perform(const order_reboot& effect) {
        take(vm_status_report{effect.vm, vm_status{vm_status::condition::serving, effect.order}});
    }
    void perform(const query_vm_status& /*effect*/) {}
    void perform(const read_pool_rows& /*effect*/) {}

    std::unique_ptr<pool_controller> controller_;
    std::vector<vm_listing> list_;
    table_version version_ = 1;
    instant now_{seconds(1)};
    int rounds_ = 0;
};

} // namespace citronford
