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

/// How long advice about backend servers takes and holds.
struct advice_terms {
    milliseconds per_call{};
    milliseconds per_server{};
    milliseconds validity{};
};

/// A queue for workflows as operators configure it.
struct queue_definition {
    queue_id name;
    std::string host;                   ///< Of the requests of callers.
    std::string prefix;                 ///< Of their paths; the longest that fits counts.
    pool_id pool;                       ///< Whose backend servers run the tasks.
    int priority = 0;                   ///< Zero comes first.
    std::uint32_t max_attempts = 1;     ///< Runs of a task that may fail.
    double stretch = 1;                 ///< Factor on the longest chain in the latency objective.
    milliseconds objective_slack{};     ///< Added to the stretched chain.
    bool open = false;                  ///< Open to callers without a key.
    std::optional<advice_terms> advice; ///< Only advised backend servers may run the tasks.
};

/// A pool of VMs as operators configure it.
struct catalog_pool {
    pool_id name;
    bool guards_capacity = true; ///< Backend servers refuse what does not fit.
    bool standby = false;        ///< The VMs of the pool are off and cost nothing.
};

struct catalog_team {
    team_id name;
    double weight = 0; ///< Share when all is full; also the workflows a second that it is owed.
    resources limit;   ///< Most that may run; zero: no limit.
    std::vector<key_digest> keys;
};

/// One version of the operators' configuration of queues, pools and teams.
class queue_catalog {
  public:
    queue_catalog() = default;
    queue_catalog(std::int64_t version, std::vector<queue_definition> queues,
                  std::vector<catalog_pool> pools, std::vector<catalog_team> teams);

    [[nodiscard]] std::int64_t version() const { return version_; }

    /// The queue of a request: that of `host` with the longest prefix of `path`; null if none fits.
    [[nodiscard]] const queue_definition* queue_of(std::string_view host,
                                                   std::string_view path) const;

    [[nodiscard]] const queue_definition* queue(const queue_id& name) const;
    [[nodiscard]] const catalog_pool* pool(const pool_id& name) const;
    [[nodiscard]] const catalog_team* team(const team_id& name) const;

    /// The team that holds a key; null for an unknown key.
    [[nodiscard]] const catalog_team* team_of(const key_digest& key) const;

    [[nodiscard]] const std::map<queue_id, queue_definition>& queues() const { return queues_; }
    [[nodiscard]] const std::map<pool_id, catalog_pool>& pools() const { return pools_; }

  private:
    std::int64_t version_ = 0;
    std::map<queue_id, queue_definition> queues_;
    std::map<pool_id, catalog_pool> pools_;
    std::map<team_id, catalog_team> teams_;
    std::map<key_digest, team_id> holders_;
};

/// Orders of the operators beside the catalogue.
struct operator_orders {
    std::set<zone_id> removed_zones; ///< No task starts there.
};

} // namespace citronford
