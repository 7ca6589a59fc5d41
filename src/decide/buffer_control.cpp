#include "citronford/buffer_control.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citronford {

buffer_control::buffer_control(buffer_control_options options) : options_(std::move(options)) {}

std::vector<buffer_effect> buffer_control::handle(const buffer_input& input, instant now) {
    std::vector<buffer_effect> effects;
    std::visit([&](const auto& event) { process(event, now, effects); }, input);
    return effects;
}

void buffer_control::process(const demand_sampled& sample, instant /*now*/,
                             effects_out /*effects*/) {
    for (const pool_load& load : sample.pools) {
        double& peak = peaks_[load.pool];
        peak = std::max(peak, load.vms);
    }
}

void buffer_control::process(const demand_rows_read& read, instant now, effects_out /*effects*/) {
    for (const auto& row : read.rows) {
        if (row.deleted) {
            nodes_.erase(row.record.node);
        } else {
            nodes_[row.record.node] = {row.record, row.version, now};
        }
    }
}

void buffer_control::process(const buffer_live_nodes& listing, instant now,
                             effects_out /*effects*/) {
    live_ = {listing.nodes.begin(), listing.nodes.end()};
    for (auto& [node, demand] : nodes_) {
        if (live_.contains(node)) {
            demand.seen_at = now;
        }
    }
}

void buffer_control::process(const demand_interval_ended& interval, instant now,
                             effects_out effects) {
    for (const auto& [node, demand] : nodes_) {
        if (!live_.contains(node) && now - demand.seen_at >= options_.dead_node_retention) {
            effects.emplace_back(erase_demand{node, demand.version});
        }
    }
    demand_record own = own_record();
    const auto written = nodes_.find(options_.node);
    const bool is_written = written != nodes_.end();
    if (is_written ? own.pools != written->second.record.pools : !own.pools.empty()) {
        effects.emplace_back(
            write_demand{std::move(own), is_written ? written->second.version : absent_row});
    }
    close_interval();
    plan(interval.placements);
    update_requirements update;
    for (const auto& [pool, buffer] : buffers_) {
        update.pools.push_back({pool, buffer.plan.total});
    }
    effects.emplace_back(std::move(update));
}

/// Rounds the demand up to tenths of a VM, so that small changes do not cause a table write.
demand_record buffer_control::own_record() const {
    constexpr double steps = 10;
    std::map<pool_id, double> highest = previous_peaks_;
    for (const auto& [pool, vms] : peaks_) {
        double& peak = highest[pool];
        peak = std::max(peak, vms);
    }
    demand_record own{options_.node, {}};
    for (const auto& [pool, vms] : highest) {
        const double rounded = std::ceil(vms * steps) / steps;
        if (rounded > 0) {
            own.pools.push_back({pool, rounded});
        }
    }
    if (own.pools.size() > options_.max_pools_per_row) {
        std::ranges::stable_sort(own.pools, std::greater<>(), &pool_load::vms);
        own.pools.resize(options_.max_pools_per_row);
    }
    return own;
}

void buffer_control::close_interval() {
    std::map<pool_id, double> sums;
    previous_peaks_ = std::exchange(peaks_, {});
    for (const auto& [pool, peak] : previous_peaks_) {
        sums[pool] += peak;
    }
    for (const auto& [node, demand] : nodes_) {
        if (node == options_.node || !live_.contains(node)) {
            continue;
        }
        for (const pool_load& load : demand.record.pools) {
            sums[load.pool] += load.vms;
        }
    }
    for (const auto& [pool, vms] : sums) {
        windows_.try_emplace(pool);
    }
    for (auto& [pool, window] : windows_) {
        const auto sum = sums.find(pool);
        window.push_back(sum == sums.end() ? 0 : sum->second);
        if (window.size() > options_.window) {
            window.pop_front();
        }
    }
    std::erase_if(windows_, [](const auto& item) {
        return std::ranges::all_of(item.second, [](double vms) { return vms == 0; });
    });
}

void buffer_control::plan(const std::map<pool_id, vm_placement>& placements) {
    buffers_.clear();
    for (const auto& [pool, window] : windows_) {
        const auto placement = placements.find(pool);
        if (placement == placements.end()) {
            continue;
        }
        const std::vector<double> samples(window.begin(), window.end());
        const queue_demand demand{samples};
        buffers_[pool] = {
            samples.back(), samples.size(),
            planned_buffer(std::span(&demand, 1), placement->second, options_.planner)};
    }
}

vm_placement placement_of(const vm_table& vms, const pool_id& pool) {
    std::set<zone_id> zones;
    std::map<rack_id, std::int64_t> racks;
    vm_placement placement{0, 0};
    for (const auto& [id, vm] : vms.members(pool)) {
        zones.insert(vm->row.zone);
        placement.rack_size = std::max(placement.rack_size, ++racks[vm->row.rack]);
    }
    placement.zones = std::ssize(zones);
    return placement;
}

} // namespace citronford
