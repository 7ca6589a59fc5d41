#include "citronford/worker_ownership.h"

#include <xxhash.h>

namespace citronford {
namespace {

std::uint64_t weight(const live_member& member, std::string_view name) {
    const XXH64_hash_t seed = XXH3_64bits(name.data(), name.size());
    return XXH3_64bits_withSeed(member.id.view().data(), member.id.view().size(), seed);
}

} // namespace

const live_member* rendezvous_owner(std::span<const live_member> members, std::string_view name) {
    const live_member* owner = nullptr;
    std::uint64_t highest = 0;
    for (const live_member& member : members) {
        const std::uint64_t candidate = weight(member, name);
        if (owner == nullptr || candidate > highest ||
            (candidate == highest && member.id < owner->id)) {
            owner = &member;
            highest = candidate;
        }
    }
    return owner;
}

const live_member* worker_owner(std::span<const live_member> members, const worker_id& worker,
                                const zone_id& zone) {
    const live_member* owner = nullptr;
    std::uint64_t highest = 0;
    for (const live_member& member : members) {
        const std::uint64_t candidate = weight(member, worker.view());
        if (member.zone == zone && (owner == nullptr || candidate > highest)) {
            owner = &member;
            highest = candidate;
        }
    }
    return owner != nullptr ? owner : rendezvous_owner(members, worker.view());
}

} // namespace citronford
