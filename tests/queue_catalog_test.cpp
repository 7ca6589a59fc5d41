#include "test_support.h"

#include "citronford/queue_admission.h"
#include "citronford/queue_catalog.h"

using namespace citronford;

namespace {

queue_definition queue_at(const std::string& name, const std::string& prefix, bool open) {
    queue_definition queue;
    queue.name = queue_id(name);
    queue.host = "host";
    queue.prefix = prefix;
    queue.pool = pool_id("pool");
    queue.open = open;
    return queue;
}

key_digest digest(std::string_view key) {
    return key_digest("digest of " + std::string(key));
}

queue_catalog make_catalog() {
    return {3,
            {queue_at("short", "/a/", false), queue_at("long", "/a/b/", true)},
            {catalog_pool{pool_id("pool"), true, false}},
            {catalog_team{team_id("sales"), 1, {}, {digest("k1"), digest("k2")}}}};
}

result_code refused(const queue_catalog* catalog, const workflow_address& address) {
    const auto admission = admit_request(catalog, address, digest);
    cr_assert(!admission.ok());
    return code_of(admission.status());
}

} // namespace

// Guards against a request that is routed to the queue with the shorter of two matching prefixes.
Test(queue_catalog, takes_the_longest_prefix) {
    const queue_catalog catalog = make_catalog();
    cr_assert(catalog.match_queue("host", "/a/b/job")->name == queue_id("long"));
    cr_assert(catalog.match_queue("host", "/a/job")->name == queue_id("short"));
    cr_assert(catalog.match_queue("other", "/a/job") == nullptr);
    cr_assert(catalog.match_queue("host", "/c/job") == nullptr);
}

// Guards against work that runs for a team without a key of that team.
Test(queue_catalog, admits_by_key_except_on_open_queues) {
    const queue_catalog catalog = make_catalog();
    const auto keyed = admit_request(&catalog, {"host", "/a/job", "k2"}, digest);
    cr_assert(keyed.ok() && keyed->team == team_id("sales") && keyed->path_suffix == "job");
    const auto open = admit_request(&catalog, {"host", "/a/b/job", ""}, digest);
    cr_assert(open.ok() && open->team.empty());
    cr_assert(refused(&catalog, {"host", "/a/job", "k3"}) == result_code::key_rejected);
    cr_assert(refused(&catalog, {"host", "/a/job", ""}) == result_code::key_missing);
    cr_assert(refused(&catalog, {"host", "/x/job", "k1"}) == result_code::unknown_service);
    cr_assert(refused(nullptr, {"host", "/a/job", "k1"}) == result_code::node_joining);
}
