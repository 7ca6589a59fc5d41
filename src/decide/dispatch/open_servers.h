#pragma once

#include "decide/dispatch/backend_entry.h"

#include "citronford/workflow.h"

#include <span>
#include <vector>

namespace citronford::dispatch {

/// The servers of one pool that accept tasks, ordered by free CPU. A search for a server starts at
/// the first one with enough CPU, which is also the best fit.
class open_servers {
  public:
    explicit open_servers(std::vector<backend_entry*> servers);

    /// Servers with at least `millicores` of free CPU, the fullest one first. Zero gives
    /// all servers, also those whose reservations exceed their capacity.
    [[nodiscard]] std::span<backend_entry* const> with_cpu(std::int64_t millicores) const;

    /// Restores the order after the reservations of `server` have changed.
    void reorder(backend_entry& server);

    /// Whether the servers have room for `tasks` tasks of `size` by their free capacity alone.
    [[nodiscard]] bool have_room(const resources& size, std::size_t tasks) const;

  private:
    std::vector<backend_entry*> servers_;
};

/// Searches of one pass that found no server. Within a pass the free capacity only shrinks, so a
/// step that needs at least as much finds none, either.
class failed_searches {
  public:
    void add(const workflow_step& step, const resources& reserved);

    /// Whether an earlier search shows that no server can take a task of `step`.
    [[nodiscard]] bool rule_out(const workflow_step& step, const resources& reserved) const;

  private:
    struct search {
        resources reserved;
        std::string required_label;
        bool serves = false;
        bool best_effort = false;
    };
    std::vector<search> searches_;
};

} // namespace citronford::dispatch
