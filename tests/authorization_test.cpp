#include "test_support.h"

#include "citronford/authorization.h"

using namespace citronford;

// Guards against a key that is accepted for another team, or at all after it was withdrawn.
Test(authorization, the_index_knows_exactly_the_keys_of_its_configuration) {
    std::vector<team_key> keys;
    for (const char* name : {"a", "b", "c"}) {
        keys.push_back({key_id(name), key_digest(std::string("digest-") + name), team_id(name)});
    }
    const key_index all(keys);
    keys.erase(keys.begin());
    const key_index fewer(keys);
    expect_equal(all.team_of(key_digest("digest-a"))->str(), "a");
    expect_equal(fewer.team_of(key_digest("digest-c"))->str(), "c");
    cr_assert(!fewer.team_of(key_digest("digest-a")));
    cr_assert(!all.team_of(key_digest("digest-")));
    cr_assert(!all.team_of(key_digest()));
}
