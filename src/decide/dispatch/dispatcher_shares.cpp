#include "decide/dispatch/dispatcher_state.h"

#include "citronford/team_weight.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace citronford {

using namespace dispatch;

namespace {

/// Time between two divisions of the fleet. Parts change with the demand of teams, which changes
/// little within it; whether a team exceeds its part is compared at each tick.
constexpr duration division_period = milliseconds(100);

/// Least time between two log lines on the share of one team.
constexpr duration share_log_period = seconds(1);

std::string millicores_text(std::string_view name, double amount) {
    return std::string(name) + std::to_string(static_cast<std::int64_t>(amount));
}

} // namespace

void dispatcher::implementation::apply_team_weights() {
    if (!options_.fair_shares || weights_version_ == catalog_->version()) {
        return;
    }
    weights_version_ = catalog_->version();
    std::map<team_id, double> weights;
    for (const auto& [name, team] : catalog_->teams()) {
        weights.emplace(name, team.weight);
        if (effective_weight(team.weight) != team.weight) {
            log_replaced_weight(name, std::to_string(team.weight), effective_weight(team.weight));
        }
    }
    rates_.set_weights(std::move(weights));
}

void dispatcher::implementation::log_replaced_weight(const team_id& team, std::string_view weight,
                                                     double used) {
    log("team_weight_replaced", {}, {},
        "team=" + team.str() + " weight=" + std::string(weight) + " used=" + std::to_string(used) +
            " version=" + std::to_string(catalog_->version()));
}

team_share* dispatcher::implementation::share_of(const team_id& team) {
    if (!options_.fair_shares || team.empty()) {
        return nullptr;
    }
    team_share& share = shares_[team];
    share.team = team;
    return &share;
}

void dispatcher::implementation::note_submission(const accepted_workflow& row) {
    if (options_.fair_shares && !row.team.empty()) {
        rates_.add({row.id, row.team, row.accepted_unix_ms}, unix_ms_);
    }
}

bool dispatcher::implementation::exceeds_rate(const workflow_found& input) {
    if (!options_.fair_shares) {
        return !input.stored_before && !consume_quota(input.row.team);
    }
    note_submission(input.row);
    if (input.stored_before) {
        // The verdict follows at the next tick, when more of the stored workflows are known.
        return false;
    }
    apply_rate_verdicts();
    return rates_.is_beyond(input.row.team, input.row.id);
}

void dispatcher::implementation::apply_rate_verdicts() {
    for (const rate_verdict& verdict : rates_.evaluate()) {
        const auto found = workflows_.find(verdict.job);
        if (found != workflows_.end()) {
            found->second->over_quota = verdict.beyond;
        }
    }
}

void dispatcher::implementation::note_ready_work(const workflow_entry& entry) {
    if (entry.share == nullptr) {
        return;
    }
    for (auto& [name, share] : shares_) {
        share.division.others_wait = share.division.others_wait || &share != entry.share;
    }
}

std::int64_t dispatcher::implementation::used_millicores(const team_id& team) const {
    const auto found = team_usage_.find(team);
    return found == team_usage_.end() ? 0 : found->second.millicores;
}

bool dispatcher::implementation::add_waiting_work(const pool_state& pool) {
    bool any = false;
    for (workflow_entry* entry : pool.active_workflows) {
        any = add_waiting_work(*entry) || any;
    }
    return any;
}

/// Adds the ready tasks of the workflow that wait to those of its team; returns whether any does.
/// Expired work is left out, since nobody is delayed for it, and so is long-running work, which is
/// placed before all other work.
bool dispatcher::implementation::add_waiting_work(workflow_entry& entry) {
    bool any = false;
    resources wanted;
    instant due = instant::max();
    for (const auto& [number, occurrence] : entry.occurrences) {
        const instant begin =
            entry.row.spec.occurrences == 0 ? entry.accepted_at : occurrence.due_at;
        if (now_ > begin + 3 * entry.objective) {
            continue;
        }
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const workflow_step& definition = entry.step(step);
            const auto tasks = static_cast<std::int64_t>(occurrence.steps[step].waiting_tasks());
            if (tasks == 0 || definition.long_running) {
                continue;
            }
            any = true;
            due = std::min(due, begin + entry.objective);
            if (entry.share != nullptr) {
                wanted +=
                    definition.size * tasks_within_limit(entry.row.team, definition.size, tasks,
                                                         entry.share->planned + wanted);
            }
        }
    }
    if (any && entry.share != nullptr) {
        entry.share->planned += wanted;
        entry.share->waiting.push_back({&entry, entry.terms.priority, due, wanted.millicores});
    }
    return any;
}

/// Notes for each waiting workflow what waits of its team before it.
void dispatcher::implementation::sort_waiting(team_share& share) {
    std::ranges::sort(share.waiting, {}, [](const waiting_demand& item) {
        return std::tuple(item.priority, item.due, item.workflow->row.id.view());
    });
    std::int64_t ahead = 0;
    for (const waiting_demand& item : share.waiting) {
        item.workflow->ahead_millicores = ahead;
        ahead += item.millicores;
    }
    share.waiting.clear(); // Workflows may end before the next division.
}

/// The cores that running and waiting tasks can use now: those of a pool in which tasks wait, and
/// what runs in the other pools. Nobody waits for the free cores of those.
std::int64_t dispatcher::implementation::usable_millicores(const pool_state& pool,
                                                           bool tasks_wait) const {
    std::int64_t sum = 0;
    for (const auto& [id, server] : pool.servers) {
        const bool open = tasks_wait && accepts_tasks(*server);
        sum += open ? std::max(server->registration.capacity.millicores, server->used.millicores)
                    : server->used.millicores;
    }
    return sum;
}

void dispatcher::implementation::divide_fleet() {
    for (auto& [name, share] : shares_) {
        share.planned = {};
        share.waiting_millicores = 0;
        share.division = {};
        share.waiting.clear();
    }
    std::vector<std::pair<const pool_state*, bool>> pools;
    bool any = false;
    for (const auto& [name, pool] : pools_) {
        // After a pass, placement is due in a pool only while tasks wait there.
        const bool waits = pool.recovered && pool.placement_due && add_waiting_work(pool);
        pools.emplace_back(&pool, waits);
        any = any || waits;
    }
    if (!any) {
        return;
    }
    // Work without a team has no share; what it uses is not divided.
    std::int64_t capacity = -used_millicores({});
    for (const auto& [pool, waits] : pools) {
        capacity += usable_millicores(*pool, waits);
    }
    std::vector<team_demand> demands;
    for (auto& [name, share] : shares_) {
        share.waiting_millicores = share.planned.millicores;
        if (used_millicores(name) > 0 || share.waiting_millicores > 0) {
            demands.push_back(demand_of(share));
        }
    }
    for (team_part& part : divide_fairly(demands, capacity)) {
        team_share& share = shares_.at(part.team);
        share.division = std::move(part);
        sort_waiting(share);
    }
}

team_demand dispatcher::implementation::demand_of(team_share& share) {
    team_demand demand;
    demand.team = share.team;
    demand.used_millicores = used_millicores(share.team);
    demand.waiting_millicores = share.waiting_millicores;
    const catalog_team* known = catalog_->team(share.team);
    if (known != nullptr) {
        demand.weight = known->weight;
        demand.limit_millicores = known->limit.millicores;
    } else if (std::exchange(share.unlisted_in, catalog_->version()) != catalog_->version()) {
        log_replaced_weight(share.team, "absent", default_team_weight);
    }
    return demand;
}

void dispatcher::implementation::update_shares() {
    if (!options_.fair_shares) {
        return;
    }
    apply_rate_verdicts();
    if (now_ >= next_division_at_ && pace_of_passes_.due()) {
        pace_of_passes_.note_work();
        next_division_at_ = now_ + division_period;
        divide_fleet();
        if (workflows_loaded_) {
            rates_.prune(unix_ms_);
        }
    }
    for (auto& [name, share] : shares_) {
        share.used_millicores = used_millicores(name);
        share.over = exceeds_share(share.division, share.used_millicores);
        log_share(share);
    }
}

void dispatcher::implementation::log_share(team_share& share) {
    if (share.over == share.logged_over || now_ < share.logged_at + share_log_period) {
        return;
    }
    share.logged_over = share.over;
    share.logged_at = now_;
    std::string detail =
        "team=" + share.team.str() +
        millicores_text(" used_millicores=", static_cast<double>(share.used_millicores)) +
        millicores_text(" part_millicores=", share.division.part_millicores) +
        millicores_text(" waiting_millicores=", static_cast<double>(share.waiting_millicores));
    if (share.over) {
        const auto favoured = std::ranges::find_if(
            shares_, [&](const auto& item) { return item.second.division.waits_below_part; });
        detail += " in_favour_of=" + (favoured == shares_.end() ? "" : favoured->first.str());
    }
    log(share.over ? "team_over_share" : "team_within_share", {}, {}, std::move(detail));
}

std::vector<team_id> dispatcher::implementation::teams_over_share() const {
    std::vector<team_id> teams;
    for (const auto& [name, share] : shares_) {
        if (share.over) {
            teams.push_back(name);
        }
    }
    return teams;
}

std::vector<team_share_figure> dispatcher::implementation::team_shares() const {
    std::vector<team_share_figure> figures;
    if (shares_.size() > max_team_figures) {
        return figures;
    }
    for (const auto& [name, share] : shares_) {
        figures.push_back({name, used_millicores(name), share.division.part_millicores});
    }
    return figures;
}

bool dispatcher::implementation::is_over_share(const workflow_entry& entry) {
    return entry.share != nullptr &&
           exceeds_part(entry.share->division, entry.share->used_millicores,
                        entry.ahead_millicores);
}

} // namespace citronford
