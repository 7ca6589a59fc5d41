// Promise budgets: what the system takes out of service itself never exceeds the budget of a pool,
// judged by what really is up; and while the budget is used up, by whatever cause the controller
// can know of, no new planned step begins. Lending to a pool that lost its zone is exempt: it is
// part of the operator's order.
#include "proofs/proof.h"

#include "citronford/availability_budget.h"
#include "measure/pool_disturbance.h"

namespace citronford {
namespace {

/// Longest time for which a controller may not know of a failure or removal: it acts on a list up
/// to 15 s old, which lags by up to 7 s and is read once a second.
constexpr duration knowledge = seconds(24);

class budgets_run {
  public:
    explicit budgets_run(std::uint64_t seed)
        : failures_(seed % 2 == 0), scenario_(seed, failures_), model_(scenario_.model) {
        model_.on_row = [this](const auto& /*writer*/, const vm_record* before,
                               const vm_record& after) {
            if (before != nullptr && before->state == vm_states::serving &&
                after.state == vm_states::draining && after.step != vm_step::lend) {
                check_step(after);
            }
        };
    }

    proof_result run() {
        scenario_.run(40, [this] { check_truth(); });
        result_.steps = model_.steps;
        return result_;
    }

  private:
    void violate(const std::string& detail) {
        if (result_.violations++ == 0) {
            result_.detail = detail;
        }
    }

    /// A VM that the controller must count as unavailable.
    bool known_unavailable(const vm_record& row) {
        const pool_model::physical_vm& item = model_.physical_vms.at(row.id);
        const instant now = model_.timers.now();
        if (row.state == vm_states::moving || row.state == vm_states::removed) {
            return false;
        }
        return row.state != vm_states::serving || scenario_.removed_since(row.zone, knowledge) ||
               (item.failed_at != instant::max() && now - item.failed_at >= knowledge);
    }

    void check_step(const vm_record& begun) {
        std::int64_t unavailable = 1;
        for (const auto& [id, item] : model_.vms) {
            if (id != begun.id && item.row.pool == begun.pool && known_unavailable(item.row)) {
                ++unavailable;
            }
        }
        if (unavailable > budget_of(model_.fleet, begun.pool)) {
            violate("a planned step of " + begun.id.str() + " makes " +
                    std::to_string(unavailable) + " unavailable in pool " + begun.pool.str());
        }
    }

    void check_truth() {
        if (failures_) {
            return;
        }
        std::map<pool_id, std::int64_t> down;
        for (const auto& [id, item] : model_.vms) {
            const bool exempt =
                item.row.step == vm_step::lend || item.row.state == vm_states::moving;
            if (!exempt && !model_.physical_vms.at(id).up()) {
                ++down[item.row.pool];
            }
        }
        for (const auto& [pool, count] : down) {
            if (count > budget_of(model_.fleet, pool)) {
                violate(std::to_string(count) + " VMs are down in pool " + pool.str());
            }
        }
    }

    bool failures_;
    pool_disturbance scenario_;
    pool_model& model_;
    proof_result result_;
};

const proof_registration budgets("budgets",
                                 [](std::uint64_t seed) { return budgets_run(seed).run(); });

} // namespace
} // namespace citronford
