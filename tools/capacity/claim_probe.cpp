// Heap that claims leave on a node once their outcomes are recorded, and the cost of one claim.
#include "capacity/slope.h"

#include "citronford/group_commit.h"

#include <memory>
#include <string>

namespace citronford {
namespace {

/// A node that claims ids one after the other and records their outcomes; every transaction is
/// committed at once.
class claiming_node {
  public:
    explicit claiming_node(std::size_t claims)
        : commits_({.node = node_id("entry-a-1"), .incarnation = "0123456789abcdef"}) {
        for (std::size_t count = 0; count < claims; ++count) {
            claim();
        }
    }

    void claim() {
        ++number_;
        const request_id id("request-" + std::to_string(number_));
        commit(claim_requested{static_cast<caller_id>(number_), id});
        commit(outcome_resolved{id, "done"});
    }

  private:
    void commit(const group_commit_input& input) {
        if (!commits_.handle(input, instant()).empty()) {
            commits_.handle(transaction_committed{number_}, instant());
        }
    }

    group_commit commits_;
    std::uint64_t number_ = 0;
};

cost_sample claim_cost(std::size_t claims) {
    constexpr std::size_t passes = 1000;
    return sampled(
        claims, passes, [&] { return std::make_unique<claiming_node>(claims); },
        [](claiming_node& node) { node.claim(); });
}

const capacity_registration
    kept({"claim", "kept_claims", "claim", {10000, 40000, 160000}, claim_cost});

} // namespace
} // namespace citronford
