#pragma once

#include "dispatch_fixture.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace citronford {

inline constexpr std::int64_t day_begin_ms = 1'800'000'000'000;
inline const team_id flooding("flooding");
inline const team_id modest("modest");

inline catalog_team team_of(const team_id& name, double weight) {
    catalog_team team;
    team.name = name;
    team.weight = weight;
    return team;
}

/// A workflow of one step with tasks of one core and 500 ms.
inline accepted_workflow work_of(const team_id& team, const std::string& pool_name,
                                 const std::string& suffix, std::uint32_t tasks,
                                 std::int64_t accepted_ms) {
    accepted_workflow row;
    row.id = job_id(team.str() + "-" + suffix);
    row.queue = queue_id("queue-" + pool_name);
    row.pool = pool_id(pool_name);
    row.team = team;
    row.accepted_unix_ms = day_begin_ms + accepted_ms;
    workflow_step step;
    step.tasks = tasks;
    step.size = {1000, 10, 0};
    step.estimate = milliseconds(500);
    row.spec.steps = {step};
    return row;
}

/// An owner of the pools `a` and `b`, each with one server of eight cores, and of two teams of
/// equal weight.
struct shares_fixture : dispatch_fixture {
    struct backend_state {
        std::vector<running_task> running;
        std::vector<run_completion> ended;
        std::uint64_t last_end = 0;
    };

    std::map<backend_id, backend_state> servers{{backend_id("server-a"), {}},
                                                {backend_id("server-b"), {}}};
    std::size_t starts_seen = 0;
    std::int64_t unix_ms = day_begin_ms;

    explicit shares_fixture(bool fair) : dispatch_fixture(options_with(fair)) {
        apply_weights(2, 100, 100);
        // Registered before the first tick, so that both pools are read at once.
        for (const auto& [id, server] : servers) {
            register_server(id);
        }
    }

    static dispatch_options options_with(bool fair) {
        dispatch_options options;
        options.fair_shares = fair;
        return options;
    }

    void apply_weights(std::int64_t version, double flooding_weight, double modest_weight) {
        std::vector<queue_definition> queues;
        std::vector<catalog_pool> pools;
        for (const std::string name : {"a", "b"}) {
            queue_definition definition;
            definition.name = queue_id("queue-" + name);
            definition.pool = pool_id(name);
            definition.max_attempts = 3;
            definition.stretch = 20;
            queues.push_back(definition);
            pools.push_back({pool_id(name), true, false});
        }
        handle(catalog_applied{std::make_shared<queue_catalog>(
            version, queues, pools,
            std::vector{team_of(flooding, flooding_weight), team_of(modest, modest_weight)})});
    }

    void register_server(const backend_id& id) {
        backend_registration registration;
        registration.id = id;
        registration.pool = pool_id(id.str().substr(id.str().size() - 1));
        registration.capacity = {8000, 8000, 0};
        handle(backend_registered{registration});
    }

    void add(const accepted_workflow& row, bool stored_before = false) {
        handle(workflow_found{row, {}, stored_before});
    }

    /// Ticks once and answers all polls with what the servers run.
    void step() {
        now += milliseconds(20);
        unix_ms += 20;
        renew_ownership();
        handle(dispatch_tick{unix_ms});
        for (; starts_seen < starts.size(); ++starts_seen) {
            const send_start& start = starts[starts_seen];
            servers.at(start.to.id)
                .running.push_back({start.command.task, start.command.run, "", 100, 0});
        }
        for (auto& [id, server] : servers) {
            answer_poll(id, server.running, server.ended);
        }
        confirm_save();
    }

    /// Ends `count` tasks of the server, the oldest first; of `team` only, if it is not empty.
    void end_tasks(const std::string& server_name, std::size_t count, const team_id& team = {}) {
        backend_state& server = servers.at(backend_id(server_name));
        for (; count > 0; --count) {
            const auto place = std::ranges::find_if(server.running, [&](const running_task& task) {
                return task.task.job.view().starts_with(team.view());
            });
            cr_assert(place != server.running.end());
            server.ended.push_back(
                {++server.last_end, place->task, place->run, completion_kind::done, ""});
            server.running.erase(place);
        }
    }

    [[nodiscard]] std::ptrdiff_t running(const team_id& team) const {
        std::ptrdiff_t sum = 0;
        for (const auto& [id, server] : servers) {
            sum += std::ranges::count_if(server.running, [&](const running_task& task) {
                return task.task.job.view().starts_with(team.view());
            });
        }
        return sum;
    }

    [[nodiscard]] std::ptrdiff_t logged(std::string_view event) const {
        return std::ranges::count(log, event, &log_decision::event);
    }

    /// Twenty workflows of four tasks, for two pools of eight cores.
    static std::vector<accepted_workflow> flood_rows() {
        std::vector<accepted_workflow> rows;
        for (int number = 0; number < 10; ++number) {
            for (const std::string name : {"a", "b"}) {
                rows.push_back(work_of(flooding, name, name + std::to_string(number), 4, number));
            }
        }
        return rows;
    }

    /// The flooding team fills both pools, then the other team sends `tasks` to each.
    void flood(std::uint32_t tasks = 6) {
        finish_loading();
        step();
        for (const accepted_workflow& row : flood_rows()) {
            add(row);
        }
        step();
        cr_assert(running(flooding) == 16);
        step();
        add(work_of(modest, "a", "a", tasks, 40));
        add(work_of(modest, "b", "b", tasks, 40));
        for (int round = 0; round < 6; ++round) {
            step();
        }
    }
};

} // namespace citronford
