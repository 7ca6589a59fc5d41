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

/// One VM as a node knows it: its row and its entry in the platform's list.
struct vm_entry {
    vm_record row;
    table_version version = absent_row; ///< Of the row; `absent_row` before it is written.
    bool listed = false;                ///< In the last list.
    bool leaving = false;               ///< Marked as leaving there.
};

struct pool_entry {
    pool_record row;
    table_version version = absent_row; ///< Number of the last roll-out.
};

/// The rows of all VMs and pools and the last VM list, indexed by pool.
class vm_table {
  public:
    /// Takes in a row, unless a newer one is known.
    void apply(const vm_record& row, table_version version);
    void apply(const pool_record& row, table_version version);

    /// Takes in the deletion of a row, unless a newer row is known.
    void erase(const vm_id& vm, table_version version);

    /// Replaces the list. Returns whether it differs from the last one.
    bool apply_list(std::span<const vm_listing> vms, instant read_at);

    /// When the last list was asked for; `instant::min()` before the first.
    [[nodiscard]] instant listed_at() const { return listed_at_; }

    /// The entry of `vm`; null when it has no row.
    [[nodiscard]] const vm_entry* find(const vm_id& vm) const;

    /// VMs that belong to `pool`, by name.
    [[nodiscard]] const std::map<vm_id, const vm_entry*>& members(const pool_id& pool) const;

    /// VMs of the list that have no row, by the pool in which the platform started them.
    [[nodiscard]] std::span<const vm_listing> without_row(const pool_id& pool) const;

    /// Number of the last roll-out of `pool`; zero for none.
    [[nodiscard]] table_version roll_out(const pool_id& pool) const;
    [[nodiscard]] const pool_entry* find_pool(const pool_id& pool) const;

    /// All pools that a row or the list names.
    [[nodiscard]] std::set<pool_id> pools() const;
    [[nodiscard]] const std::map<vm_id, vm_entry>& entries() const { return entries_; }

  private:
    std::map<vm_id, vm_entry> entries_;
    std::map<pool_id, std::map<vm_id, const vm_entry*>> members_;
    std::map<pool_id, pool_entry> pools_;
    std::vector<vm_listing> last_list_;
    std::map<vm_id, vm_listing> list_; ///< The last list by VM.
    std::map<pool_id, std::vector<vm_listing>> without_row_;
    instant listed_at_ = instant::min();
};

} // namespace citronford
