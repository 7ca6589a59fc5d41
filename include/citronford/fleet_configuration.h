#pragma once

#include "citronford/identifier.h"
#include "citronford/instant.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citronford {

/// Version of the fleet configuration; every accepted change raises it by one.
using configuration_version = std::uint64_t;

/// A service and the promise made for it.
struct service_definition {
    service_id name;
    pool_id pool;              ///< Pool whose VMs are the executors of the service.
    bool idempotent = false;   ///< Whether a request may be executed more than once.
    bool open = false;         ///< Whether callers without a key are served.
    double objective = 0.999;  ///< Share of requests to be answered well, in (0, 1).
    milliseconds latency{250}; ///< An answer within this time counts as good.
};

struct team_definition {
    team_id name;
    double share = 1;        ///< Weight when all is full; above zero.
    std::int64_t limit = 64; ///< Most units that may run at once across the fleet.
};

struct pool_definition {
    pool_id name;
    std::int64_t wanted = 0;      ///< VMs that the demand needs.
    std::int64_t unavailable = 1; ///< Availability budget: most VMs unavailable at once.
    pool_id spare;                ///< Pool to borrow from; empty for none.
    bool workers = false;         ///< Whether the VMs of the pool run tasks.
};

/// The one set of defaults for the whole fleet.
struct fleet_defaults {
    std::vector<service_definition> services;
    std::vector<team_definition> teams;
    std::vector<pool_definition> pools;
    milliseconds key_confirmation_limit{3000};
    milliseconds request_timeout{10000};
    milliseconds claim_retention{86400000};
    double retry_ratio = 0.1;           ///< Retries per success, at most.
    double job_objective = 0.99;        ///< Share of jobs to be served well, in (0, 1).
    milliseconds job_wait{60000};       ///< A job that starts within this time is served well.
    milliseconds urgent_job_wait{1000}; ///< The same for an urgent job.
};

/// Overrides one default in one scope; `reason` is mandatory.
struct exception_rule {
    exception_id id;
    std::string scope;   ///< "zone/NAME", "team/NAME", "pool/NAME" or "service/NAME".
    std::string setting; ///< Name of the default that is overridden.
    std::string value;
    std::string reason;
};

/// An availability zone taken out of service.
struct zone_removal {
    zone_id zone;
    std::string reason;
};

/// A key given to a team. Withdrawn keys are deleted from the table.
struct team_key {
    key_id id;
    key_digest digest;
    team_id team;
};

/// Everything that operators set, at one version.
struct fleet_configuration {
    configuration_version version = 0;
    fleet_defaults defaults;
    std::vector<exception_rule> exceptions;
    std::vector<zone_removal> removals;
    std::vector<team_key> keys;
};

/// Replaces the item whose `member` equals that of `item`, or appends `item`.
template <class Item, class Member>
void insert_or_replace(std::vector<Item>& items, Item item, Member member) {
    const auto found = std::ranges::find(items, item.*member, member);
    if (found == items.end()) {
        items.push_back(std::move(item));
    } else {
        *found = std::move(item);
    }
}

const service_definition* find_service(const fleet_configuration& fleet, std::string_view name);
const team_definition* find_team(const fleet_configuration& fleet, std::string_view name);
const pool_definition* find_pool(const fleet_configuration& fleet, std::string_view name);
bool zone_removed(const fleet_configuration& fleet, const zone_id& zone);

/// The upper limit of a team: the fleet default, or the exception of the team.
std::int64_t limit_of(const fleet_configuration& fleet, const team_definition& team);

/// The value of the exception for `setting` in `scope`, if there is one.
std::optional<std::string_view> exception_value(const fleet_configuration& fleet,
                                                std::string_view scope, std::string_view setting);

} // namespace citronford
