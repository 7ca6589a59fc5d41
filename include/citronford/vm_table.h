#pragma once

#include "citronford/instant.h"
#include "citronford/vm_list.h"
#include "citronford/vm_record.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace citronford {

/// One VM as known to a node: its row and its entry in the platform's VM list.
struct vm_entry {
    vm_record row;
    table_version version = absent_row; ///< Of the row; `absent_row` before the first write.
    bool listed = false;                ///< The last VM list contains the VM.
    bool leaving = false;               ///< The last VM list marks the VM as leaving.
};

struct pool_entry {
    pool_record row;
    table_version version = absent_row; ///< Number of the last roll-out.
};

/// The rows of all VMs and pools and the last VM list, indexed by pool.
class vm_table {
  public:
    /// Stores a row unless the known version is at least as new.
    void apply(const vm_record& row, table_version version);
    void apply(const pool_record& row, table_version version);

    /// Deletes a row unless the known version is at least as new.
    void erase(const vm_id& vm, table_version version);

    /// Replaces the VM list. Returns whether it is the first one or differs from the last one.
    bool apply_list(std::span<const vm_listing> vms, instant requested_at);

    /// When the last VM list was requested; `instant::min()` before the first one.
    [[nodiscard]] instant listed_at() const { return listed_at_; }

    /// The entry of `vm`; null if the VM has no row.
    [[nodiscard]] const vm_entry* find(const vm_id& vm) const;

    /// VMs whose rows name `pool`, by id.
    [[nodiscard]] const std::map<vm_id, const vm_entry*>& members(const pool_id& pool) const;

    /// Listed VMs without a row that the platform started in `pool`.
    [[nodiscard]] std::span<const vm_listing> without_row(const pool_id& pool) const;

    /// Number of the last roll-out of `pool`; zero if there was none.
    [[nodiscard]] table_version roll_out_number(const pool_id& pool) const;
    [[nodiscard]] const pool_entry* find_pool(const pool_id& pool) const;

    /// All pools that occur in a row or in the VM list.
    [[nodiscard]] std::set<pool_id> pools() const;
    [[nodiscard]] const std::map<vm_id, vm_entry>& entries() const { return entries_; }

  private:
    std::map<vm_id, vm_entry> entries_;
    std::map<pool_id, std::map<vm_id, const vm_entry*>> members_;
    std::map<pool_id, pool_entry> pools_;
    std::vector<vm_listing> last_list_;
    std::map<vm_id, vm_listing> list_; ///< The last VM list by id.
    std::map<pool_id, std::vector<vm_listing>> without_row_;
    instant listed_at_ = instant::min();
};

} // namespace citronford
