#include "citronford/pool_owner.h"

#include <cstdint>
#include <string>
#include <xxhash.h>

namespace citronford {

node_id pool_owner(const pool_id& pool, std::span<const node_id> live_nodes) {
    node_id owner;
    std::uint64_t highest = 0;
    for (const node_id& node : live_nodes) {
        const std::string text = pool.str() + '\0' + node.str();
        const std::uint64_t hash = XXH64(text.data(), text.size(), 0);
        if (owner.empty() || hash > highest || (hash == highest && node < owner)) {
            owner = node;
            highest = hash;
        }
    }
    return owner;
}

} // namespace citronford
