// Invariant `one-pool`: according to the table, a VM is in exactly one pool at any time. Only the
// holder of the lease of that pool changes the state of the VM or sends orders to it, and every
// order matches the row of the VM.
#include "proofs/proof.h"

#include "measure/pool_disturbance.h"

namespace citronford {
namespace {

class one_pool_run {
  public:
    explicit one_pool_run(std::uint64_t seed)
        : scenario_(seed, seed % 2 == 0), model_(scenario_.model) {
        model_.on_row = [this](const pool_model::node& writer, const vm_record* before,
                               const vm_record& after) { check_row(writer, before, after); };
        model_.on_order = [this](const pool_model::node& sender, const vm_id& vm,
                                 vm_order_number order,
                                 bool drain) { check_order(sender, vm, order, drain); };
    }

    proof_result run() {
        scenario_.run(40, [] {});
        result_.steps = model_.steps;
        return result_;
    }

  private:
    void require(bool holds, const std::string& detail) {
        if (!holds && result_.violations++ == 0) {
            result_.detail = detail;
        }
    }

    [[nodiscard]] bool controls(const pool_model::node& node, const pool_id& pool) {
        return model_.leases[pool].row.owner == node.name;
    }

    void check_row(const pool_model::node& writer, const vm_record* before,
                   const vm_record& after) {
        require(!after.pool.empty(), after.id.str() + " is in no pool");
        if (before == nullptr || before->state == vm_states::removed) {
            return;
        }
        const bool moved = before->pool != after.pool;
        require(!moved || (before->state == vm_states::draining && before->target == after.pool) ||
                    before->state == vm_states::failed,
                after.id.str() + " changed its pool before it was drained");
        require((!moved && before->state == after.state) || controls(writer, before->pool),
                writer.name.str() + " changed " + after.id.str() + " without the lease of " +
                    before->pool.str());
    }

    void check_order(const pool_model::node& sender, const vm_id& vm, vm_order_number order,
                     bool drain) {
        const vm_record& row = model_.vms[vm].row;
        require(controls(sender, row.pool), sender.name.str() + " orders " + vm.str() +
                                                " without the lease of " + row.pool.str());
        const bool expected =
            drain ? row.state == vm_states::draining
                  : row.state == vm_states::rebooting || row.state == vm_states::moving;
        require(order == row.order && expected, sender.name.str() + " gives " + vm.str() +
                                                    " an order that its row does not contain");
    }

    pool_disturbance scenario_;
    pool_model& model_;
    proof_result result_;
};

const proof_registration one_pool("one-pool",
                                  [](std::uint64_t seed) { return one_pool_run(seed).run(); });

} // namespace
} // namespace citronford
