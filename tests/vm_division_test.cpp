#include "test_support.h"

#include "citronford/vm_division.h"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <rapidcheck.h>

using namespace citronford;

namespace {

constexpr double not_a_number = std::numeric_limits<double>::quiet_NaN();

vm_claim claim_of(const std::string& name, vm_needs needs, std::int64_t present = 0) {
    return {pool_id(name), needs, present};
}

std::map<pool_id, std::int64_t> by_name(const std::vector<vm_part>& parts) {
    std::map<pool_id, std::int64_t> vms;
    for (const vm_part& part : parts) {
        vms[part.pool] = part.vms;
    }
    return vms;
}

/// Claims of up to six pools from small numbers; some needs are negative, huge or not a number.
std::vector<vm_claim> claims_from(const std::vector<std::uint8_t>& numbers) {
    constexpr std::size_t most_pools = 6;
    std::vector<vm_claim> claims;
    for (std::size_t at = 0; at + need_tier_count < numbers.size() && claims.size() < most_pools;
         at += need_tier_count + 1) {
        vm_claim claim = claim_of("p" + std::to_string(claims.size()), {}, numbers[at]);
        for (std::size_t tier = 0; tier < need_tier_count; ++tier) {
            const double number = numbers[at + 1 + tier];
            claim.needs[tier] = number == 0   ? -3.0
                                : number == 1 ? not_a_number
                                : number == 2 ? std::numeric_limits<double>::infinity()
                                : number == 3 ? 1e300
                                              : number / 2;
        }
        claims.push_back(claim);
    }
    return claims;
}

} // namespace

// Guards against late work that keeps servers while urgent work waits: two pools that together need
// twice the fleet. One has 200 servers of late work, the other 400 urgent workflows.
Test(vm_division, serves_urgent_work_before_late_work) {
    const std::vector claims = {claim_of("late", {16, 0, 40, 200, 100}, 200),
                                claim_of("urgent", {20, 260, 0, 0, 60}, 60)};
    const std::vector<vm_part> parts = divide_vms(claims, 349);
    cr_assert(parts[1].vms == 280, "%ld", parts[1].vms);
    cr_assert(parts[0].vms == 69, "%ld", parts[0].vms);
    cr_assert(parts[0].by_tier[3] == 13);
}

// Guards against lower priorities that starve: an urgent burst that needs the whole fleet beside
// 250 servers of on-time work of a lower priority.
Test(vm_division, leaves_a_third_to_lower_priorities_on_time) {
    const std::vector claims = {claim_of("lower", {30, 0, 250, 0, 0}, 220),
                                claim_of("urgent", {19, 400, 0, 0, 0}, 60)};
    const std::vector<vm_part> parts = divide_vms(claims, 349);
    cr_assert(parts[0].by_tier[2] == 100, "%ld", parts[0].by_tier[2]);
    cr_assert(parts[1].by_tier[1] == 200, "%ld", parts[1].by_tier[1]);
    const std::vector few = {claim_of("lower", {30, 0, 10, 0, 0}, 220),
                             claim_of("urgent", {19, 400, 0, 0, 0}, 60)};
    cr_assert(divide_vms(few, 349)[0].by_tier[2] == 10);
}

// Guards against a pool that gets nothing in a tier because another needs more.
Test(vm_division, divides_a_scarce_tier_in_proportion) {
    const std::vector claims = {claim_of("a", {0, 300, 0, 0, 0}), claim_of("b", {0, 100, 0, 0, 0})};
    const std::vector<vm_part> parts = divide_vms(claims, 300);
    cr_assert(parts[0].vms == 225 && parts[1].vms == 75);
}

// Guards against VMs that are paid for and that no tier needs: they are in no part, so the planner
// moves them to the standby pool.
Test(vm_division, leaves_what_no_tier_needs) {
    const std::vector claims = {claim_of("a", {2, 5, 0, 0, 1}), claim_of("b", {2, 0, 0, 0, 0})};
    const std::vector<vm_part> parts = divide_vms(claims, 349);
    cr_assert(parts[0].vms == 8 && parts[1].vms == 2);
}

// Guards against a VM that changes its pool because of a rounding: of equal remainders, the pool
// that has the VM keeps it.
Test(vm_division, keeps_the_odd_vm_where_it_is) {
    const std::vector claims = {claim_of("a", {0, 10, 0, 0, 0}, 2),
                                claim_of("b", {0, 10, 0, 0, 0}, 3)};
    const std::vector<vm_part> parts = divide_vms(claims, 5);
    cr_assert(parts[0].vms == 2 && parts[1].vms == 3);
}

// Guards against figures of a faulty estimate: each counts as stated in the header.
Test(vm_division, takes_odd_needs_as_stated) {
    const std::vector claims = {claim_of("a", {-5, not_a_number, 1e300, 0, 0}),
                                claim_of("b", {1.2, 0, 0, 0, 0})};
    const std::vector<vm_part> parts = divide_vms(claims, 10);
    cr_assert(parts[1].vms == 2 && parts[0].vms == 8, "%ld %ld", parts[0].vms, parts[1].vms);
    for (const vm_part& part : divide_vms(claims, -7)) {
        cr_assert(part.vms == 0);
    }
    cr_assert(divide_vms({}, 10).empty());
}

// Guards against more VMs than there are, fewer than the hosts of long-running tasks, and a result
// that depends on the order in which pools are listed.
Test(vm_division, holds_its_bounds_in_any_order) {
    const bool held =
        rc::check([](const std::vector<std::uint8_t>& numbers, std::uint16_t available) {
            std::vector<vm_claim> claims = claims_from(numbers);
            const std::vector<vm_part> parts = divide_vms(claims, available);
            std::int64_t total = 0;
            double hosts = 0;
            for (std::size_t index = 0; index < parts.size(); ++index) {
                RC_ASSERT(parts[index].pool == claims[index].pool);
                RC_ASSERT(parts[index].vms == std::accumulate(parts[index].by_tier.begin(),
                                                              parts[index].by_tier.end(),
                                                              std::int64_t{0}));
                RC_ASSERT(parts[index].vms >= 0);
                total += parts[index].vms;
                const double base = claims[index].needs[0];
                hosts += base > 0 ? std::ceil(base) : 0;
            }
            RC_ASSERT(total <= available);
            for (std::size_t index = 0; index < parts.size() && hosts <= available; ++index) {
                RC_ASSERT(!(static_cast<double>(parts[index].vms) < claims[index].needs[0]));
            }
            const auto expected = by_name(parts);
            std::ranges::reverse(claims);
            RC_ASSERT(by_name(divide_vms(claims, available)) == expected);
            std::ranges::rotate(claims, claims.begin() + static_cast<long>(claims.size() / 2));
            RC_ASSERT(by_name(divide_vms(claims, available)) == expected);
        });
    cr_assert(held);
}
