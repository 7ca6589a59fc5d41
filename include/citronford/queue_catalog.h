#pragma once

#include "citronford/identifier.h"
#include "citronford/instant.h"
#include "citronford/resources.h"
#include "citronford/workflow.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace citronford {

/// Timing of the advice service, which says which backend servers may run a task.
struct advice_timing {
    milliseconds per_call{};   ///< Decision time of one call.
    milliseconds per_server{}; ///< Additional decision time for each backend server.
    milliseconds validity{};   ///< How long the advice is valid.
};

/// A queue for workflows as operators configure it. The latency objective of a workflow is the
/// duration of its longest chain of steps, times `stretch`, plus `objective_slack`.
struct queue_definition {
    queue_id name;
    std::string host;               ///< Host name in the requests of callers.
    std::string prefix;             ///< Prefix of their paths; the longest match wins.
    pool_id pool;                   ///< Its backend servers run the tasks.
    int priority = 0;               ///< Zero is the highest.
    std::uint32_t max_attempts = 1; ///< Failed runs of a task after which its workflow fails.
    double stretch = 1;
    milliseconds objective_slack{};
    bool open = false;                   ///< Open to callers without a key.
    std::optional<advice_timing> advice; ///< Set: only advised backend servers may run the tasks.
};

inline queue_terms terms_of(const queue_definition& queue) {
    return {queue.priority, queue.max_attempts, queue.stretch, queue.objective_slack};
}

/// A pool of VMs as operators configure it.
struct catalog_pool {
    pool_id name;
    bool enforces_capacity = true; ///< Backend servers refuse tasks that exceed their capacity.
    bool standby = false;          ///< The VMs of the pool are off and cost nothing.
};

/// A team as operators configure it.
struct catalog_team {
    team_id name;
    double weight = 0; ///< Share under contention; also the workflows per second it is entitled to.
    resources limit;   ///< Most that its tasks may use at once; zero: no limit.
    std::vector<key_digest> keys; ///< Digests of its API keys.
};

/// One version of the operators' configuration of queues, pools and teams.
class queue_catalog {
  public:
    queue_catalog() = default;
    queue_catalog(std::int64_t version, std::vector<queue_definition> queues,
                  std::vector<catalog_pool> pools, std::vector<catalog_team> teams);

    [[nodiscard]] std::int64_t version() const { return version_; }

    /// The queue of `host` with the longest prefix of `path`; null when none matches.
    [[nodiscard]] const queue_definition* match_queue(std::string_view host,
                                                      std::string_view path) const;

    [[nodiscard]] const queue_definition* queue(const queue_id& name) const;
    [[nodiscard]] const catalog_pool* pool(const pool_id& name) const;
    [[nodiscard]] const catalog_team* team(const team_id& name) const;

    /// The team that has an API key; null for an unknown key.
    [[nodiscard]] const catalog_team* team_of_key(const key_digest& key) const;

    [[nodiscard]] const std::map<queue_id, queue_definition>& queues() const { return queues_; }
    [[nodiscard]] const std::map<pool_id, catalog_pool>& pools() const { return pools_; }
    [[nodiscard]] const std::map<team_id, catalog_team>& teams() const { return teams_; }

  private:
    std::int64_t version_ = 0;
    std::map<queue_id, queue_definition> queues_;
    std::map<pool_id, catalog_pool> pools_;
    std::map<team_id, catalog_team> teams_;
    std::map<key_digest, team_id> teams_by_key_;
};

/// Orders of the operators that are not part of the catalogue.
struct operator_orders {
    std::set<zone_id> removed_zones; ///< No task starts in these zones.
};

} // namespace citronford
