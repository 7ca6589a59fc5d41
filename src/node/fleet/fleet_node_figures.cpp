#include "node/fleet/fleet_node.h"

#include <array>
#include <string_view>
#include <utility>

namespace citronford {

void fleet_node::set_dispatch_figures(const dispatch_counts& counts) {
    const auto gauge = [this](std::string_view name, double value) {
        registry_.set(name, {}, value);
    };
    gauge("citronford_workflows", static_cast<double>(counts.workflows));
    gauge("citronford_runs", static_cast<double>(counts.runs));
    gauge("citronford_stalled_workflows", static_cast<double>(counts.stalled));
    gauge("citronford_backends", static_cast<double>(counts.backends));
    gauge("citronford_quarantined_backends", static_cast<double>(counts.quarantined));
    gauge("citronford_teams_over_share", static_cast<double>(counts.teams_over_share));
    const std::pair<std::string_view, std::uint64_t> totals[] = {
        {"citronford_starts_total", counts.starts},
        {"citronford_tasks_done_total", counts.runs_done},
        {"citronford_tasks_failed_total", counts.runs_failed},
        {"citronford_runs_lost_total", counts.runs_lost},
        {"citronford_starts_refused_total", counts.starts_refused}};
    for (const auto& [name, value] : totals) {
        registry_.set_total(name, {}, static_cast<double>(value));
    }
    set_team_figures(counts.team_shares);
}

void fleet_node::set_team_figures(std::span<const team_share_figure> teams) {
    constexpr double millicores_per_core = 1000;
    // Series of a previous ownership would otherwise remain.
    registry_.clear("citronford_team_used_cores");
    registry_.clear("citronford_team_part_cores");
    for (const team_share_figure& figure : teams) {
        const std::array labels = {metric_label{"team", figure.team.view()}};
        registry_.set("citronford_team_used_cores", labels,
                      static_cast<double>(figure.used_millicores) / millicores_per_core);
        registry_.set("citronford_team_part_cores", labels,
                      figure.part_millicores / millicores_per_core);
    }
}

} // namespace citronford
