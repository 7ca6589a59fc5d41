#include "decide/dispatch/open_servers.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace citronford::dispatch {
namespace {

std::int64_t free_cpu(const backend_entry* server) {
    return server->free_capacity().millicores;
}

/// How many tasks of `size` fit into `free`.
std::size_t tasks_in(const resources& free, const resources& size) {
    std::int64_t tasks = std::numeric_limits<std::int64_t>::max();
    for (const auto& [amount, needed] :
         {std::pair(free.millicores, size.millicores), std::pair(free.memory_mb, size.memory_mb),
          std::pair(free.accelerators, size.accelerators)}) {
        if (needed > 0) {
            tasks = std::min(tasks, std::max<std::int64_t>(0, amount) / needed);
        }
    }
    return static_cast<std::size_t>(tasks);
}

bool serves(const workflow_step& step) {
    return step.response_target > milliseconds::zero();
}

} // namespace

open_servers::open_servers(std::vector<backend_entry*> servers) : servers_(std::move(servers)) {
    std::ranges::stable_sort(servers_, {}, free_cpu);
}

std::span<backend_entry* const> open_servers::with_cpu(std::int64_t millicores) const {
    if (millicores == 0) {
        return servers_;
    }
    const auto first = std::ranges::lower_bound(servers_, millicores, {}, free_cpu);
    return {first, servers_.end()};
}

void open_servers::reorder(backend_entry& server) {
    servers_.erase(std::ranges::find(servers_, &server));
    const auto place = std::ranges::lower_bound(servers_, free_cpu(&server), {}, free_cpu);
    servers_.insert(place, &server);
}

bool open_servers::have_room(const resources& size, std::size_t tasks) const {
    std::size_t room = 0;
    for (const backend_entry* server : with_cpu(size.millicores)) {
        const std::size_t fitting = tasks_in(server->free_capacity(), size);
        if (fitting >= tasks - room) {
            return true;
        }
        room += fitting;
    }
    return room >= tasks;
}

void failed_searches::add(const workflow_step& step, const resources& reserved) {
    // A limit of tasks for each server depends on the step, so it says nothing about other steps.
    if (step.max_per_server == 0) {
        searches_.push_back({reserved, step.required_label, serves(step), step.best_effort_cpu});
    }
}

bool failed_searches::rule_out(const workflow_step& step, const resources& reserved) const {
    return std::ranges::any_of(searches_, [&](const search& earlier) {
        return reserved.millicores >= earlier.reserved.millicores &&
               reserved.memory_mb >= earlier.reserved.memory_mb &&
               reserved.accelerators >= earlier.reserved.accelerators &&
               (earlier.required_label.empty() || earlier.required_label == step.required_label) &&
               (!earlier.serves || serves(step)) && (!earlier.best_effort || step.best_effort_cpu);
    });
}

} // namespace citronford::dispatch
