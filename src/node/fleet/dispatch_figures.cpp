#include "node/fleet/dispatch_figures.h"

#include <array>
#include <span>
#include <string_view>
#include <utility>

namespace citronford {

namespace {

/// One series for each pool and rank; none without `dispatch_options::overload_order`.
void set_waiting_figures(metrics& registry, const dispatch_counts& counts) {
    // The series of an ownership that is over would otherwise stay.
    registry.clear("citronford_waiting_workflows");
    registry.clear("citronford_waiting_cores");
    for (const pool_waiting& pool : counts.waiting) {
        for (std::size_t rank = 0; rank < work_ranks; ++rank) {
            const std::array labels = {metric_label{"pool", pool.pool.view()},
                                       metric_label{"rank", name_of(static_cast<work_rank>(rank))}};
            const rank_figures& figures = pool.ranks.at(rank);
            registry.set("citronford_waiting_workflows", labels,
                         static_cast<double>(figures.workflows));
            registry.set("citronford_waiting_cores", labels, figures.cores);
        }
    }
}

void set_team_figures(metrics& registry, std::span<const team_share_figure> teams) {
    constexpr double millicores_per_core = 1000;
    // Series of a previous ownership would otherwise remain.
    registry.clear("citronford_team_used_cores");
    registry.clear("citronford_team_part_cores");
    for (const team_share_figure& figure : teams) {
        const std::array labels = {metric_label{"team", figure.team.view()}};
        registry.set("citronford_team_used_cores", labels,
                     static_cast<double>(figure.used_millicores) / millicores_per_core);
        registry.set("citronford_team_part_cores", labels,
                     figure.part_millicores / millicores_per_core);
    }
}

} // namespace

void set_dispatch_figures(metrics& registry, const dispatch_counts& counts) {
    const std::pair<std::string_view, std::size_t> gauges[] = {
        {"citronford_workflows", counts.workflows},
        {"citronford_runs", counts.runs},
        {"citronford_stalled_workflows", counts.stalled},
        {"citronford_backends", counts.backends},
        {"citronford_quarantined_backends", counts.quarantined},
        {"citronford_slow_backends", counts.slow},
        {"citronford_start_limit", counts.start_limit},
        {"citronford_starts_held_back", counts.starts_held_back ? 1 : 0},
        {"citronford_teams_over_share", counts.teams_over_share}};
    for (const auto& [name, value] : gauges) {
        registry.set(name, {}, static_cast<double>(value));
    }
    const std::pair<std::string_view, std::uint64_t> totals[] = {
        {"citronford_starts_total", counts.starts},
        {"citronford_tasks_done_total", counts.runs_done},
        {"citronford_tasks_failed_total", counts.runs_failed},
        {"citronford_runs_lost_total", counts.runs_lost},
        {"citronford_starts_refused_total", counts.starts_refused},
        {"citronford_copies_started_total", counts.copies_started},
        {"citronford_copies_won_total", counts.copies_won}};
    for (const auto& [name, value] : totals) {
        registry.set_total(name, {}, static_cast<double>(value));
    }
    set_waiting_figures(registry, counts);
    set_team_figures(registry, counts.team_shares);
}

} // namespace citronford
