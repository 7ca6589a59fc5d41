// Invariant `budgets`: the VMs that the system takes out of service never exceed the availability
// budget of their pool, judged by the actual state of the VMs. While the budget is used up, by any
// cause that the controller can know, no new planned step begins. Loans to a pool with a removed
// zone are exempt because they are part of the zone removal that the operator ordered.
#include "proofs/proof.h"

#include "citronford/availability_budget.h"
#include "measure/pool_disturbance.h"

namespace citronford {
namespace {

/// Longest time for which a controller may be unaware of a failure or removal: it acts on a VM list
/// up to 15 s old, which lags by up to 7 s and is read once per second.
constexpr duration detection_delay = seconds(24);

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
        scenario_.run(40, [this] { check_actual_state(); });
        result_.steps = model_.steps;
        return result_;
    }

  private:
    void record_violation(const std::string& detail) {
        if (result_.violations++ == 0) {
            result_.detail = detail;
        }
    }

    /// Whether the controller must count the VM as unavailable.
    bool known_unavailable(const vm_record& row) {
        const pool_model::physical_vm& item = model_.physical_vms.at(row.id);
        const instant now = model_.timers.now();
        if (row.state == vm_states::moving || row.state == vm_states::removed) {
            return false;
        }
        return row.state != vm_states::serving ||
               scenario_.removed_since(row.zone, detection_delay) ||
               (item.failed_at != instant::max() && now - item.failed_at >= detection_delay);
    }

    void check_step(const vm_record& drained_vm) {
        std::int64_t unavailable = 1;
        for (const auto& [id, item] : model_.vms) {
            if (id != drained_vm.id && item.row.pool == drained_vm.pool &&
                known_unavailable(item.row)) {
                ++unavailable;
            }
        }
        if (unavailable > budget_of(model_.fleet, drained_vm.pool)) {
            record_violation("a planned step of " + drained_vm.id.str() + " makes " +
                             std::to_string(unavailable) + " unavailable in pool " +
                             drained_vm.pool.str());
        }
    }

    void check_actual_state() {
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
                record_violation(std::to_string(count) + " VMs are down in pool " + pool.str());
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
