#include "decide/dispatch/dispatcher_state.h"

#include <algorithm>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace citronford {

using namespace dispatch;

std::map<queue_id, std::uint64_t> dispatcher::implementation::waiting_workflows() const {
    std::map<queue_id, std::uint64_t> counts;
    for (const auto& [id, entry] : workflows_) {
        if (entry->state == workflow_state::pending) {
            ++counts[entry->row.queue];
        }
    }
    return counts;
}

std::vector<backend_load> dispatcher::implementation::backend_loads() const {
    std::vector<backend_load> all;
    for (const auto& [id, server] : servers_) {
        // Until a pool is recovered, the runs of an earlier owner are not known.
        if (!contact_is(*server, "current") || !server->pool->recovered) {
            continue;
        }
        backend_load load{id, server->registration.pool, server->registration.capacity,
                          server->used, server->runs.size() + (server->has_strays ? 1 : 0)};
        load.unschedulable = server->drain_requested || server->registration.leaving;
        load.long_running = static_cast<std::size_t>(server->long_running_runs);
        load.long_running_millicores = server->long_running_millicores;
        all.push_back(std::move(load));
    }
    return all;
}

bool dispatcher::implementation::is_stalled(const workflow_entry& entry) const {
    constexpr duration stall_time = seconds(2);
    return entry.runs == 0 && now_ >= entry.idle_since + stall_time;
}

/// Logs what keeps the servers of the pool from new tasks while the workflows `stalled` wait. A
/// workflow can be named several times.
void dispatcher::implementation::report_stalled(pool_state& pool, const unknown_state& unread,
                                                std::span<const workflow_entry* const> stalled) {
    const std::set<const workflow_entry*> distinct(stalled.begin(), stalled.end());
    pool.stalled_workflows = distinct.size();
    constexpr duration period = seconds(2);
    if (stalled.empty() || now_ < pool.stall_logged_at + period) {
        return;
    }
    pool.stall_logged_at = now_;
    const server_availability servers = availability_in(pool);
    std::string detail = "pool=" + std::string(pool.name.view());
    const auto add = [&detail](std::string_view name, std::int64_t figure) {
        detail.append(" ").append(name).append("=").append(std::to_string(figure));
    };
    add("workflows", static_cast<std::int64_t>(distinct.size()));
    add("open", servers.open);
    add("free_millicores", servers.free_millicores);
    add("quarantined", servers.quarantined);
    add("in_backoff", servers.in_backoff);
    add("out_of_contact", servers.out_of_contact);
    add("withdrawn", servers.withdrawn);
    // One or zero.
    add("limit_reached", static_cast<std::int64_t>(pool.limit_reached));
    add("unread_runs", static_cast<std::int64_t>(unread.runs));
    add("unread_completions", static_cast<std::int64_t>(unread.completions));
    log("work_stalled", stalled.front()->row.id, {}, std::move(detail));
}

dispatcher::implementation::server_availability
dispatcher::implementation::availability_in(const pool_state& pool) const {
    server_availability sums;
    for (const auto& [id, server] : pool.servers) {
        if (is_withdrawn(*server)) {
            ++sums.withdrawn;
        } else if (!contact_is(*server, "current") || !server->clock) {
            ++sums.out_of_contact;
        } else if (is_quarantined(*server)) {
            ++sums.quarantined;
        } else if (now_ < server->start_backoff_until) {
            ++sums.in_backoff;
        } else {
            ++sums.open;
            sums.free_millicores += server->free_capacity().millicores;
        }
    }
    return sums;
}

dispatch_counts dispatcher::implementation::counts() const {
    dispatch_counts numbers = counts_;
    numbers.workflows = workflows_.size();
    numbers.runs = runs_.size();
    numbers.backends = servers_.size();
    numbers.teams_over_share = teams_over_share().size();
    numbers.team_shares = team_shares();
    numbers.start_limit = start_window_.limit();
    numbers.starts_held_back = start_window_.limits_work(now_);
    for (const auto& [name, pool] : pools_) {
        numbers.stalled += pool.stalled_workflows;
        numbers.quarantined += static_cast<std::size_t>(availability_in(pool).quarantined);
        if (options_.overload_order) {
            numbers.waiting.push_back({name, pool.order.waiting});
        }
        numbers.slow += static_cast<std::size_t>(std::ranges::count_if(
            pool.servers, [](const auto& item) { return item.second->slow; }));
    }
    return numbers;
}

} // namespace citronford
