#include "citronford/queue_catalog.h"

#include <utility>

namespace citronford {
namespace {

template <class Name, class Value>
const Value* find_in(const std::map<Name, Value>& items, const Name& name) {
    const auto found = items.find(name);
    return found == items.end() ? nullptr : &found->second;
}

} // namespace

queue_catalog::queue_catalog(std::int64_t version, std::vector<queue_definition> queues,
                             std::vector<catalog_pool> pools, std::vector<catalog_team> teams)
    : version_(version) {
    for (queue_definition& queue : queues) {
        queues_.insert_or_assign(queue.name, std::move(queue));
    }
    for (catalog_pool& pool : pools) {
        pools_.insert_or_assign(pool.name, std::move(pool));
    }
    for (catalog_team& team : teams) {
        for (const key_digest& key : team.keys) {
            teams_by_key_.insert_or_assign(key, team.name);
        }
        teams_.insert_or_assign(team.name, std::move(team));
    }
}

const queue_definition* queue_catalog::match_queue(std::string_view host,
                                                   std::string_view path) const {
    const queue_definition* best = nullptr;
    for (const auto& [name, queue] : queues_) {
        if (queue.host == host && path.starts_with(queue.prefix) &&
            (best == nullptr || queue.prefix.size() > best->prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const queue_definition* queue_catalog::queue(const queue_id& name) const {
    return find_in(queues_, name);
}

const catalog_pool* queue_catalog::pool(const pool_id& name) const {
    return find_in(pools_, name);
}

const catalog_team* queue_catalog::team(const team_id& name) const {
    return find_in(teams_, name);
}

const catalog_team* queue_catalog::team_of_key(const key_digest& key) const {
    const auto found = teams_by_key_.find(key);
    return found == teams_by_key_.end() ? nullptr : team(found->second);
}

} // namespace citronford
